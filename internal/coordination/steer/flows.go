package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxFlows bounds the sample of flows that a daemon remembers.
	maxFlows = 16384
	// activeFor is how long after its last packet a flow counts as load.
	activeFor = 4 * clock.Second
	// busyFor is how long a request without an answer counts as work.
	busyFor = 2 * clock.Second
	// openFor is how long a client repeats the first packet of a flow.
	openFor = 1500 * clock.Milli(1)
	// idleFor is the silence after which a flow is forgotten.
	idleFor = 30 * clock.Second
)

// record is what a daemon remembers of one flow.
type record struct {
	target *Target
	route  *Route
	seen   clock.Milli
	// opened is when the first packet came, while no other has come.
	opened clock.Milli
	// asked is when the oldest request without an answer was sent.
	asked clock.Milli
	// first is the number of the first packet, next follows the highest byte
	// that the client sent, ack is the highest that it acknowledged.
	first uint32
	next  uint32
	ack   uint32
	// ahead is the number of requests that were at work or queued at the target when
	// the oldest one without an answer was sent, as far as this daemon knew.
	ahead int
	// sent is when the client last sent new data.
	sent clock.Milli
	// progress is when the client last acknowledged something new.
	progress clock.Milli
	// doubted and missed are set once the flow counts as a miss, and as a
	// sure one.
	doubted bool
	missed  bool
	closed  bool
}

// flowTable is a bounded set of records.
type flowTable struct {
	max     int
	records map[flow.Tuple]*record
	free    []*record
	// opening lists the flows that wait for their second packet, asking those
	// that wait for an answer, oldest first.
	opening []waiting
	asking  []waiting
}

// waiting is a flow that waits since a packet of its client.
type waiting struct {
	tuple flow.Tuple
	since clock.Milli
}

// due takes the flows off a list that wait for as long as d, and calls f for those
// that are remembered.
func (f *flowTable) due(list *[]waiting, now, d clock.Milli, call func(w waiting, r *record)) {
	n := 0
	for ; n < len(*list) && now-(*list)[n].since >= d; n++ {
		w := (*list)[n]
		if r := f.records[w.tuple]; r != nil {
			call(w, r)
		}
	}
	if n > 0 {
		*list = append((*list)[:0], (*list)[n:]...)
	}
}

func newFlowTable(n int) flowTable {
	return flowTable{max: n, records: make(map[flow.Tuple]*record)}
}

// add returns a new record for a flow, or nil if the table is full.
func (f *flowTable) add(t flow.Tuple) *record {
	if r := f.records[t]; r != nil {
		*r = record{}
		return r
	}
	if len(f.records) >= f.max {
		return nil
	}
	r := &record{}
	if n := len(f.free); n > 0 {
		r, f.free = f.free[n-1], f.free[:n-1]
		*r = record{}
	}
	f.records[t] = r
	return r
}

func (f *flowTable) remove(t flow.Tuple) {
	if r := f.records[t]; r != nil {
		delete(f.records, t)
		f.free = append(f.free, r)
	}
}

// after reports whether a follows b in sequence numbers.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// follow updates a record with a packet of an open flow and reports whether
// it shows that the target answered, and whether it repeats an earlier one.
func (r *record) follow(now clock.Milli, s *flow.Segment) (answered, repeated bool) {
	r.seen = now
	end := s.Seq + uint32(s.Len)
	switch {
	case r.opened != 0:
		answered = true
		r.opened = 0
		r.ack, r.next = s.Ack, s.Seq
	case after(s.Ack, r.ack):
		answered = true
		r.ack = s.Ack
	}
	if answered {
		r.asked, r.progress, r.doubted, r.missed = 0, now, false, false
	}
	if s.Len > 0 {
		switch {
		case after(end, r.next):
			r.next, r.sent = end, now
			if r.asked == 0 {
				r.asked = now
			}
		case !answered && now-r.sent >= repeatIn:
			repeated = true // earlier it is one that was overtaken
		}
	}
	if s.Close || s.Reset {
		r.closed = true
		r.asked = 0
	}
	return answered, repeated
}

// Flows returns the number of flows remembered.
func (c *Core) Flows() int { return len(c.flows.records) }

package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxFlows bounds the number of recorded flows, which are a sample if there
	// are more.
	maxFlows = 16384
	// activeWindow is how long after its last packet a flow counts as load.
	activeWindow = 4 * clock.Second
	// busyWindow is how long a request without an answer counts as load.
	busyWindow = 2 * clock.Second
	// openLifetime is how long a client retransmits a flow's first packet.
	openLifetime = 1500 * clock.Milli(1)
	// idleTimeout is the time without packets after which a flow is forgotten.
	idleTimeout = 30 * clock.Second
	// closedTTL is how long a closed flow is kept, so that late copies of its
	// first packet open no second one.
	closedTTL = clock.Second
)

// flowRecord is what a daemon records of one flow.
type flowRecord struct {
	target     *Target
	route      *Route
	lastPacket clock.Milli
	// openedAt is when the flow's first packet came, zero after its second one.
	openedAt clock.Milli
	// requestedAt is when the oldest request without an answer was sent, zero if
	// there is none.
	requestedAt clock.Milli
	// firstSeq is the sequence number of the first packet. nextSeq is the one
	// after the last byte that the client sent, ack the highest that it
	// acknowledged.
	firstSeq uint32
	nextSeq  uint32
	ack      uint32
	// queuedAhead is the number of requests at the target, running or queued,
	// when the oldest one without an answer was sent, as far as this daemon knew.
	queuedAhead int
	// lastData is when the client last sent new data.
	lastData clock.Milli
	// lastAck is when the client last acknowledged new data.
	lastAck clock.Milli
	// missCounted is set once the flow counted as a miss, missConfirmed once it
	// counted as a confirmed one. Progress clears both.
	missCounted   bool
	missConfirmed bool
	closed        bool
	// inFlight is set while a request counts against the pool's limit, wait while
	// one waits for room.
	inFlight bool
	wait     *waitingRequest
	// share is the route's share that the request in flight counts against, nil if it
	// counts against none.
	share *routeShare
	// arrivedAt is when the client sent the flow's first packet, zero after its
	// first request here.
	arrivedAt clock.Milli
	// moved is set while the first packet here of a flow that another daemon opened
	// is handled.
	moved bool
	// active is set while the flow counts in its target's load.
	active bool
}

// activate counts the flow in its target's load.
func (r *flowRecord) activate() {
	r.active = true
	r.target.load.flows++
}

// deactivate ends that.
func (r *flowRecord) deactivate() {
	if r.active {
		r.active = false
		r.target.load.flows--
	}
}

// release removes the flow from all counts.
func (r *flowRecord) release() {
	r.endWait()
	r.end()
	r.deactivate()
}

// flowTable is a bounded set of flow records.
type flowTable struct {
	max     int
	records map[flow.Tuple]*flowRecord
	free    []*flowRecord
	// opening lists the flows without a second packet, awaitingAnswer those with
	// a request without an answer, both oldest first.
	opening        []pendingFlow
	awaitingAnswer []pendingFlow
}

// pendingFlow is a flow that waits since a packet of its client.
type pendingFlow struct {
	tuple flow.Tuple
	since clock.Milli
}

// due removes the flows from a list that have waited for d or longer, and calls
// a function for those that are still recorded.
func (f *flowTable) due(list *[]pendingFlow, now, d clock.Milli, call func(w pendingFlow, r *flowRecord)) {
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
	return flowTable{max: n, records: make(map[flow.Tuple]*flowRecord)}
}

// add returns a new record for a flow, or nil if the table is full.
func (f *flowTable) add(t flow.Tuple) *flowRecord {
	if r := f.records[t]; r != nil {
		r.release()
		*r = flowRecord{}
		return r
	}
	if len(f.records) >= f.max {
		return nil
	}
	r := &flowRecord{}
	if n := len(f.free); n > 0 {
		r, f.free = f.free[n-1], f.free[:n-1]
		*r = flowRecord{}
	}
	f.records[t] = r
	return r
}

func (f *flowTable) remove(t flow.Tuple) {
	if r := f.records[t]; r != nil {
		r.release()
		delete(f.records, t)
		f.free = append(f.free, r)
	}
}

// seqAfter reports whether sequence number a follows b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// update updates the record with a packet that is not the flow's first. It reports
// whether the packet shows that the target answered, and whether it is a
// retransmission.
func (r *flowRecord) update(now clock.Milli, s *flow.Segment) (answered, retransmitted bool) {
	r.lastPacket = now
	end := s.Seq + uint32(s.Len)
	switch {
	case r.openedAt != 0:
		answered = true
		r.openedAt = 0
		r.ack, r.nextSeq = s.Ack, s.Seq
	case seqAfter(s.Ack, r.ack):
		answered = true
		r.ack = s.Ack
	}
	if answered {
		r.requestedAt, r.lastAck, r.missCounted, r.missConfirmed = 0, now, false, false
	}
	if s.Len > 0 {
		switch {
		case seqAfter(end, r.nextSeq):
			r.nextSeq, r.lastData = end, now
			if r.requestedAt == 0 {
				r.requestedAt = now
			}
		case !answered && now-r.lastData >= minRetransmitInterval:
			retransmitted = true // sooner, it is a reordered packet
		}
	}
	if s.Close || s.Reset {
		r.closed = true
		r.requestedAt = 0
	}
	return answered, retransmitted
}

// Flows returns the number of recorded flows.
func (c *Core) Flows() int { return len(c.flows.records) }

package entry

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxQueuedBytes is the maximum size of all queued packets, maxQueuedPerFlow
	// the maximum number of packets of one flow: what a client sends without an
	// acknowledgement.
	maxQueuedBytes   = 4 << 20
	maxQueuedPerFlow = 16
)

// queuedPacket is a copy of a packet of a flow whose request waits.
type queuedPacket struct {
	data    []byte
	segment flow.Segment
}

// packetQueue holds the packets of the flows whose requests wait for room at their
// pools. Package steer decides which flow is next.
type packetQueue struct {
	flows map[flow.Tuple][]queuedPacket
	bytes int
}

// add queues a copy of a packet. It reports false if there is no space. A
// retransmission of a queued packet adds nothing.
func (q *packetQueue) add(b []byte, s *flow.Segment) bool {
	list := q.flows[s.Tuple]
	for i := range list {
		if x := &list[i].segment; x.Seq == s.Seq && x.Len >= s.Len {
			return true
		}
	}
	if len(list) >= maxQueuedPerFlow || q.bytes+len(b) > maxQueuedBytes {
		return false
	}
	q.bytes += len(b)
	q.flows[s.Tuple] = append(list, queuedPacket{data: append([]byte(nil), b...), segment: *s})
	return true
}

// take removes and returns the packets of a flow.
func (q *packetQueue) take(t flow.Tuple) []queuedPacket {
	list := q.flows[t]
	delete(q.flows, t)
	for i := range list {
		q.bytes -= len(list[i].data)
	}
	return list
}

// queue queues a packet of a flow whose request waits. Without space the packet is
// dropped: its client retransmits it. The caller holds d.mu.
func (d *Daemon) queue(b []byte, s *flow.Segment) {
	if !d.queued.add(b, s) {
		d.metrics.queueFull.Inc()
	}
}

// forwardReleased forwards the packets of the flows whose wait is over. The caller
// holds d.mu.
func (d *Daemon) forwardReleased(list []steer.Release) {
	for i := range list {
		x := &list[i]
		for _, p := range d.queued.take(x.Tuple) {
			d.deliver(p.data, x.Target)
		}
		d.metrics.waited[x.Route.Class].Update(x.Waited.Duration().Seconds())
	}
}

// discardEnded discards the packets of the flows that ended while their requests
// waited. The caller holds d.mu.
func (d *Daemon) discardEnded(now clock.Milli) {
	for _, x := range d.core.Discarded() {
		d.queued.take(x.Tuple)
		d.metrics.discarded[x.Reason].Inc()
		d.log.sampledf("queue: client=%s service=%s action=discard reason=%s waited=%dms", x.Tuple.Source(), x.Tuple.Service(), x.Reason, x.Waited)
	}
}

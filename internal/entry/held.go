package entry

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxHeldPackets is the maximum number of packets that wait until the
	// daemon knows the deployment, maxHoldTime how long one may wait.
	maxHeldPackets = 256
	maxHoldTime    = 700 * clock.Milli(1)
)

// heldPacket is a packet that arrived before the daemon knew the deployment.
type heldPacket struct {
	at      clock.Milli
	data    []byte
	segment flow.Segment
}

// hold queues a copy of a packet, or drops the packet if the queue is full. The
// caller holds d.mu.
func (d *Daemon) hold(now clock.Milli, b []byte, s *flow.Segment) {
	if len(d.held) >= maxHeldPackets {
		return
	}
	d.held = append(d.held, heldPacket{at: now, data: append([]byte(nil), b...), segment: *s})
}

// releaseHeld decides the queued packets once the daemon knows the deployment.
// Packets that waited longer than maxHoldTime are dropped. The caller holds d.mu.
func (d *Daemon) releaseHeld(now clock.Milli) {
	if len(d.held) == 0 || !d.core.KnowsDeployment() {
		return
	}
	packets := d.held
	d.held = nil
	for i := range packets {
		h := &packets[i]
		if now-h.at <= maxHoldTime {
			d.execute(now, h.data, &h.segment, d.core.Decide(now, &h.segment, d.isFresh(now)))
		}
	}
}

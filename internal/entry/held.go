package entry

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxHeldPackets is the maximum number of packets that wait until the
	// daemon knows the deployment and its cold targets, maxHoldTime how long one may wait.
	maxHeldPackets = 256
	maxHoldTime    = 700 * clock.Milli(1)
)

// heldPacket is a packet that arrived before the daemon knew enough to decide on it.
type heldPacket struct {
	at      clock.Milli
	data    []byte
	segment flow.Segment
}

// hold queues a copy of a packet, or drops the packet if the queue is full of packets that
// may still be forwarded. The caller holds d.mu.
func (d *Daemon) hold(now clock.Milli, b []byte, s *flow.Segment) {
	if len(d.held) >= maxHeldPackets {
		d.held = slices.DeleteFunc(d.held, func(h heldPacket) bool { return now-h.at > maxHoldTime })
	}
	if len(d.held) >= maxHeldPackets {
		return
	}
	d.held = append(d.held, heldPacket{at: now, data: append([]byte(nil), b...), segment: *s})
}

// releaseHeld decides the queued packets again after a change of what the daemon knows of
// the deployment. Those that still can't be decided stay queued; packets that waited
// longer than maxHoldTime are dropped. The caller holds d.mu.
func (d *Daemon) releaseHeld(now clock.Milli) {
	packets := d.held
	d.held = nil
	for i := range packets {
		h := &packets[i]
		if now-h.at > maxHoldTime {
			continue
		}
		if v := d.core.Decide(now, &h.segment, d.isFresh(now)); v.Action == steer.Hold {
			d.held = append(d.held, *h)
		} else {
			d.execute(now, h.data, &h.segment, v)
		}
	}
}

package entry

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxHeld bounds the packets that wait until the daemon knows the
	// deployment, heldFor how long they may wait.
	maxHeld = 256
	heldFor = 700 * clock.Milli(1)
)

// heldPacket is a packet that came before the deployment was known.
type heldPacket struct {
	at      clock.Milli
	data    []byte
	segment flow.Segment
}

// hold keeps a copy of a packet. The lock is held.
func (d *Daemon) hold(now clock.Milli, b []byte, s *flow.Segment) {
	if len(d.held) >= maxHeld {
		return
	}
	d.held = append(d.held, heldPacket{at: now, data: append([]byte(nil), b...), segment: *s})
}

// release decides the packets that waited. The lock is held.
func (d *Daemon) release(now clock.Milli) {
	if len(d.held) == 0 || !d.core.Known() {
		return
	}
	list := d.held
	d.held = nil
	for i := range list {
		h := &list[i]
		if now-h.at <= heldFor {
			d.act(now, h.data, &h.segment, d.core.Decide(now, &h.segment, d.fresh(now)))
		}
	}
}

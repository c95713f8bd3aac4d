package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// budget limits the flows that this daemon opens on a cold target.
type budget struct {
	tokens float64
	last   clock.Milli
}

// admitterShare is the part of a cold target's rate that its admitter spends;
// the other daemons share as much again.
const admitterShare = 0.5

// has reports whether the budget holds an open, at this daemon's share of the
// target's rate. It starts empty, so that a new daemon adds no burst.
func (b *budget) has(now clock.Milli, rate schema.PerSecond, share float64) bool {
	if b.last == 0 {
		b.last = now
	}
	b.tokens = min(1, b.tokens+float64(rate)*share*float64(now-b.last)/float64(clock.Second))
	b.last = now
	return b.tokens >= 1
}

func (b *budget) take() { b.tokens-- }

// SetAdmitter sets how the daemon tells whether it is the admitter of a
// target, and the number of daemons.
func (c *Core) SetAdmitter(f func(fleet.Code) bool, members int) {
	c.admitter, c.members = f, members
}

// share returns this daemon's share of a cold target's rate.
func (c *Core) share(t *Target) float64 {
	if c.admitter(t.Code) {
		return admitterShare
	}
	return (1 - admitterShare) / float64(max(1, c.members))
}

// coldLeft returns how long a target stays cold: after its start, and after
// its data centre came back.
func (c *Core) coldLeft(now clock.Milli, t *Target) clock.Milli {
	left := t.ColdLeft - (now - t.since)
	if out, at := c.book.Out(t.DataCentre); !out && at != clock.Never {
		if p := c.pools[t.Pool]; p != nil {
			left = max(left, p.Warmup-(now-at))
		}
	}
	return left
}

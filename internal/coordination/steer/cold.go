package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// openBudget is a token bucket that limits the flows that this daemon opens on a
// cold target.
type openBudget struct {
	tokens float64
	last   clock.Milli
	// coldUntil is until when the target was to be cold at the last call of available.
	coldUntil clock.Milli
}

// admitterShare is the part of a cold target's rate that its admitter may use.
// The rest is split evenly by the number of daemons.
const admitterShare = 0.5

// doubtfulCold is how much longer, at least, any target may be cold while the view is
// doubtful.
const doubtfulCold = clock.Second

// available reports whether a flow may be opened, at this daemon's share of the
// rate of a target that is cold for the time left. The bucket starts empty whenever the
// target becomes cold, so that neither restarted daemons nor many with a token left from
// the last time add a burst.
func (b *openBudget) available(now, left clock.Milli, rate schema.PerSecond, share float64) bool {
	if b.last == 0 || now >= b.coldUntil {
		b.tokens, b.last = 0, now
	}
	b.coldUntil = now + left
	b.tokens = min(1, b.tokens+float64(rate)*share*float64(now-b.last)/float64(clock.Second))
	b.last = now
	return b.tokens >= 1
}

func (b *openBudget) spend() { b.tokens-- }

// SetAdmitter sets the function that reports whether this daemon is the admitter
// of a target, the number of daemons, and the number among which the rate of a cold
// target is split.
func (c *Core) SetAdmitter(f func(fleet.Code) bool, members, sharers int) {
	c.admitter, c.members, c.sharers = f, members, sharers
}

// SetDoubtful sets whether this daemon may hold an old view because it did not run
// for a while. Then any target may have been restarted and be cold.
func (c *Core) SetDoubtful(doubtful bool) { c.doubtful = doubtful }

// Doubtful reports whether that is set.
func (c *Core) Doubtful() bool { return c.doubtful }

// SetUnconfirmed sets whether the store has not confirmed the targets in time since this
// process started. Then any target may have been restarted before this daemon learned of it.
func (c *Core) SetUnconfirmed(unconfirmed bool) { c.unconfirmed = unconfirmed }

// Unconfirmed reports whether that is set.
func (c *Core) Unconfirmed() bool { return c.unconfirmed }

// rateShare returns this daemon's share of a cold target's rate.
func (c *Core) rateShare(t *Target) float64 {
	if c.admitter(t.Code) {
		return admitterShare
	}
	return (1 - admitterShare) / float64(max(1, c.sharers))
}

// coldLeft returns how much longer a target is cold, or may be: after its start, after
// its data centre was put back in, and after starts that this daemon can't know of.
func (c *Core) coldLeft(now clock.Milli, t *Target) clock.Milli {
	if c.doubtful {
		return doubtfulCold
	}
	left := t.ColdLeft - (now - t.reportedAt)
	if out, at := c.replica.Out(t.DataCentre); !out && at != clock.Never {
		left = max(left, c.warmupLeft(now, t, at))
	}
	if c.unconfirmed {
		left = max(left, c.warmupLeft(now, t, c.knownAt))
	}
	if t.loss.at != 0 {
		left = max(left, c.lossWarmupLeft(now, t))
	}
	return left
}

// warmupLeft returns what is left of the warm-up of a target that became cold at the given
// time at the latest.
func (c *Core) warmupLeft(now clock.Milli, t *Target, coldAt clock.Milli) clock.Milli {
	if p := c.pools[t.Pool]; p != nil {
		return p.Warmup - (now - coldAt)
	}
	return 0
}

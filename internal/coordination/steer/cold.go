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
}

// admitterShare is the part of a cold target's rate that its admitter may use.
// The rest is split evenly by the number of daemons.
const admitterShare = 0.5

// available reports whether a flow may be opened, at this daemon's share of the
// target's rate. The bucket starts empty, so that a restarted daemon adds no
// burst.
func (b *openBudget) available(now clock.Milli, rate schema.PerSecond, share float64) bool {
	if b.last == 0 {
		b.last = now
	}
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

// rateShare returns this daemon's share of a cold target's rate.
func (c *Core) rateShare(t *Target) float64 {
	if c.admitter(t.Code) {
		return admitterShare
	}
	return (1 - admitterShare) / float64(max(1, c.sharers))
}

// coldLeft returns how much longer a target is cold: after its start, and after
// its data centre was put back in.
func (c *Core) coldLeft(now clock.Milli, t *Target) clock.Milli {
	if c.doubtful {
		return 1
	}
	left := t.ColdLeft - (now - t.reportedAt)
	if out, at := c.replica.Out(t.DataCentre); !out && at != clock.Never {
		if p := c.pools[t.Pool]; p != nil {
			left = max(left, p.Warmup-(now-at))
		}
	}
	return left
}

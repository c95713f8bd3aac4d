package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// This file keeps track of targets that were lost and answer again. Each may be a new start
// that the store has not told of, as it is down or the entry is late, and counts as cold
// until more is known.

// confirmationGap is the time between two confirmations of the targets above which the
// store counts as lost in between. Calls that wait for a silent store fail late or never.
const confirmationGap = 1500 * clock.Milli(1)

// loss is what this daemon knows of the last time that a target answered nobody.
type loss struct {
	// at is the latest time at which it is known to have been lost, zero if it never was.
	at clock.Milli
	// refused is set if it refused a connection, which shows that its process had ended.
	// Otherwise it was silent, so that its host or the network may have been at fault.
	refused bool
	// backAt is when this daemon learned of its first answer after that, clock.Never
	// before.
	backAt clock.Milli
}

// Restart is a target that answers again after a loss and may have started anew.
type Restart struct {
	ID      schema.TargetID
	Refused bool
	// Away is the time since the loss was last seen, Cold how long the target counts as
	// cold.
	Away clock.Milli
	Cold clock.Milli
}

// recordLoss records that a target was lost at the given time.
func (c *Core) recordLoss(t *Target, at clock.Milli, refused bool) {
	if t.gone || t.replaced {
		return
	}
	t.loss.refused = t.loss.refused || refused
	if at <= t.loss.at {
		return // a report of the same loss
	}
	if t.loss.at == 0 {
		c.lost = append(c.lost, t)
	}
	t.loss.at, t.loss.backAt = at, clock.Never
}

// updateLost notes which of the lost targets answer again, and forgets those about which
// there is no doubt left.
func (c *Core) updateLost(now clock.Milli) {
	c.lost = slices.DeleteFunc(c.lost, func(t *Target) bool {
		l := &t.loss
		if l.backAt == clock.Never && max(t.answers.lastAnswerAnywhere(), t.probe.acceptedBegan) > l.at {
			l.backAt = now
			if left := c.warmupLeft(now, t, now); left > 0 {
				c.restarts = append(c.restarts, Restart{ID: t.ID, Refused: l.refused, Away: now - l.at, Cold: left})
			}
		}
		if c.mayBeNewStart(now, t) {
			return false
		}
		*l = loss{}
		return true
	})
}

// mayBeNewStart reports whether a target that was lost may be cold without an entry that
// says so.
func (c *Core) mayBeNewStart(now clock.Milli, t *Target) bool {
	l := &t.loss
	switch {
	case t.gone || t.replaced:
		return false
	case l.backAt != clock.Never && c.warmupLeft(now, t, l.backAt) <= 0:
		return false
	case l.refused:
		return true // only the entry of the new start tells more
	}
	// A store that answers has the entry of a running target within goneGrace.
	return c.targetsConfirmed <= max(l.at, l.backAt, c.storeFailedAt, c.storeRegainedAt)+goneGrace
}

// lossWarmupLeft returns how much longer a target may be cold because of a loss.
func (c *Core) lossWarmupLeft(now clock.Milli, t *Target) clock.Milli {
	if t.loss.backAt == clock.Never {
		return c.warmupLeft(now, t, now)
	}
	return c.warmupLeft(now, t, t.loss.backAt)
}

// Restarts returns the targets that were found to answer again since the last call.
func (c *Core) Restarts() []Restart {
	list := c.restarts
	c.restarts = nil
	return list
}

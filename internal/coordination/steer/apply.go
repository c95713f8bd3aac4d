package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// This file brings updates of the deployment into force: which starts of targets are
// present, gone, replaced or another writer's.

// Apply applies an update of the deployment and reports whether anything changed.
func (c *Core) Apply(now clock.Milli, u *fleet.Update) bool {
	ch := c.replica.Apply(now, u)
	for i := range ch.Replaced {
		if t := c.byCode[ch.Replaced[i].Code()]; t != nil && !c.isForeign(t) {
			c.markReplaced(now, t)
		}
	}
	if ch.Changed {
		c.compile(now, ch.Targets)
	}
	if c.knownAt == clock.Never && c.KnowsDeployment() {
		c.knownAt = now
	}
	return ch.Changed
}

// EndKept drops the kept objects that the store still lacks after their bounds. confirmed
// holds the times as of which the topics were confirmed. It reports whether anything changed.
func (c *Core) EndKept(now clock.Milli, confirmed [fleet.Topics]clock.Milli) bool {
	ch := c.replica.EndKept(now, confirmed)
	if ch.Changed {
		c.compile(now, ch.Targets)
	}
	return ch.Changed
}

// SetTargetsConfirmed sets when the targets were last confirmed by the store. It must
// be called before Apply and before Tick.
func (c *Core) SetTargetsConfirmed(at clock.Milli) {
	if at-c.targetsConfirmed > confirmationGap {
		c.storeRegainedAt = at
	}
	c.targetsConfirmed = at
}

// RecordStoreFailure records that a read of the store failed, here or at a peer.
// Entries that vanish around that time may come back.
func (c *Core) RecordStoreFailure(at clock.Milli) { c.storeFailedAt = max(c.storeFailedAt, at) }

// markGone marks a start of a target as gone since the given time.
func (c *Core) markGone(at clock.Milli, t *Target) {
	if t.gone {
		return
	}
	t.gone, t.goneAt, t.drained = true, at, t.Draining
	t.goneRev = c.removalRev(t.ID)
	t.probe.askAt, t.probe.askInterval = 0, 0
	c.absent = append(c.absent, t)
}

// markReplaced marks a start of a target as replaced by a newer one.
func (c *Core) markReplaced(now clock.Milli, t *Target) {
	c.markGone(now, t)
	t.replaced, t.runningAt = true, min(now, c.targetsConfirmed)
}

// markPresent ends the absence of a target whose entry is back.
func (c *Core) markPresent(t *Target) {
	if t.gone {
		t.probe.forget()
	}
	t.gone, t.replaced = false, false
}

// isForeign reports whether the entry under a target's ID is another writer's: it has a pool
// that the configuration doesn't name, other than the target's. Such an entry names no
// target to use and does not show that this one is gone, but it gets no new flows until its
// own entry is back.
func (c *Core) isForeign(t *Target) bool {
	e := c.replica.Entry(t.ID)
	return e != nil && !e.Gone && !t.gone && e.Target.Pool != t.Pool && c.pools[e.Target.Pool] == nil && c.pools[t.Pool] != nil
}

// compileForeign compiles the entries that were another writer's by the configuration
// before.
func (c *Core) compileForeign(now clock.Milli) {
	for id := range c.foreign {
		last := c.byID[id]
		if last == nil || c.isForeign(last) {
			continue
		}
		c.compileTarget(now, id)
		if e := c.replica.Entry(id); e != nil && c.byID[id] != last && e.Target.StartedAt > last.StartedAt {
			c.markReplaced(now, last)
		}
	}
}

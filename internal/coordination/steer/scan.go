package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// scanInterval is the interval between two scans of all flows.
	scanInterval = 250 * clock.Milli(1)
	// stallThreshold is the time between two ticks above which the process counts
	// as stalled, so that packets waited in its queue.
	stallThreshold = 100 * clock.Milli(1)
	// sumInterval is the interval between two sums of the peers' reports, unless
	// they include misses.
	sumInterval = 100 * clock.Milli(1)
)

// Tick updates all state that depends on the time. It must be called at least
// every stallThreshold.
func (c *Core) Tick(now clock.Milli) {
	if c.lastTick != clock.Never && now-c.lastTick > stallThreshold {
		c.lastStall = now
	}
	c.lastTick = now
	c.checkOverdue(now)
	if c.missesReported || c.loadsChanged && now-c.lastSum >= sumInterval {
		c.sumPeerLoads(now)
	}
	c.evaluateTargets(now)
	c.updateLost(now)
	c.resetUnresponsive(now)
	c.askAbsentTargets(now)
	if c.foundLost {
		c.resetLost(now)
	}
	for _, l := range c.limiters {
		c.expireLost(now, l)
		c.expireWaiting(now, l)
		l.updateRates(now)
		l.exemptMayWait = true
	}
	if now-c.limitsUpdated >= sumInterval {
		c.limitsUpdated = now
		c.updateLimits(now)
	}
	if c.findingReceived {
		c.updateWithheld(now)
	}
	if now-c.lastScan < scanInterval {
		return
	}
	c.lastScan = now
	c.endRateInterval(now)
	c.scan(now)
	c.sumPeerLoads(now)
	c.learnSpeeds(now)
	c.updateWithheld(now)
	c.compareLatencies(now)
	c.replica.Forget(now)
	c.forgetTargets(now)
}

// checkOverdue records the misses of first packets that had no second one in time,
// and requests probes for requests that had no answer in time.
func (c *Core) checkOverdue(now clock.Milli) {
	c.flows.due(&c.flows.opening, now, openAnswerTimeout, func(w pendingFlow, r *flowRecord) {
		if r.openedAt == w.since && !r.missCounted {
			c.recordUnconfirmedMiss(now, r, r.openedAt)
		}
	})
	c.flows.due(&c.flows.awaitingAnswer, now, probeAfter, func(w pendingFlow, r *flowRecord) {
		if r.requestedAt == w.since {
			c.requestProbe(r.target, r.requestedAt, false)
			c.watchRequest(w, r)
		}
	})
}

// scan forgets closed and idle flows, recounts each target's load, and resets the
// flows of targets that are gone.
func (c *Core) scan(now clock.Milli) {
	for _, t := range c.targets {
		t.load.busy, t.load.remembered = 0, 0
		t.latency.pending = latencySum{}
	}
	c.rotateLatencyWindows(now)
	for tuple, r := range c.flows.records {
		silent := now - r.lastPacket
		switch {
		case silent > idleTimeout, r.closed && silent > closedTTL, r.openedAt != 0 && silent > openLifetime:
			c.flows.remove(tuple)
			continue
		case c.resetIfLost(now, tuple, r):
			continue
		}
		if r.closed {
			continue
		}
		r.target.load.remembered++
		if silent > activeWindow {
			r.deactivate()
			continue
		}
		if !r.active {
			r.activate()
		}
		if r.requestedAt != 0 && c.isLongWait(now, r) {
			r.target.latency.pending.add(r.target.withoutQueue(now-r.requestedAt, r.queuedAhead))
		}
		if r.requestedAt != 0 && now-r.requestedAt < busyWindow {
			r.target.load.busy++
		}
	}
}

// resetIfLost resets an open flow whose target is gone and reports whether it did.
func (c *Core) resetIfLost(now clock.Milli, tuple flow.Tuple, r *flowRecord) bool {
	if r.openedAt != 0 || r.closed || !c.targetLost(now, r.target, r) {
		return false
	}
	c.resetFlow(tuple, r, TargetGone)
	return true
}

// resetLost resets the open flows of targets that have just turned out to be gone.
func (c *Core) resetLost(now clock.Milli) {
	c.foundLost = false
	for tuple, r := range c.flows.records {
		c.resetIfLost(now, tuple, r)
	}
}

// Resets returns the flows to reset since the last call.
func (c *Core) Resets() []FlowReset {
	list := c.resets
	c.resets = nil
	return list
}

// resetUnresponsive resets the flows of unresponsive targets, except those that
// wait for the answer to a request that must not be repeated.
func (c *Core) resetUnresponsive(now clock.Milli) {
	unresponsive := make(map[*Target]bool)
	for _, t := range c.suspects {
		if c.unresponsive(now, t) {
			unresponsive[t] = true
		}
	}
	if len(unresponsive) == 0 {
		return
	}
	for tuple, r := range c.flows.records {
		if unresponsive[r.target] && c.mayReset(r) {
			c.resetFlow(tuple, r, TargetUnresponsive)
		}
	}
}

package soak

import (
	"slices"
	"time"

	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// This file holds the faults that strike while the store is down, and the check of what
// cold targets get.

const (
	// warmup is how long a target of the limited pool is cold after its start, coldRate
	// how many requests a second it bears meanwhile.
	warmup   = 4 * time.Second
	coldRate = 2
	// coldBound is the number of new flows that a cold target may get in a second: the
	// rate with the users' overage and tolerance.
	coldBound = coldRate*1.5 + 5
	// limitedPool is the pool whose cold targets are limited.
	limitedPool = "desk"
	// minAway and maxAway bound how long, in milliseconds, a crashed target is away before
	// it starts again: long enough for its refused connections to be noticed.
	minAway = 1000
	maxAway = 2500
)

// outageKinds are the faults of this file.
var outageKinds = []faultKind{
	{"store down, all daemons but one lost", (*System).loseAllButOneInOutage, lostTime},
	{"store down, targets start again", (*System).restartTargetsInOutage, 0},
	{"another writer's entry over a target's", func(s *System) func() {
		t := s.randomTarget()
		spec := platform.NewTargetSpec("unnamed", "127.0.0.1:1", t.dataCentre.name, 2, false, time.Now().UnixMilli())
		s.store.Put(targetsKind, t.id, spec)
		return t.writeHeartbeat
	}, 0},
}

// takeStoreDown has the store refuse all calls. The function that it returns ends that.
func (s *System) takeStoreDown() func() { return storeFault(plat.Fault{Down: true}, true)(s) }

// loseAllButOneInOutage moves a route just after an outage of the store in which all
// daemons but the last one by rank are lost, so that nobody tells that one of the store's
// return.
func (s *System) loseAllButOneInOutage() func() {
	r := s.addRoute(limitedPool)
	storeReturns := s.takeStoreDown()
	s.drawPause(1500, 4000)
	heal := s.loseFirst(len(s.daemons) - 1)
	s.drawPause(50, 500)
	storeReturns()
	s.moveRoute(r, "proof")
	return func() {
		heal()
		s.removeRoute(r)
	}
}

// restartTargetsInOutage has targets crash and start again under their IDs while the store
// is down, so that only their refused connections show it.
func (s *System) restartTargetsInOutage() func() {
	storeReturns := s.takeStoreDown()
	s.drawPause(100, 1000)
	list := s.randomTargets(1 + int(s.draw()%2))
	var ends []func()
	for _, t := range list {
		ends = append(ends, t.faults.begin())
		t.exit()
	}
	s.drawPause(minAway, maxAway)
	for i, t := range list {
		if err := t.startCold(); err != nil {
			s.recordSoakError(t.id, "target %s cannot start again: %s", t.id, err)
		}
		ends[i]()
	}
	return storeReturns
}

// exit ends the target's process without a word. Connections to it are refused.
func (t *target) exit() {
	t.mu.Lock()
	t.unresponsive = true
	t.mu.Unlock()
	t.closeHealth()
}

// startCold starts the target's process again under its ID.
func (t *target) startCold() error {
	t.mu.Lock()
	t.flows = make(map[flow.Tuple]*targetFlow)
	t.startedAt = time.Now().UnixMilli()
	t.coldUntil, t.coldOpens = time.Now().Add(warmup), nil
	t.mu.Unlock()
	return t.setResponsive()
}

// warmupLeft returns how much longer the target is cold. The caller holds t.mu.
func (t *target) warmupLeft(now time.Time) time.Duration { return max(0, t.coldUntil.Sub(now)) }

// recordColdOpen records a new flow and returns how many a cold target got in the last
// second. The caller holds t.mu.
func (t *target) recordColdOpen(now time.Time) int {
	if t.pool != limitedPool || t.warmupLeft(now) == 0 {
		return 0
	}
	t.coldOpens = slices.DeleteFunc(t.coldOpens, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	t.coldOpens = append(t.coldOpens, now)
	return len(t.coldOpens)
}

// checkCold checks the number of new flows that a cold target got in a second. Late copies
// are not told from first packets.
func (c *checker) checkCold(t *target, d *daemon, opens int, disorder bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if float64(opens) > coldBound && d != nil && !disorder {
		c.recordViolation("cold target", t.id, "target %s got %d new flows in a second while it was cold, the last through %s", t.id, opens, d.id)
	}
}

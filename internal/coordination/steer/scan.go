package steer

import "coltsfootdock/internal/clock"

const (
	// scanEvery is the time between two scans of all flows.
	scanEvery = 250 * clock.Milli(1)
	// lateTick is the time between two ticks that means that packets waited in
	// this daemon's queue.
	lateTick = 100 * clock.Milli(1)
	// sumEvery is the time between two sums of what peers told, if no misses
	// are among it.
	sumEvery = 100 * clock.Milli(1)
)

// Tick advances time. It must be called many times a second.
func (c *Core) Tick(now clock.Milli) {
	if c.lastTick != clock.Never && now-c.lastTick > lateTick {
		c.stalled = now
	}
	c.lastTick = now
	c.overdue(now)
	if c.missesTold || c.dirty && now-c.lastSum >= sumEvery {
		c.sumLoads(now)
	}
	c.judge(now)
	c.endDark(now)
	if now-c.lastScan < scanEvery {
		return
	}
	c.lastScan = now
	c.scan(now)
	c.sumLoads(now)
	c.comparePaces(now)
	c.book.Forget(now)
	c.forgetTargets(now)
}

// overdue notes the first packets whose flows did not go on in time, and the
// requests that had no answer in time.
func (c *Core) overdue(now clock.Milli) {
	c.flows.due(&c.flows.opening, now, answerIn, func(w waiting, r *record) {
		if r.opened == w.since && !r.doubted {
			c.doubt(now, r, r.opened)
		}
	})
	c.flows.due(&c.flows.asking, now, slowAnswer, func(w waiting, r *record) {
		if r.asked == w.since {
			c.question(r.target, r.asked, false)
		}
	})
}

// scan forgets flows that ended or fell silent, counts each target's load
// anew, and ends the idle flows of targets that are gone.
func (c *Core) scan(now clock.Milli) {
	for _, t := range c.list {
		t.load.flows, t.load.busy, t.load.held = 0, 0, 0
		t.pace.waiting = tally{}
	}
	c.turnPaces(now)
	for tuple, r := range c.flows.records {
		silent := now - r.seen
		switch {
		case silent > idleFor, r.closed && silent > clock.Second, r.opened != 0 && silent > openFor:
			c.flows.remove(tuple)
			continue
		case r.opened == 0 && !r.closed && c.dead(now, r.target, r):
			c.resets = append(c.resets, Ended{Tuple: tuple, Ack: r.ack, Target: r.target, Reason: TargetGone})
			c.flows.remove(tuple)
			continue
		}
		if r.closed {
			continue
		}
		r.target.load.held++
		if silent > activeFor {
			continue
		}
		r.target.load.flows++
		if r.asked != 0 && c.waits(now, r) {
			r.target.pace.waiting.add(r.target.alone(now-r.asked, r.ahead))
		}
		if r.asked != 0 && now-r.asked < busyFor {
			r.target.load.busy++
		}
	}
}

// Ended returns the flows to reset since the last call.
func (c *Core) Ended() []Ended {
	list := c.resets
	c.resets = nil
	return list
}

// endDark ends the flows of targets that answer nobody, but for those that
// wait for an answer to what may run only once.
func (c *Core) endDark(now clock.Milli) {
	dark := make(map[*Target]bool)
	for _, t := range c.suspects {
		if c.dark(now, t) {
			dark[t] = true
		}
	}
	if len(dark) == 0 {
		return
	}
	for tuple, r := range c.flows.records {
		if dark[r.target] && c.givesUp(r) {
			c.resets = append(c.resets, Ended{Tuple: tuple, Ack: r.ack, Target: r.target, Reason: TargetDark})
			c.flows.remove(tuple)
		}
	}
}

package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
)

const (
	// limbo is how long a target whose entry vanished without a word may
	// still come back.
	limbo = 2500 * clock.Milli(1)
	// lastAnswers is how long after a target left its answers may still be
	// on the way.
	lastAnswers = 300 * clock.Milli(1)
)

// Decide returns what to do with a packet. Fresh tells whether the view of
// the configuration is confirmed recently enough to refuse by it.
func (c *Core) Decide(now clock.Milli, s *flow.Segment, fresh bool) Verdict {
	if !c.Known() {
		return Verdict{Action: Hold, Reason: NotReady}
	}
	if s.Open {
		return c.open(now, s, fresh)
	}
	return c.established(now, s, fresh)
}

// open handles the first packet of a flow.
func (c *Core) open(now clock.Milli, s *flow.Segment, fresh bool) Verdict {
	k := serviceOf(&s.Tuple)
	route := c.routes[k]
	if route == nil {
		if !fresh {
			return Verdict{Reason: OldView}
		}
		return Verdict{Action: Reset, Reason: NoRoute, Changed: s.Copy == 0}
	}
	r := c.flows.records[s.Tuple]
	if r != nil && r.first == s.Seq {
		if r.closed {
			return Verdict{Reason: CopyOfOpen, Route: route} // late: its flow has ended
		}
		return c.openAgain(now, s, route, r)
	}
	t, why := c.choose(now, route, s, nil)
	if t == nil {
		return c.refuse(route, why, fresh)
	}
	return c.openOn(now, s, route, t, Opened)
}

// openAgain handles a copy of a flow's first packet. It follows the first
// one, unless that target is believed not to answer.
func (c *Core) openAgain(now clock.Milli, s *flow.Segment, route *Route, r *record) Verdict {
	r.seen = now
	t := r.target
	if r.opened != 0 && !r.missed && now-r.opened >= answerIn {
		c.miss(now, r, r.opened)
	}
	if r.opened == 0 || c.takes(now, t) && !c.avoids(now, t) {
		return Verdict{Action: Deliver, Reason: CopyOfOpen, Target: t, Route: route}
	}
	other, _ := c.choose(now, route, s, t)
	if other == nil {
		return Verdict{Action: Deliver, Reason: CopyOfOpen, Target: t, Route: route}
	}
	return c.openOn(now, s, route, other, CopyOfOpen)
}

func (c *Core) openOn(now clock.Milli, s *flow.Segment, route *Route, t *Target, why Reason) Verdict {
	t.answers.try(now)
	if r := c.flows.add(s.Tuple); r != nil {
		r.target, r.route = t, route
		r.seen, r.opened, r.first = now, now, s.Seq
		c.flows.opening = append(c.flows.opening, waiting{tuple: s.Tuple, since: now})
		t.load.flows++
		t.load.held++
	}
	return Verdict{Action: Deliver, Reason: why, Target: t, Route: route, Changed: true}
}

// refuse ends a flow that no target can take, if the view can be trusted.
func (c *Core) refuse(route *Route, why Reason, fresh bool) Verdict {
	if !fresh || why == ColdBudget {
		return Verdict{Reason: why, Route: route}
	}
	return Verdict{Action: Reset, Reason: why, Route: route, Changed: true}
}

// established handles a packet of a flow that opened.
func (c *Core) established(now clock.Milli, s *flow.Segment, fresh bool) Verdict {
	t := c.byCookie(s)
	if t == nil {
		return Verdict{Reason: UnknownCookie, Changed: true}
	}
	k := serviceOf(&s.Tuple)
	route := c.routes[k]
	if _, dropped := c.removed[k]; dropped && route == nil && fresh && !s.Reset {
		return Verdict{Action: Reset, Reason: RouteGone, Target: t, Changed: true}
	}
	r := c.follow(now, s, t, route)
	if s.Reset {
		return Verdict{Action: Deliver, Reason: ByCookie, Target: t, Route: route}
	}
	if c.dead(now, t, r) {
		c.flows.remove(s.Tuple)
		return Verdict{Action: Reset, Reason: TargetGone, Target: t, Route: route, Changed: true}
	}
	if r != nil && c.givesUp(r) && c.dark(now, t) {
		c.flows.remove(s.Tuple)
		return Verdict{Action: Reset, Reason: TargetDark, Target: t, Route: route, Changed: true}
	}
	return Verdict{Action: Deliver, Reason: ByCookie, Target: t, Route: route}
}

// byCookie returns the target that a packet names. Where a code names two,
// the pool of the packet's route tells them apart.
func (c *Core) byCookie(s *flow.Segment) *Target {
	code := fleet.Code(s.Cookie)
	two := c.doubled[code]
	if len(two) == 0 {
		return c.codes[code]
	}
	route := c.routes[serviceOf(&s.Tuple)]
	if route == nil {
		return nil
	}
	var found *Target
	for _, t := range two {
		for _, p := range route.pools {
			if t.Pool == p.Name && !t.gone {
				if found != nil {
					return nil
				}
				found = t
			}
		}
	}
	return found
}

// follow updates what is remembered of the packet's flow.
func (c *Core) follow(now clock.Milli, s *flow.Segment, t *Target, route *Route) *record {
	r := c.flows.records[s.Tuple]
	if r == nil || r.target != t {
		if s.Close || s.Reset {
			return nil
		}
		if r = c.flows.add(s.Tuple); r == nil {
			return nil
		}
		// The flow was opened by another daemon.
		c.spread = now
		r.target, r.route, r.ack, r.next, r.seen = t, route, s.Ack, s.Seq, now
		t.load.flows++
		t.load.held++
	}
	asked, wasOpening := r.asked, r.opened != 0
	wasBusy := asked != 0
	sent := max(r.sent, r.opened)
	answered, repeated := r.follow(now, s)
	switch busy := r.asked != 0; {
	case busy && !wasBusy:
		r.ahead = t.load.busy + t.load.peerBusy
		t.load.busy++
		c.flows.asking = append(c.flows.asking, waiting{tuple: s.Tuple, since: r.asked})
	case !busy && wasBusy:
		t.load.busy = max(0, t.load.busy-1)
	}
	if answered {
		c.answer(now, t)
		c.reached = max(c.reached, sent)
	}
	if answered && wasOpening {
		c.accepted(now)
	}
	// A request may have waited at its client until the answer before it came.
	if answered && wasBusy && s.Len == 0 {
		t.pace.window.add(t.alone(now-asked, r.ahead))
	}
	if repeated && !r.missed {
		c.miss(now, r, sent)
	}
	return r
}

// givesUp reports whether a flow may be ended because its target is dark: one
// whose requests may be repeated, or one that waits for no answer.
func (c *Core) givesUp(r *record) bool {
	if r.opened != 0 || r.closed {
		return false
	}
	return r.asked == 0 || r.route != nil && r.route.Class != fleet.Once
}

// dead reports whether a flow's target is known to be gone, so that the flow
// can't go on.
func (c *Core) dead(now clock.Milli, t *Target, r *record) bool {
	if !t.gone {
		return false
	}
	if t.replaced {
		return true
	}
	if r != nil && r.progress >= t.goneAt || t.answers.last > t.goneAt+lastAnswers {
		return false // it answers: only its entry is gone
	}
	gone := now - t.goneAt
	if t.drained && c.troubled < t.goneAt-limbo {
		return gone > lastAnswers
	}
	return gone > limbo && now-c.troubled > limbo
}

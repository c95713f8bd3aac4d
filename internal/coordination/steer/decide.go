package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
)

// Decide returns what to do with a packet. fresh tells whether the configuration
// was confirmed recently enough to reject a flow because of it.
func (c *Core) Decide(now clock.Milli, s *flow.Segment, fresh bool) Verdict {
	if !c.KnowsDeployment() {
		return c.decideEarly(s)
	}
	if s.Open {
		return c.open(now, s, fresh)
	}
	return c.established(now, s, fresh)
}

// decideEarly decides a packet while the daemon doesn't know the whole deployment. Once it
// knows the targets, packets of open flows go to the target that their cookie names, as
// neither the routes nor data centres that are out matter to them. The flow is not
// recorded, as its route isn't known. All others are held, those for a target without an
// entry too: its flows may have to be reset.
func (c *Core) decideEarly(s *flow.Segment) Verdict {
	code := fleet.Code(s.Cookie)
	if t := c.byCode[code]; !s.Open && t != nil && !t.gone && len(c.colliding[code]) == 0 {
		return Verdict{Action: Deliver, Reason: ByCookie, Target: t}
	}
	return Verdict{Action: Hold, Reason: NotReady}
}

// open handles a flow's first packet.
func (c *Core) open(now clock.Milli, s *flow.Segment, fresh bool) Verdict {
	k := serviceKeyOf(&s.Tuple)
	route := c.routes[k]
	if route == nil {
		if !fresh {
			return Verdict{Reason: OldView}
		}
		return Verdict{Action: Reset, Reason: NoRoute, Changed: s.Retransmissions == 0}
	}
	r := c.flows.records[s.Tuple]
	if r != nil && r.firstSeq == s.Seq {
		if r.closed {
			return Verdict{Reason: CopyOfOpen, Route: route} // delayed copy: its flow has ended
		}
		return c.openRepeated(now, s, route, r)
	}
	t, reason := c.choose(now, route, s, nil)
	if t == nil {
		return c.refuse(route, reason, fresh)
	}
	// After the fabric redistributed its flows, a duplicate may come of a packet that
	// another daemon forwarded.
	if s.Retransmissions == 0 && fresh && now-c.lastMovedFlow > openLifetime {
		if rule, rejected := c.rejects(route, t); rejected {
			t.limiter.rates.Count() // it is demand, although not served
			c.routeShareOf(t.limiter, route).countRejection(rule)
			return Verdict{Action: Reset, Reason: rule, Route: route, Changed: true}
		}
	}
	return c.openTo(now, s, route, t, Opened)
}

// openRepeated handles a retransmission of a flow's first packet. It goes to the
// same target as the first copy, unless that target is avoided by now, is no longer one of
// the route's or was lost since, so that a new start would take the copy for a new flow.
func (c *Core) openRepeated(now clock.Milli, s *flow.Segment, route *Route, r *flowRecord) Verdict {
	r.lastPacket = now
	t := r.target
	if r.openedAt != 0 && !r.missConfirmed && now-r.openedAt >= openAnswerTimeout {
		c.recordMiss(now, r, r.openedAt)
	}
	takes := route.uses(t) && c.acceptsNew(now, t) && t.loss.at <= r.openedAt
	if r.openedAt == 0 || takes && !c.avoids(now, t) {
		return Verdict{Action: Deliver, Reason: CopyOfOpen, Target: t, Route: route}
	}
	other, _ := c.choose(now, route, s, t)
	switch {
	case other != nil:
		return c.openTo(now, s, route, other, CopyOfOpen)
	case !takes:
		return Verdict{Reason: CopyOfOpen, Route: route} // not reset: t may have accepted the first copy
	}
	return Verdict{Action: Deliver, Reason: CopyOfOpen, Target: t, Route: route}
}

func (c *Core) openTo(now clock.Milli, s *flow.Segment, route *Route, t *Target, reason Reason) Verdict {
	t.answers.beginTrial(now)
	c.beginWithheldTrial(now, t)
	if r := c.flows.add(s.Tuple); r != nil {
		r.target, r.route = t, route
		r.lastPacket, r.openedAt, r.arrivedAt, r.firstSeq = now, now, now-s.Age(), s.Seq
		c.flows.opening = append(c.flows.opening, pendingFlow{tuple: s.Tuple, since: now})
		r.activate()
		t.load.remembered++
	}
	return Verdict{Action: Deliver, Reason: reason, Target: t, Route: route, Changed: true}
}

// refuse rejects a flow that no target can take. It drops the packet instead if
// the view is not fresh or only the cold budget is used up, as both may pass, and holds it
// if the store is still to tell which targets are cold.
func (c *Core) refuse(route *Route, reason Reason, fresh bool) Verdict {
	if reason == ColdBudget && c.unconfirmed {
		return Verdict{Action: Hold, Reason: reason, Route: route}
	}
	if !fresh || reason == ColdBudget {
		return Verdict{Reason: reason, Route: route}
	}
	return Verdict{Action: Reset, Reason: reason, Route: route, Changed: true}
}

// established handles a packet that is not the first of its flow.
func (c *Core) established(now clock.Milli, s *flow.Segment, fresh bool) Verdict {
	t := c.targetByCookie(s)
	if t == nil {
		return Verdict{Reason: UnknownCookie, Changed: true}
	}
	k := serviceKeyOf(&s.Tuple)
	route := c.routes[k]
	if _, dropped := c.removedRoutes[k]; dropped && route == nil && fresh && !s.Reset {
		return Verdict{Action: Reset, Reason: RouteGone, Target: t, Changed: true, Acked: c.flows.records[s.Tuple].ackedAt()}
	}
	r := c.track(now, s, t, route)
	if s.Reset {
		return Verdict{Action: Deliver, Reason: ByCookie, Target: t, Route: route}
	}
	if c.targetLost(now, t, r) {
		return c.resetOpen(s, t, route, r, TargetGone)
	}
	c.askAbsent(now, t)
	if r != nil && c.mayReset(r) && c.unresponsive(now, t) {
		return c.resetOpen(s, t, route, r, TargetUnresponsive)
	}
	if r != nil && r.wait != nil && s.Len > 0 {
		return Verdict{Action: Queue, Reason: Waiting, Target: t, Route: route}
	}
	return Verdict{Action: Deliver, Reason: ByCookie, Target: t, Route: route}
}

// targetByCookie returns the target that a packet's cookie names. If two targets
// have the same code, the pools of the packet's route decide.
func (c *Core) targetByCookie(s *flow.Segment) *Target {
	code := fleet.Code(s.Cookie)
	colliding := c.colliding[code]
	if len(colliding) == 0 {
		return c.byCode[code]
	}
	route := c.routes[serviceKeyOf(&s.Tuple)]
	if route == nil {
		return nil
	}
	var found *Target
	for _, t := range colliding {
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

// track updates the record of the packet's flow, and the target's load, answers
// and latency. It returns nil if the flow is not recorded.
func (c *Core) track(now clock.Milli, s *flow.Segment, t *Target, route *Route) *flowRecord {
	r := c.flows.records[s.Tuple]
	if r == nil || r.target != t {
		if s.Close || s.Reset {
			return nil
		}
		if r = c.flows.add(s.Tuple); r == nil {
			return nil
		}
		// Another daemon opened the flow.
		c.lastMovedFlow = now
		r.target, r.route, r.ack, r.nextSeq, r.lastPacket = t, route, s.Ack, s.Seq, now
		r.moved = true
		r.activate()
		t.load.remembered++
	}
	if r.wait != nil {
		c.trackWaiting(now, s, r)
		return r
	}
	requestedAt, wasOpening := r.requestedAt, r.openedAt != 0
	wasBusy := requestedAt != 0
	lastSend := max(r.lastData, r.openedAt)
	answered, retransmitted := r.update(now, s)
	switch busy := r.requestedAt != 0; {
	case busy && !wasBusy:
		c.beginRequest(now, s, r)
	case !busy && wasBusy:
		t.load.busy = max(0, t.load.busy-1)
		r.end()
	}
	if r.closed {
		r.deactivate()
	}
	r.moved = false
	if answered {
		c.recordAnswer(now, t)
		c.latestAnsweredSend = max(c.latestAnsweredSend, lastSend)
	}
	if answered && wasOpening {
		c.recordAccepted(now)
	}
	// The latency is measured only from a packet that acknowledges without new
	// data: a request with data may have waited at its client until the answer
	// to the one before it came.
	if answered && wasBusy && s.Len == 0 {
		took := t.withoutQueue(now-requestedAt, r.queuedAhead)
		t.latency.current.add(took)
		c.measureSpread(t, took)
		t.limiter.observeAnswer(now, now-requestedAt, r)
	}
	if retransmitted && !r.missConfirmed {
		c.recordMiss(now, r, lastSend)
	}
	return r
}

// beginRequest handles the first packet of a request: it is sent, or waits.
func (c *Core) beginRequest(now clock.Milli, s *flow.Segment, r *flowRecord) {
	arrived := r.arrival(now)
	r.target.limiter.rates.Count()
	if c.mustWait(r) {
		c.wait(now, s.Tuple, r, arrived)
		return
	}
	t := r.target
	r.queuedAhead = t.load.busy + t.load.peerBusy
	t.load.busy++
	t.limiter.begin(now, s.Tuple, r)
	c.flows.awaitingAnswer = append(c.flows.awaitingAnswer, pendingFlow{tuple: s.Tuple, since: r.requestedAt})
}

// mayReset reports whether a flow may be reset when its target is unresponsive: no
// request is waiting for an answer, or the route's requests may be repeated.
func (c *Core) mayReset(r *flowRecord) bool {
	if r.openedAt != 0 || r.closed {
		return false
	}
	return r.requestedAt == 0 || r.route != nil && r.route.Class != fleet.NonIdempotent
}

// targetLost reports whether a flow cannot continue because its target is gone.
func (c *Core) targetLost(now clock.Milli, t *Target, r *flowRecord) bool {
	switch {
	case t.replaced:
		return c.replacedFlowLost(t, r)
	case t.gone:
		return c.isLost(now, t)
	}
	return false
}

// replacedFlowLost reports whether a flow ended with a start of its target that a newer
// one replaced. While the view was old, flows of the newer start were opened under the
// code of the old one; the target itself resets those that it does not hold.
func (c *Core) replacedFlowLost(t *Target, r *flowRecord) bool {
	if last := c.byID[t.ID]; last == nil || last.Address != t.Address || last.Number != t.Number {
		return true
	}
	if r == nil {
		return false
	}
	last := max(r.lastAck, r.openedAt) // zero if another daemon opened the flow
	return last != 0 && last <= t.runningAt
}

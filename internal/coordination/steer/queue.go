package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// maxWaiting is the number of requests that may wait at this daemon. Beyond
	// it, requests are sent on at once.
	maxWaiting = 4096
	// urgentPart is the divisor of the timeout that gives the time before its end
	// from which a request is urgent.
	urgentPart = 8
	// movedAge is the part of a route's timeout that the first request on a flow
	// which another daemon opened is assumed to have waited: it may be a
	// retransmission of one whose daemon failed.
	movedAge = 0.75
)

// waitingRequest is a request of an open flow that waits for room at its pool.
type waitingRequest struct {
	tuple  flow.Tuple
	record *flowRecord
	// arrived is when the flow was opened for this request, or when the request
	// came. goal and deadline are when its answer is late and when its client
	// gives up, expires is when it has given up for certain; zero if unknown.
	arrived  clock.Milli
	goal     clock.Milli
	deadline clock.Milli
	expires  clock.Milli
	priority int
	// share is that of the request's route, index the position in the limiter's list.
	share *routeShare
	index int
}

// ended reports whether the flow ended, or another one uses its record.
func (w *waitingRequest) ended() bool { return w.record.wait != w }

// Release is a flow whose waiting packets are to be forwarded to Target, or
// discarded if Target is nil.
type Release struct {
	Tuple  flow.Tuple
	Target *Target
	Route  *Route
	// Waited is the time from the request's arrival.
	Waited clock.Milli
	Reason Reason
}

// mustWait reports whether a request on a recorded flow has to wait.
func (c *Core) mustWait(r *flowRecord) bool {
	t := r.target
	if r.route == nil || t.unlimited() || c.waitingCount >= maxWaiting {
		return false
	}
	return !t.limiter.hasRoom() && !t.idle()
}

// arrival returns when the client sent a request that begins now, as far as known: a
// flow's first request was waiting when the flow was opened, if it follows at once.
// The first packet of a flow that another daemon opened may be a retransmission.
func (r *flowRecord) arrival(now clock.Milli) clock.Milli {
	opened := r.arrivedAt
	r.arrivedAt = 0
	switch {
	case r.moved && r.route != nil:
		return now - clock.Milli(movedAge*float64(r.route.Timeout))
	case opened != 0 && now-opened <= openLifetime:
		return opened
	}
	return now
}

// newWaiting returns a record for a waiting request, a reused one if there is any.
func (c *Core) newWaiting() *waitingRequest {
	n := len(c.freeWaiting)
	if n == 0 {
		return new(waitingRequest)
	}
	w := c.freeWaiting[n-1]
	c.freeWaiting = c.freeWaiting[:n-1]
	return w
}

// wait queues the request of a flow.
func (c *Core) wait(now clock.Milli, tuple flow.Tuple, r *flowRecord, arrived clock.Milli) {
	w := c.newWaiting()
	*w = waitingRequest{tuple: tuple, record: r, arrived: arrived, priority: r.route.Priority}
	r.wait, r.requestedAt = w, 0
	if r.route.LatencyGoal > 0 {
		w.goal = arrived + r.route.LatencyGoal
	}
	if r.route.Timeout > 0 {
		w.deadline, w.expires = arrived+r.route.Timeout, now+r.route.Timeout
	}
	l := r.target.limiter
	w.share, w.index = c.routeShareOf(l, r.route), len(l.waiting)
	w.share.beginWait()
	l.waiting = append(l.waiting, w)
	if l.byShare {
		w.share.enqueue(w)
	}
	r.target.load.waiting++
	c.waitingCount++
}

// trackWaiting updates the record of a flow whose request waits. A packet that
// ends the flow ends the wait.
func (c *Core) trackWaiting(now clock.Milli, s *flow.Segment, r *flowRecord) {
	r.lastPacket = now
	if seqAfter(s.Ack, r.ack) {
		r.ack, r.lastAck = s.Ack, now
		c.recordAnswer(now, r.target)
	}
	if end := s.Seq + uint32(s.Len); seqAfter(end, r.nextSeq) {
		r.nextSeq = end
	}
	if s.Close || s.Reset {
		r.endWait()
		r.deactivate()
		r.closed = true
	}
}

// endWait marks a flow as no longer waiting. Its entry is removed by Releases.
func (r *flowRecord) endWait() {
	if r.wait != nil {
		r.wait.share.waiting--
		r.wait = nil
		r.target.load.waiting--
	}
}

// Releases returns the flows whose wait is over, in the order in which their
// packets are to be forwarded. The list is valid until the next call.
func (c *Core) Releases(now clock.Milli) []Release {
	if c.waitingCount == 0 {
		return nil
	}
	list := c.released[:0]
	for _, l := range c.limiters {
		if len(l.waiting) > 0 {
			list = c.releaseFrom(now, l, list)
		}
	}
	c.released = list
	return list
}

// releaseFrom appends the releases of one pool to list.
func (c *Core) releaseFrom(now clock.Milli, l *limiter, list []Release) []Release {
	for {
		w := l.next(now)
		if w == nil {
			l.holdParts()
			return list
		}
		r := w.record
		r.endWait()
		r.requestedAt, r.lastData = now, now
		r.queuedAhead = r.target.load.busy + r.target.load.peerBusy
		r.target.load.busy++
		l.begin(now, w.tuple, r)
		c.flows.awaitingAnswer = append(c.flows.awaitingAnswer, pendingFlow{tuple: w.tuple, since: now})
		list = append(list, Release{Tuple: w.tuple, Target: r.target, Route: r.route, Waited: now - w.arrived, Reason: Waiting})
		l.removeWaiting(w)
		c.freeWaiting = append(c.freeWaiting, w)
		c.waitingCount--
	}
}

// removeWaiting removes a request that is sent from the list.
func (l *limiter) removeWaiting(w *waitingRequest) {
	if !l.byShare {
		l.waiting = slices.DeleteFunc(l.waiting, func(x *waitingRequest) bool { return x == w })
		return
	}
	w.share.dequeue(w)
	last := len(l.waiting) - 1
	l.waiting[w.index], l.waiting[last].index = l.waiting[last], w.index
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
}

// next returns the request to send next, nil if there is no room.
func (l *limiter) next(now clock.Milli) *waitingRequest {
	if l.byShare {
		return l.nextByRoute(now)
	}
	var best *waitingRequest
	room := l.hasRoom()
	for _, w := range l.waiting {
		if t := w.record.target; w.ended() || !room && !t.unlimited() && !t.idle() {
			continue
		}
		if best == nil || l.before(now, w, best) {
			best = w
		}
	}
	return best
}

// full reports whether a target has its part of the pool's limit in flight.
func (t *Target) full() bool { return t.load.inFlight >= t.load.limit }

// idle reports whether a target is known to have a free slot, and has none of this
// daemon's requests. Its requests don't wait for others that stall elsewhere.
func (t *Target) idle() bool {
	return t.limiter.allHeard && t.load.inFlight == 0 && t.load.peerBusy < t.Slots
}

// unlimited reports whether requests to a target don't wait: it gets no new flows
// and may end soon, or it is slow. The requests of its open flows gain nothing by
// waiting for the other targets. A slow target rejects what it can't queue, and only
// that lets the client go to another one.
func (t *Target) unlimited() bool { return t.load.limit == 0 || t.latency.slowness() > 1 }

// rank is the order in which requests are sent.
type rank int

// The ranks.
const (
	// urgent requests fail unless they are sent now.
	urgent rank = iota
	// timely requests can still be answered within their latency goal.
	timely
	// late requests can't.
	late
)

func (l *limiter) rank(now clock.Milli, w *waitingRequest) rank {
	expected := clock.Milli(l.expected())
	switch {
	case w.deadline != 0 && now+max(2*expected, (w.deadline-w.arrived)/urgentPart) >= w.deadline:
		return urgent
	case w.goal == 0 || now+expected <= w.goal:
		return timely
	}
	return late
}

// before reports whether request a is sent before request b: by rank, then by the
// route's priority. Requests to targets with more in flight than their part go after
// others of the same rank and priority. Among timely requests the newest goes first,
// as the others would make all of them late; among the rest, the one that ends first.
func (l *limiter) before(now clock.Milli, a, b *waitingRequest) bool {
	return l.precedes(now, a, b, false)
}

// precedes is before, but among timely requests the one goes first whose goal ends first
// if all of them can be in time.
func (l *limiter) precedes(now clock.Milli, a, b *waitingRequest, allInTime bool) bool {
	ra, rb := l.rank(now, a), l.rank(now, b)
	if ra == urgent || rb == urgent {
		if ra != rb {
			return ra < rb
		}
	}
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if ra != rb {
		return ra < rb
	}
	if fa, fb := a.record.target.full(), b.record.target.full(); fa != fb {
		return fb
	}
	if ra == timely {
		if allInTime {
			return a.goal != 0 && (b.goal == 0 || a.goal < b.goal)
		}
		return a.arrived > b.arrived
	}
	return a.deadline != 0 && (b.deadline == 0 || a.deadline < b.deadline)
}

// expireWaiting removes the requests whose flows ended or whose clients gave up. The
// latter flows are forgotten: a retransmission was not forwarded before.
func (c *Core) expireWaiting(now clock.Milli, l *limiter) {
	l.waiting = slices.DeleteFunc(l.waiting, func(w *waitingRequest) bool {
		reason := FlowEnded
		if !w.ended() {
			if w.expires == 0 || now < w.expires {
				return false
			}
			reason = TimedOut
			c.flows.remove(w.tuple)
		}
		c.discarded = append(c.discarded, Release{Tuple: w.tuple, Waited: now - w.arrived, Reason: reason})
		c.freeWaiting = append(c.freeWaiting, w)
		c.waitingCount--
		return true
	})
	for i, w := range l.waiting {
		w.index = i
	}
	for _, s := range l.shares {
		s.queue = slices.DeleteFunc(s.queue, (*waitingRequest).ended)
		l.rankQueue(now, s)
	}
}

// Discarded returns the flows whose waiting packets are to be discarded, since the
// last call.
func (c *Core) Discarded() []Release {
	list := c.discarded
	c.discarded = nil
	return list
}

// Waiting returns the number of requests that wait.
func (c *Core) Waiting() int { return c.waitingCount }

// ReleaseAll ends all waits, for a daemon that stops.
func (c *Core) ReleaseAll(now clock.Milli) []Release {
	for _, t := range c.targets {
		t.load.limit = 0
	}
	return c.Releases(now)
}

// rejects returns why a new flow is to be rejected, and whether it is. With limits
// divided by route, its route decides. Otherwise the requests of the same or a higher
// priority that wait for the pool take longer than the route's timeout, so one of them
// fails for each new one.
func (c *Core) rejects(route *Route, t *Target) (Reason, bool) {
	l := t.limiter
	if len(l.waiting) == 0 || route.Timeout == 0 || l.capacity == 0 {
		return 0, false
	}
	if l.byShare {
		return RouteOverloaded, l.rejectsRoute(c.routeShareOf(l, route), route)
	}
	ahead := 0
	for _, w := range l.waiting {
		if w.priority <= route.Priority {
			ahead++
		}
	}
	return Overloaded, float64(ahead)*l.usual()/(l.capacity*l.share) > float64(route.Timeout)
}

package steer

import (
	"math"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/quota"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

const (
	// usualDepth is the number of requests for each slot of a pool if the latency
	// goal or the usual latency is unknown: one running, one queued.
	usualDepth = 2.0
	// minDepth keeps the slots busy between an answer and the next request.
	minDepth = 1.25
	// maxDepth bounds the queues of targets whose latency is far below the goal.
	maxDepth = 4.0
	// lostFactor is the multiple of the expected latency after which a request
	// without an answer no longer counts as in flight: it may have been answered
	// through another daemon.
	lostFactor = 4
	// minLost is the least time after which that happens.
	minLost = 100 * clock.Milli(1)
	// excessFactor is the multiple of a target's part of the limit up to which its
	// requests count.
	excessFactor = 2
	// latencySmoothing is the weight of a new measurement in the usual latency.
	latencySmoothing = 0.2
)

// limiter limits the requests that this daemon has in flight at one pool to its
// share of what the pool's targets can process soon. What exceeds the limit waits
// here, where the order can still be changed, and not in the targets' queues.
//
// The limit is the number of the targets' slots, divided by their slowness, times
// a depth that follows from the latency goal, times this daemon's share of all
// active flows on the pool. Each answer makes room for one more request. So daemons
// need no agreement: the limits of all add up to the pool's capacity, as far as
// their knowledge of each other's flows is right, and each limit is exact.
type limiter struct {
	pool schema.Name
	// limit is the number of requests that may be in flight, at least 1.
	limit float64
	// capacity is the number of requests that the pool's targets process at the
	// same time, in units of a target that is not slow.
	capacity float64
	// share is this daemon's part of the capacity.
	share float64
	// depth is the number of requests in flight for each unit of capacity.
	depth float64
	// inFlight is the number of this daemon's requests in flight, without the excess
	// of stalled targets. sent lists the requests, oldest first.
	inFlight int
	sent     []pendingFlow
	// measured is the mean time to the first byte while the targets have no queues,
	// in milliseconds, zero if unknown.
	measured float64
	// queued is set while more requests are in flight than the targets process.
	queued bool
	// allHeard is set if the loads of all peers are known.
	allHeard bool
	// goal is the lowest latency goal of the pool's routes, zero if none is known.
	goal    clock.Milli
	waiting []*waitingRequest
	// rates are the rates of the requests here and at peers, demands the demands of
	// other data centres, correction lowers the limit while the targets' queues are
	// deeper than intended. demand is the number of slots that the requests of the
	// fleet need, utilisation the part of the slots in use, as far as known.
	rates       quota.Rates
	demands     quota.Demands
	correction  quota.Depth
	demand      float64
	utilisation float64
	// unequal is set if the pool's targets are known to differ in speed.
	unequal bool
	// dataCentres holds the shares of the data centres, sorted by name. claims is
	// used to compute them.
	dataCentres []DataCentreShare
	claims      []quota.Claim
	// routeShares divides the limit among the routes.
	routeShares
}

func newLimiter(pool schema.Name) *limiter {
	return &limiter{pool: pool, limit: math.Inf(1), depth: usualDepth, routeShares: newRouteShares()}
}

// limiter returns the limiter of a pool, which outlives changes of the
// configuration.
func (c *Core) limiter(pool schema.Name) *limiter {
	l := c.limiters[pool]
	if l == nil {
		l = newLimiter(pool)
		l.byShare = c.policy.Shares.Routes
		c.limiters[pool] = l
	}
	return l
}

// hasRoom reports whether one more request may be sent to a target of the pool.
func (l *limiter) hasRoom() bool { return float64(l.inFlight) < l.limit }

// begin counts a request that is sent to a flow's target. What a target has in
// flight beyond a multiple of its part of the limit doesn't count, so that one that
// stalls leaves the others' part free.
func (l *limiter) begin(now clock.Milli, tuple flow.Tuple, r *flowRecord) {
	t := r.target
	r.inFlight = true
	t.load.inFlight++
	if t.load.inFlight <= excessFactor*t.load.limit {
		l.inFlight++
		l.beginShare(r)
	}
	l.sent = append(l.sent, pendingFlow{tuple: tuple, since: now})
}

// end counts a request as answered or lost.
func (r *flowRecord) end() {
	if !r.inFlight {
		return
	}
	t := r.target
	r.inFlight = false
	if t.load.inFlight <= excessFactor*t.load.limit {
		t.limiter.inFlight--
	}
	t.load.inFlight--
	r.endShare()
}

// observe takes the usual latency of the pool's targets, in milliseconds. With queues
// it tells little of the time that a request takes.
func (l *limiter) observe(latency float64) {
	switch {
	case l.queued:
	case l.measured == 0:
		l.measured = latency
	default:
		l.measured += latencySmoothing * (latency - l.measured)
	}
}

// usual returns the time to the first byte without queues, in milliseconds, zero if
// unknown. Until it is measured, it is assumed to leave room for usualDepth.
func (l *limiter) usual() float64 {
	if l.measured == 0 {
		return float64(l.goal) / (2 * usualDepth)
	}
	return l.measured
}

// expected returns the time in milliseconds from sending a request to the first
// byte of its answer, zero if unknown.
func (l *limiter) expected() float64 { return l.usual() * l.depth }

// lostAfter returns the age at which a request no longer counts as in flight.
func (l *limiter) lostAfter() clock.Milli {
	if l.expected() == 0 {
		return busyWindow
	}
	return min(busyWindow, max(minLost, clock.Milli(lostFactor*l.expected())))
}

// expireLost ends the requests that are in flight for too long.
func (c *Core) expireLost(now clock.Milli, l *limiter) {
	c.flows.due(&l.sent, now, l.lostAfter(), func(w pendingFlow, r *flowRecord) {
		if r.requestedAt == w.since {
			r.end()
		}
	})
}

// poolLoad sums up the load of a pool's targets that get new flows.
type poolLoad struct {
	capacity            float64
	ownFlows, peerFlows int
	ownBusy, peerBusy   int
	// unequal is set if targets are known to differ in speed.
	unequal bool
}

func (p *poolLoad) add(t *Target) {
	p.capacity += t.capacity()
	p.ownFlows += t.load.flows
	p.peerFlows += t.load.peerFlows
	p.ownBusy += t.load.busy
	p.peerBusy += t.load.peerBusy
	p.unequal = p.unequal || t.timeRatio() != 1
}

// updateLimits recomputes the limits of all pools and targets.
func (c *Core) updateLimits(now clock.Milli) {
	loads := make(map[*limiter]*poolLoad, len(c.limiters))
	for _, l := range c.limiters {
		loads[l] = new(poolLoad)
		l.inFlight = 0
	}
	c.available = c.available[:0]
	for _, t := range c.targets {
		t.load.limit = 0
		if c.acceptsNew(now, t) && !c.avoids(now, t) && !t.withheld(now) {
			c.available = append(c.available, t)
			loads[t.limiter].add(t)
		}
	}
	unheard := c.unheardFactor()
	if c.sharesDataCentres() {
		c.weighDataCentres()
	}
	for l, load := range loads {
		l.unequal = load.unequal
		l.update(load, unheard, c.members)
		if c.usesRates() && l.capacity > 0 {
			c.limitByRates(now, l, load, unheard)
		}
	}
	for _, t := range c.available {
		l := t.limiter
		t.load.limit = max(1, int(math.Ceil(t.capacity()*l.depth*l.share)))
		if c.limitsFleet() {
			t.load.limit = max(t.load.limit, c.partInSubset(t))
		}
		l.inFlight += min(t.load.inFlight, excessFactor*t.load.limit)
	}
}

// capacity returns the number of requests that a target processes at the same
// time, in units of a target that is not slow.
func (t *Target) capacity() float64 { return float64(max(1, t.Slots)) / t.relativeTime() }

// unheardFactor returns the number of peers in relation to those whose loads are
// known: in a large fleet a daemon hears only some of them.
func (c *Core) unheardFactor() float64 {
	if len(c.peers) == 0 {
		return 1
	}
	return max(1, float64(c.members-1)/float64(len(c.peers)))
}

// update computes the limit from the pool's load. The peers' part of it is multiplied
// by unheard. Slots that the peers leave free may be used whatever the share.
func (l *limiter) update(p *poolLoad, unheard float64, members int) {
	peerFlows, peerBusy := unheard*float64(p.peerFlows), unheard*float64(p.peerBusy)
	l.capacity = p.capacity
	l.allHeard = unheard == 1
	l.queued = len(l.waiting) > 0 || float64(p.ownBusy+p.peerBusy) > p.capacity
	l.share = float64(p.ownFlows+1) / (float64(p.ownFlows+max(1, members)) + peerFlows)
	l.depth = usualDepth
	if l.goal > 0 {
		l.depth = min(l.depthBound(), max(minDepth, float64(l.goal)/(2*l.usual())))
	}
	l.limit = max(1, l.capacity*l.depth*l.share, l.capacity-peerBusy)
	if l.capacity == 0 {
		l.limit = math.Inf(1) // no target gets new flows: nothing is gained by waiting
	}
}

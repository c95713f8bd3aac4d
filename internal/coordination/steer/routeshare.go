package steer

import (
	"cmp"
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// rateWindow is the time over which the rate of a route's requests is averaged.
	rateWindow = 500 * clock.Milli(1)
	// maxCredit is the maximum number of requests that a route may have in flight beyond
	// its part because it had less before. One request is enough to make up for the
	// fractions of the parts.
	maxCredit = 1.0
	// minCreditTime is the least time, in milliseconds, for which a request is assumed to
	// be in flight when credits are computed.
	minCreditTime = 10.0
)

// routeShare is what one route has of a daemon's limit at a pool.
type routeShare struct {
	route  schema.Name
	weight float64
	// inFlight counts the route's requests that count against the pool's limit,
	// waiting those that wait for room.
	inFlight int
	waiting  int
	// queue lists the waiting requests, the one that arrived first first, some of
	// ended flows among them. It is used while the policy divides limits by route.
	queue []*waitingRequest
	// timelyFrom is the position of the first request in the queue that can be answered
	// within its latency goal, urgentTo that of the first one that is not urgent, when the
	// limit was last divided.
	timelyFrom int
	urgentTo   int
	// allInTime is set if all timely requests could be in time then.
	allInTime bool
	// part is the number of requests that the route may have in flight before those of
	// routes with less go first.
	part float64
	// credit is by how much the route had less in flight than its part while its
	// requests waited, negative if it had more. held is what it had in flight when
	// credits were last computed.
	credit float64
	held   int
	// sent counts the requests sent since rate was last computed. rate is their mean rate
	// over rateWindow, in requests per millisecond.
	sent int
	rate float64
	// rejected counts the new flows that were rejected, by rejectionRules.
	rejected [len(rejectionRules)]uint64
}

// RouteShare is a route's share of a daemon's limit at a pool, as /belief shows it.
type RouteShare struct {
	Route  schema.Name
	Weight float64
	// InFlight counts the requests against the limit, Waiting those that wait. Part is
	// what the route may have in flight before those of others go first, while the policy
	// divides limits by route and requests wait.
	InFlight int
	Part     float64
	Waiting  int
	// Rate is the number of requests a second that this daemon serves, at least the one
	// that the route's part gives.
	Rate float64
	// Rejected counts the new flows that were rejected, by rule: the reason of the
	// verdict.
	Rejected map[string]uint64 `json:",omitempty"`
}

// routeBeliefs returns the shares of the routes, sorted by name.
func (l *limiter) routeBeliefs() []RouteShare {
	var list []RouteShare
	for _, s := range l.shares {
		b := RouteShare{Route: s.route, Weight: s.weight, InFlight: s.inFlight, Waiting: s.waiting, Rate: s.rate * float64(clock.Second)}
		if l.byShare {
			b.Part, b.Rate = s.part, l.serveRate(s)*float64(clock.Second)
			if len(l.waiting) == 0 {
				b.Part = float64(s.inFlight)
			}
		}
		for i, rule := range rejectionRules {
			if n := s.rejected[i]; n > 0 {
				if b.Rejected == nil {
					b.Rejected = make(map[string]uint64)
				}
				b.Rejected[rule.String()] = n
			}
		}
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y RouteShare) int { return cmp.Compare(x.Route, y.Route) })
	return list
}

// rejectionRules are the reasons for which a new flow is rejected because of load.
var rejectionRules = [...]Reason{Overloaded, RouteOverloaded}

// countRejection counts a new flow that is rejected by a rule.
func (s *routeShare) countRejection(rule Reason) {
	s.rejected[slices.Index(rejectionRules[:], rule)]++
}

// routeShares is the state of dividing a limit among the routes.
type routeShares struct {
	// shares lists the shares of the routes, byRoute holds them by name.
	shares  []*routeShare
	byRoute map[schema.Name]*routeShare
	// byShare is set while the policy divides limits by route.
	byShare bool
	// dividedAt is when credits were last computed, ratedAt when rates were.
	dividedAt clock.Milli
	ratedAt   clock.Milli
	// exemptMayWait is set if a request may wait that needs no room.
	exemptMayWait bool
}

func newRouteShares() routeShares {
	return routeShares{byRoute: make(map[schema.Name]*routeShare)}
}

// beginShare counts a request in flight against the share of its route.
func (l *limiter) beginShare(r *flowRecord) {
	if r.route == nil {
		return
	}
	if s := l.byRoute[r.route.Name]; s != nil {
		r.share = s
		s.inFlight++
		s.sent++
	}
}

// endShare counts a request as no longer in flight.
func (r *flowRecord) endShare() {
	if r.share != nil {
		r.share.inFlight--
		r.share = nil
	}
	if t := r.target; t.load.waiting > 0 && t.idle() {
		t.limiter.exemptMayWait = true
	}
}

// beginWait counts a request that begins to wait. The first one resets part and credit.
func (s *routeShare) beginWait() {
	if s.waiting == 0 {
		s.part, s.credit, s.held = 0, 0, 0
	}
	s.waiting++
}

// demand is the number of requests that the route would have in flight without a limit.
// Those that can't be in time any more are left out: they would use up the part of later
// ones, and all would be late.
func (s *routeShare) demand() float64 { return float64(s.inFlight + s.timely()) }

// under reports whether the route has less in flight than its part.
func (s *routeShare) under() bool { return float64(s.inFlight) < s.part+s.credit }

// shareLevel returns the number of requests for each unit of weight at which the routes'
// parts of the limit, none larger than the route's demand, add up to the limit; +Inf if
// the demands don't exceed it. The demand of the route unlimited, if not nil, is assumed
// to be infinite.
func shareLevel(limit float64, list []*routeShare, unlimited *routeShare) float64 {
	level := 0.0
	for {
		// Each step fixes the parts of the routes that demand less than the level
		// gives, and divides the rest among the others. The level only rises.
		rest, weights := limit, 0.0
		for _, s := range list {
			switch d := s.demand(); {
			case s != unlimited && d <= s.weight*level:
				rest -= d
			default:
				weights += s.weight
			}
		}
		if weights == 0 {
			return math.Inf(1)
		}
		next := rest / weights
		if next <= level {
			return level
		}
		level = next
	}
}

// divideLimit sets the parts of the routes by weighted max-min fairness.
func divideLimit(limit float64, list []*routeShare) {
	level := shareLevel(limit, list, nil)
	for _, s := range list {
		s.part = min(s.demand(), s.weight*level)
	}
}

// depthBound returns the maximum number of requests in flight for each slot. While limits
// are divided by route it is usualDepth: with maxDepth, targets of 2 slots that queue 8
// requests reject some of those on long flows, which can't choose their target.
func (l *limiter) depthBound() float64 {
	if l.byShare {
		return usualDepth
	}
	return maxDepth
}

// wholeLimit returns the limit, rounded up to whole requests.
func (l *limiter) wholeLimit() float64 { return math.Ceil(l.limit) }

// updateParts divides the limit among the routes, ranks their requests, and updates their
// credits.
func (l *limiter) updateParts(now clock.Milli) {
	for _, s := range l.shares {
		l.rankQueue(now, s)
	}
	if d := now - l.dividedAt; d > 0 {
		l.dividedAt = now
		requests := float64(d) / max(minCreditTime, l.expected())
		for _, s := range l.shares {
			if s.timely() == 0 {
				s.credit = 0 // an unused part is not saved for later
				continue
			}
			s.credit = max(-maxCredit, min(maxCredit, s.credit+(s.part-float64(s.held))*requests))
		}
	}
	divideLimit(l.wholeLimit(), l.shares)
	for _, s := range l.shares {
		s.allInTime = l.inTime(now, s.queue[s.timelyFrom:], l.serveRate(s))
	}
}

// holdParts records what the routes have in flight, for the credits at the next call of
// updateParts.
func (l *limiter) holdParts() {
	for _, s := range l.shares {
		s.held = s.inFlight
	}
}

// serveRate returns the rate at which this daemon serves a route, in requests per
// millisecond: the measured one, and at least what the route's guaranteed part of the
// limit gives. It is zero if unknown.
func (l *limiter) serveRate(s *routeShare) float64 {
	if l.usual() == 0 || l.capacity == 0 {
		return s.rate
	}
	guaranteed := min(1, s.weight*shareLevel(l.wholeLimit(), l.shares, s)/l.wholeLimit())
	return max(s.rate, guaranteed*l.capacity*l.share/l.usual())
}

// rejectsRoute reports whether a new flow of a route is to be rejected: the requests of the
// route that wait take longer than its timeout at the rate at which this daemon serves it,
// so one of them fails for each new one, and the new one can't be in time. Without the
// second condition, requests that are late and wait for their end would keep out those
// that would go before them.
func (l *limiter) rejectsRoute(s *routeShare, route *Route) bool {
	rate := l.serveRate(s)
	if float64(s.waiting) <= rate*float64(route.Timeout) {
		return false
	}
	return route.LatencyGoal == 0 || float64(s.timely()) > rate*(float64(route.LatencyGoal)-l.expected())
}

// routeShareOf returns the share of a route at a pool.
func (c *Core) routeShareOf(l *limiter, route *Route) *routeShare {
	s := l.byRoute[route.Name]
	if s == nil {
		s = &routeShare{route: route.Name, weight: c.routeWeight(route.Name)}
		l.byRoute[route.Name] = s
		l.shares = append(l.shares, s)
	}
	return s
}

// updateRates updates the rates of the pool's routes.
func (l *limiter) updateRates(now clock.Milli) {
	d := now - l.ratedAt
	if d <= 0 {
		return
	}
	l.ratedAt = now
	kept := math.Exp(-float64(d) / float64(rateWindow))
	for _, s := range l.shares {
		s.rate = kept*s.rate + (1-kept)*float64(s.sent)/float64(d)
		s.sent = 0
	}
}

// applyShares applies the policy to the shares of all routes, and forgets the shares of
// routes that are gone.
func (c *Core) applyShares() {
	for _, l := range c.limiters {
		l.shares = slices.DeleteFunc(l.shares, func(s *routeShare) bool {
			if s.inFlight+s.waiting > 0 || len(s.queue) > 0 || c.hasRoute(s.route) {
				return false
			}
			delete(l.byRoute, s.route)
			return true
		})
	}
	for _, r := range c.routes {
		for _, p := range r.pools {
			c.routeShareOf(c.limiter(p.Name), r)
		}
	}
	for _, l := range c.limiters {
		for _, s := range l.shares {
			s.weight = c.routeWeight(s.route)
		}
		if l.byShare != c.policy.Shares.Routes {
			l.rebuildQueues(c.policy.Shares.Routes)
		}
	}
}

func (c *Core) hasRoute(name schema.Name) bool {
	for _, r := range c.routes {
		if r.Name == name {
			return true
		}
	}
	return false
}

func (c *Core) routeWeight(route schema.Name) float64 {
	return float64(max(1, c.policy.Shares.RouteWeights[route]))
}

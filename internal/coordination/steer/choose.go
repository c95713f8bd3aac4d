package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

// acceptsNew reports whether the deployment allows new flows on a target.
func (c *Core) acceptsNew(now clock.Milli, t *Target) bool {
	if t.gone || t.Draining {
		return false
	}
	out, _ := c.replica.Out(t.DataCentre)
	return !out
}

// uses reports whether new flows of a route may go to a target's pool.
func (r *Route) uses(t *Target) bool {
	return slices.ContainsFunc(r.pools, func(p *pool) bool { return p.Name == t.Pool })
}

// NoLocalTarget reports whether no target in this data centre gets new flows.
func (c *Core) NoLocalTarget(now clock.Milli) bool {
	for _, t := range c.targets {
		if t.DataCentre == c.localDC && c.acceptsNew(now, t) && !c.avoids(now, t) {
			return false
		}
	}
	return true
}

const (
	// spillThreshold is the score at which the least loaded target of a pool
	// counts as full, so that the route's other pools are tried. spillMargin is
	// by how much the score of a target there must be lower.
	spillThreshold = 2.0
	spillMargin    = 1.0
)

// choose returns the target for a new flow, other than excluded, or the reason
// why there is none. The flow's hash picks a pool by the route's weights, so that
// all daemons pick the same one, unless that pool's targets are full.
func (c *Core) choose(now clock.Milli, route *Route, s *flow.Segment, excluded *Target) (*Target, Reason) {
	if route.total == 0 {
		return nil, NoTarget
	}
	at := int(s.Tuple.Hash() >> 33 % uint64(route.total))
	first := 0
	for i, share := range route.Pools {
		if at < share.Weight {
			first = i
			break
		}
		at -= share.Weight
	}
	reason := NoTarget
	var chosen *Target
	for i := range route.pools {
		t, r := c.chooseIn(now, route.pools[(first+i)%len(route.pools)], excluded)
		switch {
		case t != nil && (chosen == nil || t.score()+spillMargin <= chosen.score()):
			chosen = t
		case t == nil && r == ColdBudget:
			reason = r
		}
		if chosen != nil && chosen.score() < spillThreshold {
			break
		}
	}
	if chosen == nil {
		return nil, reason
	}
	if p := c.pools[chosen.Pool]; c.coldLeft(now, chosen) > 0 && p.ColdRate > 0 {
		chosen.cold.spend()
	}
	return chosen, Opened
}

// best is the target with the lowest score so far.
type best struct {
	target *Target
	score  float64
}

func (b *best) offer(t *Target, score float64) {
	if b.target == nil || score < b.score {
		b.target, b.score = t, score
	}
}

// search is the state of choosing one pool's target for a new flow.
type search struct {
	now  clock.Milli
	pool *pool
	// excluded is a target that must not be chosen, nil for none.
	excluded *Target
	// avoided is the target that answered last among those that are avoided. It
	// is used if there is no other.
	avoided best
	reason  Reason
}

// chooseIn returns the target of a pool for a new flow. It prefers targets that
// answer, and among those the targets of this data centre unless a remote one is
// less loaded by more than remotePenalty. The few targets of a subset have some load
// sooner than a whole data centre; a remote one is used if they have no free slot.
func (c *Core) chooseIn(now clock.Milli, p *pool, excluded *Target) (*Target, Reason) {
	s := search{now: now, pool: p, excluded: excluded, reason: NoTarget}
	near := c.leastLoaded(&s, p.local, p.localByDC)
	chosen := near.target
	if chosen == nil || chosen.score() > remotePenalty && !c.staysLocal(chosen) {
		far := c.leastLoaded(&s, p.remote, p.remoteByDC)
		if far.target != nil && (chosen == nil || far.target.score()+remotePenalty < chosen.score()) {
			chosen = far.target
		}
	}
	if chosen == nil {
		chosen = s.avoided.target
	}
	if chosen == nil {
		return nil, s.reason
	}
	return chosen, Opened
}

// stride returns a random step that is coprime to n, so that n steps visit each
// of n positions once.
func (c *Core) stride(n int) int {
	s := 1 + c.random.IntN(n)
	for a, b := s, n; ; a, b = s, n {
		for b != 0 {
			a, b = b, a%b
		}
		if a == 1 {
			return s
		}
		s++
	}
}

// maxCandidates is the number of targets that are compared for a new flow. Loads
// reported by peers are up to a few hundred milliseconds old: if all daemons took
// the least loaded of many targets, they would all take the same one until the
// next reports.
const maxCandidates = 6

// leastLoaded returns the least loaded target of a list, which byDC holds by data centre.
// A daemon that prefers a subset takes another target only if the subset has none.
func (c *Core) leastLoaded(s *search, list []*Target, byDC [][]*Target) best {
	if c.prefersSubset() {
		if b := c.leastLoadedOfSubsets(s, byDC); b.target != nil {
			return b
		}
	}
	return c.leastLoadedOf(s, list, 0, len(list))
}

// leastLoadedOf returns the least loaded of up to maxCandidates of the n targets of a list
// from position first on, picked in a random order, or the first that has no load at all.
func (c *Core) leastLoadedOf(s *search, list []*Target, first, n int) best {
	var found best
	seen := 0
	if n == 0 {
		return found
	}
	at, stride := c.random.IntN(n), c.stride(n)
	for range n {
		position := first + at
		if position >= len(list) {
			position -= len(list)
		}
		t := list[position]
		for at += stride; at >= n; {
			at -= n
		}
		if t == s.excluded || !c.acceptsNew(s.now, t) {
			continue
		}
		score := t.rank() + c.speedPenalty(t)
		if left := c.coldLeft(s.now, t); left > 0 {
			if s.pool.ColdRate > 0 && !t.cold.available(s.now, left, s.pool.ColdRate, c.rateShare(t)) {
				s.reason = ColdBudget
				continue
			}
			score += coldPenalty
		}
		if c.avoids(s.now, t) || c.withholds(s.now, t) {
			s.avoided.offer(t, float64(s.now-t.answers.lastAnswer))
			continue
		}
		if score == 0 {
			return best{target: t}
		}
		found.offer(t, score+tieJitter*c.random.Float64())
		if seen++; seen == maxCandidates {
			break
		}
	}
	return found
}

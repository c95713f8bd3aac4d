package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

// takes reports whether a target may get new flows.
func (c *Core) takes(now clock.Milli, t *Target) bool {
	if t.gone || t.Draining {
		return false
	}
	out, _ := c.book.Out(t.DataCentre)
	return !out
}

// NoneNear reports whether no target of this data centre gets new flows.
func (c *Core) NoneNear(now clock.Milli) bool {
	for _, t := range c.list {
		if t.DataCentre == c.home && c.takes(now, t) && !c.avoids(now, t) {
			return false
		}
	}
	return true
}

const (
	// spillFrom is the expected wait, in usual times of a request, from which the
	// freest target of a pool counts as full, so that the route's other pools are
	// looked at; spillGain is by how much a target of those must be freer.
	spillFrom = 2.0
	spillGain = 1.0
)

// choose returns the target for a new flow, other than not, or the reason why
// there is none. The route's weights choose the pool by the flow's hash, so
// that all daemons choose the same one, unless its targets are full.
func (c *Core) choose(now clock.Milli, route *Route, s *flow.Segment, not *Target) (*Target, Reason) {
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
	why := NoTarget
	var chosen *Target
	for i := range route.pools {
		t, r := c.chooseIn(now, route.pools[(first+i)%len(route.pools)], not)
		switch {
		case t != nil && (chosen == nil || t.score()+spillGain <= chosen.score()):
			chosen = t
		case t == nil && r == ColdBudget:
			why = r
		}
		if chosen != nil && chosen.score() < spillFrom {
			break
		}
	}
	if chosen == nil {
		return nil, why
	}
	if p := c.pools[chosen.Pool]; c.coldLeft(now, chosen) > 0 && p.ColdRate > 0 {
		chosen.cold.take()
	}
	return chosen, Opened
}

// best is the least loaded target met so far.
type best struct {
	target *Target
	score  float64
}

func (b *best) offer(t *Target, score float64) {
	if b.target == nil || score < b.score {
		b.target, b.score = t, score
	}
}

// search is the choice of one pool's target for a new flow.
type search struct {
	now  clock.Milli
	pool *pool
	// not is a target that is left out.
	not *Target
	// silent is the one that answered last of those that are avoided.
	silent best
	why    Reason
}

// chooseIn returns the target of a pool for a new flow: one that answers
// before one that doesn't, and one of this data centre unless the others are
// clearly freer.
func (c *Core) chooseIn(now clock.Milli, p *pool, not *Target) (*Target, Reason) {
	s := search{now: now, pool: p, not: not, why: NoTarget}
	near := c.leastLoaded(&s, p.near)
	chosen := near.target
	if chosen == nil || chosen.score() > farPenalty {
		far := c.leastLoaded(&s, p.far)
		if far.target != nil && (chosen == nil || far.target.score()+farPenalty < chosen.score()) {
			chosen = far.target
		}
	}
	if chosen == nil {
		chosen = s.silent.target
	}
	if chosen == nil {
		return nil, s.why
	}
	return chosen, Opened
}

// stride returns a random step that visits each of n places once.
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

// candidates is the number of targets that a new flow is compared on. Loads told
// by peers are up to a few hundred milliseconds old: if all daemons took the least
// loaded of many, they would take the same one until they heard of each other.
const candidates = 6

// leastLoaded returns the least loaded of some targets of a list, in a random
// order, or the first one without any load.
func (c *Core) leastLoaded(s *search, list []*Target) best {
	var found best
	seen := 0
	if len(list) == 0 {
		return found
	}
	at, stride := c.random.IntN(len(list)), c.stride(len(list))
	for i := range list {
		t := list[(at+i*stride)%len(list)]
		if t == s.not || !c.takes(s.now, t) {
			continue
		}
		score := t.order()
		if c.coldLeft(s.now, t) > 0 {
			if s.pool.ColdRate > 0 && !t.cold.has(s.now, s.pool.ColdRate, c.share(t)) {
				s.why = ColdBudget
				continue
			}
			score += coldPenalty
		}
		if c.avoids(s.now, t) {
			s.silent.offer(t, float64(s.now-t.answers.last))
			continue
		}
		if score == 0 {
			return best{target: t}
		}
		found.offer(t, score+blur*c.random.Float64())
		if seen++; seen == candidates {
			break
		}
	}
	return found
}

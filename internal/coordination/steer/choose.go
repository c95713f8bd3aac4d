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

// choose returns the target for a new flow, other than not, or the reason why
// there is none. The route's weights choose the pool by the flow's hash, so
// that all daemons choose the same one.
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
	for i := range route.pools {
		t, r := c.chooseIn(now, route.pools[(first+i)%len(route.pools)], not)
		if t != nil {
			return t, Opened
		}
		if r == ColdBudget {
			why = r
		}
	}
	return nil, why
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

// chooseIn returns the target of a pool for a new flow: one that answers
// before one that doesn't, and one of this data centre unless the others are
// clearly freer.
func (c *Core) chooseIn(now clock.Milli, p *pool, not *Target) (*Target, Reason) {
	var near, far, silent best
	why := NoTarget
	for _, t := range p.targets {
		if t == not || !c.takes(now, t) {
			continue
		}
		score := t.score() + blur*c.random.Float64()
		if c.coldLeft(now, t) > 0 {
			if p.ColdRate > 0 && !t.cold.has(now, p.ColdRate, c.share(t)) {
				why = ColdBudget
				continue
			}
			score += coldPenalty
		}
		switch {
		case c.avoids(now, t):
			silent.offer(t, float64(now-t.answers.last))
		case t.DataCentre == c.home:
			near.offer(t, score)
		default:
			far.offer(t, score)
		}
	}
	chosen := near.target
	if chosen == nil || far.target != nil && far.score+farPenalty < near.score {
		chosen = far.target
	}
	if chosen == nil {
		chosen = silent.target
	}
	if chosen == nil {
		return nil, why
	}
	if c.coldLeft(now, chosen) > 0 && p.ColdRate > 0 {
		chosen.cold.take()
	}
	return chosen, Opened
}

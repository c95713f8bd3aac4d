package steer

import (
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// speedHalfLife is the half-life of a latency in a target's learned speed.
	speedHalfLife = 8 * clock.Second
	// reportedTime is the mean time for which a latency is part of the reported sums,
	// which cover the current and the previous window.
	reportedTime = 3 * latencyWindow / 2
	// minSpeedSamples is the number of latencies from which a target's speed is
	// compared with others.
	minSpeedSamples = 12
	// independentShare is the number of independent latencies for each one counted: in
	// a large fleet some are heard more than once, and others never.
	independentShare = 0.6
	// usualSpread is the coefficient of variation of latencies that is assumed until it
	// is measured, with the weight of usualSpreadSamples latencies.
	usualSpread        = 1.0
	usualSpreadSamples = 20
	minSpread          = 0.4
	maxSpread          = 1.5
	// A target's time differs from its pool's if the logarithm of their ratio is at
	// least engageSigmas standard errors, the ratio at least engageRatio, and the
	// difference at least speedMarginMillis, as paths between data centres differ by
	// some milliseconds. In a fleet, thousands of comparisons are made at any time,
	// so that 3 standard errors are exceeded by chance. A known difference lasts until
	// it is below the release bounds.
	engageSigmas      = 4.5
	engageRatio       = 1.3
	speedMarginMillis = 8.0
	releaseSigmas     = 1.5
	releaseRatio      = 1.12
	// maxTimeRatio bounds the learned ratio, and its inverse. Beyond it, the target
	// counts as slow by the faster rule of slowRatio.
	maxTimeRatio = 3.0
	// speedGrowth bounds by how much a target's share may grow in a second, so that a
	// recovered target isn't overloaded before its latencies are known.
	speedGrowth = 1.25
	// maxLearningLoad is the part of a pool's slots in use above which latencies show
	// queues rather than speeds.
	maxLearningLoad = 0.7
	// skipPenalty is added to the score of a slow target for the part of the new flows
	// that it should not get.
	skipPenalty = 0.5
)

// speed is what a daemon has learned of a target's service time over some seconds.
type speed struct {
	// time is the target's time in relation to the pool's mean, zero for 1, so that the
	// capacities of the pool's targets add up to their slots. skipped is the part of the
	// new flows, in relation to the pool's fastest target, that it should not get.
	time    float64
	skipped float64
	// n and total are the decayed number and sum of the latencies, in milliseconds.
	n, total float64
	// differs is set while the target's mean differs from the pool's by more than
	// noise would explain.
	differs bool
	// ratio is the target's time in relation to the pool's median, zero for 1.
	ratio float64
}

// orOne returns x, or 1 for zero.
func orOne(x float64) float64 {
	if x == 0 {
		return 1
	}
	return x
}

// timeRatio returns the target's learned service time in relation to the pool's mean.
func (t *Target) timeRatio() float64 { return orOne(t.speed.time) }

// relativeTime returns the target's service time in relation to the usual one, by what
// was learned and by the acute slowness.
func (t *Target) relativeTime() float64 { return t.timeRatio() * t.latency.slowness() }

// mean returns the target's mean latency over the last seconds.
func (s *speed) mean() float64 { return s.total / s.n }

// poolSpeed is the state of learning the speeds of a pool's targets.
type poolSpeed struct {
	// n, sum and squares are the decayed number, sum and sum of squares of this daemon's
	// latencies in relation to their targets' means.
	n, sum, squares float64
	// targets, slots, busy and means are those of the current update.
	targets     []*Target
	slots, busy float64
	means       []float64
	// usual is the median of the targets' means in milliseconds, meanRatio the mean of
	// the targets' ratios.
	usual     float64
	meanRatio float64
}

// spread returns the coefficient of variation of the latencies of one target.
func (p *poolSpeed) spread() float64 {
	square := usualSpread * usualSpread
	if p.sum > 0 {
		measured := max(0, p.squares*p.n/(p.sum*p.sum)-1)
		square = (square*usualSpreadSamples + measured*p.n) / (usualSpreadSamples + p.n)
	}
	return min(maxSpread, max(minSpread, math.Sqrt(square)))
}

// poolSpeed returns the learning state of a pool.
func (c *Core) poolSpeed(name schema.Name) *poolSpeed {
	p := c.speeds[name]
	if p == nil {
		p = new(poolSpeed)
		c.speeds[name] = p
	}
	return p
}

// SpeedChange records that a target's learned service time came to differ from its pool's,
// or no longer does.
type SpeedChange struct {
	ID schema.TargetID
	// Differs is set if it does. Ratio is its mean latency, by about Requests requests, in
	// relation to the pool's median.
	Differs  bool
	Ratio    float64
	Requests int
}

// SpeedChanges returns the changes since the last call.
func (c *Core) SpeedChanges() []SpeedChange {
	list := c.speedChanges
	c.speedChanges = nil
	return list
}

// LearnedSpeeds returns the number of targets whose service time is known to differ.
func (c *Core) LearnedSpeeds() int {
	n := 0
	for _, t := range c.targets {
		if !t.gone && t.speed.differs {
			n++
		}
	}
	return n
}

// measureSpread adds an own latency to the measured variation.
func (c *Core) measureSpread(t *Target, took clock.Milli) {
	if !c.policy.Speed.Learn || t.speed.n < minLatencySamples || t.speed.total <= 0 {
		return
	}
	p, x := c.poolSpeed(t.Pool), float64(took)/t.speed.mean()
	p.n++
	p.sum += x
	p.squares += x * x
}

// forgetSpeeds drops what was learned.
func (c *Core) forgetSpeeds() {
	clear(c.speeds)
	clear(c.unansweredReports)
	c.watched = nil
	for _, t := range c.targets {
		t.speed, t.unanswered = speed{}, unansweredStats{}
	}
}

// learnSpeeds updates the learned speeds of all targets by the latencies that this
// daemon measured and those that its peers reported. They stay as they are while the
// pool is queued up.
func (c *Core) learnSpeeds(now clock.Milli) {
	if !c.policy.Speed.Learn {
		return
	}
	passed := min(now-c.speedsLearned, clock.Second)
	c.speedsLearned = now
	for _, p := range c.speeds {
		p.targets, p.means, p.slots, p.busy = p.targets[:0], p.means[:0], 0, 0
	}
	unheard := c.unheardFactor()
	for _, t := range c.targets {
		if t.gone || !c.acceptsNew(now, t) {
			continue
		}
		p := c.poolSpeed(t.Pool)
		p.targets = append(p.targets, t)
		p.slots += float64(max(1, t.Slots))
		p.busy += float64(t.load.busy) + unheard*float64(t.load.peerBusy)
	}
	for name, p := range c.speeds {
		if len(p.targets) > 0 && len(c.limiter(name).waiting) == 0 && p.busy <= maxLearningLoad*p.slots {
			c.speedChanges = p.learn(passed, c.speedChanges)
		}
	}
}

// learn adds the latest latencies of the pool's targets and compares them. It appends the
// changes to a list.
func (p *poolSpeed) learn(passed clock.Milli, changes []SpeedChange) []SpeedChange {
	keep := math.Exp2(-float64(passed) / float64(speedHalfLife))
	p.n, p.sum, p.squares = keep*p.n, keep*p.sum, keep*p.squares
	for _, t := range p.targets {
		t.speed.add(&t.latency, keep, float64(passed)/float64(reportedTime), p.usual)
		if t.speed.n >= minSpeedSamples {
			p.means = append(p.means, t.speed.mean())
		}
	}
	if len(p.means) < 2 {
		return changes
	}
	slices.Sort(p.means)
	p.usual = p.means[(len(p.means)-1)/2]
	spread := p.spread()
	least, perTime := math.Inf(1), 0.0
	for _, t := range p.targets {
		was := t.speed.differs
		t.speed.compare(p.usual, spread, passed)
		if x := &t.speed; x.differs != was {
			changes = append(changes, SpeedChange{ID: t.ID, Differs: x.differs, Ratio: x.mean() / p.usual, Requests: int(x.n)})
		}
		r := orOne(t.speed.ratio)
		least = min(least, r)
		perTime += float64(max(1, t.Slots)) / r
	}
	p.meanRatio = p.slots / perTime
	for _, t := range p.targets {
		r := orOne(t.speed.ratio)
		t.speed.time, t.speed.skipped = r/p.meanRatio, 1-least/r
	}
	return changes
}

// add decays the sums and adds the current latencies with a weight. Their mean is
// bounded, as a single stall should not count for many seconds.
func (s *speed) add(l *latencyStats, keep, weight, usual float64) {
	n := float64(l.current.n + l.previous.n + l.peers.n)
	total := float64(l.current.total + l.previous.total + l.peers.total)
	if usual > 0 {
		total = min(total, n*usual*maxTimeRatio)
	}
	s.n, s.total = keep*s.n+weight*n, keep*s.total+weight*total
}

// compare updates the ratio by the pool's usual latency and the variation of latencies.
func (s *speed) compare(usual, spread float64, passed clock.Milli) {
	wanted := 1.0
	if s.n >= minSpeedSamples && usual > 0 {
		ratio := s.mean() / usual
		distance, sigma := math.Abs(math.Log(ratio)), spread/math.Sqrt(independentShare*s.n)
		if s.differs {
			s.differs = distance >= max(releaseSigmas*sigma, math.Log(releaseRatio))
		} else {
			s.differs = distance >= max(engageSigmas*sigma, math.Log(engageRatio)) && math.Abs(s.mean()-usual) >= speedMarginMillis
		}
		if s.differs {
			wanted = min(maxTimeRatio, max(1/maxTimeRatio, ratio))
		}
	} else {
		s.differs = false
	}
	least := orOne(s.ratio) * math.Pow(speedGrowth, -float64(passed)/float64(clock.Second))
	s.ratio = max(wanted, least)
}

// speedPenalty returns the score to add to a target that should get fewer new flows
// than the pool's fastest target: it counts for a random part of them.
func (c *Core) speedPenalty(t *Target) float64 {
	if !c.policy.Speed.Learn || t.speed.skipped == 0 || c.random.Float64() >= t.speed.skipped {
		return 0
	}
	return skipPenalty
}

// usualTime returns the mean time of a pool's targets by their median.
func (c *Core) usualTime(name schema.Name, median float64) float64 {
	if p := c.speeds[name]; p != nil && p.meanRatio > 0 {
		return median * p.meanRatio
	}
	return median
}

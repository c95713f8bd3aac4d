package steer

import (
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// latencyWindow is the time over which a daemon sums up latencies. The sums
	// of the current and the previous window count.
	latencyWindow = clock.Second
	// minLatencySamples is the number of requests from which a target's latency
	// is compared with others.
	minLatencySamples = 4
	// slowRatio is the multiple of its pool's usual latency from which a target
	// counts as slow, if it is also slower by slowMarginMillis milliseconds.
	// maxSlowness limits the slowness.
	slowRatio        = 2.5
	slowMarginMillis = 25.0
	maxSlowness      = 8
	// slownessHalfLife is the half-life of a target's slowness while there are
	// too few requests to measure it.
	slownessHalfLife = clock.Second
	// minSlowness is the slowness below which a decaying one is reset to 1.
	minSlowness = 1.2
	// longWait is the age at which a request without an answer counts as one
	// with that latency.
	longWait = 300 * clock.Milli(1)
)

// latencySum is a number of requests and the sum of their latencies.
type latencySum struct {
	n     int
	total clock.Milli
}

func (x *latencySum) add(took clock.Milli) {
	x.n++
	x.total += took
}

// latencyStats is a target's request latency, from the request's last packet to
// the first packet that acknowledges part of the answer.
//
// Queueing time is excluded, as the load accounts for it already: a latency is
// divided by the requests ahead of it per slot.
//
// A target may be slow, or leave some requests unanswered, while it accepts flows
// and passes its health checks. A request that has waited for long counts with
// that time, so that both cases raise the mean. The mean is compared with the
// usual one of the targets of the same pool, which tells a slow target from a pool
// whose requests take long.
type latencyStats struct {
	// current is the sum of the current window, previous that of the last one.
	current  latencySum
	previous latencySum
	// pending is the sum of the requests that have waited for longWait or more.
	pending latencySum
	// peers is the sum of what the peers reported.
	peers latencySum
	// ratio is the target's mean latency in relation to the usual one, at least 1.
	ratio float64
}

// own returns the sum of this daemon's own observations.
func (p *latencyStats) own() latencySum {
	return latencySum{n: p.current.n + p.previous.n + p.pending.n, total: p.current.total + p.previous.total + p.pending.total}
}

// mean returns the mean latency in milliseconds, false if there were too few
// requests.
func (p *latencyStats) mean() (float64, bool) {
	own := p.own()
	n := own.n + p.peers.n
	if n < minLatencySamples {
		return 0, false
	}
	return float64(own.total+p.peers.total) / float64(n), true
}

// withoutQueue returns a request's latency without the time in the queue behind
// the requests ahead of it.
func (t *Target) withoutQueue(took clock.Milli, ahead int) clock.Milli {
	rounds := float64(ahead+1) / float64(max(1, t.Slots))
	return clock.Milli(float64(took) / max(1, rounds))
}

// rotate begins a new window.
func (p *latencyStats) rotate() { p.previous, p.current = p.current, latencySum{} }

// slowness returns the target's mean latency in relation to the usual one.
func (p *latencyStats) slowness() float64 { return max(1, p.ratio) }

// update computes the slowness from the target's mean latency and the usual one,
// in milliseconds.
func (p *latencyStats) update(mean, usual float64) {
	p.ratio = 1
	if mean >= slowRatio*usual && mean-usual >= slowMarginMillis {
		p.ratio = min(mean/usual, maxSlowness)
	}
}

// decay lowers a slowness that no measurement supports, so that the target gets
// gradually more requests again.
func (p *latencyStats) decay(passed clock.Milli) {
	p.ratio = 1 + (p.slowness()-1)*math.Exp2(-float64(passed)/float64(slownessHalfLife))
	if p.ratio < minSlowness {
		p.ratio = 1
	}
}

// SlownessChange records that a target became slow or is no longer slow.
type SlownessChange struct {
	ID schema.TargetID
	// Slow is the target's slowness, 1 if it is no longer slow.
	Slow float64
	// Requests is the number of requests measured, 0 if the slowness decayed.
	Requests int
}

// SlownessChanges returns the changes since the last call.
func (c *Core) SlownessChanges() []SlownessChange {
	list := c.slownessChanges
	c.slownessChanges = nil
	return list
}

// compareLatencies updates the slowness of all targets by the mean latencies of
// their pools' targets.
func (c *Core) compareLatencies(now clock.Milli) {
	passed := now - c.latenciesCompared
	c.latenciesCompared = now
	means := make(map[schema.Name][]float64)
	for _, t := range c.targets {
		if m, ok := t.latency.mean(); ok {
			means[t.Pool] = append(means[t.Pool], m)
		}
	}
	usual := make(map[schema.Name]float64, len(means))
	for name, list := range means {
		slices.Sort(list)
		usual[name] = list[(len(list)-1)/2]
		c.limiter(name).observe(c.usualTime(name, usual[name]))
	}
	for _, t := range c.targets {
		was := t.latency.slowness() >= slowRatio
		m, ok := t.latency.mean()
		if u := usual[t.Pool]; ok && u > 0 && len(means[t.Pool]) > 1 {
			t.latency.update(m, u*max(1, orOne(t.speed.ratio)))
		} else {
			t.latency.decay(passed)
		}
		if slow := t.latency.slowness(); was != (slow >= slowRatio) {
			c.slownessChanges = append(c.slownessChanges, SlownessChange{ID: t.ID, Slow: slow, Requests: t.latency.own().n + t.latency.peers.n})
		}
	}
}

// rotateLatencyWindows begins a new window if the current one is over.
func (c *Core) rotateLatencyWindows(now clock.Milli) {
	if now-c.windowBegan < latencyWindow {
		return
	}
	c.windowBegan = now
	for _, t := range c.targets {
		t.latency.rotate()
	}
}

// isLongWait reports whether a request has waited long enough to count. Requests
// from before the fabric last moved flows between daemons don't: their answers
// may have gone through other daemons.
func (c *Core) isLongWait(now clock.Milli, r *flowRecord) bool {
	return r.requestedAt > c.lastMovedFlow && now-r.requestedAt >= longWait && now-r.requestedAt < activeWindow
}

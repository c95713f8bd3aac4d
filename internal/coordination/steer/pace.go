package steer

import (
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// paceWindow is the time over which a daemon adds up what requests took; the
	// sums of two windows count.
	paceWindow = clock.Second
	// leastPaces is the number of requests from which a target's pace is compared.
	leastPaces = 4
	// slowFrom is the multiple of its pool's usual pace from which a target counts
	// as slow, if it is slower by slowBy milliseconds at least; maxSlow is the most
	// that is believed.
	slowFrom = 2.5
	slowBy   = 25.0
	maxSlow  = 8
	// slowHalf is the time in which the belief in a target's slowness halves while
	// requests show nothing.
	slowHalf = clock.Second
	// leastSlow is the slowness below which a fading belief ends.
	leastSlow = 1.2
	// waitsAt is the age from which a request without an answer counts as one that
	// took that long.
	waitsAt = 300 * clock.Milli(1)
)

// tally adds up what requests took.
type tally struct {
	n    int
	took clock.Milli
}

func (x *tally) add(took clock.Milli) {
	x.n++
	x.took += took
}

// pace is what is known of the time that a target takes for a request, from the
// request's last packet to the first packet that acknowledges some of the answer.
//
// The time is that without a queue, as a queue shows in the load: requests ahead of
// one have it take longer by their share of the slots.
//
// A target may be slow, or answer only a part of its requests, while it accepts
// flows and its health is good. Requests that wait for long count like those that
// took as long, so both show in the mean time. It is compared with the usual one of
// the pool's targets, as only that tells a slow target from a pool with long work.
type pace struct {
	// window is the present sum, before the one before it.
	window tally
	before tally
	// waiting are the requests that wait for long now.
	waiting tally
	// peers is the sum of what peers told.
	peers tally
	// slow is how many times as long as usual the target takes, 1 if as long.
	slow float64
}

// seen returns what this daemon saw itself.
func (p *pace) seen() tally {
	return tally{n: p.window.n + p.before.n + p.waiting.n, took: p.window.took + p.before.took + p.waiting.took}
}

// mean returns the mean time in milliseconds, if there were enough requests.
func (p *pace) mean() (float64, bool) {
	own := p.seen()
	n := own.n + p.peers.n
	if n < leastPaces {
		return 0, false
	}
	return float64(own.took+p.peers.took) / float64(n), true
}

// alone returns the time that a request would have taken without those ahead of it.
func (t *Target) alone(took clock.Milli, ahead int) clock.Milli {
	rounds := float64(ahead+1) / float64(max(1, t.Slots))
	return clock.Milli(float64(took) / max(1, rounds))
}

// turn begins a new window.
func (p *pace) turn() { p.before, p.window = p.window, tally{} }

// slowness returns how many times as long as usual the target takes.
func (p *pace) slowness() float64 { return max(1, p.slow) }

// learn takes the target's mean time and the usual one, in milliseconds.
func (p *pace) learn(mean, usual float64) {
	p.slow = 1
	if mean >= slowFrom*usual && mean-usual >= slowBy {
		p.slow = min(mean/usual, maxSlow)
	}
}

// doubtSlow lets a belief that nothing supports fade, so that the target is tried
// again bit by bit.
func (p *pace) doubtSlow(passed clock.Milli) {
	p.slow = 1 + (p.slowness()-1)*math.Exp2(-float64(passed)/float64(slowHalf))
	if p.slow < leastSlow {
		p.slow = 1
	}
}

// PaceChange is a change of the belief that a target is slow.
type PaceChange struct {
	ID schema.TargetID
	// Slow is how many times as long as usual the target takes, 1 if it is no longer
	// believed slow.
	Slow float64
	// Requests is the number that the belief rests on, 0 if it has faded.
	Requests int
}

// Paces returns the changes of such beliefs since the last call.
func (c *Core) Paces() []PaceChange {
	list := c.paceChanges
	c.paceChanges = nil
	return list
}

// comparePaces compares the paces of the targets of each pool.
func (c *Core) comparePaces(now clock.Milli) {
	passed := now - c.paced
	c.paced = now
	means := make(map[schema.Name][]float64)
	for _, t := range c.list {
		if m, ok := t.pace.mean(); ok {
			means[t.Pool] = append(means[t.Pool], m)
		}
	}
	usual := make(map[schema.Name]float64, len(means))
	for name, list := range means {
		slices.Sort(list)
		usual[name] = list[(len(list)-1)/2]
	}
	for _, t := range c.list {
		was := t.pace.slowness() >= slowFrom
		m, ok := t.pace.mean()
		if u := usual[t.Pool]; ok && u > 0 && len(means[t.Pool]) > 1 {
			t.pace.learn(m, u)
		} else {
			t.pace.doubtSlow(passed)
		}
		if slow := t.pace.slowness(); was != (slow >= slowFrom) {
			c.paceChanges = append(c.paceChanges, PaceChange{ID: t.ID, Slow: slow, Requests: t.pace.seen().n + t.pace.peers.n})
		}
	}
}

// turnPaces begins new windows, if it is time.
func (c *Core) turnPaces(now clock.Milli) {
	if now-c.turned < paceWindow {
		return
	}
	c.turned = now
	for _, t := range c.list {
		t.pace.turn()
	}
}

// waits reports whether a request's wait says something of its target. After the
// fabric spread its flows anew, the answers to earlier requests may have passed
// through other daemons.
func (c *Core) waits(now clock.Milli, r *record) bool {
	return r.asked > c.spread && now-r.asked >= waitsAt && now-r.asked < activeFor
}

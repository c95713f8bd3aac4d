package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
)

const (
	// stuckAfter is the least time without an answer to several requests after
	// which their target counts as stuck, stuckAims the same in times of what the
	// route's requests should take.
	stuckAfter = 1500 * clock.Milli(1)
	stuckAims  = 3
	// stuckRequests is the number of requests that must wait for that.
	stuckRequests = 2
	// loneAfter is the least time after which one request alone is given up,
	// loneAims the same in times of what it should take, loneTimes in times of the
	// longest that any request took lately.
	loneAfter = 2500 * clock.Milli(1)
	loneAims  = 5
	loneTimes = 3
	// tookFor is how long the time that a request took counts, at least.
	tookFor = 2 * clock.Second
	// stuckFor is how long a target counts as stuck without an answer.
	stuckFor = 3 * clock.Second
	// lately is how long ago this daemon must have passed on a packet that was
	// answered, to know that clients' packets still come here.
	lately = 600 * clock.Milli(1)
)

// SetSteady sets whether the fabric leaves flows with their daemon when others
// join. A flow that goes on elsewhere can't be told from one without an answer
// then, so no target counts as stuck.
func (c *Core) SetSteady(steady bool) { c.steady = steady }

// scanStuck finds the targets that take requests and answer none: they acknowledge
// them, so that nothing is sent again, and accept flows.
func (c *Core) scanStuck(now clock.Milli) {
	if c.steady || now-c.reached > lately || c.Deaf(now) || c.justStalled(now) {
		return
	}
	for tuple, r := range c.flows.records {
		if r.asked != 0 && !r.closed && r.route != nil && r.route.Aim > 0 && now-r.asked >= stuckAfter {
			c.noteStuck(now, tuple, r)
		}
	}
}

// noteStuck judges a target by a request that waits. If nobody had an answer to
// another since, the target is stuck; one that is only slow answers some. If others
// are answered, by this target or not, in a fraction of the time, that request alone
// is: a target may fail some, or refuse what its queue can't hold. If flows came from
// other daemons meanwhile, this one's may be answered there.
func (c *Core) noteStuck(now clock.Milli, tuple flow.Tuple, r *record) {
	t, waited := r.target, now-r.asked
	if t.gone || c.adopted >= r.asked {
		return
	}
	several := t.served < r.asked && t.load.waiting+t.load.peerBusy >= stuckRequests
	switch {
	case several && waited >= max(stuckAfter, stuckAims*r.route.Aim):
		if !t.stuck(now) {
			c.suspect(t)
		}
		t.stuckAt = now
	case c.givesUp(r) && waited >= max(loneAfter, loneAims*r.route.Aim, loneTimes*c.took.longest()):
		c.resets = append(c.resets, Ended{Tuple: tuple, Ack: r.ack, Target: t, Reason: TargetStuck})
		c.flows.remove(tuple)
	}
}

// tookTimes remembers how long requests took lately, in two spans of tookFor.
type tookTimes struct {
	began    clock.Milli
	now, old clock.Milli
}

func (k *tookTimes) add(now, took clock.Milli) {
	if now-k.began > tookFor {
		k.began, k.old, k.now = now, k.now, 0
	}
	k.now = max(k.now, took)
}

// longest returns the longest time that a request took lately.
func (k *tookTimes) longest() clock.Milli { return max(k.now, k.old) }

// stuck reports whether a target was found to be stuck lately, and nobody had an
// answer to a request since.
func (t *Target) stuck(now clock.Milli) bool {
	return t.stuckAt != 0 && now-t.stuckAt <= stuckFor && t.served < t.stuckAt
}

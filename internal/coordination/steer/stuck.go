package steer

import "coltsfootdock/internal/clock"

const (
	// stuckAfter is the least time without an answer to several requests after
	// which their target counts as stuck, stuckAims the same in times of what the
	// route's requests should take.
	stuckAfter = 1500 * clock.Milli(1)
	stuckAims  = 3
	// stuckRequests is the number of requests that must wait.
	stuckRequests = 2
	// stuckFor is how long a target counts as stuck without an answer.
	stuckFor = 3 * clock.Second
)

// scanStuck finds the targets that take requests and answer none: they acknowledge
// them, so that nothing is sent again, and accept flows. New flows go elsewhere; no
// flow ends for it, as one that went on through another daemon looks the same here.
func (c *Core) scanStuck(now clock.Milli) {
	if c.Deaf(now) || c.justStalled(now) {
		return
	}
	for _, r := range c.flows.records {
		if r.asked == 0 || r.closed || r.route == nil || r.route.Aim == 0 {
			continue
		}
		t := r.target
		several := t.load.waiting+t.load.peerBusy >= stuckRequests
		if several && t.served < r.asked && now-r.asked >= max(stuckAfter, stuckAims*r.route.Aim) {
			t.stuckAt = now
		}
	}
}

// stuck reports whether a target was found to be stuck lately, and nobody had an
// answer to a request since.
func (t *Target) stuck(now clock.Milli) bool {
	return t.stuckAt != 0 && now-t.stuckAt <= stuckFor && t.served < t.stuckAt
}

package steer

import "coltsfootdock/internal/clock"

const (
	// answerIn is how long a target has to answer a first packet before that
	// counts against it.
	answerIn = 120 * clock.Milli(1)
	// repeatIn is the least time after which a client sends a packet again.
	repeatIn = 150 * clock.Milli(1)
	// avoidMisses is the number of flows without an answer, with none that
	// had one since, after which a target is avoided; deadMisses and deadIn
	// the number and the time after which it counts as dead.
	avoidMisses = 2
	deadMisses  = 3
	deadIn      = 250 * clock.Milli(1)
	// afterStall is how long after a stall of its own a daemon's misses prove
	// nothing.
	afterStall = 500 * clock.Milli(1)
	// missFor is how long a miss counts.
	missFor   = 3 * clock.Second
	firstWait = 500 * clock.Milli(1)
	// followerWait is how long a daemon that does not try for all waits at
	// the most.
	followerWait = 8 * clock.Second
	// keepMisses is the number of misses of a target that are remembered.
	keepMisses = 8
	maxWait    = 4 * clock.Second
	// deafMisses and deafIn are the number of misses, and the time without an
	// answer of any target, that mean that this daemon is cut off itself.
	deafMisses = 4
	deafIn     = 500 * clock.Milli(1)
)

// word is what peers tell of a target's answers.
type word struct {
	// tellers is the number of peers that may miss answers, sure the number
	// of those that surely do, misses of how many flows, since when.
	tellers int
	sure    int
	misses  int
	since   clock.Milli
	// last is when a peer last had an answer.
	last clock.Milli
}

// told takes a peer's misses and reports whether they say anything: those
// before an answer that anyone had since don't.
func (a *answers) told(l *peerLoad) bool {
	if l.missed == 0 || l.since <= a.heard() {
		return false
	}
	w := &a.peers
	w.tellers++
	if l.sure == 0 {
		return true
	}
	if w.sure == 0 || l.since < w.since {
		w.since = l.since
	}
	w.sure++
	w.misses += l.sure
	return true
}

// unanswered is a packet that may have had no answer. That is sure once its
// client sent it again; until then the flow may have gone on through another
// daemon.
type unanswered struct {
	sent clock.Milli
	sure bool
}

// answers is the evidence on whether a target answers, from the packets that
// pass: a first packet without a second one, or data sent again, counts as a
// miss, as a target acknowledges both at once, however busy it is. All misses
// count where new flows are kept away, only sure ones where flows are ended.
//
// A target that does not answer is avoided for a while, then tried with one
// flow; the wait doubles. One daemon, the target's admitter, tries for all;
// the others follow when they hear that the target answered.
type answers struct {
	// last is when a flow last showed an answer.
	last clock.Milli
	// sent are the packets without an answer, the n latest.
	sent [keepMisses]unanswered
	n    int
	// missed is when the last miss was noted.
	missed clock.Milli
	until  clock.Milli
	wait   clock.Milli
	// trial is when a flow was sent to find out, zero if none was.
	trial clock.Milli
	peers word
}

// heard returns when anyone last had an answer.
func (a *answers) heard() clock.Milli { return max(a.last, a.peers.last) }

// ok notes an answer.
func (a *answers) ok(now clock.Milli) {
	*a = answers{last: now, peers: a.peers}
}

// miss notes a flow whose packet, sent at the given time, had no answer.
func (a *answers) miss(now, sent clock.Milli, sure bool) {
	if a.last > sent {
		return // the target answered others since
	}
	if sure && a.confirm(sent) {
		return
	}
	a.sent[a.n%keepMisses] = unanswered{sent: sent, sure: sure}
	a.n++
	a.missed = now
	a.trial = 0
	if a.silent() && now >= a.until {
		a.wait = min(maxWait, max(firstWait, 2*a.wait))
		a.until = now + a.wait
	}
}

// confirm makes a miss that was noted before a sure one.
func (a *answers) confirm(sent clock.Milli) bool {
	for i := range a.sent[:min(a.n, keepMisses)] {
		if u := &a.sent[i]; u.sent == sent && !u.sure {
			u.sure = true
			return true
		}
	}
	return false
}

// after returns the number of misses, or of sure ones, whose packets were sent
// after a time, and when the first of those was.
func (a *answers) after(t clock.Milli, sure bool) (n int, since clock.Milli) {
	for _, u := range a.sent[:min(a.n, keepMisses)] {
		if u.sent < t || sure && !u.sure {
			continue
		}
		if n == 0 || u.sent < since {
			since = u.sent
		}
		n++
	}
	return n, since
}

// silent reports whether flows say that the target does not answer, to this
// daemon or to all. After a first wait one more miss is enough.
func (a *answers) silent() bool {
	own, _ := a.after(a.last, false)
	return a.wait > 0 || own >= avoidMisses || own+a.peers.tellers >= avoidMisses
}

// avoid reports whether new flows should go elsewhere than to a silent target.
// Tries tells whether this daemon is the one that tries for all.
func (a *answers) avoid(now clock.Milli, tries bool) bool {
	if a.wait == 0 || a.trial != 0 && now-a.trial < 2*answerIn {
		return true
	}
	if a.peers.last > a.missed {
		return false // a peer had an answer since
	}
	return now < a.until || !tries && now-a.missed < followerWait
}

// try notes that a flow is sent to a target that was avoided until now.
func (a *answers) try(now clock.Milli) {
	if a.wait > 0 {
		a.trial = now
	}
}

// expire drops misses that are too old to tell anything.
func (a *answers) expire(now clock.Milli) {
	if a.n > 0 && now-a.missed > missFor {
		a.n = 0
	}
}

// Deaf reports whether no target answers this daemon, which is then more
// likely cut off itself.
func (c *Core) Deaf(now clock.Milli) bool {
	return c.missedAll >= deafMisses && now-c.answered > deafIn && now-c.missedAt < missFor
}

// Barren reports whether no target accepts this daemon's new flows, though
// established ones may go on.
func (c *Core) Barren(now clock.Milli) bool {
	return c.openMisses >= deafMisses && now-c.opened > deafIn
}

// TryOpens forgets the new flows that no target accepted.
func (c *Core) TryOpens() { c.openMisses = 0 }

// accepted notes that a target accepted a new flow.
func (c *Core) accepted(now clock.Milli) { c.opened, c.openMisses = now, 0 }

// answer notes an answer of a target.
func (c *Core) answer(now clock.Milli, t *Target) {
	t.answers.ok(now)
	c.heard(t, now)
	if t.DataCentre == c.home {
		c.answeredHome = now
	}
	c.passed(t, now)
	c.answered, c.missedAll = now, 0
}

// doubt counts a flow whose packet, sent at the given time, may have had no
// answer against its target.
func (c *Core) doubt(now clock.Milli, r *record, sent clock.Milli) {
	r.doubted = true
	r.target.answers.miss(now, sent, false)
	c.suspect(r.target)
	if n, since := r.target.answers.after(r.target.answers.heard(), false); n >= avoidMisses {
		c.question(r.target, since, false)
	}
	c.alarm = true
}

// miss counts a flow whose client sent a packet again against its target, once
// until it makes progress. The fault is the target's only if a packet that this
// daemon passed on later had its answer already: else the first one may wait on
// this daemon's own link.
func (c *Core) miss(now clock.Milli, r *record, sent clock.Milli) {
	if c.reached >= sent {
		r.doubted, r.missed = true, true
		r.target.answers.miss(now, sent, true)
		c.suspect(r.target)
		c.question(r.target, now, true)
	} else if !r.doubted {
		c.doubt(now, r, sent)
	}
	if r.opened != 0 {
		c.openMisses++
	}
	c.missedAll++
	c.missedAt = now
	c.alarm = true
}

// Alarm reports whether there was a miss since the last call, which peers
// should hear of soon.
func (c *Core) Alarm() bool {
	a := c.alarm
	c.alarm = false
	return a
}

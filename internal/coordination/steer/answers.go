package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

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
	// deadTellers is the number of peers whose misses are enough alone.
	deadTellers = 3
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

// evidence adds up what is known for sure of one or several targets' answers.
type evidence struct {
	own     int
	tellers int
	misses  int
	since   clock.Milli
	last    clock.Milli
	targets int
}

// add takes the misses of a target that came after it, or another of those
// that the evidence is about, was last heard.
func (e *evidence) add(a *answers) {
	e.last = max(e.last, a.heard())
	own, since := a.after(e.last, true)
	peers := a.peers
	if peers.since <= e.last {
		peers.misses, peers.sure = 0, 0
	}
	if own+peers.misses == 0 {
		return
	}
	e.targets++
	earliest := func(t clock.Milli) {
		if e.own+e.tellers == 0 || t < e.since {
			e.since = t
		}
	}
	if own > 0 {
		earliest(since)
		e.own += own
	}
	if peers.misses > 0 {
		earliest(peers.since)
		e.tellers = max(e.tellers, peers.sure)
		e.misses += peers.misses
	}
}

// dead reports whether the evidence shows that nothing answers. It takes
// misses of this daemon's own, and others of its own or of two peers, or those
// of several peers for longer: a peer that is cut off itself must not condemn
// what it can't reach.
func (e *evidence) dead(now clock.Milli) bool {
	if e.last > e.since || e.own+e.misses < deadMisses {
		return false
	}
	if e.own == 0 {
		return e.tellers >= deadTellers && now-e.since >= 2*deadIn
	}
	return now-e.since >= deadIn && (e.own >= avoidMisses || e.tellers >= 2)
}

// silent reports whether the evidence holds a miss and no answer since. That
// is enough to condemn one target of a data centre that is dark, and no less:
// a target there that is merely idle may live.
func (e *evidence) silent(now clock.Milli) bool {
	return e.own+e.misses > 0 && e.last <= e.since && now-e.since >= deadIn
}

// judge finds the targets that may be dark, and decides which data centres
// answer nobody.
func (c *Core) judge(now clock.Milli) {
	clear(c.darkDCs)
	c.suspects = slices.DeleteFunc(c.suspects, func(t *Target) bool {
		t.answers.expire(now)
		t.suspect = !t.gone && (t.answers.n > 0 || t.answers.peers.tellers > 0)
		return !t.suspect
	})
	if len(c.suspects) == 0 {
		return
	}
	all := make(map[schema.DataCentreID]*evidence)
	for _, t := range c.suspects {
		e := all[t.DataCentre]
		if e == nil {
			e = &evidence{last: c.heardDCs[t.DataCentre]}
			all[t.DataCentre] = e
		}
		e.add(&t.answers)
	}
	for dc, e := range all {
		// In a large fleet each peer has flows on other targets.
		e.tellers = max(e.tellers, c.tellers[dc])
		if e.targets >= 2 && e.dead(now) {
			c.darkDCs[dc] = true
		}
	}
}

// suspect notes that a target left packets without an answer.
func (c *Core) suspect(t *Target) {
	if !t.suspect {
		t.suspect = true
		c.suspects = append(c.suspects, t)
	}
}

// Heard returns how long ago a target of this data centre was last heard by
// anyone, negative if never.
func (c *Core) Heard(now clock.Milli) clock.Milli {
	at, ok := c.heardDCs[c.home]
	if !ok {
		return -1
	}
	return now - at
}

// TakeHeard takes a peer's word that a target of its data centre was heard at a
// time.
func (c *Core) TakeHeard(dc schema.DataCentreID, at clock.Milli) {
	c.heardDCs[dc] = max(c.heardDCs[dc], at)
}

// heard notes that a target was heard by anyone.
func (c *Core) heard(t *Target, at clock.Milli) {
	c.TakeHeard(t.DataCentre, at)
}

// dark reports whether traffic shows that a target answers nobody. A daemon
// that hears no target at all can't tell.
func (c *Core) dark(now clock.Milli, t *Target) bool {
	if t.gone || c.Deaf(now) {
		return false
	}
	var e evidence
	e.add(&t.answers)
	return e.dead(now) || c.darkDCs[t.DataCentre] && e.silent(now)
}

// avoids reports whether new flows should not go to a target.
func (c *Core) avoids(now clock.Milli, t *Target) bool {
	if c.darkDCs[t.DataCentre] && t.answers.wait == 0 {
		return true
	}
	return t.answers.silent() && t.answers.avoid(now, c.admitter(t.Code))
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
	c.answered, c.missedAll = now, 0
}

// doubt counts a flow whose packet, sent at the given time, may have had no
// answer against its target.
func (c *Core) doubt(now clock.Milli, r *record, sent clock.Milli) {
	r.doubted = true
	r.target.answers.miss(now, sent, false)
	c.suspect(r.target)
	c.alarm = true
}

// miss counts a flow whose client sent a packet again against its target, once
// until it makes progress.
func (c *Core) miss(now clock.Milli, r *record, sent clock.Milli) {
	r.doubted, r.missed = true, true
	r.target.answers.miss(now, sent, true)
	c.suspect(r.target)
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

package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

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
// misses of this daemon's own, and others of its own or of two peers: peers that
// are cut off themselves must not condemn what they can't reach.
func (e *evidence) dead(now clock.Milli) bool {
	if e.own == 0 || e.last > e.since || e.own+e.misses < deadMisses {
		return false
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
	defer c.judgePaths()
	c.suspects = slices.DeleteFunc(c.suspects, func(t *Target) bool {
		t.answers.expire(now)
		t.suspect = !t.gone && (t.answers.n > 0 || t.answers.peers.tellers+t.missedNear > 0 || t.proved())
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

// justStalled reports whether answers may still wait behind packets that this
// daemon did not get to while it was stalled, or whose clients sent them again.
func (c *Core) justStalled(now clock.Milli) bool { return now-c.stalled <= afterStall }

// suspect notes that a target left packets without an answer.
func (c *Core) suspect(t *Target) {
	if !t.suspect {
		t.suspect = true
		c.suspects = append(c.suspects, t)
	}
}

// Heard returns how long ago a target of this data centre last answered this
// daemon, negative if never. What peers heard is not told on: each telling would
// make it younger by the time that it takes.
func (c *Core) Heard(now clock.Milli) clock.Milli {
	if c.answeredHome == clock.Never {
		return -1
	}
	return now - c.answeredHome
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
// that hears no target at all can't tell, nor one that was stalled: clients sent
// packets again that waited here.
func (c *Core) dark(now clock.Milli, t *Target) bool {
	if t.gone || c.Deaf(now) || c.justStalled(now) {
		return false
	}
	if t.proved() {
		return true
	}
	var e evidence
	e.add(&t.answers)
	return e.dead(now) || c.darkDCs[t.DataCentre] && e.silent(now)
}

// avoids reports whether new flows should not go to a target.
func (c *Core) avoids(now clock.Milli, t *Target) bool {
	if c.darkDCs[t.DataCentre] && t.answers.wait == 0 || c.path(t.DataCentre).broken || t.proved() || t.toldDead(now) {
		return true
	}
	return t.answers.silent() && t.answers.avoid(now, c.admitter(t.Code))
}

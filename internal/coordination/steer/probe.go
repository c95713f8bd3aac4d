package steer

import (
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// slowAnswer is the time without an answer to a request after which its
	// target is probed.
	slowAnswer = 300 * clock.Milli(1)
	// probeEvery is the least time between two probes of a target.
	probeEvery = 500 * clock.Milli(1)
	// probeTook is the longest time that a silent probe may have taken; one that
	// took longer waited in this process.
	probeTook = 250 * clock.Milli(1)
	// doubtFor is how long an unanswered packet is a reason for probes.
	doubtFor = 3 * clock.Second
	// proofTold is the number of summaries in which a daemon tells of a target
	// that accepts no connection, maxSuspects how many one summary names.
	proofTold   = 6
	maxSuspects = 128
	// toldDeadFor is how long word of such a target keeps new flows away.
	toldDeadFor = 1500 * clock.Milli(1)
)

// MaxProbes bounds the probes under way.
const MaxProbes = 8

// Outcome is what a probe, a connection to a target's address, showed.
type Outcome uint8

// The outcomes.
const (
	// Accepted means that something listens there, which may be slow, ill or
	// another target.
	Accepted Outcome = iota
	// Refused means that nothing listens there.
	Refused
	// Silent means that several attempts had no answer.
	Silent
	Outcomes // their number
)

var outcomeNames = [Outcomes]string{"accepted", "refused", "silent"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// Probe asks for a connection to a target.
type Probe struct {
	Code    fleet.Code
	ID      schema.TargetID
	Address netip.AddrPort
	Began   clock.Milli
}

// probing is what a daemon asks itself about a target since a packet had no
// answer in time.
//
// A daemon of a large fleet sees few packets of each target, so the misses of its
// own flows show late that one is dead. A connection shows it at once: a miss is
// the reason to probe, a failed probe the proof. Daemons tell each other of proofs;
// each proves it for itself before it ends flows.
type probing struct {
	// since is when the first packet without an answer was sent, zero if a probe
	// settled that; sure is set if one was sent again.
	since clock.Milli
	sure  bool
	// listed is set while the target is among the core's questions, busy while
	// a probe is under way, last is when the last one began.
	listed bool
	busy   bool
	last   clock.Milli
	// silent is when the last probe without an answer began.
	silent clock.Milli
	// dead is set once a probe proved that the target does not answer.
	dead bool
	// toldAt is when this daemon or a peer proved that, tell in how many summaries
	// it is still to be told.
	toldAt clock.Milli
	tell   int
}

// question notes that a packet of a target, sent at the given time, had no answer
// in time.
func (c *Core) question(t *Target, since clock.Milli, sure bool) {
	p := &t.probing
	if t.gone || t.Draining || t.answers.heard() >= since {
		return
	}
	if p.since == 0 {
		p.since = since
	}
	p.sure = p.sure || sure
	if !p.listed {
		p.listed = true
		c.questions = append(c.questions, t)
	}
}

// Probes returns the probes to make now. Each must be answered by Probed.
func (c *Core) Probes(now clock.Milli) []Probe {
	if len(c.questions) == 0 {
		return nil
	}
	var list []Probe
	c.questions = slices.DeleteFunc(c.questions, func(t *Target) bool {
		p := &t.probing
		c.conclude(now, t)
		if t.gone || t.answers.heard() >= p.since || !p.dead && now-p.since > doubtFor {
			p.listed, p.dead, p.sure, p.since, p.silent = false, false, false, 0, 0
			return true
		}
		if !p.busy && now-p.last >= probeEvery && c.probes < MaxProbes {
			c.probes++
			p.busy, p.last = true, now
			list = append(list, Probe{Code: t.Code, ID: t.ID, Address: t.Address, Began: now})
		}
		return false
	})
	return list
}

// Probed takes the outcome of a probe and reports whether it changed what is
// believed of the target.
func (c *Core) Probed(now clock.Milli, r Probe, o Outcome) bool {
	c.probes--
	t := c.codes[r.Code]
	if t == nil {
		return false
	}
	p := &t.probing
	p.busy = false
	was := p.dead
	switch {
	case o == Accepted:
		p.dead, p.sure, p.since, p.silent = false, false, 0, 0
	case !p.listed:
	case o == Refused:
		c.prove(now, t)
	case now-r.Began <= probeTook:
		p.silent = r.Began
		c.conclude(now, t)
	}
	return p.dead != was
}

// conclude decides whether a silent probe shows that its target is dead: a client
// repeated a packet too, and a packet that this daemon passed on after the probe
// began had an answer, so that the fault is not its own link's.
func (c *Core) conclude(now clock.Milli, t *Target) {
	p := &t.probing
	if p.silent != 0 && p.sure && !p.dead && c.reached >= p.silent && t.answers.heard() < p.since {
		c.prove(now, t)
	}
}

// prove notes that a target is dead, unless this daemon hears nobody or did not run
// just now.
func (c *Core) prove(now clock.Milli, t *Target) {
	if c.Deaf(now) || c.justStalled(now) || t.probing.dead {
		return
	}
	t.probing.dead = true
	c.suspect(t)
	c.tellDead(now, t)
}

// tellDead has the next summaries tell that a target is dead.
func (c *Core) tellDead(now clock.Milli, t *Target) {
	p := &t.probing
	p.toldAt, p.tell = now, proofTold
	c.proofs = append(c.proofs, t)
	c.alarm = true
}

// Suspects returns the targets of which this daemon or a peer proved lately that
// they are dead, to be told to peers.
func (c *Core) Suspects(now clock.Milli) []fleet.Suspect {
	var list []fleet.Suspect
	c.proofs = slices.DeleteFunc(c.proofs, func(t *Target) bool {
		p := &t.probing
		if p.tell == 0 || t.gone || now-p.toldAt > toldDeadFor || t.answers.heard() > p.toldAt {
			p.tell = 0
			return true
		}
		if len(list) < maxSuspects {
			p.tell--
			list = append(list, fleet.Suspect{Code: t.Code, Age: now - p.toldAt})
		}
		return false
	})
	return list
}

// TakeSuspects takes a peer's word of targets that are dead. It is told on, and
// the target probed if flows of it are known here.
func (c *Core) TakeSuspects(now clock.Milli, list []fleet.Suspect) {
	for _, s := range list {
		t := c.codes[s.Code]
		at := now - s.Age
		if t == nil || t.gone || now-at > toldDeadFor || t.answers.heard() >= at {
			continue
		}
		if p := &t.probing; p.toldAt == 0 || at > p.toldAt+toldDeadFor {
			p.toldAt, p.tell = at, proofTold
			c.proofs = append(c.proofs, t)
			c.alarm = true
			if t.load.held > 0 {
				c.question(t, at, true)
			}
		}
	}
}

// proved reports whether a probe of this daemon's own proved that a target does
// not answer, and nobody had an answer since.
func (t *Target) proved() bool {
	return t.probing.dead && t.answers.heard() < t.probing.since
}

// toldDead reports whether a peer proved that lately.
func (t *Target) toldDead(now clock.Milli) bool {
	p := &t.probing
	return p.toldAt != 0 && now-p.toldAt <= toldDeadFor && t.answers.heard() < p.toldAt
}

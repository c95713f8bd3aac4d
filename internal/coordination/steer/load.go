package steer

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// load counts what flows ask of a target.
type load struct {
	// flows and busy count this daemon's active flows and the requests that
	// wait for an answer; peers' are sums of what the peers told.
	flows     int
	busy      int
	peerFlows int
	peerBusy  int
	// held counts the open flows that this daemon remembers, idle ones too.
	held int
}

const (
	// flowShare is what an open flow weighs against a request at work.
	flowShare = 0.1
	// coldPenalty is added to the load of a target that is still cold.
	coldPenalty = 0.25
	// farPenalty is the load by which a target of another data centre must
	// be freer than the best of this one.
	farPenalty = 0.35
	// peerWeight is what peers' work weighs against this daemon's own where targets
	// are compared.
	peerWeight = 0.1
	// blur breaks ties, so that daemons don't all choose the same target.
	blur = 0.04
	// loadsFor is how long a peer's loads count.
	loadsFor = 1500 * clock.Milli(1)
)

// score returns how long a new request is expected to take on a target, beyond the
// usual time of one: the work for each slot, more if the target is slow.
func (t *Target) score() float64 { return t.expected(1) }

// order returns what the targets of a list are compared by. Peers' word counts little
// there: it is older than most requests take, and daemons that all hear it would all
// take the same targets until they hear of each other.
func (t *Target) order() float64 { return t.expected(peerWeight) }

// expected returns the score with the peers' part of the work at a weight.
func (t *Target) expected(weight float64) float64 {
	own := float64(t.load.busy) + flowShare*float64(t.load.flows)
	peers := float64(t.load.peerBusy) + flowShare*float64(t.load.peerFlows)
	return t.pace.slowness()*(1+(own+weight*peers)/float64(max(1, t.Slots))) - 1
}

// peerLoad is what a peer told of one target, with times of this daemon.
type peerLoad struct {
	code   fleet.Code
	flows  int
	busy   int
	missed int
	sure   int
	// since is when the first of the packets without an answer was sent.
	since clock.Milli
	pace  tally
}

// peerLoads is the last word of one peer, in the order of the codes.
type peerLoads struct {
	at clock.Milli
	// near is set if the peer is of this data centre.
	near  bool
	loads []peerLoad
}

// Loads returns what this daemon knows at first hand of the targets. Misses
// limits that to the targets that leave packets without an answer.
func (c *Core) Loads(now clock.Milli, misses bool) []fleet.Load {
	var list []fleet.Load
	for _, t := range c.list {
		missed, sure, since := 0, 0, now
		if t.answers.n > 0 {
			missed, since = t.answers.after(t.answers.heard(), false)
			if n, first := t.answers.after(t.answers.heard(), true); n > 0 && !c.justStalled(now) {
				sure, since = n, first
			}
		}
		if t.gone || missed == 0 && (misses || t.load.flows == 0 && now-t.answers.last > missFor) {
			continue
		}
		pace := t.pace.seen()
		list = append(list, fleet.Load{
			Code:   t.Code,
			Flows:  uint16(min(t.load.flows, 1<<16-1)),
			Busy:   uint16(min(t.load.busy, 1<<16-1)),
			Missed: uint16(missed),
			Sure:   uint16(sure),
			Since:  now - since,
			Heard:  now - t.answers.last,
			Paces:  uint16(min(pace.n, 1<<16-1)),
			Took:   pace.took,
		})
	}
	return list
}

// LoadsIn returns the part of what Loads told that daemons of another data centre
// need: their own targets, and those that don't answer.
func (c *Core) LoadsIn(dc schema.DataCentreID, list []fleet.Load) []fleet.Load {
	return slices.DeleteFunc(slices.Clone(list), func(l fleet.Load) bool {
		t := c.codes[l.Code]
		return l.Missed == 0 && (t == nil || t.DataCentre != dc)
	})
}

// TakeLoads takes what a peer told: of all targets that it uses, or only of
// those that it misses answers of.
func (c *Core) TakeLoads(now clock.Milli, from schema.VMID, dc schema.DataCentreID, list []fleet.Load, misses bool) {
	p := c.peers[from]
	if p == nil || !misses {
		p = &peerLoads{at: now, near: dc == c.home, loads: make([]peerLoad, 0, len(list))}
		c.peers[from] = p
	}
	for i := range list {
		l := &list[i]
		c.missesTold = c.missesTold || l.Missed > 0
		if l.Heard < missFor {
			c.peerHeard(l.Code, now-l.Heard, p.near)
		}
		p.put(peerLoad{code: l.Code, flows: int(l.Flows), busy: int(l.Busy), missed: int(l.Missed), sure: int(l.Sure), since: now - l.Since,
			pace: tally{n: int(l.Paces), took: l.Took}})
	}
	c.dirty = true
}

// put takes word of one target.
func (p *peerLoads) put(l peerLoad) {
	at, found := slices.BinarySearchFunc(p.loads, l.code, func(l peerLoad, code fleet.Code) int { return cmp.Compare(l.code, code) })
	if found {
		p.loads[at] = l
		return
	}
	p.loads = slices.Insert(p.loads, at, l)
}

// peerHeard notes that a target answered a peer, one of this data centre if near.
func (c *Core) peerHeard(code fleet.Code, at clock.Milli, near bool) {
	if t := c.codes[code]; t != nil {
		t.answers.peers.last = max(t.answers.peers.last, at)
		c.heard(t, at)
		if near {
			c.passed(t, at)
		}
	}
}

// sumLoads adds up what the peers told lately.
func (c *Core) sumLoads(now clock.Milli) {
	c.dirty, c.missesTold, c.lastSum = false, false, now
	for _, t := range c.list {
		t.load.peerFlows, t.load.peerBusy, t.pace.peers = 0, 0, tally{}
		t.answers.peers = word{last: t.answers.peers.last}
		t.missedNear = 0
	}
	clear(c.tellers)
	for id, p := range c.peers {
		if now-p.at > loadsFor {
			delete(c.peers, id)
			continue
		}
		var missing []schema.DataCentreID
		for i := range p.loads {
			l := &p.loads[i]
			t := c.codes[l.code]
			if t == nil {
				continue
			}
			t.load.peerFlows += l.flows
			t.load.peerBusy += l.busy
			t.pace.peers.n += l.pace.n
			t.pace.peers.took += l.pace.took
			if t.answers.told(l) {
				c.suspect(t)
			}
			if p.near && l.missed > 0 && l.since > c.path(t.DataCentre).heard {
				t.missedNear += l.missed
				c.suspect(t)
			}
			if l.sure > 0 && l.since > c.heardDCs[t.DataCentre] && !slices.Contains(missing, t.DataCentre) {
				missing = append(missing, t.DataCentre)
				c.tellers[t.DataCentre]++
			}
		}
	}
}

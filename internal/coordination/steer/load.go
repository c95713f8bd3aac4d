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
}

const (
	// flowShare is what an open flow weighs against a request at work.
	flowShare = 0.1
	// coldPenalty is added to the load of a target that is still cold.
	coldPenalty = 0.25
	// farPenalty is the load by which a target of another data centre must
	// be freer than the best of this one.
	farPenalty = 0.35
	// blur breaks ties, so that daemons don't all choose the same target.
	blur = 0.04
	// loadsFor is how long a peer's loads count.
	loadsFor = 1500 * clock.Milli(1)
)

// score returns how loaded a target is, one meaning that all slots work.
func (t *Target) score() float64 {
	work := float64(t.load.busy+t.load.peerBusy) + flowShare*float64(t.load.flows+t.load.peerFlows)
	return work / float64(max(1, t.Slots))
}

// peerLoads is the last word of one peer.
type peerLoads struct {
	at    clock.Milli
	loads []fleet.Load
}

// Loads returns what this daemon knows at first hand of the targets.
func (c *Core) Loads(now clock.Milli) []fleet.Load {
	var list []fleet.Load
	for code, t := range c.codes {
		missed, since := t.answers.after(t.answers.heard())
		if t.load.flows == 0 && missed == 0 && now-t.answers.last > missFor || t.gone {
			continue
		}
		list = append(list, fleet.Load{
			Code:   code,
			Flows:  uint16(min(t.load.flows, 1<<16-1)),
			Busy:   uint16(min(t.load.busy, 1<<16-1)),
			Missed: uint16(missed),
			Since:  now - since,
			Heard:  now - t.answers.last,
		})
	}
	slices.SortFunc(list, func(x, y fleet.Load) int { return cmp.Compare(x.Code, y.Code) })
	return list
}

// TakeLoads takes what a peer told.
func (c *Core) TakeLoads(now clock.Milli, from schema.VMID, list []fleet.Load) {
	c.peers[from] = &peerLoads{at: now, loads: list}
	c.dirty = true
}

// sumLoads adds up what the peers told lately.
func (c *Core) sumLoads(now clock.Milli) {
	c.dirty = false
	for _, t := range c.codes {
		t.load.peerFlows, t.load.peerBusy = 0, 0
		t.answers.peers = word{}
	}
	c.eachLoad(now, func(p *peerLoads, l *fleet.Load, t *Target) {
		t.load.peerFlows += int(l.Flows)
		t.load.peerBusy += int(l.Busy)
		t.answers.peers.heard(p.at, l)
	})
	c.eachLoad(now, func(p *peerLoads, l *fleet.Load, t *Target) { t.answers.told(p.at, l) })
}

// eachLoad calls f for all that the peers told lately.
func (c *Core) eachLoad(now clock.Milli, f func(p *peerLoads, l *fleet.Load, t *Target)) {
	for id, p := range c.peers {
		if now-p.at > loadsFor {
			delete(c.peers, id)
			continue
		}
		for i := range p.loads {
			if t := c.codes[p.loads[i].Code]; t != nil {
				f(p, &p.loads[i], t)
			}
		}
	}
}

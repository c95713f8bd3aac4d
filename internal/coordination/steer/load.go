package steer

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// load counts the flows and requests on a target.
type load struct {
	// flows counts this daemon's active flows, busy its requests without an
	// answer. peerFlows and peerBusy are sums of what the peers reported.
	flows     int
	busy      int
	peerFlows int
	peerBusy  int
	// remembered counts this daemon's recorded open flows, idle ones too.
	remembered int
	// waiting counts the requests that wait at this daemon, inFlight those that it
	// has sent and that are not answered or lost. limit is the target's part of the
	// pool's limit, zero if the target gets no new flows.
	waiting  int
	inFlight int
	limit    int
}

const (
	// flowWeight is the load of an open flow in relation to a running request.
	flowWeight = 0.1
	// coldPenalty is added to the score of a cold target.
	coldPenalty = 0.25
	// remotePenalty is by how much the score of a target of another data centre
	// must be lower than the best of this one.
	remotePenalty = 0.35
	// peerWeight is the weight of the peers' load in relation to this daemon's
	// own when the targets of a list are compared.
	peerWeight = 0.1
	// tieJitter is the most random score that is added to break ties, so that
	// daemons don't all choose the same target.
	tieJitter = 0.04
	// peerLoadTTL is how long a peer's reported loads count.
	peerLoadTTL = 1500 * clock.Milli(1)
)

// score returns how much longer than usual a new request is expected to take, in
// usual times of one: the load per slot, multiplied if the target is slow.
func (t *Target) score() float64 { return t.expected(1, t.timeRatio()) }

// rank returns the value by which the targets of a list are compared. The peers'
// load has a low weight: the reports are older than most requests take, and all
// daemons get the same ones, so that they would choose the same targets until the
// next reports. The learned service time has no part in it: equal loads per slot mean
// equally busy targets, and speedPenalty gives slow ones their smaller share.
func (t *Target) rank() float64 { return t.expected(peerWeight, 1) }

// expected returns the score, with the peers' load at the given weight and a service
// time in relation to the usual one.
func (t *Target) expected(weight, time float64) float64 {
	own := float64(t.load.busy+t.load.waiting) + flowWeight*float64(t.load.flows)
	peers := float64(t.load.peerBusy) + flowWeight*float64(t.load.peerFlows)
	return t.latency.slowness()*(1+time*(own+weight*peers)/float64(max(1, t.Slots))) - 1
}

// peerLoad is a peer's report of one target, with times of this daemon's clock.
type peerLoad struct {
	code            fleet.Code
	flows           int
	busy            int
	misses          int
	confirmedMisses int
	// firstMiss is when the first of the unanswered packets was sent.
	firstMiss clock.Milli
	latency   latencySum
}

// peerLoads is the latest report of one peer, sorted by code.
type peerLoads struct {
	receivedAt clock.Milli
	// local is set if the peer is in this data centre.
	local bool
	loads []peerLoad
}

// Loads returns this daemon's own observations of the targets. If missesOnly is
// set, only targets with misses are included.
func (c *Core) Loads(now clock.Milli, missesOnly bool) []fleet.Load {
	var list []fleet.Load
	for _, t := range c.targets {
		misses, confirmed, since := 0, 0, now
		if t.answers.missCount > 0 {
			misses, since = t.answers.missesSince(t.answers.lastAnswerAnywhere(), false)
			if n, first := t.answers.missesSince(t.answers.lastAnswerAnywhere(), true); n > 0 && !c.justStalled(now) {
				confirmed, since = n, first
			}
		}
		if t.gone {
			misses, confirmed = 0, 0
		}
		if t.gone && !t.answersAbsent() || misses == 0 && (missesOnly || t.load.flows == 0 && now-t.answers.lastAnswer > missTTL) {
			continue
		}
		latency := t.latency.own()
		list = append(list, fleet.Load{
			Code:            t.Code,
			Flows:           uint16(min(t.load.flows, 1<<16-1)),
			Busy:            uint16(min(t.load.busy, 1<<16-1)),
			Misses:          uint16(misses),
			ConfirmedMisses: uint16(confirmed),
			FirstMissAge:    now - since,
			LastAnswerAge:   now - t.answers.lastAnswer,
			Requests:        uint16(min(latency.n, 1<<16-1)),
			TotalLatency:    latency.total,
		})
	}
	return list
}

// LoadsIn returns the part of a list that daemons of another data centre need:
// the targets in that data centre, and those with misses.
func (c *Core) LoadsIn(dc schema.DataCentreID, list []fleet.Load) []fleet.Load {
	return slices.DeleteFunc(slices.Clone(list), func(l fleet.Load) bool {
		t := c.byCode[l.Code]
		return l.Misses == 0 && (t == nil || t.DataCentre != dc)
	})
}

// ApplyPeerLoads records a peer's report of all targets that it uses or, if missesOnly
// is set, only of those with misses.
func (c *Core) ApplyPeerLoads(now clock.Milli, from schema.VMID, dc schema.DataCentreID, list []fleet.Load, missesOnly bool) {
	p := c.peers[from]
	if p == nil || !missesOnly {
		p = &peerLoads{receivedAt: now, local: dc == c.localDC, loads: make([]peerLoad, 0, len(list))}
		c.peers[from] = p
	}
	for i := range list {
		l := &list[i]
		c.missesReported = c.missesReported || l.Misses > 0
		if l.LastAnswerAge < missTTL {
			c.recordPeerAnswer(l.Code, now-l.LastAnswerAge, p.local)
		}
		p.put(peerLoad{code: l.Code, flows: int(l.Flows), busy: int(l.Busy), misses: int(l.Misses), confirmedMisses: int(l.ConfirmedMisses), firstMiss: now - l.FirstMissAge,
			latency: latencySum{n: int(l.Requests), total: l.TotalLatency}})
	}
	c.loadsChanged = true
}

// put adds or replaces the report of one target.
func (p *peerLoads) put(l peerLoad) {
	at, found := slices.BinarySearchFunc(p.loads, l.code, func(l peerLoad, code fleet.Code) int { return cmp.Compare(l.code, code) })
	if found {
		p.loads[at] = l
		return
	}
	p.loads = slices.Insert(p.loads, at, l)
}

// recordPeerAnswer records that a target answered a peer, which is in this data
// centre if local is set.
func (c *Core) recordPeerAnswer(code fleet.Code, at clock.Milli, local bool) {
	if t := c.byCode[code]; t != nil {
		t.answers.peers.lastAnswer = max(t.answers.peers.lastAnswer, at)
		c.recordAnswerAnywhere(t, at)
		if local {
			c.recordPathAnswer(t, at)
		}
	}
}

// sumPeerLoads recomputes the sums of the peers' reports that still count.
func (c *Core) sumPeerLoads(now clock.Milli) {
	c.loadsChanged, c.missesReported, c.lastSum = false, false, now
	for _, t := range c.targets {
		t.load.peerFlows, t.load.peerBusy, t.latency.peers = 0, 0, latencySum{}
		t.answers.peers = peerMisses{lastAnswer: t.answers.peers.lastAnswer}
		t.localPeerMisses = 0
	}
	clear(c.confirmingPeers)
	for id, p := range c.peers {
		if now-p.receivedAt > peerLoadTTL {
			delete(c.peers, id)
			continue
		}
		var reported []schema.DataCentreID
		for i := range p.loads {
			l := &p.loads[i]
			t := c.byCode[l.code]
			if t == nil {
				continue
			}
			t.load.peerFlows += l.flows
			t.load.peerBusy += l.busy
			t.latency.peers.n += l.latency.n
			t.latency.peers.total += l.latency.total
			if t.answers.addPeerLoad(l) {
				c.addSuspect(t)
			}
			if p.local && l.misses > 0 && l.firstMiss > c.path(t.DataCentre).lastAnswer {
				t.localPeerMisses += l.misses
				c.addSuspect(t)
			}
			if l.confirmedMisses > 0 && !t.gone && l.firstMiss > c.lastAnswerDCs[t.DataCentre] && !slices.Contains(reported, t.DataCentre) {
				reported = append(reported, t.DataCentre)
				c.confirmingPeers[t.DataCentre]++
			}
		}
	}
}

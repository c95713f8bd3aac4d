package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// minConfirmingPeers is the number of peers whose confirmed misses replace a
	// second miss of this daemon's own.
	minConfirmingPeers = 2
	// minUnresponsiveTargets is the number of targets with confirmed misses from
	// which their data centre may count as unresponsive.
	minUnresponsiveTargets = 2
)

// evidence sums up the confirmed misses of one or more targets: the number of
// this daemon's own ones, of peers with some, and of those peers' ones; when the
// first was sent; when any of the targets last answered; and how many targets
// have misses.
type evidence struct {
	own        int
	reporters  int
	peerMisses int
	firstMiss  clock.Milli
	lastAnswer clock.Milli
	targets    int
}

// add adds the misses of a target that came after the last answer of it or of a
// target added before.
func (e *evidence) add(a *answerStats) {
	e.lastAnswer = max(e.lastAnswer, a.lastAnswerAnywhere())
	own, since := a.missesSince(e.lastAnswer, true)
	peers := a.peers
	if peers.since <= e.lastAnswer {
		peers.misses, peers.confirmed = 0, 0
	}
	if own+peers.misses == 0 {
		return
	}
	e.targets++
	earliest := func(t clock.Milli) {
		if e.own+e.reporters == 0 || t < e.firstMiss {
			e.firstMiss = t
		}
	}
	if own > 0 {
		earliest(since)
		e.own += own
	}
	if peers.misses > 0 {
		earliest(peers.since)
		e.reporters = max(e.reporters, peers.confirmed)
		e.peerMisses += peers.misses
	}
}

// unresponsive reports whether the evidence shows that nothing answers anyone. It
// requires deadMisses misses: one of this daemon's own, and a second own one or
// those of minConfirmingPeers peers. Peers that are disconnected themselves must
// not make this daemon reset flows to targets that only they can't reach.
func (e *evidence) unresponsive(now clock.Milli) bool {
	if e.own == 0 || e.lastAnswer > e.firstMiss || e.own+e.peerMisses < deadMisses {
		return false
	}
	return now-e.firstMiss >= deadAfter && (e.own >= avoidMisses || e.reporters >= minConfirmingPeers)
}

// silent reports whether there is at least one confirmed miss and no answer since.
// That is enough for one target of an unresponsive data centre. It is also
// necessary: a target there that is only idle may be healthy.
func (e *evidence) silent(now clock.Milli) bool {
	return e.own+e.peerMisses > 0 && e.lastAnswer <= e.firstMiss && now-e.firstMiss >= deadAfter
}

// evaluateTargets updates the list of suspects, and decides which data centres
// and paths are unresponsive.
func (c *Core) evaluateTargets(now clock.Milli) {
	clear(c.unresponsiveDCs)
	defer c.evaluatePaths()
	c.suspects = slices.DeleteFunc(c.suspects, func(t *Target) bool {
		t.answers.expire(now)
		t.suspect = !t.replaced && (t.answers.missCount > 0 || t.answers.peers.reporters+t.localPeerMisses > 0 || !t.gone && t.provedDead())
		return !t.suspect
	})
	if len(c.suspects) == 0 {
		return
	}
	all := make(map[schema.DataCentreID]*evidence)
	for _, t := range c.suspects {
		if t.gone {
			continue
		}
		e := all[t.DataCentre]
		if e == nil {
			e = &evidence{lastAnswer: c.lastAnswerDCs[t.DataCentre]}
			all[t.DataCentre] = e
		}
		e.lastAnswer = max(e.lastAnswer, t.probe.acceptedBegan)
		e.add(&t.answers)
	}
	for dc, e := range all {
		// In a large fleet each peer may have flows on other targets, so the peers
		// are counted by data centre.
		e.reporters = max(e.reporters, c.confirmingPeers[dc])
		if e.targets >= minUnresponsiveTargets && e.unresponsive(now) {
			c.unresponsiveDCs[dc] = true
			c.silentTargets[dc] = e.targets
		}
	}
}

// justStalled reports whether this process stalled recently, or has just resumed and
// not ticked yet. Then answers may wait behind packets that it has not read yet, and
// clients may have retransmitted because of the stall.
func (c *Core) justStalled(now clock.Milli) bool {
	return now-c.lastStall <= stallGrace || c.lastTick != clock.Never && now-c.lastTick > stallThreshold
}

// addSuspect adds a target to the suspects, which left packets unanswered.
func (c *Core) addSuspect(t *Target) {
	if !t.suspect {
		t.suspect = true
		c.suspects = append(c.suspects, t)
	}
}

// SinceLocalAnswer returns the time since a target of this data centre last
// answered this daemon, negative if none ever did. Answers to peers are not
// included: each forwarding of such a report would make it look newer by the time
// it took.
func (c *Core) SinceLocalAnswer(now clock.Milli) clock.Milli {
	if c.lastLocalAnswer == clock.Never {
		return -1
	}
	return now - c.lastLocalAnswer
}

// RecordDataCentreAnswer records a peer's report that a target of its data centre
// answered at the given time.
func (c *Core) RecordDataCentreAnswer(dc schema.DataCentreID, at clock.Milli) {
	c.lastAnswerDCs[dc] = max(c.lastAnswerDCs[dc], at)
}

// recordAnswerAnywhere records that a target answered this daemon or a peer.
func (c *Core) recordAnswerAnywhere(t *Target, at clock.Milli) {
	c.RecordDataCentreAnswer(t.DataCentre, at)
}

// unresponsive reports whether the traffic shows that a target answers nobody. A
// daemon that gets no answers from any target can't tell, nor can one that has
// just stalled: clients retransmitted packets that waited here.
func (c *Core) unresponsive(now clock.Milli, t *Target) bool {
	if t.gone || !c.trustsMisses(now) {
		return false
	}
	if t.provedDead() || t.missesShowSilence(now) {
		return true
	}
	e := t.evidence()
	return c.unresponsiveDCs[t.DataCentre] && e.silent(now)
}

// trustsMisses reports whether misses may be a target's: this daemon gets answers and
// has not just stalled.
func (c *Core) trustsMisses(now clock.Milli) bool {
	return !c.NoTargetAnswers(now) && !c.justStalled(now)
}

// missesShowSilence reports whether the misses of a target alone show that it answers
// nobody.
func (t *Target) missesShowSilence(now clock.Milli) bool {
	e := t.evidence()
	return e.unresponsive(now)
}

// evidence returns the misses of a target since its last answer. A connection that it
// accepts is an answer, unless its entry is gone: another target may have its address.
func (t *Target) evidence() evidence {
	var e evidence
	if !t.gone {
		e.lastAnswer = t.probe.acceptedBegan
	}
	e.add(&t.answers)
	return e
}

// avoids reports whether new flows should go elsewhere than to a target.
func (c *Core) avoids(now clock.Milli, t *Target) bool {
	if c.unresponsiveDCs[t.DataCentre] && t.answers.backoff == 0 || c.path(t.DataCentre).broken || t.provedDead() || t.reportedDead(now) {
		return true
	}
	return t.answers.silent() && t.answers.avoid(now, c.admitter(t.Code))
}

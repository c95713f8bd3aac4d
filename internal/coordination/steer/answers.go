package steer

import "coltsfootdock/internal/clock"

const (
	// openAnswerTimeout is the time from a flow's first packet until a missing
	// second packet counts as a miss of the target.
	openAnswerTimeout = 120 * clock.Milli(1)
	// minRetransmitInterval is the shortest interval after which a packet with
	// old data counts as a retransmission. Sooner it is a reordered packet.
	minRetransmitInterval = 150 * clock.Milli(1)
	// avoidMisses is the number of misses since the last answer at which new
	// flows avoid a target. deadMisses is the number of confirmed misses, and
	// deadAfter the time since the first of them, at which a target counts as
	// unresponsive.
	avoidMisses = 2
	deadMisses  = 3
	deadAfter   = 250 * clock.Milli(1)
	// stallGrace is the time after a stall of this process during which its
	// misses prove nothing.
	stallGrace = 500 * clock.Milli(1)
	// missTTL is how long a miss counts.
	missTTL = 3 * clock.Second
	// minRetryBackoff is the first backoff of a silent target.
	minRetryBackoff = 500 * clock.Milli(1)
	// maxFollowerWait bounds how long a daemon that is not the target's
	// admitter waits for the admitter's trial before it makes its own.
	maxFollowerWait = 8 * clock.Second
	// maxKeptMisses is the number of latest misses kept for each target.
	maxKeptMisses = 8
	// maxRetryBackoff is the longest backoff.
	maxRetryBackoff = 4 * clock.Second
	// noAnswerMisses misses and noAnswerAfter without an answer of any target mean
	// that the fault is more likely this daemon's own connection.
	noAnswerMisses = 4
	noAnswerAfter  = 500 * clock.Milli(1)
	// trialTimeout is how long a trial flow keeps further flows away.
	trialTimeout = 2 * openAnswerTimeout
)

// peerMisses sums up what peers reported of a target's answers.
type peerMisses struct {
	// reporters is the number of peers with misses, confirmed the number of
	// peers with confirmed misses. misses is the number of flows with confirmed
	// misses, since is when the first of them was sent.
	reporters int
	confirmed int
	misses    int
	since     clock.Milli
	// lastAnswer is when the target last answered a peer.
	lastAnswer clock.Milli
}

// addPeerLoad adds a peer's misses and reports whether they count. Misses
// from before the target's last answer to anyone don't.
func (a *answerStats) addPeerLoad(l *peerLoad) bool {
	if l.misses == 0 || l.firstMiss <= a.lastAnswerAnywhere() {
		return false
	}
	reports := &a.peers
	reports.reporters++
	if l.confirmedMisses == 0 {
		return true
	}
	if reports.confirmed == 0 || l.firstMiss < reports.since {
		reports.since = l.firstMiss
	}
	reports.confirmed++
	reports.misses += l.confirmedMisses
	return true
}

// unanswered is a packet that may have had no answer. The miss is confirmed
// once the client retransmits the packet. Until then the flow may have
// continued through another daemon.
type unanswered struct {
	sent      clock.Milli
	confirmed bool
}

// answerStats records whether a target answers, as seen in the packets that this
// daemon forwards. The daemon sees only the clients' packets, so it infers
// misses: a first packet without a second one, or a retransmission of data. A
// target's TCP stack acknowledges data at once, however busy the target is, and a
// first packet unless the target is full. All misses count for avoiding a target,
// only confirmed ones, of data, for resetting its flows.
//
// A target that does not answer is avoided for a backoff time, which doubles
// with each failed trial, and then tried with one flow. One daemon, the target's
// admitter, makes the trials. The others use the target again once they hear
// that it answered.
type answerStats struct {
	// lastAnswer is when the target last answered a flow through this daemon.
	lastAnswer clock.Milli
	// misses is a ring of the latest missCount misses.
	misses    [maxKeptMisses]unanswered
	missCount int
	// lastMiss is when the last miss was recorded.
	lastMiss   clock.Milli
	avoidUntil clock.Milli
	backoff    clock.Milli
	// trialAt is when a trial flow was last sent, zero if none is under way.
	trialAt clock.Milli
	peers   peerMisses
}

// lastAnswerAnywhere returns when the target last answered this daemon or a peer.
func (a *answerStats) lastAnswerAnywhere() clock.Milli { return max(a.lastAnswer, a.peers.lastAnswer) }

// recordAnswer records an answer, which ends the misses and the backoff.
func (a *answerStats) recordAnswer(now clock.Milli) {
	*a = answerStats{lastAnswer: now, peers: a.peers}
}

// recordMiss records that a packet that was sent at the given time had no answer.
func (a *answerStats) recordMiss(now, sent clock.Milli, confirmed bool) {
	if a.lastAnswer > sent {
		return // the target has answered later packets
	}
	if confirmed && a.confirm(sent) {
		return
	}
	a.misses[a.missCount%maxKeptMisses] = unanswered{sent: sent, confirmed: confirmed}
	a.missCount++
	a.lastMiss = now
	a.trialAt = 0
	if a.silent() && now >= a.avoidUntil {
		a.backoff = min(maxRetryBackoff, max(minRetryBackoff, 2*a.backoff))
		a.avoidUntil = now + a.backoff
	}
}

// confirm marks an earlier miss as confirmed and reports whether there was one.
func (a *answerStats) confirm(sent clock.Milli) bool {
	for i := range a.misses[:min(a.missCount, maxKeptMisses)] {
		if u := &a.misses[i]; u.sent == sent && !u.confirmed {
			u.confirmed = true
			return true
		}
	}
	return false
}

// missesSince returns the number of misses, or only of confirmed ones, whose
// packets were sent at or after t, and when the first of those was sent.
func (a *answerStats) missesSince(t clock.Milli, confirmedOnly bool) (n int, since clock.Milli) {
	for _, u := range a.misses[:min(a.missCount, maxKeptMisses)] {
		if u.sent < t || confirmedOnly && !u.confirmed {
			continue
		}
		if n == 0 || u.sent < since {
			since = u.sent
		}
		n++
	}
	return n, since
}

// silent reports whether there are enough misses, here and at peers, to avoid
// the target. During a backoff one more miss is enough.
func (a *answerStats) silent() bool {
	own, _ := a.missesSince(a.lastAnswer, false)
	return a.backoff > 0 || own >= avoidMisses || own+a.peers.reporters >= avoidMisses
}

// avoid reports whether new flows should not go to a silent target. isAdmitter
// tells whether this daemon is the one that makes the trials.
func (a *answerStats) avoid(now clock.Milli, isAdmitter bool) bool {
	if a.backoff == 0 || a.trialAt != 0 && now-a.trialAt < trialTimeout {
		return true
	}
	if a.peers.lastAnswer > a.lastMiss {
		return false // the target has answered a peer since
	}
	return now < a.avoidUntil || !isAdmitter && now-a.lastMiss < maxFollowerWait
}

// beginTrial records that a flow was sent to a target in backoff.
func (a *answerStats) beginTrial(now clock.Milli) {
	if a.backoff > 0 {
		a.trialAt = now
	}
}

// expire drops misses that are too old to count.
func (a *answerStats) expire(now clock.Milli) {
	if a.missCount > 0 && now-a.lastMiss > missTTL {
		a.missCount = 0
	}
}

// NoTargetAnswers reports whether no target answers this daemon. Then the daemon
// itself is more likely disconnected than all targets.
func (c *Core) NoTargetAnswers(now clock.Milli) bool {
	return c.missesSinceAnswer >= noAnswerMisses && now-c.lastAnswer > noAnswerAfter && now-c.lastMiss < missTTL
}

// NoTargetAcceptsFlows reports whether no target accepts this daemon's new flows,
// even if established flows continue.
func (c *Core) NoTargetAcceptsFlows(now clock.Milli) bool {
	return c.openMisses >= noAnswerMisses && now-c.lastAccepted > noAnswerAfter
}

// ResetOpenMisses resets the count of new flows that no target accepted.
func (c *Core) ResetOpenMisses() { c.openMisses = 0 }

// recordAccepted records that a target accepted a new flow.
func (c *Core) recordAccepted(now clock.Milli) { c.lastAccepted, c.openMisses = now, 0 }

// recordAnswer records that a target answered a flow.
func (c *Core) recordAnswer(now clock.Milli, t *Target) {
	t.answers.recordAnswer(now)
	c.recordAnswering(t)
	c.recordAnswerAnywhere(t, now)
	if t.DataCentre == c.localDC {
		c.lastLocalAnswer = now
	}
	c.recordPathAnswer(t, now)
	c.lastAnswer, c.missesSinceAnswer = now, 0
}

// recordUnconfirmedMiss records a miss of a flow whose packet, sent at the given
// time, may have been answered through another daemon.
func (c *Core) recordUnconfirmedMiss(now clock.Milli, r *flowRecord, sent clock.Milli) {
	r.missCounted = true
	r.target.answers.recordMiss(now, sent, false)
	c.addSuspect(r.target)
	if n, since := r.target.answers.missesSince(r.target.answers.lastAnswerAnywhere(), false); n >= avoidMisses {
		c.requestProbe(r.target, since, false)
	}
	c.reportSoon = true
}

// recordMiss records a miss of a flow whose client retransmitted a packet, once
// until the flow makes progress. The miss is confirmed only if a packet that
// this daemon forwarded at the time sent or later has been answered. Otherwise
// the fault may be this daemon's own connection, and the miss stays unconfirmed. So
// does that of a first packet: a target that holds as many flows as it can leaves
// these without an answer.
func (c *Core) recordMiss(now clock.Milli, r *flowRecord, sent clock.Milli) {
	opening := r.openedAt != 0
	mayBeConfirmed := c.latestAnsweredSend >= sent
	if mayBeConfirmed && !opening {
		r.missCounted, r.missConfirmed = true, true
		r.target.answers.recordMiss(now, sent, true)
		c.addSuspect(r.target)
	} else if !r.missCounted {
		c.recordUnconfirmedMiss(now, r, sent)
	}
	if mayBeConfirmed {
		c.requestProbe(r.target, now, !opening)
	}
	if opening {
		c.openMisses++
	}
	c.missesSinceAnswer++
	c.lastMiss = now
	c.reportSoon = true
}

// TakeReportSoon reports whether there is news since the last call that peers
// should hear at once: a miss, or a target that is dead.
func (c *Core) TakeReportSoon() bool {
	a := c.reportSoon
	c.reportSoon = false
	return a
}

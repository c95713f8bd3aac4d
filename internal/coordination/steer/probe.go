package steer

import (
	"cmp"
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// probeAfter is how long a request may be without an answer before its
	// target is probed.
	probeAfter = 300 * clock.Milli(1)
	// probeInterval is the shortest interval between two probes of a target.
	probeInterval = 500 * clock.Milli(1)
	// maxProbeTime is the longest time that a probe without an answer may have
	// taken. One that took longer was delayed in this process and proves nothing.
	maxProbeTime = 250 * clock.Milli(1)
	// probeReasonTTL is how long an unanswered packet is a reason for probes,
	// maxProbeReasonTTL that of a target that waits for its probe.
	probeReasonTTL    = 3 * clock.Second
	maxProbeReasonTTL = 2 * probeReasonTTL
	// silentProbes is the number of probes that must have no answer: the packets of
	// one may be lost.
	silentProbes = 2
	// deadReportCount is the number of summaries to peers that include a dead
	// target. maxReportedDead limits the dead targets in one summary.
	deadReportCount = 6
	maxReportedDead = 128
	// deadReportTTL is how long a report of a dead target keeps new flows away.
	deadReportTTL = 1500 * clock.Milli(1)
)

const (
	// maxKindProbes is the maximum number of concurrent probes of targets that are
	// proved dead, and of others. Neither delays the other.
	maxKindProbes = 8
	// MaxProbes is the maximum number of concurrent probes.
	MaxProbes = 2 * maxKindProbes
)

// Outcome is the result of a probe, a connection attempt to a target's address.
type Outcome uint8

// The outcomes of a probe.
const (
	// Accepted means that something listens at the address. It may be slow,
	// unhealthy or another target.
	Accepted Outcome = iota
	// Refused means that nothing listens at the address.
	Refused
	// Silent means that several attempts had no answer.
	Silent
	// Failed means that no attempt was possible.
	Failed
	Outcomes // number of outcomes
)

var outcomeNames = [Outcomes]string{"accepted", "refused", "silent", "failed"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

// Probe is a connection attempt to make to a target.
type Probe struct {
	Code    fleet.Code
	ID      schema.TargetID
	Address netip.AddrPort
	Began   clock.Milli
	// Control is the address of another target, which has just answered. It is to be
	// tried beside this one; invalid if there is none. Linked is set by the prober if it
	// answered in the time in which this one did not, so that the fault is not this
	// daemon's own connection.
	Control netip.AddrPort
	Linked  bool
	// again is set if the target was proved dead when the probe began.
	again bool
}

// probeState is the state of probing a target after a packet had no answer in
// time.
//
// In a large fleet a daemon sees few packets of each target, so the misses of its
// own flows are slow to show that the target is dead. A connection attempt shows
// it at once: a miss is the reason to probe, a failed probe the proof. Daemons
// report proofs to each other, and each one proves it again before it resets
// flows.
type probeState struct {
	// firstMiss is when the first unanswered packet was sent, zero if there is
	// none or a probe was accepted. confirmed is set if the client retransmitted
	// one.
	firstMiss clock.Milli
	confirmed bool
	// queued is set while the target is in the probe queue, active while a probe
	// is under way. lastBegan is when the last probe began.
	queued bool
	active bool
	// lastOutcome is the outcome of the last probe, lastDone when it ended, zero if
	// there was none.
	lastOutcome Outcome
	lastBegan   clock.Milli
	lastDone    clock.Milli
	// acceptedBegan is when the last probe began that was accepted.
	acceptedBegan clock.Milli
	// silentCount is the number of probes without an answer since the last answer
	// that this daemon's own connection does not explain.
	silentCount int
	// askAt is when a target that is absent and accepted a probe is asked again,
	// askInterval the time until then.
	askAt       clock.Milli
	askInterval clock.Milli
	// dead is set once a probe proved that the target does not answer.
	dead bool
	// reportedAt is when this daemon or a peer proved the target dead.
	// reportsLeft is the number of summaries that are still to include it.
	reportedAt  clock.Milli
	reportsLeft int
}

// requestProbe queues a target for probes because a packet, sent at the given time,
// had no answer in time.
func (c *Core) requestProbe(t *Target, sent clock.Milli, confirmed bool) {
	p := &t.probe
	if t.replaced || t.Draining && !t.gone || t.provedDead() && t.gone || t.answers.lastAnswerAnywhere() >= sent {
		return
	}
	if p.firstMiss == 0 {
		p.firstMiss = sent
	}
	p.confirmed = p.confirmed || confirmed
	if !p.queued {
		c.queueProbe(t)
	}
}

// queueProbe queues a target for probes.
func (c *Core) queueProbe(t *Target) {
	t.probe.queued = true
	c.probeQueue = append(c.probeQueue, t)
}

// forget ends what earlier probes and unanswered packets showed.
func (p *probeState) forget() {
	p.dead, p.confirmed, p.firstMiss, p.silentCount = false, false, 0, 0
}

// Probes returns the probes to start now. Each must be completed by ProbeDone.
func (c *Core) Probes(now clock.Milli) []Probe {
	if len(c.probeQueue) == 0 {
		return nil
	}
	var due []*Target
	c.probeQueue = slices.DeleteFunc(c.probeQueue, func(t *Target) bool {
		p := &t.probe
		c.checkSilence(now, t)
		if t.replaced || t.answers.lastAnswerAnywhere() >= p.firstMiss || !p.dead && p.expired(now) {
			p.queued = false
			p.forget()
			return true
		}
		if t.gone && p.dead {
			p.queued = false // known for good
			return true
		}
		if !p.active && now-p.lastBegan >= probeInterval {
			due = append(due, t)
		}
		return false
	})
	return c.startProbes(now, due)
}

// expired reports whether the reason for probes is too old. It lasts longer for a target
// that was not probed yet, or once without an answer: others may take all probes.
func (p *probeState) expired(now clock.Milli) bool {
	age := now - p.firstMiss
	waits := p.lastBegan < p.firstMiss || p.silentCount > 0 && p.silentCount < silentProbes
	return age > maxProbeReasonTTL || age > probeReasonTTL && !waits
}

// startProbes starts the probes of the targets that have waited the longest.
func (c *Core) startProbes(now clock.Milli, due []*Target) []Probe {
	slices.SortStableFunc(due, func(x, y *Target) int { return cmp.Compare(x.probe.lastBegan, y.probe.lastBegan) })
	var list []Probe
	for _, t := range due {
		p := &t.probe
		active := c.activeOf(p.dead)
		if *active >= maxKindProbes {
			continue
		}
		*active++
		p.active, p.lastBegan = true, now
		list = append(list, Probe{Code: t.Code, ID: t.ID, Address: t.Address, Began: now, Control: c.control(now, t), again: p.dead})
	}
	return list
}

// activeOf returns the count of active probes of targets that are proved dead, or of
// others.
func (c *Core) activeOf(dead bool) *int {
	if dead {
		return &c.activeReprobes
	}
	return &c.activeProbes
}

// control returns the address of the target that last answered this daemon, other than
// the one that is probed; invalid if there is none.
func (c *Core) control(now clock.Milli, t *Target) netip.AddrPort {
	for _, x := range c.answering {
		if x != nil && x != t && !x.gone && !x.provedDead() && now-x.answers.lastAnswer <= missTTL {
			return x.Address
		}
	}
	return netip.AddrPort{}
}

// recordAnswering keeps the last two targets that answered.
func (c *Core) recordAnswering(t *Target) {
	if c.answering[0] != t {
		c.answering[0], c.answering[1] = t, c.answering[0]
	}
}

// ProbeDone takes the outcome of a probe and reports whether it changed whether the
// target counts as dead.
func (c *Core) ProbeDone(now clock.Milli, r Probe, o Outcome) bool {
	*c.activeOf(r.again)--
	t := c.probed(r)
	if t == nil {
		return false
	}
	p := &t.probe
	p.active = false
	p.lastOutcome, p.lastDone = o, now
	was := p.dead
	if o == Refused {
		c.recordLoss(t, r.Began, true)
	}
	switch {
	case o == Accepted:
		p.forget()
		p.acceptedBegan = r.Began
		p.askInterval = min(maxAskInterval, max(minAskInterval, 2*p.askInterval))
		p.askAt = now + p.askInterval
	case !p.queued:
	case o == Refused:
		c.markDead(now, t)
	case c.isSilence(now, r):
		p.silentCount++
		if p.silentCount < silentProbes {
			p.lastBegan -= probeInterval // the next one follows at once
		}
		c.checkSilence(now, t)
	}
	return p.dead != was
}

// probed returns the target that a probe was made to, nil if it is forgotten.
func (c *Core) probed(r Probe) *Target {
	if t := c.byCode[r.Code]; t == nil || t.ID == r.ID {
		return t
	}
	for _, t := range c.colliding[r.Code] {
		if t.ID == r.ID {
			return t
		}
	}
	return nil
}

// isSilence reports whether a probe that had no answer counts: another target, or a
// packet that this daemon forwarded after the probe began, was answered before it
// ended, and this process ran all the while. Later answers show nothing: all packets
// may have waited at this daemon's own link.
func (c *Core) isSilence(now clock.Milli, r Probe) bool {
	return now-r.Began <= maxProbeTime && (r.Linked || c.latestAnsweredSend >= r.Began) && !c.justStalled(now)
}

// checkSilence marks a target as dead if probes had no answer, and a client
// retransmitted a packet too or the target's entry is gone for long.
func (c *Core) checkSilence(now clock.Milli, t *Target) {
	p := &t.probe
	if p.dead || p.silentCount < silentProbes || t.answers.lastAnswerAnywhere() >= p.firstMiss {
		return
	}
	if p.confirmed || c.silenceCounts(now, t) {
		c.markDead(now, t)
	}
}

// markDead marks a target as dead, unless this daemon gets no answers from any
// target or has just stalled.
func (c *Core) markDead(now clock.Milli, t *Target) {
	if c.NoTargetAnswers(now) || c.justStalled(now) || t.probe.dead {
		return
	}
	t.probe.dead = true
	c.foundLost = c.foundLost || t.gone
	c.recordLoss(t, now, false)
	c.addSuspect(t)
	c.reportDead(now, t)
}

// reportDead includes a dead target in the next summaries to peers.
func (c *Core) reportDead(now clock.Milli, t *Target) {
	p := &t.probe
	p.reportedAt, p.reportsLeft = now, deadReportCount
	c.deadReports = append(c.deadReports, t)
	c.reportSoon = true
}

// DeadTargets returns the targets that this daemon or a peer recently proved dead, to
// be reported to peers.
func (c *Core) DeadTargets(now clock.Milli) []fleet.DeadTarget {
	var list []fleet.DeadTarget
	c.deadReports = slices.DeleteFunc(c.deadReports, func(t *Target) bool {
		p := &t.probe
		if p.reportsLeft == 0 || t.gone || now-p.reportedAt > deadReportTTL || t.answers.lastAnswerAnywhere() > p.reportedAt {
			p.reportsLeft = 0
			return true
		}
		if len(list) < maxReportedDead {
			p.reportsLeft--
			list = append(list, fleet.DeadTarget{Code: t.Code, Age: now - p.reportedAt})
		}
		return false
	})
	return list
}

// ApplyDeadTargets takes a peer's report of dead targets. It is passed on to other
// peers, and a target with recorded flows is probed.
func (c *Core) ApplyDeadTargets(now clock.Milli, list []fleet.DeadTarget) {
	for _, s := range list {
		t := c.byCode[s.Code]
		at := now - s.Age
		if t == nil || t.gone || now-at > deadReportTTL || t.answers.lastAnswerAnywhere() >= at {
			continue
		}
		c.recordLoss(t, at, false)
		if p := &t.probe; p.reportedAt == 0 || at > p.reportedAt+deadReportTTL {
			p.reportedAt, p.reportsLeft = at, deadReportCount
			c.deadReports = append(c.deadReports, t)
			c.reportSoon = true
			if t.load.remembered > 0 {
				c.requestProbe(t, at, true)
			}
		}
	}
}

// provedDead reports whether a probe of this daemon proved that the target does
// not answer, and the target has answered nobody since.
func (t *Target) provedDead() bool {
	return t.probe.dead && t.answers.lastAnswerAnywhere() < t.probe.firstMiss
}

// reportedDead reports whether this daemon or a peer recently proved that.
func (t *Target) reportedDead(now clock.Milli) bool {
	p := &t.probe
	return p.reportedAt != 0 && now-p.reportedAt <= deadReportTTL && t.answers.lastAnswerAnywhere() < p.reportedAt
}

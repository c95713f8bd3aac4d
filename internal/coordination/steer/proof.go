package steer

import (
	"fmt"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// ProofKind is the kind of proof by which the open flows of a target are reset.
type ProofKind string

// The kinds of proof.
const (
	// Unproved means that there is no reason to reset flows.
	Unproved ProofKind = "none"
	// ByReplacement means that a newer start of the target replaced this one,
	// ByAddress that a newer target has its address.
	ByReplacement ProofKind = "replaced"
	ByAddress     ProofKind = "address"
	// ByRoute means that the flow's route was removed.
	ByRoute ProofKind = "route"
	// ByProbe means that a probe failed.
	ByProbe ProofKind = "probe"
	// ByMisses means that packets to the target had no answers, ByDataCentre that
	// packets to several targets of its data centre had none.
	ByMisses     ProofKind = "misses"
	ByDataCentre ProofKind = "data_centre"
)

// ProofKinds lists all kinds of proof.
var ProofKinds = []ProofKind{Unproved, ByReplacement, ByAddress, ByRoute, ByProbe, ByMisses, ByDataCentre}

// Removal is how a target's entry went away.
type Removal string

// The removals.
const (
	// Present means that the entry is there. Drained means that it was removed while
	// the target was draining, Vanished without a drain, Replaced that a newer start
	// took its place.
	Present  Removal = "present"
	Drained  Removal = "drained"
	Vanished Removal = "vanished"
	Replaced Removal = "replaced"
)

// noProbe is the probe outcome of a target that was never probed.
const noProbe = "none"

// ResetProof is what a daemon knows of a target when it resets one of its open
// flows. Ages are in milliseconds, -1 means never.
type ResetProof struct {
	Kind ProofKind
	// Gone is set if the target's entry was removed or replaced, GoneAge ago and by
	// revision GoneRev.
	Gone    bool
	GoneAge clock.Milli
	GoneRev schema.Version
	Removal Removal
	// StoreFailedAge is the age of the last failed read of the store, here or at a
	// peer.
	StoreFailedAge clock.Milli
	// HeardAge is the age of the target's last answer to this daemon, HeardAnywhereAge
	// of that to this daemon or a peer, AckAge of the last acknowledgement of new
	// data that the flow's client sent through this daemon.
	HeardAge         clock.Milli
	HeardAnywhereAge clock.Milli
	AckAge           clock.Milli
	// Misses counts this daemon's confirmed misses since the last answer, PeerMisses
	// those of Reporters peers. MissAge is the age of the first of them, or of the
	// first unanswered packet, a reason for probes, if none is confirmed.
	Misses     int
	PeerMisses int
	Reporters  int
	MissAge    clock.Milli
	// Probe is the outcome of the last probe, "none" if there was none. ProbeAge is
	// its age.
	Probe    string
	ProbeAge clock.Milli
	// Dead is set while a probe counts as proof that the target doesn't answer.
	Dead bool
	// SilentTargets is the number of targets with misses by which the target's data
	// centre counts as unresponsive, zero if it does not.
	SilentTargets int
}

// String returns the proof in the form of a log line's fields.
func (p ResetProof) String() string {
	entry := string(Present)
	if p.Gone {
		entry = fmt.Sprintf("%s/%d/%dms", p.Removal, p.GoneRev, p.GoneAge)
	}
	return fmt.Sprintf("entry=%s store_failed=%dms heard=%dms/%dms acked=%dms misses=%d/%d/%d first_miss=%dms probe=%s/%dms dead=%t dc_silent=%d",
		entry, p.StoreFailedAge, p.HeardAge, p.HeardAnywhereAge, p.AckAge, p.Misses, p.PeerMisses, p.Reporters, p.MissAge,
		p.Probe, p.ProbeAge, p.Dead, p.SilentTargets)
}

// Suspicious reports whether anything speaks for resetting the target's flows.
func (p ResetProof) Suspicious() bool {
	return p.Gone || p.Dead || p.Misses+p.PeerMisses+p.SilentTargets > 0
}

// ResetProof returns the proof by which a flow to a target is reset for a reason.
// acked is when its client last acknowledged new data, clock.Never if unknown.
func (c *Core) ResetProof(now clock.Milli, t *Target, reason Reason, acked clock.Milli) ResetProof {
	p := ResetProof{
		Kind: c.ProofKind(now, t, reason), GoneAge: -1, Removal: t.removal(),
		StoreFailedAge: ageOf(now, c.storeFailedAt), AckAge: ageOf(now, acked),
		HeardAge: ageOf(now, t.answers.lastAnswer), HeardAnywhereAge: ageOf(now, t.answers.lastAnswerAnywhere()),
		Probe: noProbe, ProbeAge: ageOf(now, t.probe.lastDone), Dead: t.probe.dead,
	}
	if t.gone {
		p.Gone, p.GoneAge, p.GoneRev = true, now-t.goneAt, t.goneRev
	}
	if t.probe.lastDone != 0 {
		p.Probe = t.probe.lastOutcome.String()
	}
	if c.unresponsiveDCs[t.DataCentre] {
		p.SilentTargets = c.silentTargets[t.DataCentre]
	}
	e := t.evidence()
	p.Misses, p.PeerMisses, p.Reporters, p.MissAge = e.own, e.peerMisses, e.reporters, ageOf(now, e.firstMiss)
	if p.MissAge < 0 {
		p.MissAge = ageOf(now, t.probe.firstMiss)
	}
	return p
}

// ProofKind returns the kind of proof by which a target's flows are reset for a
// reason.
func (c *Core) ProofKind(now clock.Milli, t *Target, reason Reason) ProofKind {
	switch reason {
	case RouteGone:
		return ByRoute
	case TargetGone:
		return c.absenceKind(now, t)
	case TargetUnresponsive:
		return c.silenceKind(now, t)
	}
	return Unproved
}

// silenceKind returns the kind of proof that a target is unresponsive.
func (c *Core) silenceKind(now clock.Milli, t *Target) ProofKind {
	if t.provedDead() {
		return ByProbe
	}
	e := t.evidence()
	switch {
	case e.unresponsive(now):
		return ByMisses
	case !t.gone && c.unresponsiveDCs[t.DataCentre]:
		return ByDataCentre
	}
	return Unproved
}

// absenceKind returns the kind of proof that a target without an entry is gone.
func (c *Core) absenceKind(now clock.Milli, t *Target) ProofKind {
	switch {
	case t.replaced:
		return ByReplacement
	case c.isSucceeded(t):
		return ByAddress
	}
	return c.silenceKind(now, t)
}

// removal returns how a target's entry went away.
func (t *Target) removal() Removal {
	switch {
	case !t.gone:
		return Present
	case t.replaced:
		return Replaced
	case t.drained:
		return Drained
	}
	return Vanished
}

// currentProof returns the proof by which a target's flows are reset now, if they are.
func (c *Core) currentProof(now clock.Milli, t *Target) ResetProof {
	reason := ByCookie
	switch {
	case t.gone:
		reason = TargetGone
	case c.unresponsive(now, t):
		reason = TargetUnresponsive
	}
	return c.ResetProof(now, t, reason, clock.Never)
}

// removalRev returns the revision by which a target's entry was removed or replaced,
// zero if it is unknown.
func (c *Core) removalRev(id schema.TargetID) schema.Version {
	e := c.replica.Entry(id)
	if e == nil {
		return 0
	}
	return e.Rev
}

// ackedAt returns when the flow's client last acknowledged new data here,
// clock.Never if it did not.
func (r *flowRecord) ackedAt() clock.Milli {
	if r == nil || r.lastAck == 0 {
		return clock.Never
	}
	return r.lastAck
}

// resetOpen removes an open flow and returns the verdict that resets it.
func (c *Core) resetOpen(s *flow.Segment, t *Target, route *Route, r *flowRecord, reason Reason) Verdict {
	v := Verdict{Action: Reset, Reason: reason, Target: t, Route: route, Changed: true, Acked: r.ackedAt()}
	c.flows.remove(s.Tuple)
	return v
}

// resetFlow removes a flow and adds it to the flows to reset.
func (c *Core) resetFlow(tuple flow.Tuple, r *flowRecord, reason Reason) {
	c.resets = append(c.resets, FlowReset{Tuple: tuple, Ack: r.ack, Target: r.target, Reason: reason, Acked: r.ackedAt()})
	c.flows.remove(tuple)
}

// ageOf returns the time since an event, -1 if it never happened.
func ageOf(now, at clock.Milli) clock.Milli {
	if at <= 0 {
		return -1
	}
	return now - at
}

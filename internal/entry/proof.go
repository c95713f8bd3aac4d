package entry

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
)

const (
	// resetLineInterval is the shortest interval between two lines on resets of a
	// target's open flows for the same reason.
	resetLineInterval = clock.Second
	// maxResetLines is the maximum number of such lines in one tick. The others wait
	// for the next one.
	maxResetLines = 64
)

// resetCause is a target and the reason for which its open flows are reset.
type resetCause struct {
	target *steer.Target
	reason steer.Reason
}

// resetSum sums up the resets for one cause that were not logged yet: the first of
// them with its proof, and their number.
type resetSum struct {
	resets   int
	example  flow.Tuple
	while    string
	proof    steer.ResetProof
	firstAt  clock.Milli
	loggedAt clock.Milli
}

// recordReset counts the reset of an open flow and adds it to the sum of its cause.
// while tells what the flow did: "packet" if a packet of it is answered by the reset,
// else "silent". The caller holds d.mu.
func (d *Daemon) recordReset(now clock.Milli, e *steer.FlowReset, while string) {
	d.metrics.openFlowsReset[d.core.ProofKind(now, e.Target, e.Reason)].Inc()
	cause := resetCause{target: e.Target, reason: e.Reason}
	x := d.resets[cause]
	if x == nil {
		x = &resetSum{loggedAt: clock.Never}
		d.resets[cause] = x
	}
	if x.resets == 0 {
		x.example, x.while, x.firstAt = e.Tuple, while, now
		x.proof = d.core.ResetProof(now, e.Target, e.Reason, e.Acked)
	}
	x.resets++
}

// recordResetVerdict records a verdict that resets an open flow, and logs it if it is
// the first of its cause. The caller holds d.mu.
func (d *Daemon) recordResetVerdict(now clock.Milli, s *flow.Segment, v *steer.Verdict) {
	d.recordReset(now, &steer.FlowReset{Tuple: s.Tuple, Target: v.Target, Reason: v.Reason, Acked: v.Acked}, "packet")
	cause := resetCause{target: v.Target, reason: v.Reason}
	if x := d.resets[cause]; x.due(now) {
		d.logResets(now, cause, x)
	}
}

// due reports whether a line may be logged.
func (x *resetSum) due(now clock.Milli) bool { return now-x.loggedAt >= resetLineInterval }

// flushResets logs the sums that are due, and forgets the causes without resets since
// their last line. The caller holds d.mu.
func (d *Daemon) flushResets(now clock.Milli) {
	lines := 0
	for cause, x := range d.resets {
		switch {
		case !x.due(now):
		case x.resets == 0:
			delete(d.resets, cause)
		case lines < maxResetLines:
			lines++
			d.logResets(now, cause, x)
		}
	}
}

// flushAllResets logs all sums, before the daemon ends.
func (d *Daemon) flushAllResets() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for cause, x := range d.resets {
		if x.resets > 0 {
			d.logResets(d.clock.Now(), cause, x)
		}
	}
}

// logResets logs the resets of a cause since its last line, with the proof of the
// first of them. If the log takes no line, they stay in the sum. The caller holds d.mu.
func (d *Daemon) logResets(now clock.Milli, cause resetCause, x *resetSum) {
	x.loggedAt = now
	t, w := cause.target, d.logView(now)
	logged := d.log.infof("reset: target=%s address=%s cookie=%08x reason=%s proof=%s resets=%d over=%dms client=%s service=%s while=%s %s version=%d config=%d/%dms targets=%d/%dms proved=%d/%dms/%s",
		t.ID, t.Address, uint32(t.Code), cause.reason, x.proof.Kind, x.resets, now-x.firstAt, x.example.Source(), x.example.Service(), x.while, x.proof,
		w.version, w.revs[fleet.Config], w.ages[fleet.Config], w.revs[fleet.Targets], w.ages[fleet.Targets], w.proof.Rev, w.proofAge, w.provedBy)
	if logged {
		x.resets = 0
	}
}

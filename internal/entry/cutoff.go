package entry

import "coltsfootdock/internal/clock"

// cutOffRetry is how long a daemon that is cut off stays out of rotation before
// it tries to serve again.
const cutOffRetry = 10 * clock.Second

// updateCutOff determines whether this daemon is cut off: no target accepts its
// new flows, and all daemons of other data centres are silent. It then reports
// not ready, so that the fabric can send its packets to daemons of other data
// centres. The state ends once another data centre is heard again, or after
// cutOffRetry.
//
// A daemon whose own data centre has no usable target also accepts the finding
// of its peers there. Otherwise a daemon that starts during a partition would
// become ready and lose new flows until it found out itself.
func (d *Daemon) updateCutOff(now clock.Milli) {
	othersSilent := d.membership.CutOff(now)
	switch {
	case d.cutOffSince == clock.Never:
		if othersSilent && d.core.NoTargetAcceptsFlows(now) {
			d.cutOffSince, d.summaryUrgent = now, true
		}
	case !othersSilent, now-d.cutOffSince > cutOffRetry:
		d.cutOffSince = clock.Never
		d.core.ResetOpenMisses()
	}
	if d.cutOffSince != clock.Never || d.core.NoTargetAnswers(now) {
		d.membership.RecordCutOff(now)
	}
	d.reportedCutOff = d.membership.CutOffReported(now) && d.core.NoLocalTarget(now)
}

// withdrawn reports whether the daemon left the rotation because it is
// cut off.
func (d *Daemon) withdrawn() bool { return d.cutOffSince != clock.Never || d.reportedCutOff }

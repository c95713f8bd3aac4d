package entry

import "coltsfootdock/internal/clock"

// isolationRetry is how long an isolated daemon stays out of rotation before it
// tries to serve again.
const isolationRetry = 10 * clock.Second

// updateIsolation determines whether this daemon is isolated: no target accepts
// its new flows, and all daemons of other data centres are silent. An isolated
// daemon reports not ready, so that the fabric can send its packets to daemons
// of other data centres. The state ends once another data centre is heard
// again, or after isolationRetry.
//
// A daemon whose own data centre has no usable target also accepts the finding
// of its peers there. Otherwise a daemon that starts during a partition would
// become ready and lose new flows until it found out itself.
func (d *Daemon) updateIsolation(now clock.Milli) {
	cutOff := d.membership.CutOff(now)
	switch {
	case d.isolatedSince == clock.Never:
		if cutOff && d.core.Barren(now) {
			d.isolatedSince, d.summaryUrgent = now, true
		}
	case !cutOff, now-d.isolatedSince > isolationRetry:
		d.isolatedSince = clock.Never
		d.core.TryOpens()
	}
	if d.isolatedSince != clock.Never || d.core.Deaf(now) {
		d.membership.FoundCut(now)
	}
	d.peerIsolated = d.membership.ToldCut(now) && d.core.NoneNear(now)
}

// withdrawn reports whether the daemon left the rotation because it is
// isolated.
func (d *Daemon) withdrawn() bool { return d.isolatedSince != clock.Never || d.peerIsolated }

package entry

import "coltsfootdock/internal/clock"

// cutFor is how long a daemon that is cut off stays out of rotation before it
// tries again.
const cutFor = 10 * clock.Second

// judgeCut decides whether this daemon is of no use to new flows: no target
// accepts them, and all other data centres are silent. The fabric can hand
// packets to daemons there. It is so until they are heard again. A daemon
// whose own data centre has no target for new flows believes its peers that
// found that out, so that those that start meanwhile need not try.
func (d *Daemon) judgeCut(now clock.Milli) {
	cut := d.crowd.CutOff(now)
	switch {
	case d.cutAt == clock.Never:
		if cut && d.core.Barren(now) {
			d.cutAt, d.news = now, true
		}
	case !cut, now-d.cutAt > cutFor:
		d.cutAt = clock.Never
		d.core.TryOpens()
	}
	if d.cutAt != clock.Never || d.core.Deaf(now) {
		d.crowd.FoundCut(now)
	}
	d.toldCut = d.crowd.ToldCut(now) && d.core.NoneNear(now)
}

// withdrawn reports whether the daemon left the rotation as it is cut off.
func (d *Daemon) withdrawn() bool { return d.cutAt != clock.Never || d.toldCut }

package watch

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

const (
	// differencePullInterval is the least time between two pulls because a peer holds
	// other objects of a topic at the same revision.
	differencePullInterval = 500 * clock.Milli(1)
	// A topic is listed if pulls don't settle a difference within 1/settleDivisor of the
	// bound, and up to as much again by the daemon's jitter.
	settleDivisor = 3
	// conflictSpread is by how much the jitter puts off that list if pulls can't settle
	// the difference: both views were shown to be complete up to the same revision.
	conflictSpread = 500 * clock.Milli(1)
	// differenceTimeout is how long after the last report a difference counts as
	// settled.
	differenceTimeout = clock.Second
)

// difference is what a reader remembers of peers that hold other objects of a topic
// at the same revision. Times are Never if there is no difference.
type difference struct {
	since    clock.Milli
	reported clock.Milli
	pulled   clock.Milli
	// conflicts is set if both views have the same proof, so that one is false.
	conflicts bool
}

// RecordDifference records that a peer holds other objects of a topic although both
// replicas are grounded and complete up to the same revision. It reports whether to
// pull what the peer holds. If pulls can't settle the difference, or don't in time, this
// daemon lists the topic.
func (r *Reader) RecordDifference(now clock.Milli, t fleet.Topic, theirs Proof) bool {
	d := &r.differences[t]
	if now-d.reported > differenceTimeout {
		d.since = now
	}
	d.reported, d.conflicts = now, theirs.Rev == r.proofs[t].Rev && !r.settles(now)
	if d.conflicts || now-d.pulled < differencePullInterval {
		return false
	}
	d.pulled = now
	return true
}

// lastingDifference returns a topic of which peers hold other objects, to be settled by
// the store.
func (r *Reader) lastingDifference(now clock.Milli) (fleet.Topic, bool) {
	for t, d := range r.differences {
		spread := r.bounds[t] / settleDivisor
		wait := spread + spread*r.jitter/jitterRange
		if d.conflicts {
			wait = conflictSpread * r.jitter / jitterRange
		}
		if d.since != clock.Never && now-d.reported <= differenceTimeout && now-d.since > wait {
			return fleet.Topic(t), true
		}
	}
	return 0, false
}

package watch

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

const (
	// differencePullInterval is the least time between two pulls because a peer holds
	// other objects of a topic at the same revision.
	differencePullInterval = 500 * clock.Milli(1)
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
}

// RecordDifference records that a peer holds other objects of a topic although both
// replicas are grounded and complete up to the same revision. It reports whether to
// pull what the peer holds. If pulls don't settle the difference within the bound,
// this daemon lists the topic.
func (r *Reader) RecordDifference(now clock.Milli, t fleet.Topic) bool {
	d := &r.differences[t]
	if now-d.reported > differenceTimeout {
		d.since = now
	}
	d.reported = now
	if now-d.pulled < differencePullInterval {
		return false
	}
	d.pulled = now
	return true
}

// lastingDifference returns a topic of which peers have held other objects for longer
// than the bound, and a part of it by this daemon's jitter.
func (r *Reader) lastingDifference(now clock.Milli) (fleet.Topic, bool) {
	for t, d := range r.differences {
		wait := r.bounds[t] + r.bounds[t]*r.jitter/jitterRange
		if d.since != clock.Never && now-d.reported <= differenceTimeout && now-d.since > wait {
			return fleet.Topic(t), true
		}
	}
	return 0, false
}

package watch

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// This file records what reads and peers' reports show: revisions, ages, back-offs.

// Abandon drops the read in flight, because the goroutine that made it failed and
// was restarted.
func (r *Reader) Abandon() { r.inFlight = false }

// Done records the end of a read that began at the given time. Rev is the store's
// revision in the answer.
func (r *Reader) Done(now, began clock.Milli, c Call, o Outcome, rev schema.Version) {
	r.inFlight = false
	r.lastDone = now
	r.adaptTimeout(now-began, c, o)
	r.RecordEra(now, rev.Era())
	switch o {
	case Failed:
		factor := r.backoffFactor()
		r.backoff = min(maxBackoff*factor, max(initialBackoff*factor*factor, 2*r.backoff))
		return
	case HistoryLost:
		if !r.relist[c.Topic] {
			r.historyLostAt = now
		}
		r.relist[c.Topic], r.doubtLost[c.Topic] = true, c.Since < r.revs[c.Topic] && c.Since.Era() == r.era
		r.backoff = 0
		return
	}
	r.backoff = 0
	r.newestRev = max(r.newestRev, rev)
	if c.Stale {
		r.listedAt = now
		r.advance(c.Topic, rev)
		return
	}
	if c.List {
		r.relist[c.Topic], r.grounded[c.Topic] = false, true
	}
	r.advance(c.Topic, rev)
	r.noteClaim(now)
	r.recordProof(began, c, rev)
	r.recordCheck(began, c)
	for t := range r.revs {
		if r.revs[t] >= rev {
			r.confirm(fleet.Topic(t), began)
		}
	}
}

// backoffFactor returns the factor by which back-offs are longer than those of the first
// rank. It grows with rank, so that the first ranks notice the end of an outage for all
// and the others make few calls.
func (r *Reader) backoffFactor() clock.Milli { return 1 + clock.Milli(min(r.rank, maxBackoffRank)) }

// backoffEnd returns the time before which no call follows the last one. The back-off is
// never longer than that of the rank that this daemon has now: those that were to notice
// the end of an outage for it may be lost.
func (r *Reader) backoffEnd() clock.Milli {
	return r.lastDone + min(r.backoff, maxBackoff*r.backoffFactor())
}

// adaptTimeout sets the next call's time limit after a call that took the given time.
func (r *Reader) adaptTimeout(took clock.Milli, c Call, o Outcome) {
	switch {
	case o == Failed && c.Timeout > 0 && took >= c.Wait+c.Timeout:
		r.timeout = 2 * r.timeout
	case o == Read && c.Wait <= immediateWait:
		r.timeout = 2 * took
	}
	r.timeout = max(minTimeout, min(r.timeout, r.bound/timeoutDivisor))
}

// confirm records that a topic was complete at the given time, unless its replica is
// not grounded.
func (r *Reader) confirm(t fleet.Topic, at clock.Milli) {
	if !r.grounded[t] {
		return
	}
	if at-r.confirmed[t] > r.bound/announceDivisor {
		r.announce = true
	}
	r.confirmed[t] = max(r.confirmed[t], at)
}

// confirmByPeer records a peer's report that a topic was complete at the given time.
func (r *Reader) confirmByPeer(t fleet.Topic, at clock.Milli) {
	if r.isLater(at, r.confirmed[t]) {
		r.confirm(t, at)
	}
}

// isLater reports whether a time that a peer reports is that of a later read than a known
// one.
func (r *Reader) isLater(reported, known clock.Milli) bool {
	if r.paused {
		return reported > known
	}
	return reported-known > r.bound/reportDivisor
}

// TakeChanged reports whether there has been a change since the last call of
// TakeChanged that peers should get soon.
func (r *Reader) TakeChanged() bool {
	n := r.announce
	r.announce = false
	return n
}

// Advance records an update of a topic by a peer. The replica is now complete up to
// a revision, as confirmed by a read that began at the given time; Never if there
// was no such read.
func (r *Reader) Advance(t fleet.Topic, rev schema.Version, began clock.Milli) {
	if rev < r.revs[t] {
		return
	}
	if began != clock.Never {
		r.grounded[t] = true
	}
	r.advance(t, rev)
	r.confirmByPeer(t, began)
}

// advance records that the replica of a topic is complete up to a revision.
func (r *Reader) advance(t fleet.Topic, rev schema.Version) {
	if rev < r.revs[t] {
		return
	}
	if rev > r.revs[t] {
		r.announce = true
		if !r.doubtLost[t] {
			r.relist[t] = false // the store may have the changes since rev
		}
	}
	r.revs[t] = rev
	if rev >= r.peerRevs[t] {
		r.behindSince[t] = clock.Never
	}
}

// RecordPeerRevision records a peer's report that the newest revision of a topic
// was rev at the time confirmed, as its grounded replica shows. It reports whether
// the peer has a higher revision than this daemon. A confirmation after this daemon's last read shows
// that the store answers, so it ends the longer back-off of the later ranks.
func (r *Reader) RecordPeerRevision(now clock.Milli, t fleet.Topic, rev schema.Version, confirmed clock.Milli) bool {
	if confirmed > r.lastDone {
		r.backoff = min(r.backoff, maxBackoff)
	}
	r.RecordEra(now, rev.Era())
	if rev > r.revs[t] {
		r.newestRev = max(r.newestRev, rev)
		r.peerRevs[t] = max(r.peerRevs[t], rev)
		if r.behindSince[t] == clock.Never {
			r.behindSince[t] = now
		}
		return true
	}
	if rev == r.revs[t] {
		r.grounded[t] = r.grounded[t] || confirmed != clock.Never
		r.confirmByPeer(t, confirmed)
	}
	return false
}

// NeedsSnapshot reports whether to ask a peer for a snapshot of a topic if it does not
// have the changes: this daemon has been behind its peers for
// snapshotRequestDelay, the store has dropped the changes, or the replica is not
// grounded, so that changes alone don't make it complete.
func (r *Reader) NeedsSnapshot(now clock.Milli, t fleet.Topic) bool {
	return !r.grounded[t] || r.relist[t] || r.behindSince[t] != clock.Never && now-r.behindSince[t] > snapshotRequestDelay
}

// InvalidateAges invalidates all ages after a pause of this process: messages
// that waited in its queues are older than the ages that they state. Until SettleAges,
// any later report counts, as the ones before may be such messages'.
func (r *Reader) InvalidateAges() {
	r.paused = true
	for t := range r.confirmed {
		r.confirmed[t] = clock.Never
	}
}

// SettleAges ends what InvalidateAges began.
func (r *Reader) SettleAges() { r.paused = false }

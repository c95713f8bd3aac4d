package member

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Confirm records that a platform read that began at the given time returned
// rev as the newest revision.
func (s *Set) Confirm(began clock.Milli, rev, mine schema.Version) {
	s.newestRevision = max(s.newestRevision, rev)
	if rev == mine {
		s.confirmedAt = max(s.confirmedAt, began)
	}
}

// Behind reports whether a revision newer than mine is known to exist.
func (s *Set) Behind(mine schema.Version) bool {
	return s.newestRevision > mine
}

// ConfirmAge returns the time since the platform last confirmed the view,
// here or for a peer that passed the confirmation on.
func (s *Set) ConfirmAge(now clock.Milli) clock.Milli {
	return now - s.confirmedAt
}

// ViewReplaced records that the view was replaced by revision rev.
// Confirmations of the previous view don't apply to the new one.
func (s *Set) ViewReplaced(rev schema.Version) {
	s.newestRevision = max(s.newestRevision, rev)
	s.confirmedAt = clock.Never
}

// LeaseExpired reports whether there is no evidence younger than Lease that
// any view is current.
func (s *Set) LeaseExpired(now clock.Milli) bool {
	return now-s.confirmedAt > Lease && !s.heardFromAll(now)
}

// ReachedByAll returns the highest revision, at most mine, that every
// registered daemon is known to have reached. It returns zero while one of
// them has not been heard from for GoneAfter: that daemon may use any older
// view until its lease expires.
func (s *Set) ReachedByAll(now clock.Milli, mine schema.Version) schema.Version {
	for _, p := range s.peers {
		if now-p.HeardAt > GoneAfter || p.boot == 0 {
			return 0
		}
		mine = min(mine, p.Revision)
	}
	return mine
}

// Fresh reports whether the lease of the view of revision mine is valid: no
// newer revision is known, and there is evidence younger than Lease that none
// is in effect.
func (s *Set) Fresh(now clock.Milli, mine schema.Version) bool {
	return s.newestRevision <= mine && !s.LeaseExpired(now)
}

// heardFromAll reports whether every peer that is not gone is known to have
// been alive within the last Lease, and there is at least one such peer.
func (s *Set) heardFromAll(now clock.Milli) bool {
	n := 0
	for _, p := range s.peers {
		if now-p.HeardAt > GoneAfter && now-p.aliveAt > GoneAfter {
			continue
		}
		if now-p.aliveAt > Lease {
			return false
		}
		n++
	}
	return n > 0
}

// MaybeOutdated reports whether the view of revision mine is known to be
// outdated, or whether this daemon can't tell because it hears from no peer
// or has not been running. A view whose lease expired for another reason,
// such as a peer that died while the platform is down, is still the best one
// available.
func (s *Set) MaybeOutdated(now clock.Milli, mine schema.Version) bool {
	if now-s.confirmedAt <= Lease && s.newestRevision <= mine {
		return false
	}
	return s.newestRevision > mine || s.Deaf(now) || now-s.lastTick > pauseThreshold
}

// Deaf reports whether all peers fell silent at once. A fault on this
// daemon's receiving side is a likelier cause than the failure of all peers.
func (s *Set) Deaf(now clock.Milli) bool {
	heardLately := false
	for _, p := range s.peers {
		if p.Reachable(now) {
			return false
		}
		heardLately = heardLately || now-p.HeardAt <= GoneAfter && p.Ready && !p.Out
	}
	return heardLately
}

package member

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Confirm notes that a platform read which began at the given time showed
// rev as the newest revision.
func (s *Set) Confirm(began clock.Milli, rev, mine schema.Version) {
	s.newest = max(s.newest, rev)
	if rev == mine {
		s.confirmed = max(s.confirmed, began)
	}
}

// Behind reports whether a newer revision than mine is known to exist.
func (s *Set) Behind(mine schema.Version) bool {
	return s.newest > mine
}

// ConfirmAge returns the age of the platform's confirmation of the view.
func (s *Set) ConfirmAge(now clock.Milli) clock.Milli {
	return now - s.confirmed
}

// Adopt notes that the view was replaced by a newer one: earlier
// confirmations do not cover it.
func (s *Set) Adopt(rev schema.Version) {
	s.newest = max(s.newest, rev)
	s.confirmed = clock.Never
}

// Lapsed reports whether there is no evidence of the lease's age for any view.
func (s *Set) Lapsed(now clock.Milli) bool {
	return now-s.confirmed > Lease && !s.heardAll(now)
}

// Acked returns the revision that every registered daemon is known to have
// reached, at most mine. It is zero while one of them is not heard: that one
// may act on any older view until its lease lapses.
func (s *Set) Acked(now clock.Milli, mine schema.Version) schema.Version {
	for _, p := range s.peers {
		if now-p.Heard > Gone || p.boot == 0 {
			return 0
		}
		mine = min(mine, p.Revision)
	}
	return mine
}

// Fresh reports whether the view of revision mine may be trusted now.
func (s *Set) Fresh(now clock.Milli, mine schema.Version) bool {
	return s.newest <= mine && !s.Lapsed(now)
}

// heardAll reports whether every daemon that is not gone was heard of within
// the lease, and there is at least one.
func (s *Set) heardAll(now clock.Milli) bool {
	n := 0
	for _, p := range s.peers {
		if now-p.Heard > Gone && now-p.sent > Gone {
			continue
		}
		if now-p.sent > Lease {
			return false
		}
		n++
	}
	return n > 0
}

// Blind reports whether the view of revision mine is known to be old, or this
// daemon can't tell as it hears nobody or did not run. A view whose lease has
// lapsed for another reason, such as a peer that died while the platform is
// down, is the best there is.
func (s *Set) Blind(now clock.Milli, mine schema.Version) bool {
	if now-s.confirmed <= Lease && s.newest <= mine {
		return false
	}
	return s.newest > mine || s.Deaf(now) || now-s.lastTick > pause
}

// Deaf reports whether all peers fell silent at once. That is more likely a
// fault of this daemon's receiving side than of all the others.
func (s *Set) Deaf(now clock.Milli) bool {
	lately := false
	for _, p := range s.peers {
		if p.Near(now) {
			return false
		}
		lately = lately || now-p.Heard <= Gone && p.Ready && !p.Out
	}
	return lately
}

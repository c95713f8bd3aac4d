package watch

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// checkDivisor: the reader lists the configuration and the outs at least once
	// in their bound/checkDivisor.
	checkDivisor = 2
	// watchSilence is how long watches may hear nothing while changes are made: a
	// second, and a margin.
	watchSilence = 1200 * clock.Milli(1)
	// targetsListInterval is the time between two lists of the targets by the
	// reader.
	targetsListInterval = 30 * clock.Second
	// maxClaims bounds the revisions of the targets that wait to be asked for again,
	// claimRetention how long they wait if this daemon does not read the store.
	maxClaims      = 32
	claimRetention = 2 * watchSilence
)

// claim is a revision of the targets and the time from which it was held.
type claim struct {
	at  clock.Milli
	rev schema.Version
}

// checks is what a reader remembers to tell changes that no watch told.
type checks struct {
	// listed is when the last current list of each topic began, Never if there was
	// none. due is when the next one is due.
	listed [fleet.Topics]clock.Milli
	due    [fleet.Topics]clock.Milli
	// afterList is set if the last read was a list. A poll comes before the next
	// check, so that checks don't hold up news of the targets.
	afterList bool
	// claims are the revisions of the targets that were held since the first of
	// them, the oldest first. Changes after the first may have to be asked for again.
	claims []claim
}

// checkInterval returns the time between two lists of a topic by the reader.
func (r *Reader) checkInterval(t fleet.Topic) clock.Milli {
	if t == fleet.Targets {
		return targetsListInterval
	}
	return r.bounds[t] / checkDivisor
}

// dueCheck returns the topic to list now because it was not listed for a while.
func (r *Reader) dueCheck(now clock.Milli) (fleet.Topic, bool) {
	if r.checks.afterList {
		return 0, false
	}
	for t := range fleet.Topics {
		interval, late := r.checkInterval(t), now-r.checks.due[t]
		switch {
		case late < 0:
		case late > interval && (r.rank != 0 || t == fleet.Targets):
			r.checks.due[t] = now + interval // another daemon was the reader until now
		default:
			return t, true
		}
	}
	return 0, false
}

// mayHaveChanged reports whether to list a topic, other than the targets, because the
// store has a newer revision.
func (r *Reader) mayHaveChanged(now clock.Milli, t fleet.Topic) bool {
	return r.revs[t] < r.newestRev && now-r.checks.listed[t] >= r.bounds[t]/longPollDivisor
}

// watchSince returns the revision since which to ask for changes of the targets:
// the one held, or an older one if watches may not have heard of the changes since.
func (r *Reader) watchSince(now clock.Milli) schema.Version {
	if c := r.checks.claims; len(c) > 1 && now-c[1].at >= watchSilence {
		return c[0].rev
	}
	return r.revs[fleet.Targets]
}

// recordClaim records the revision of the targets that is held.
func (r *Reader) recordClaim(now clock.Milli) {
	c := r.checks.claims
	for len(c) > 1 && now-c[1].at > claimRetention {
		c = c[1:]
	}
	if rev := r.revs[fleet.Targets]; len(c) == 0 || c[len(c)-1].rev != rev {
		if len(c) == maxClaims {
			c = slices.Delete(c, 1, 2)
		}
		c = append(c, claim{now, rev})
	}
	r.checks.claims = c
}

// recordCheck records a read that began at the given time, other than a stale list.
func (r *Reader) recordCheck(began clock.Milli, c Call) {
	r.checks.afterList = c.List
	if c.List {
		r.checks.listed[c.Topic] = began
		r.differences[c.Topic].since = began
		r.checks.due[c.Topic] = began + r.checkInterval(c.Topic)
	}
	if c.Topic != fleet.Targets {
		return
	}
	if c.List {
		r.checks.claims = nil
	}
	for len(r.checks.claims) > 1 && c.Since <= r.checks.claims[0].rev && began-r.checks.claims[1].at >= watchSilence {
		r.checks.claims = r.checks.claims[1:]
	}
}

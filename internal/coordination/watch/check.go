package watch

import (
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
	watchSilence = 1100 * clock.Milli(1)
	// targetsListInterval is the time between two lists of the targets by the
	// reader.
	targetsListInterval = 30 * clock.Second
)

// checks is what a reader remembers to tell changes that no watch told.
type checks struct {
	// listed is when the last current list of each topic began, Never if there was
	// none. due is when the next one is due.
	listed [fleet.Topics]clock.Milli
	due    [fleet.Topics]clock.Milli
	// afterList is set if the last read was a list. A poll comes before the next
	// check, so that checks don't hold up news of the targets.
	afterList bool
	// polled is when this daemon's last read of the targets began, Never if there was
	// none.
	polled clock.Milli
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

// doubtOverdue reports whether this daemon asks again for the changes of the targets that
// are in doubt, as the daemons of lower ranks have not.
func (r *Reader) doubtOverdue(now clock.Milli) bool {
	return r.rank != 0 && r.proofs[fleet.Targets].Rev != 0 && len(r.unproved) > 0 && now-r.unproved[0].at >= watchSilence+r.afterRanks(fleet.Targets, doubtTakeoverFraction, doubtTakeoverStepFraction)
}

// watchSince returns the revision since which to ask for changes of the targets: the
// one held, or the proved one if watches may not have heard of the changes since, or if
// this daemon takes over from another reader, whose second look may be owed.
func (r *Reader) watchSince(now clock.Milli) schema.Version {
	proved := r.proofs[fleet.Targets].Rev
	if proved != 0 && len(r.unproved) > 0 && (now-r.unproved[0].at >= watchSilence || now-r.checks.polled >= watchSilence) {
		return proved
	}
	return r.revs[fleet.Targets]
}

// recordCheck records a read that began at the given time, other than a stale list.
func (r *Reader) recordCheck(began clock.Milli, c Call) {
	r.checks.afterList = c.List
	if c.List {
		r.checks.listed[c.Topic] = began
		r.differences[c.Topic].since = began
		r.checks.due[c.Topic] = began + r.checkInterval(c.Topic)
	}
	if c.Topic == fleet.Targets {
		r.checks.polled = began
	}
}

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
	// none.
	listed [fleet.Topics]clock.Milli
	// targetsDue is when the targets are to be listed again if this daemon is the
	// reader.
	targetsDue clock.Milli
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

// listDueAt returns when this daemon lists a topic that watches may not tell of, other
// than the targets, unless a proof comes before: the reader after checkInterval, the
// others later by their rank.
func (r *Reader) listDueAt(t fleet.Topic, reads bool) clock.Milli {
	due := r.proofs[t].At + r.checkInterval(t)
	if reads {
		return due
	}
	return due + r.afterRanks(t, checkTakeoverFraction, checkTakeoverStepFraction)
}

// dueCheck returns the topic to list now because it was not listed for a while. Reads is
// set if this daemon reads the store for others.
func (r *Reader) dueCheck(now clock.Milli, reads bool) (fleet.Topic, bool) {
	if r.checks.afterList {
		return 0, false
	}
	for _, t := range []fleet.Topic{fleet.Config, fleet.Outs} {
		if r.grounded[t] && now >= r.listDueAt(t, reads) {
			return t, true
		}
	}
	switch late := now - r.checks.targetsDue; {
	case !reads || late < 0:
		return 0, false
	case late > targetsListInterval:
		r.checks.targetsDue = now + targetsListInterval // another daemon was the reader until now
		return 0, false
	}
	return fleet.Targets, true
}

// pollWait returns how long the reader's next poll may wait for a change: not at all if a
// list is due, and no longer than until a second look at changes in doubt is.
func (r *Reader) pollWait(now clock.Milli) clock.Milli {
	wait := r.longPoll()
	if now >= min(r.listDueAt(fleet.Config, true), r.listDueAt(fleet.Outs, true)) {
		wait = 0
	}
	if len(r.unproved) > 0 {
		wait = min(wait, r.unproved[0].at+watchSilence-now)
	}
	return max(immediateWait, wait)
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
	}
	if c.Topic == fleet.Targets {
		r.checks.polled = began
		if c.List {
			r.checks.targetsDue = began + targetsListInterval
		}
	}
}

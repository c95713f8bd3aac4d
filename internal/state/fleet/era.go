package fleet

import (
	"fmt"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// The store may return from a copy that is some seconds old: a new era. What a replica
// learned since the copy is newer than what the store then holds, and is kept until it is
// written again or until a bound passes within which it would have been.

const (
	// keepMissingTarget is how long after the first list of an era a target is kept that
	// the list does not have. Targets write their entries every 0.8 to 1.2 s, so those of
	// live targets are back within 2 s of the store's return; the rest covers the time of
	// the reads and of the messages between daemons.
	keepMissingTarget = 2500 * clock.Milli(1)
	// keepMissingOut is the same for the mark of a data centre that is out. An operator
	// writes it again, by a tool within seconds or by hand within half a minute. A mark
	// that is kept for too long costs capacity, one that is dropped too early sends new
	// flows into a data centre that is out.
	keepMissingOut = 30 * clock.Second
)

// kept records that a replica keeps an object although the store lists an older one or
// none.
type kept struct {
	// era is the era of the store in which the object is kept, zero if it is not kept.
	era uint16
	// at is when this daemon first kept it in that era.
	at clock.Milli
}

// begin marks the object as kept in an era, and reports whether it was not yet.
func (k *kept) begin(now clock.Milli, era uint16) (first bool) {
	if k.era >= era {
		return false
	}
	k.era, k.at = era, now
	return true
}

// KeptNote reports that a replica keeps an object that is newer than what the store has
// after its return, or that it no longer does.
type KeptNote struct {
	Topic Topic
	Name  string
	// Known is the version of what is kept, Listed that of the store's object or, if it
	// has none, of its list.
	Known  schema.Version
	Listed schema.Version
	// Ended is set if it is no longer kept.
	Ended  bool
	Reason string
}

// maxNotes bounds the notes that wait to be taken.
const maxNotes = 1000

func (r *Replica) note(n KeptNote) {
	if len(r.notes) < maxNotes {
		r.notes = append(r.notes, n)
	}
}

// TakeNotes returns the notes since the last call.
func (r *Replica) TakeNotes() []KeptNote {
	n := r.notes
	r.notes = nil
	return n
}

// Kept returns the number of objects of a topic that are kept against what the store has
// in its current era.
func (r *Replica) Kept(t Topic) int {
	n := 0
	switch t {
	case Targets:
		for _, e := range r.targets {
			if e.kept.era != 0 {
				n++
			}
		}
	case Config:
		if r.keepsTable() {
			n = 1
		}
	case Outs:
		for _, m := range r.outs {
			if m.kept.era != 0 {
				n++
			}
		}
	}
	return n
}

// beginEra records the first update of a topic that is of a later era.
func (r *Replica) beginEra(u *Update) {
	r.mayKeep = r.mayKeep || u.Rev.Era() != 0
	if t := u.Topic; u.Rev.Era() > r.bases[t].Era() {
		r.bases[t] = u.Rev
	}
}

// mayBeOfCopy reports whether a target's entry of a later era may be that of the copy from
// which the store returned, and so older than a known one of a former era. The store
// assigns revisions after the copy's again: an entry with a higher revision than the known
// one is newer, as is one with a higher revision than the first list of the era.
func (r *Replica) mayBeOfCopy(e *Entry, t *Target) bool {
	return t.Rev.Revision() <= e.Rev.Revision() && t.Rev <= r.bases[Targets]
}

// keepTarget keeps what is known of a target against an entry that may be of the copy. It
// reports false if the entry shows nothing older.
func (r *Replica) keepTarget(now clock.Milli, e *Entry, t *Target, c *Change) bool {
	known, reason := e.Rev, ""
	switch {
	case t.StartedAt > e.Target.StartedAt || !e.Gone && t.sameState(&e.Target):
		return false
	case e.Gone:
		reason = "removed"
	case t.StartedAt < e.Target.StartedAt:
		reason = "newer start"
	case e.Target.Draining && !t.Draining:
		reason = "draining"
	case t.Draining:
		return false
	default:
		reason = "newer entry"
	}
	// With the listed version, peers treat the kept entry as the store's one until the
	// entry is written again.
	e.Rev = t.Rev
	if !e.Gone {
		e.Target.Rev = t.Rev
		c.addTarget(t.ID)
	}
	if e.kept.begin(now, t.Rev.Era()) {
		r.note(KeptNote{Topic: Targets, Name: string(t.ID), Known: known, Listed: t.Rev, Reason: reason})
	}
	return true
}

// sameState reports whether two entries of a target state the same but for the remaining
// warm-up time.
func (t *Target) sameState(x *Target) bool {
	a, b := *t, *x
	a.ColdLeft, a.Rev, b.ColdLeft, b.Rev = 0, 0, 0, 0
	return a == b
}

// mergeKept takes over what a peer keeps of a target whose listed version this replica has
// too.
func (r *Replica) mergeKept(now clock.Milli, e *Entry, t *Target, c *Change) {
	newer := t.StartedAt > e.Target.StartedAt || t.StartedAt == e.Target.StartedAt && t.Draining && !e.Target.Draining
	if t.Rev.Era() == 0 || e.Gone || !newer {
		return
	}
	if t.StartedAt > e.Target.StartedAt {
		c.Replaced = append(c.Replaced, e.Target)
		e.Since = now
	}
	e.Target = *t
	e.kept.begin(now, t.Rev.Era())
	c.addTarget(t.ID)
}

// keepMissing keeps an object of a former era that a list of a later one does not have.
func (r *Replica) keepMissing(now clock.Milli, k *kept, u *Update, name string, known schema.Version) {
	if k.begin(now, u.Proved.Era()) {
		r.note(KeptNote{Topic: u.Topic, Name: name, Known: known, Listed: u.Proved, Reason: "missing"})
	}
}

// isKeptByPeer reports whether an update lists an object of a former era that its sender
// keeps although the store no longer has it.
func (u *Update) isKeptByPeer(rev schema.Version) bool { return rev.Era() < u.Rev.Era() }

// replacesTable reports whether a configuration replaces the one in force. Between eras,
// the operator's version number decides: it never goes back.
func (r *Replica) replacesTable(t *Table) bool {
	switch {
	case r.table == nil:
		return true
	case t.Rev.Era() == r.table.Rev.Era():
		return t.Rev > r.table.Rev
	case t.Rev > r.table.Rev:
		if t.Version < r.table.Version && r.tableKept.begin(0, t.Rev.Era()) {
			r.note(KeptNote{
				Topic: Config, Name: fmt.Sprint(r.table.Version), Known: r.table.Rev, Listed: t.Rev,
				Reason: fmt.Sprintf("the store has version %d", t.Version),
			})
		}
		return t.Version >= r.table.Version
	}
	return t.Version > r.table.Version
}

// keepsTable reports whether the configuration in force is of a former era.
func (r *Replica) keepsTable() bool {
	return r.table != nil && r.table.Rev.Era() < r.revs[Config].Era()
}

// EndKept drops the kept objects that the store still does not have in a read that began
// later than their bound after the first list of its era. confirmed holds the times as of
// which the topics were confirmed.
func (r *Replica) EndKept(now clock.Milli, confirmed [Topics]clock.Milli) Change {
	var c Change
	if !r.mayKeep {
		return c
	}
	r.mayKeep = false
	for id, e := range r.targets {
		rev := r.revs[Targets]
		if e.kept.era == 0 || e.Gone || e.Rev.Era() >= rev.Era() {
			continue
		}
		if confirmed[Targets]-e.kept.at <= keepMissingTarget {
			r.mayKeep = true
			continue
		}
		r.note(KeptNote{Topic: Targets, Name: string(id), Known: e.Rev, Listed: rev, Ended: true, Reason: "not written again"})
		r.removeTarget(now, id, rev, &c)
		r.summed[Targets] = false
	}
	for dc, m := range r.outs {
		rev := r.revs[Outs]
		if m.kept.era == 0 || m.rev.Era() >= rev.Era() {
			continue
		}
		if confirmed[Outs]-m.kept.at <= keepMissingOut {
			r.mayKeep = true
			continue
		}
		r.note(KeptNote{Topic: Outs, Name: string(dc), Known: m.rev, Listed: rev, Ended: true, Reason: "not written again"})
		r.outs[dc] = outMark{rev: rev, at: now}
		c.Changed, r.summed[Outs] = true, false
	}
	return c
}

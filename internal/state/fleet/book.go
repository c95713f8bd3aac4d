package fleet

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// defaultRetention is the retention time of removals unless Keep sets another.
const defaultRetention = 3 * clock.Minute

// Entry is the replica of one target's object in the store.
type Entry struct {
	Target Target
	// Gone is set once the object is removed: at time GoneAt, by revision Rev.
	Gone   bool
	GoneAt clock.Milli
	Rev    schema.Version
	// Since is the time at which this daemon learned of this start of the target.
	Since clock.Milli
}

// outMark is the replica of a data centre's Out mark; at is the time of the
// last change of out.
type outMark struct {
	rev schema.Version
	out bool
	at  clock.Milli
}

// Change describes the effect of an update.
type Change struct {
	// News is set if any object changed.
	News bool
	// Targets lists the targets whose entries changed.
	Targets []schema.TargetID
	// Replaced lists the targets' starts that were replaced by newer ones.
	Replaced []Target
}

func (c *Change) addTarget(id schema.TargetID) {
	c.News = true
	c.Targets = append(c.Targets, id)
}

// Book is a daemon's replica of the three topics. It is not safe for concurrent
// use.
type Book struct {
	revs    [Topics]schema.Version
	targets map[schema.TargetID]*Entry
	table   *Table
	outs    map[schema.DataCentreID]outMark
	// floors are the revisions up to which removals were dropped or never
	// received. Changes since an older revision would be incomplete.
	floors [Topics]schema.Version
	// retention is the retention time of removals.
	retention clock.Milli
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{targets: make(map[schema.TargetID]*Entry), outs: make(map[schema.DataCentreID]outMark), retention: defaultRetention}
}

// Keep sets the retention time of removals. It must exceed the lifetime of a
// flow, so that packets of a flow to a removed target are still recognised.
func (b *Book) Keep(d clock.Milli) { b.retention = d }

// Kept returns the retention time of removals.
func (b *Book) Kept() clock.Milli { return b.retention }

// Rev returns the revision up to which a topic is complete, zero if no update
// of it was applied.
func (b *Book) Rev(t Topic) schema.Version { return b.revs[t] }

// Revs returns the revisions of all topics.
func (b *Book) Revs() [Topics]schema.Version { return b.revs }

// Table returns the configuration, nil if there is none yet.
func (b *Book) Table() *Table { return b.table }

// Len returns the number of objects of a topic, retained removals included.
func (b *Book) Len(t Topic) int {
	switch t {
	case Targets:
		return len(b.targets)
	case Outs:
		return len(b.outs)
	}
	return 1
}

// Entry returns a target's entry, nil if there is none.
func (b *Book) Entry(id schema.TargetID) *Entry { return b.targets[id] }

// Entries returns the targets' entries, including removed ones.
func (b *Book) Entries() map[schema.TargetID]*Entry { return b.targets }

// Out reports whether a data centre is out, and the time of its last change
// between in and out, Never if it was never out.
func (b *Book) Out(dc schema.DataCentreID) (bool, clock.Milli) {
	m, ok := b.outs[dc]
	if !ok {
		return false, clock.Never
	}
	return m.out, m.at
}

// Apply applies an update. It ignores changes since a revision that this book
// has not reached, as the changes in between would be missing.
func (b *Book) Apply(now clock.Milli, u *Update) Change {
	var c Change
	if u.Topic >= Topics || !u.Full && u.Since > b.revs[u.Topic] {
		return c
	}
	switch u.Topic {
	case Targets:
		b.applyTargets(now, u, &c)
	case Config:
		if u.Table != nil && (b.table == nil || u.Table.Rev > b.table.Rev) {
			b.table = u.Table
			c.News = true
		}
	case Outs:
		b.applyOuts(now, u, &c)
	}
	if u.Full && u.Rev > b.revs[u.Topic] {
		// A snapshot does not list all earlier removals, so this book can't
		// pass them on.
		b.floors[u.Topic] = max(b.floors[u.Topic], u.Rev)
	}
	b.revs[u.Topic] = max(b.revs[u.Topic], u.Rev)
	return c
}

func (b *Book) applyTargets(now clock.Milli, u *Update, c *Change) {
	for i := range u.Targets {
		b.putTarget(now, &u.Targets[i], c)
	}
	for _, g := range u.Gone {
		b.removeTarget(now, schema.TargetID(g.Name), g.Rev, c)
		b.restoreRemoved(now, &g, c)
	}
	if !u.Full {
		return
	}
	listed := make(map[schema.TargetID]bool, len(u.Targets))
	for i := range u.Targets {
		listed[u.Targets[i].ID] = true
	}
	for id, e := range b.targets {
		if !listed[id] && e.Rev <= u.Rev {
			b.removeTarget(now, id, max(e.Rev, u.Rev), c)
		}
	}
}

func (b *Book) putTarget(now clock.Milli, t *Target, c *Change) {
	e := b.targets[t.ID]
	if e == nil && t.Rev <= b.revs[Targets] {
		return // the book is complete past this revision, so the target was removed
	}
	if e == nil {
		b.targets[t.ID] = &Entry{Target: *t, Rev: t.Rev, Since: now}
		c.addTarget(t.ID)
		return
	}
	if t.Rev <= e.Rev {
		return
	}
	c.addTarget(t.ID)
	if e.Target.Born != t.Born || e.Target.Num != t.Num {
		if t.Born > e.Target.Born {
			c.Replaced = append(c.Replaced, e.Target)
		}
		e.Since = now
	}
	e.Target, e.Rev, e.Gone = *t, t.Rev, false
}

func (b *Book) removeTarget(now clock.Milli, id schema.TargetID, rev schema.Version, c *Change) {
	e := b.targets[id]
	if e == nil || rev < e.Rev {
		return
	}
	e.Rev = rev
	if !e.Gone {
		e.Gone, e.GoneAt = true, now
		c.addTarget(id)
	}
}

// restoreRemoved adds the removed target that a peer sent, if this book has no
// entry of it.
func (b *Book) restoreRemoved(now clock.Milli, g *Gone, c *Change) {
	if g.Last == nil || b.targets[g.Last.ID] != nil || g.Age > b.retention {
		return
	}
	b.targets[g.Last.ID] = &Entry{Target: *g.Last, Rev: g.Rev, Gone: true, GoneAt: now - g.Age, Since: now}
	c.addTarget(g.Last.ID)
}

func (b *Book) applyOuts(now clock.Milli, u *Update, c *Change) {
	set := func(dc schema.DataCentreID, rev schema.Version, out bool) {
		m, ok := b.outs[dc]
		if ok && rev < m.rev || !ok && (!out || rev <= b.revs[Outs]) {
			return
		}
		if m.out != out {
			m.at, c.News = now, true
		}
		m.rev, m.out = rev, out
		b.outs[dc] = m
	}
	listed := make(map[schema.DataCentreID]bool, len(u.Outs))
	for _, o := range u.Outs {
		listed[o.DataCentre] = true
		set(o.DataCentre, o.Rev, true)
	}
	for _, g := range u.Gone {
		set(schema.DataCentreID(g.Name), g.Rev, false)
	}
	if !u.Full {
		return
	}
	for dc, m := range b.outs {
		if !listed[dc] && m.out && m.rev <= u.Rev {
			set(dc, u.Rev, false)
		}
	}
}

// Since returns the update that brings a book that is complete up to the
// revision since to the state of this one. A full update holds the whole entries
// of removed targets, which the other book may never have had.
func (b *Book) Since(now clock.Milli, t Topic, since schema.Version) Update {
	u := Update{Topic: t, Since: since, Rev: b.revs[t], Full: !b.Tells(t, since)}
	if u.Full {
		since = 0
	}
	switch t {
	case Targets:
		b.targetsSince(now, &u, since)
	case Config:
		if b.table != nil && b.table.Rev > since {
			u.Table = b.table
		}
	case Outs:
		for dc, m := range b.outs {
			switch {
			case m.rev <= since:
			case m.out:
				u.Outs = append(u.Outs, Out{DataCentre: dc, Rev: m.rev})
			default:
				u.Gone = append(u.Gone, Gone{Name: string(dc), Rev: m.rev})
			}
		}
		slices.SortFunc(u.Outs, func(x, y Out) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	}
	slices.SortFunc(u.Gone, func(x, y Gone) int { return cmp.Compare(x.Name, y.Name) })
	return u
}

// Recall returns an update with all removed targets that this book retains, and
// with the changes since a revision if this book has them all.
func (b *Book) Recall(now clock.Milli, since schema.Version) Update {
	u := Update{Topic: Targets, Since: since, Rev: since}
	if b.Tells(Targets, since) && b.revs[Targets] > since {
		u = b.Since(now, Targets, since)
		u.Gone = nil
	}
	for id, e := range b.targets {
		if e.Gone {
			u.Gone = append(u.Gone, Gone{Name: string(id), Rev: e.Rev, Last: &e.Target, Age: now - e.GoneAt})
		}
	}
	slices.SortFunc(u.Gone, func(x, y Gone) int { return cmp.Compare(x.Name, y.Name) })
	return u
}

// Tells reports whether this book has all changes of a topic since a revision,
// so that no full update is needed.
func (b *Book) Tells(t Topic, since schema.Version) bool { return since >= b.floors[t] && since != 0 }

func (b *Book) targetsSince(now clock.Milli, u *Update, since schema.Version) {
	for id, e := range b.targets {
		switch {
		case e.Rev <= since:
		case e.Gone && u.Full:
			u.Gone = append(u.Gone, Gone{Name: string(id), Rev: e.Rev, Last: &e.Target, Age: now - e.GoneAt})
		case e.Gone:
			u.Gone = append(u.Gone, Gone{Name: string(id), Rev: e.Rev})
		default:
			u.Targets = append(u.Targets, e.Target)
		}
	}
	slices.SortFunc(u.Targets, func(x, y Target) int { return cmp.Compare(x.ID, y.ID) })
}

// Forget drops removals that are past their retention time, so older than any
// flow.
func (b *Book) Forget(now clock.Milli) {
	for id, e := range b.targets {
		if e.Gone && now-e.GoneAt > b.retention {
			b.floors[Targets] = max(b.floors[Targets], e.Rev)
			delete(b.targets, id)
		}
	}
}

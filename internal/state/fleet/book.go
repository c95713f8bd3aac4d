package fleet

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// defaultKeep is how long a removal is remembered if nothing else is set.
const defaultKeep = 3 * clock.Minute

// Entry is what is known of one target's entry in the store.
type Entry struct {
	Target Target
	// Gone is set once the entry was removed, at GoneAt, by Rev.
	Gone   bool
	GoneAt clock.Milli
	Rev    schema.Version
	// Since is when this daemon learned of this start of the target.
	Since clock.Milli
}

// mark is what is known of a data centre's mark.
type mark struct {
	rev schema.Version
	out bool
	at  clock.Milli
}

// Change tells what an update did.
type Change struct {
	// News is set if any object changed.
	News bool
	// Targets names the targets whose entries changed.
	Targets []schema.TargetID
	// Replaced lists the starts of targets that a newer start replaced.
	Replaced []Target
}

func (c *Change) target(id schema.TargetID) {
	c.News = true
	c.Targets = append(c.Targets, id)
}

// Book is a daemon's copy of the three topics. It is not safe for concurrent
// use.
type Book struct {
	revs    [Topics]schema.Version
	targets map[schema.TargetID]*Entry
	table   *Table
	outs    map[schema.DataCentreID]mark
	// floors are the revisions up to which removals were forgotten or never
	// seen: changes since an older revision can't be told.
	floors [Topics]schema.Version
	// keep is how long a removal is remembered.
	keep clock.Milli
}

// NewBook returns a book that knows nothing.
func NewBook() *Book {
	return &Book{targets: make(map[schema.TargetID]*Entry), outs: make(map[schema.DataCentreID]mark), keep: defaultKeep}
}

// Keep sets how long a removal is remembered. It must be longer than a flow
// lives, so that a flow's packets can still be told from unknown ones.
func (b *Book) Keep(d clock.Milli) { b.keep = d }

// Kept returns how long a removal is remembered.
func (b *Book) Kept() clock.Milli { return b.keep }

// Rev returns the revision up to which a topic is complete; zero if it was
// never told.
func (b *Book) Rev(t Topic) schema.Version { return b.revs[t] }

// Revs returns the revisions of all topics.
func (b *Book) Revs() [Topics]schema.Version { return b.revs }

// Table returns the configuration, nil if none is known.
func (b *Book) Table() *Table { return b.table }

// Len returns the number of objects of a topic.
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

// Entries returns the targets' entries, removed ones too.
func (b *Book) Entries() map[schema.TargetID]*Entry { return b.targets }

// Out reports whether a data centre is out, and since when it is in or out.
func (b *Book) Out(dc schema.DataCentreID) (bool, clock.Milli) {
	m, ok := b.outs[dc]
	if !ok {
		return false, clock.Never
	}
	return m.out, m.at
}

// Apply takes an update. Changes since a revision that this book has not
// reached are refused, as there would be a gap.
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
		// Removals up to here that this book never saw can't be told.
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
		b.recallTarget(now, &g, c)
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
		return // it was removed before the book was complete up to here
	}
	if e == nil {
		b.targets[t.ID] = &Entry{Target: *t, Rev: t.Rev, Since: now}
		c.target(t.ID)
		return
	}
	if t.Rev <= e.Rev {
		return
	}
	c.target(t.ID)
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
		c.target(id)
	}
}

// recallTarget takes a removed entry that this book never saw from a peer.
func (b *Book) recallTarget(now clock.Milli, g *Gone, c *Change) {
	if g.Last == nil || b.targets[g.Last.ID] != nil || g.Ago > b.keep {
		return
	}
	b.targets[g.Last.ID] = &Entry{Target: *g.Last, Rev: g.Rev, Gone: true, GoneAt: now - g.Ago, Since: now}
	c.target(g.Last.ID)
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

// Since returns the update that brings a book complete up to since to this
// book's state. A book that knows nothing is told of removed targets whole.
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

// Recall returns an update with all removed targets that this book remembers,
// and the changes since a revision, if it can tell them.
func (b *Book) Recall(now clock.Milli, since schema.Version) Update {
	u := Update{Topic: Targets, Since: since, Rev: since}
	if b.Tells(Targets, since) && b.revs[Targets] > since {
		u = b.Since(now, Targets, since)
		u.Gone = nil
	}
	for id, e := range b.targets {
		if e.Gone {
			u.Gone = append(u.Gone, Gone{Name: string(id), Rev: e.Rev, Last: &e.Target, Ago: now - e.GoneAt})
		}
	}
	slices.SortFunc(u.Gone, func(x, y Gone) int { return cmp.Compare(x.Name, y.Name) })
	return u
}

// Tells reports whether this book can tell the changes of a topic since a
// revision without telling everything.
func (b *Book) Tells(t Topic, since schema.Version) bool { return since >= b.floors[t] && since != 0 }

func (b *Book) targetsSince(now clock.Milli, u *Update, since schema.Version) {
	for id, e := range b.targets {
		switch {
		case e.Rev <= since:
		case e.Gone && u.Full:
			u.Gone = append(u.Gone, Gone{Name: string(id), Rev: e.Rev, Last: &e.Target, Ago: now - e.GoneAt})
		case e.Gone:
			u.Gone = append(u.Gone, Gone{Name: string(id), Rev: e.Rev})
		default:
			u.Targets = append(u.Targets, e.Target)
		}
	}
	slices.SortFunc(u.Targets, func(x, y Target) int { return cmp.Compare(x.ID, y.ID) })
}

// Forget drops removals that are older than any flow.
func (b *Book) Forget(now clock.Milli) {
	for id, e := range b.targets {
		if e.Gone && now-e.GoneAt > b.keep {
			b.floors[Targets] = max(b.floors[Targets], e.Rev)
			delete(b.targets, id)
		}
	}
}

package fleet

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// defaultRetention is the retention time of removals unless SetRetention sets another.
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
	kept  kept
}

// outMark is the replica of a data centre's Out mark; at is the time of the
// last change of out.
type outMark struct {
	rev  schema.Version
	out  bool
	at   clock.Milli
	kept kept
}

// Change describes the effect of an update.
type Change struct {
	// Changed is set if any object changed.
	Changed bool
	// Targets lists the targets whose entries changed.
	Targets []schema.TargetID
	// Replaced lists the targets' starts that were replaced by newer ones.
	Replaced []Target
}

func (c *Change) addTarget(id schema.TargetID) {
	c.Changed = true
	c.Targets = append(c.Targets, id)
}

// Replica is a daemon's replica of the three topics. It is not safe for concurrent
// use.
type Replica struct {
	revs [Topics]schema.Version
	// proved are the revisions up to which the topics were shown to be complete.
	proved  [Topics]schema.Version
	targets map[schema.TargetID]*Entry
	table   *Table
	outs    map[schema.DataCentreID]outMark
	// floors are the revisions up to which removals were dropped or never
	// received. Changes since an older revision would be incomplete.
	floors [Topics]schema.Version
	// retention is the retention time of removals.
	retention clock.Milli
	// sums holds the sums of the topics' objects, computed again where summed is
	// not set.
	sums   [Topics]Sum
	summed [Topics]bool
	// bases are the versions of the first updates in the topics' eras.
	bases     [Topics]schema.Version
	tableKept kept
	// mayKeep is set if EndKept may find something that is missing in the store.
	mayKeep bool
	notes   []KeptNote
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{targets: make(map[schema.TargetID]*Entry), outs: make(map[schema.DataCentreID]outMark), retention: defaultRetention}
}

// SetRetention sets the retention time of removals. It must exceed the lifetime of a
// flow, so that packets of a flow to a removed target are still recognised.
func (r *Replica) SetRetention(d clock.Milli) { r.retention = d }

// Retention returns the retention time of removals.
func (r *Replica) Retention() clock.Milli { return r.retention }

// Rev returns the revision up to which a topic is complete, zero if no update
// of it was applied.
func (r *Replica) Rev(t Topic) schema.Version { return r.revs[t] }

// Revs returns the revisions of all topics.
func (r *Replica) Revs() [Topics]schema.Version { return r.revs }

// Prove records that a topic was shown to be complete up to a revision.
func (r *Replica) Prove(t Topic, rev schema.Version) { r.proved[t] = max(r.proved[t], rev) }

// isRemoved reports whether an object that this replica does not hold was removed,
// although an update has it as of a revision: this replica was shown to be complete up to
// a later one, and the update was not.
func (r *Replica) isRemoved(u *Update, rev schema.Version) bool {
	t := u.Topic
	return rev <= r.proved[t] && u.Proved < r.proved[t] || rev <= r.revs[t] && u.Rev < r.revs[t]
}

// Table returns the configuration, nil if there is none yet.
func (r *Replica) Table() *Table { return r.table }

// Len returns the number of objects of a topic, retained removals included.
func (r *Replica) Len(t Topic) int {
	switch t {
	case Targets:
		return len(r.targets)
	case Outs:
		return len(r.outs)
	}
	return 1
}

// Entry returns a target's entry, nil if there is none.
func (r *Replica) Entry(id schema.TargetID) *Entry { return r.targets[id] }

// Entries returns the targets' entries, including removed ones.
func (r *Replica) Entries() map[schema.TargetID]*Entry { return r.targets }

// Out reports whether a data centre is out, and the time of its last change
// between in and out, Never if it was never out.
func (r *Replica) Out(dc schema.DataCentreID) (bool, clock.Milli) {
	m, ok := r.outs[dc]
	if !ok {
		return false, clock.Never
	}
	return m.out, m.at
}

// Apply applies an update. It ignores changes since a revision that this replica
// has not reached, as the changes in between would be missing.
func (r *Replica) Apply(now clock.Milli, u *Update) Change {
	var c Change
	if u.Topic >= Topics || !u.Full && u.Since > r.revs[u.Topic] {
		return c
	}
	r.summed[u.Topic] = false
	r.beginEra(u)
	switch u.Topic {
	case Targets:
		r.applyTargets(now, u, &c)
	case Config:
		if u.Table != nil && r.replacesTable(u.Table) {
			r.table = u.Table
			c.Changed = true
		}
	case Outs:
		r.applyOuts(now, u, &c)
	}
	if (u.Full || u.Since == 0) && u.Rev > r.revs[u.Topic] {
		// A snapshot does not list all earlier removals, so this replica can't
		// pass them on.
		r.floors[u.Topic] = max(r.floors[u.Topic], u.Rev)
	}
	if u.Full || u.Since <= r.proved[u.Topic] {
		r.Prove(u.Topic, u.Proved)
	}
	r.revs[u.Topic] = max(r.revs[u.Topic], u.Rev)
	return c
}

func (r *Replica) applyTargets(now clock.Milli, u *Update, c *Change) {
	for i := range u.Targets {
		r.putTarget(now, &u.Targets[i], u, c)
	}
	for _, g := range u.Gone {
		r.removeTarget(now, schema.TargetID(g.Name), g.Rev, c)
		r.restoreRemoved(now, &g, c)
	}
	for _, g := range u.Unreadable {
		r.suspendTarget(schema.TargetID(g.Name), g.Rev, c)
	}
	if !u.Full {
		return
	}
	listed := make(map[schema.TargetID]bool, len(u.Targets))
	for i := range u.Targets {
		listed[u.Targets[i].ID] = true
	}
	for _, g := range u.Unreadable {
		listed[schema.TargetID(g.Name)] = true
	}
	for id, e := range r.targets {
		switch {
		case listed[id] || e.Rev > u.Proved:
		case !e.Gone && e.Rev.Era() < u.Proved.Era():
			r.keepMissing(now, &e.kept, u, string(id), e.Rev)
		default:
			r.removeTarget(now, id, u.Proved, c)
		}
	}
}

// putTarget applies a target of an update.
func (r *Replica) putTarget(now clock.Milli, t *Target, u *Update, c *Change) {
	e := r.targets[t.ID]
	keptByPeer := u.isKeptByPeer(t.Rev)
	switch {
	case e == nil && !keptByPeer && r.isRemoved(u, t.Rev):
		return
	case e == nil:
		e = &Entry{Target: *t, Rev: t.Rev, Since: now}
		if keptByPeer {
			e.kept.begin(now, u.Rev.Era())
		}
		r.targets[t.ID] = e
		c.addTarget(t.ID)
		return
	case t.Rev == e.Rev:
		r.mergeKept(now, e, t, c)
		return
	case t.Rev < e.Rev:
		return
	case e.Rev.Era() < t.Rev.Era() && r.mayBeOfCopy(e, t) && r.keepTarget(now, e, t, c):
		return
	}
	c.addTarget(t.ID)
	if e.Target.StartedAt != t.StartedAt || e.Target.Number != t.Number {
		if t.StartedAt > e.Target.StartedAt {
			c.Replaced = append(c.Replaced, e.Target)
		}
		e.Since = now
	}
	e.Target, e.Rev, e.Gone, e.kept = *t, t.Rev, false, kept{}
}

func (r *Replica) removeTarget(now clock.Milli, id schema.TargetID, rev schema.Version, c *Change) {
	e := r.targets[id]
	if e == nil || rev < e.Rev {
		return
	}
	switch {
	case rev > e.Rev:
		e.kept = kept{}
	case !e.Gone && rev.Era() > 0:
		e.kept.begin(now, rev.Era()) // a peer keeps it removed against the listed entry
	}
	e.Rev = rev
	if !e.Gone {
		e.Gone, e.GoneAt = true, now
		c.addTarget(id)
	}
}

// suspendTarget ends new flows on a target whose entry can't be read. A target that
// is not known stays so.
func (r *Replica) suspendTarget(id schema.TargetID, rev schema.Version, c *Change) {
	e := r.targets[id]
	if e == nil || e.Gone || rev <= e.Rev {
		return
	}
	e.Rev, e.Target.Rev, e.Target.Draining = rev, rev, true
	c.addTarget(id)
}

// restoreRemoved adds the removed target that a peer sent, if this replica has no
// entry of it.
func (r *Replica) restoreRemoved(now clock.Milli, g *Removal, c *Change) {
	if g.Last == nil || r.targets[g.Last.ID] != nil || g.Age > r.retention {
		return
	}
	r.targets[g.Last.ID] = &Entry{Target: *g.Last, Rev: g.Rev, Gone: true, GoneAt: now - g.Age, Since: now}
	c.addTarget(g.Last.ID)
}

func (r *Replica) applyOuts(now clock.Milli, u *Update, c *Change) {
	set := func(dc schema.DataCentreID, rev schema.Version, out bool) {
		m, ok := r.outs[dc]
		keptByPeer := out && u.isKeptByPeer(rev)
		if ok && rev < m.rev || !ok && (!out || !keptByPeer && r.isRemoved(u, rev)) {
			return
		}
		if rev > m.rev {
			m.kept = kept{}
		}
		if keptByPeer {
			m.kept.begin(now, u.Rev.Era())
		}
		if m.out != out {
			m.at, c.Changed = now, true
		}
		m.rev, m.out = rev, out
		r.outs[dc] = m
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
	for dc, m := range r.outs {
		switch {
		case listed[dc] || !m.out || m.rev > u.Proved:
		case m.rev.Era() < u.Proved.Era():
			r.keepMissing(now, &m.kept, u, string(dc), m.rev)
			r.outs[dc] = m
		default:
			set(dc, u.Proved, false)
		}
	}
}

// Since returns the update that brings a replica that is complete up to the
// revision since to the state of this one. A full update holds the whole entries
// of removed targets, which the other replica may never have had.
func (r *Replica) Since(now clock.Milli, t Topic, since schema.Version) Update {
	u := Update{Topic: t, Since: since, Rev: r.revs[t], Proved: r.proved[t], Full: !r.HasChangesSince(t, since)}
	if u.Full {
		since = 0
	}
	switch t {
	case Targets:
		r.targetsSince(now, &u, since)
	case Config:
		if r.table != nil && (r.table.Rev > since || r.keepsTable()) {
			u.Table = r.table
		}
	case Outs:
		for dc, m := range r.outs {
			switch {
			case m.rev <= since && m.kept.era == 0:
			case m.out:
				u.Outs = append(u.Outs, Out{DataCentre: dc, Rev: m.rev})
			default:
				u.Gone = append(u.Gone, Removal{Name: string(dc), Rev: m.rev})
			}
		}
		slices.SortFunc(u.Outs, func(x, y Out) int { return cmp.Compare(x.DataCentre, y.DataCentre) })
	}
	slices.SortFunc(u.Gone, func(x, y Removal) int { return cmp.Compare(x.Name, y.Name) })
	return u
}

// SinceWithRemovals returns an update with all removed targets that this replica
// retains, with the targets that it keeps after a drill, and with the changes since a
// revision if this replica has them all.
func (r *Replica) SinceWithRemovals(now clock.Milli, since schema.Version) Update {
	u := Update{Topic: Targets, Since: since, Rev: since}
	hasChanges := r.HasChangesSince(Targets, since) && r.revs[Targets] > since
	if hasChanges {
		u = r.Since(now, Targets, since)
		u.Gone = nil
	}
	for id, e := range r.targets {
		switch {
		case !e.Gone && e.kept.era != 0 && !hasChanges:
			u.Targets = append(u.Targets, e.Target)
		case e.Gone:
			u.Gone = append(u.Gone, Removal{Name: string(id), Rev: e.Rev, Last: &e.Target, Age: now - e.GoneAt})
		}
	}
	slices.SortFunc(u.Gone, func(x, y Removal) int { return cmp.Compare(x.Name, y.Name) })
	return u
}

// HasChangesSince reports whether this replica has all changes of a topic since a
// revision, so that no full update is needed.
func (r *Replica) HasChangesSince(t Topic, since schema.Version) bool {
	return since >= r.floors[t] && since != 0
}

func (r *Replica) targetsSince(now clock.Milli, u *Update, since schema.Version) {
	for id, e := range r.targets {
		switch {
		case e.Rev <= since && e.kept.era == 0:
		case e.Gone && u.Full:
			u.Gone = append(u.Gone, Removal{Name: string(id), Rev: e.Rev, Last: &e.Target, Age: now - e.GoneAt})
		case e.Gone:
			u.Gone = append(u.Gone, Removal{Name: string(id), Rev: e.Rev})
		default:
			u.Targets = append(u.Targets, e.Target)
		}
	}
	slices.SortFunc(u.Targets, func(x, y Target) int { return cmp.Compare(x.ID, y.ID) })
}

// Forget drops removals that are past their retention time, so older than any
// flow.
func (r *Replica) Forget(now clock.Milli) {
	for id, e := range r.targets {
		if e.Gone && now-e.GoneAt > r.retention {
			r.floors[Targets] = max(r.floors[Targets], e.Rev)
			delete(r.targets, id)
		}
	}
}

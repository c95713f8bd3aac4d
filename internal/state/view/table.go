package view

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Bucket is the current state of one bucket of a table.
type Bucket struct {
	// Base is the target of flows without a record.
	Base schema.Handle
	// Open is the slot for new flows; zero while none may open.
	Open schema.Slot
	// ConsultRecords is set while flows of the bucket may have records, which must
	// be looked up.
	ConsultRecords bool
}

// tableVersion is one version of a placement and the time it takes effect.
type tableVersion struct {
	at        clock.Milli
	version   schema.Version
	placement *schema.Placement
}

// Table holds the relevant versions of one placement: the one in effect first,
// then those whose grace period has not ended.
type Table struct {
	versions       []tableVersion
	consultRecords [schema.Buckets]bool
}

// Push adds a newer version that takes effect at the given time. That applies
// to the first version too; until then the table has no buckets.
func (t *Table) Push(at clock.Milli, version schema.Version, p *schema.Placement) {
	if n := len(t.versions); n > 0 && version <= t.versions[n-1].version {
		return
	}
	t.versions = append(t.versions, tableVersion{at: at, version: version, placement: p})
	t.updateConsultRecords()
}

// Newest returns the newest known placement, in effect or not, and its version.
// It returns nil if there is none.
func (t *Table) Newest() (*schema.Placement, schema.Version) {
	if len(t.versions) == 0 {
		return nil, 0
	}
	newest := t.versions[len(t.versions)-1]
	return newest.placement, newest.version
}

// Settled reports whether the newest version is in effect.
func (t *Table) Settled(now clock.Milli) bool {
	t.advance(now)
	return len(t.versions) == 1 && t.versions[0].at <= now
}

// At returns the state of bucket b. It reports false before the first
// version takes effect.
func (t *Table) At(now clock.Milli, b int) (Bucket, bool) {
	t.advance(now)
	if len(t.versions) == 0 || t.versions[0].at > now {
		return Bucket{}, false
	}
	p := t.versions[0].placement
	return Bucket{
		Base:           handle(p, p.Base[b]),
		Open:           t.openSlot(b),
		ConsultRecords: t.consultRecords[b],
	}, true
}

// openSlot returns the slot for new flows of bucket b. A limit that a pending
// version sets applies already, and a limit that it removes still applies.
func (t *Table) openSlot(b int) schema.Slot {
	p := t.versions[0].placement
	i := p.Current[b]
	if i == schema.NoSlot {
		return schema.Slot{}
	}
	s := p.Slots[i]
	newest := t.versions[len(t.versions)-1].placement
	if n := Slot(newest, s.Handle); n != nil && len(t.versions) > 1 {
		return stricter(s, *n)
	}
	return s
}

// stricter returns the slot in effect with the stricter limit of itself and of
// the pending slot. If their limits can't be combined, no flow may open.
func stricter(s, pending schema.Slot) schema.Slot {
	if pending.Rate == 0 {
		return s
	}
	if s.Rate == 0 || s.Admitter != pending.Admitter || s.Incarnation != pending.Incarnation {
		return schema.Slot{}
	}
	s.Rate = min(s.Rate, pending.Rate)
	return s
}

// Activate makes the versions up to known take effect now if they are not in
// effect yet.
func (t *Table) Activate(now clock.Milli, known schema.Version) {
	for i := range t.versions {
		if v := &t.versions[i]; v.version <= known {
			v.at = min(v.at, now)
		}
	}
}

// advance discards versions that a newer version in effect replaces.
func (t *Table) advance(now clock.Milli) {
	changed := false
	for len(t.versions) > 1 && t.versions[1].at <= now {
		t.versions = t.versions[1:]
		changed = true
	}
	if changed {
		t.updateConsultRecords()
	}
}

// updateConsultRecords recomputes which buckets may have flows with records: those
// that move now, and those that a pending version changes.
func (t *Table) updateConsultRecords() {
	current := t.versions[0].placement
	for b := range t.consultRecords {
		t.consultRecords[b] = current.Moving[b]
		for _, pending := range t.versions[1:] {
			t.consultRecords[b] = t.consultRecords[b] || changes(current, pending.placement, b)
		}
	}
}

// changes reports whether bucket b is moving in the pending placement or has
// other targets than in the current one.
func changes(current, pending *schema.Placement, b int) bool {
	return pending.Moving[b] ||
		handle(current, current.Base[b]) != handle(pending, pending.Base[b]) ||
		handle(current, current.Current[b]) != handle(pending, pending.Current[b])
}

// handle returns the handle of a placement's slot, zero for NoSlot.
func handle(p *schema.Placement, slot uint16) schema.Handle {
	if slot == schema.NoSlot {
		return 0
	}
	return p.Slots[slot].Handle
}

// Slot returns the placement's slot for a handle, or nil.
func Slot(p *schema.Placement, h schema.Handle) *schema.Slot {
	for i := range p.Slots {
		if p.Slots[i].Handle == h {
			return &p.Slots[i]
		}
	}
	return nil
}

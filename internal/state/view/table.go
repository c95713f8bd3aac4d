package view

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Bucket is what the table says of one bucket now.
type Bucket struct {
	// Base holds the flows without a record.
	Base schema.Handle
	// Open is where new flows go; zero while none may open.
	Open schema.Slot
	// Consult is set while flows of the bucket may have records.
	Consult bool
}

// layer is one version of a placement and the time it takes effect.
type layer struct {
	at      clock.Milli
	version schema.Version
	p       *schema.Placement
}

// Table holds the versions of one placement that are still of interest: the
// one in effect first, then those that wait for their grace period.
type Table struct {
	layers  []layer
	consult [schema.Buckets]bool
}

// Push adds a newer version that takes effect at the given time. The first
// version of all serves at that time too; until then the table has no bucket.
func (t *Table) Push(at clock.Milli, version schema.Version, p *schema.Placement) {
	if n := len(t.layers); n > 0 && version <= t.layers[n-1].version {
		return
	}
	t.layers = append(t.layers, layer{at: at, version: version, p: p})
	t.refresh()
}

// Newest returns the newest version known, in effect or not, or nil.
func (t *Table) Newest() (*schema.Placement, schema.Version) {
	if len(t.layers) == 0 {
		return nil, 0
	}
	l := t.layers[len(t.layers)-1]
	return l.p, l.version
}

// Settled reports whether the newest version is in effect.
func (t *Table) Settled(now clock.Milli) bool {
	t.advance(now)
	return len(t.layers) == 1 && t.layers[0].at <= now
}

// At returns the state of bucket b. It reports false before the first
// version takes effect.
func (t *Table) At(now clock.Milli, b int) (Bucket, bool) {
	t.advance(now)
	if len(t.layers) == 0 || t.layers[0].at > now {
		return Bucket{}, false
	}
	p := t.layers[0].p
	return Bucket{
		Base:    handle(p, p.Base[b]),
		Open:    t.open(b),
		Consult: t.consult[b],
	}, true
}

// open returns the slot that opens of bucket b go to. A limit of a version
// that waits binds already; a limit it lifts binds still.
func (t *Table) open(b int) schema.Slot {
	p := t.layers[0].p
	i := p.Current[b]
	if i == schema.NoSlot {
		return schema.Slot{}
	}
	s := p.Slots[i]
	newest := t.layers[len(t.layers)-1].p
	if n := Slot(newest, s.Handle); n != nil && len(t.layers) > 1 {
		return stricter(s, *n)
	}
	return s
}

// stricter joins the slot in effect with a slot that waits.
func stricter(s, next schema.Slot) schema.Slot {
	if next.Rate == 0 {
		return s
	}
	if s.Rate == 0 || s.Admitter != next.Admitter || s.Incarnation != next.Incarnation {
		return schema.Slot{}
	}
	s.Rate = min(s.Rate, next.Rate)
	return s
}

// Activate lets the versions up to known take effect before their time.
func (t *Table) Activate(now clock.Milli, known schema.Version) {
	for i := range t.layers {
		if l := &t.layers[i]; l.version <= known {
			l.at = min(l.at, now)
		}
	}
}

func (t *Table) advance(now clock.Milli) {
	changed := false
	for len(t.layers) > 1 && t.layers[1].at <= now {
		t.layers = t.layers[1:]
		changed = true
	}
	if changed {
		t.refresh()
	}
}

func (t *Table) refresh() {
	first := t.layers[0].p
	for b := range t.consult {
		t.consult[b] = first.Moving[b]
		for _, l := range t.layers[1:] {
			t.consult[b] = t.consult[b] || differs(first, l.p, b)
		}
	}
}

func differs(a, b *schema.Placement, i int) bool {
	return b.Moving[i] ||
		handle(a, a.Base[i]) != handle(b, b.Base[i]) ||
		handle(a, a.Current[i]) != handle(b, b.Current[i])
}

func handle(p *schema.Placement, slot uint16) schema.Handle {
	if slot == schema.NoSlot {
		return 0
	}
	return p.Slots[slot].Handle
}

// Slot returns the placement's slot of a handle, or nil.
func Slot(p *schema.Placement, h schema.Handle) *schema.Slot {
	for i := range p.Slots {
		if p.Slots[i].Handle == h {
			return &p.Slots[i]
		}
	}
	return nil
}

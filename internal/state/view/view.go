package view

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// HomesName is the name of the only object of kind Homes.
const HomesName = "all"

// Dest is a target of a service.
type Dest struct {
	Target schema.Target
	Handle schema.Handle
	VNI    schema.VNI
	// Out is set while the target's data centre is marked out; no packets are sent
	// to it then.
	Out bool
	// Marked is the version of the latest mark of the target's data centre. No new
	// flows open on the target until a placement takes this version into account.
	Marked schema.Version
	// NoOpen is set while the target is drained or its VM is marked out.
	NoOpen bool
	// UsableFrom is the earliest time at which packets may be sent to the target.
	UsableFrom clock.Milli
}

// Entry is a service with its pool and table.
type Entry struct {
	Service schema.Service
	Route   schema.Route
	// Pool is nil if no pool has the route's name.
	Pool  *schema.Pool
	Dests map[schema.Handle]*Dest
	// Targets has the values of Dests in the order of the pool.
	Targets []*Dest
	Table   *Table
}

// Dest returns the destination with a handle, or nil if packets must not be
// sent there now.
func (e *Entry) Dest(now clock.Milli, h schema.Handle) *Dest {
	d := e.Dests[h]
	if d == nil || d.Out || d.UsableFrom > now {
		return nil
	}
	return d
}

// View is the compiled configuration. It is not safe for concurrent use.
type View struct {
	store    *Store
	grace    clock.Milli
	services map[schema.Service]*Entry
	sorted   []*Entry
	tables   map[schema.Service]*Table
	outVM    map[string]bool
	outDC    map[string]bool
	markedDC map[string]schema.Version
	members  []*schema.Member
	// owners has the pool that each target address belongs to.
	owners map[netip.AddrPort]owner
	// firstMerge is when the view received its first list.
	firstMerge clock.Milli
	// activated is the highest revision that Activate was called with.
	activated schema.Version
}

// owner is the pool of an address and when it may first use the address.
type owner struct {
	pool       schema.Name
	usableFrom clock.Milli
}

// New returns an empty view with the given grace period.
func New(grace clock.Milli) *View {
	return &View{
		store:      NewStore(),
		grace:      grace,
		services:   make(map[schema.Service]*Entry),
		tables:     make(map[schema.Service]*Table),
		owners:     make(map[netip.AddrPort]owner),
		firstMerge: clock.Never,
	}
}

// Store returns the objects that the view is compiled from.
func (v *View) Store() *Store {
	return v.store
}

// Revision returns the revision of the view.
func (v *View) Revision() schema.Version {
	return v.store.Revision()
}

// Merge applies a list that has every change after the revision since and
// arrived now. It reports whether anything changed.
func (v *View) Merge(now clock.Milli, since schema.Version, l object.List) bool {
	ids, ok := v.store.Merge(since, l)
	if !ok {
		return false
	}
	if v.firstMerge == clock.Never {
		v.firstMerge = now
	}
	if len(ids) == 0 {
		return false
	}
	v.compile(now)
	return true
}

// Activate ends the grace period of the placements up to a revision that all
// daemons are known to have received.
func (v *View) Activate(now clock.Milli, known schema.Version) {
	if known <= v.activated {
		return
	}
	v.activated = known
	for _, t := range v.tables {
		t.Activate(now, known)
	}
}

// FirstMerge returns when the view received its first list; clock.Never if it
// has received none.
func (v *View) FirstMerge() clock.Milli {
	return v.firstMerge
}

// Entry returns the entry of a service, or nil.
func (v *View) Entry(s schema.Service) *Entry {
	return v.services[s]
}

// Entries returns all entries, sorted by service key. The fixed order makes the
// daemon deterministic: the same events always lead to the same actions.
func (v *View) Entries() []*Entry {
	return v.sorted
}

// Members returns the registered daemons.
func (v *View) Members() []*schema.Member {
	return v.members
}

// OutVM reports whether a VM is marked out.
func (v *View) OutVM(id string) bool {
	return v.outVM[id]
}

// OutDataCentre reports whether a data centre is marked out.
func (v *View) OutDataCentre(id schema.DataCentreID) bool {
	return v.outDC[string(id)]
}

// compile rebuilds the view from the objects of the store.
func (v *View) compile(now clock.Milli) {
	v.outVM, _ = v.marks(object.VM)
	v.outDC, v.markedDC = v.marks(object.DataCentre)
	v.members = All[schema.Member](v.store, object.Member)
	pools := make(map[schema.Name]*schema.Pool)
	for _, p := range All[schema.Pool](v.store, object.Pool) {
		pools[p.Name] = p
	}
	v.updateOwners(now, pools)
	v.pushPlacements(now)
	services := make(map[schema.Service]*Entry)
	for _, r := range All[schema.Route](v.store, object.Route) {
		s := r.Service()
		if services[s] != nil {
			continue // the API rejects a second route with the same address
		}
		services[s] = v.newEntry(r, pools[r.Name])
	}
	v.services = services
	v.sorted = slices.SortedFunc(maps.Values(services), func(a, b *Entry) int {
		return strings.Compare(a.Service.Key(), b.Service.Key())
	})
}

// marks returns whether each marked name is out, and the versions of the marks.
func (v *View) marks(k object.Kind) (map[string]bool, map[string]schema.Version) {
	out := make(map[string]bool)
	versions := make(map[string]schema.Version)
	for _, o := range v.store.Kind(k) {
		m, ok := Decoded[schema.Mark](v.store, o)
		if !ok {
			continue
		}
		out[m.Name] = m.Out
		versions[m.Name] = o.Version
	}
	return out, versions
}

// Homes returns the stored list of homes and its version, zero if there is none
// yet.
func (v *View) Homes() ([]schema.VMID, schema.Version) {
	o, ok := v.store.Get(object.ID{Kind: object.Homes, Name: HomesName})
	if !ok {
		return nil, 0
	}
	h, ok := Decoded[schema.Homes](v.store, o)
	if !ok {
		return nil, 0
	}
	return h.Members, o.Version
}

// Marked returns the version of the latest mark of a data centre.
func (v *View) Marked(id schema.DataCentreID) schema.Version {
	return v.markedDC[string(id)]
}

// updateOwners records which pool each target address belongs to. The new pool
// of an address may use it only after the grace period, when no daemon sends to
// it for the old pool any more.
func (v *View) updateOwners(now clock.Milli, pools map[schema.Name]*schema.Pool) {
	for _, p := range pools {
		for i := range p.Targets {
			a := p.Targets[i].Address
			o, ok := v.owners[a]
			if ok && o.pool == p.Name {
				continue
			}
			usableFrom := clock.Never
			if ok {
				usableFrom = now + v.grace
			}
			v.owners[a] = owner{pool: p.Name, usableFrom: usableFrom}
		}
	}
}

// pushPlacements adds the newest placements to their tables.
func (v *View) pushPlacements(now clock.Milli) {
	for _, o := range v.store.Kind(object.Placement) {
		p, ok := Decoded[schema.Placement](v.store, o)
		if !ok {
			continue
		}
		t := v.tables[p.Service]
		if t == nil {
			t = new(Table)
			v.tables[p.Service] = t
		}
		t.Push(now+v.grace, o.Version, p)
	}
}

func (v *View) newEntry(r *schema.Route, p *schema.Pool) *Entry {
	e := &Entry{Service: r.Service(), Route: *r, Pool: p, Dests: make(map[schema.Handle]*Dest), Table: v.tables[r.Service()]}
	if e.Table == nil {
		e.Table = new(Table)
		v.tables[r.Service()] = e.Table
	}
	if p == nil {
		return e
	}
	for i := range p.Targets {
		t := p.Targets[i]
		o := v.owners[t.Address]
		if o.pool != p.Name {
			continue // the address belongs to another pool
		}
		d := &Dest{
			Target:     t,
			Handle:     flow.HandleOf(&t),
			VNI:        p.VNI,
			Out:        v.outDC[string(t.DataCentre)],
			Marked:     v.Marked(t.DataCentre),
			NoOpen:     t.Drain || v.outVM[string(t.ID)],
			UsableFrom: o.usableFrom,
		}
		e.Dests[d.Handle] = d
		e.Targets = append(e.Targets, d)
	}
	return e
}

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

// HomesName is the name of the object that lists the homes.
const HomesName = "all"

// Dest is a target that a service may deliver to.
type Dest struct {
	Target schema.Target
	Handle schema.Handle
	VNI    schema.VNI
	// Out is set while the target's data centre is out: nothing is sent.
	Out bool
	// Marked is the version of the last mark of the target's data centre.
	// Opens wait for a placement that takes it into account.
	Marked schema.Version
	// NoOpen is set while the target is drained by an operator.
	NoOpen bool
	// From is when the daemon may first send to the target.
	From clock.Milli
}

// Entry is one service with its pool and table.
type Entry struct {
	Service schema.Service
	Route   schema.Route
	// Pool is nil while no pool has the route's name.
	Pool  *schema.Pool
	Dests map[schema.Handle]*Dest
	// Targets holds the values of Dests in the pool's order.
	Targets []*Dest
	Table   *Table
}

// Dest returns the destination of a handle if packets may go there now.
func (e *Entry) Dest(now clock.Milli, h schema.Handle) *Dest {
	d := e.Dests[h]
	if d == nil || d.Out || d.From > now {
		return nil
	}
	return d
}

// View is the compiled state. It is not safe for concurrent use.
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
	// owners tells which pool an address served and since when.
	owners map[netip.AddrPort]owner
	first  clock.Milli
	// activated is the revision up to which placements are in effect.
	activated schema.Version
}

type owner struct {
	pool schema.Name
	from clock.Milli
}

// New returns an empty view with the given grace period.
func New(grace clock.Milli) *View {
	return &View{
		store:    NewStore(),
		grace:    grace,
		services: make(map[schema.Service]*Entry),
		tables:   make(map[schema.Service]*Table),
		owners:   make(map[netip.AddrPort]owner),
		first:    clock.Never,
	}
}

// Store returns the objects behind the view.
func (v *View) Store() *Store {
	return v.store
}

// Revision returns the revision of the view.
func (v *View) Revision() schema.Version {
	return v.store.Revision()
}

// Merge takes a list complete from the revision since, learned now. It
// reports whether anything changed.
func (v *View) Merge(now clock.Milli, since schema.Version, l object.List) bool {
	ids, ok := v.store.Merge(since, l)
	if !ok {
		return false
	}
	if v.first == clock.Never {
		v.first = now
	}
	if len(ids) == 0 {
		return false
	}
	v.compile(now)
	return true
}

// Activate ends the grace period of the placements up to a revision that all
// daemons are known to have.
func (v *View) Activate(now clock.Milli, known schema.Version) {
	if known <= v.activated {
		return
	}
	v.activated = known
	for _, t := range v.tables {
		t.Activate(now, known)
	}
}

// First returns when the view got its first objects; clock.Never if it is
// still empty.
func (v *View) First() clock.Milli {
	return v.first
}

// Entry returns the entry of a service, or nil.
func (v *View) Entry(s schema.Service) *Entry {
	return v.services[s]
}

// Entries returns all entries, by service key. The order is fixed, so that the
// same events always lead to the same actions.
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

func (v *View) compile(now clock.Milli) {
	v.outVM, _ = v.marks(object.VM)
	v.outDC, v.markedDC = v.marks(object.DataCentre)
	v.members = All[schema.Member](v.store, object.Member)
	pools := make(map[schema.Name]*schema.Pool)
	for _, p := range All[schema.Pool](v.store, object.Pool) {
		pools[p.Name] = p
	}
	v.claim(now, pools)
	v.layer(now)
	services := make(map[schema.Service]*Entry)
	for _, r := range All[schema.Route](v.store, object.Route) {
		s := r.Service()
		if services[s] != nil {
			continue // the API refuses a second route with the same address
		}
		services[s] = v.entry(r, pools[r.Name])
	}
	v.services = services
	v.sorted = slices.SortedFunc(maps.Values(services), func(a, b *Entry) int {
		return strings.Compare(a.Service.Key(), b.Service.Key())
	})
}

// marks returns the names that are marked out and the versions of all marks.
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

// Homes returns the agreed list of homes and its version, zero if there is
// none yet.
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

// Marked returns the version of the last mark of a data centre.
func (v *View) Marked(id schema.DataCentreID) schema.Version {
	return v.markedDC[string(id)]
}

// claim notes which pool each target address serves. An address that changed
// its pool may be used by the new pool only after the grace period, when no
// daemon sends to it for the old pool any more.
func (v *View) claim(now clock.Milli, pools map[schema.Name]*schema.Pool) {
	for _, p := range pools {
		for i := range p.Targets {
			a := p.Targets[i].Address
			o, ok := v.owners[a]
			if ok && o.pool == p.Name {
				continue
			}
			from := clock.Never
			if ok {
				from = now + v.grace
			}
			v.owners[a] = owner{pool: p.Name, from: from}
		}
	}
}

// layer pushes the newest placements onto their tables.
func (v *View) layer(now clock.Milli) {
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

func (v *View) entry(r *schema.Route, p *schema.Pool) *Entry {
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
			continue // another pool claims the address
		}
		d := &Dest{
			Target: t,
			Handle: flow.HandleOf(&t),
			VNI:    p.VNI,
			Out:    v.outDC[string(t.DataCentre)],
			Marked: v.Marked(t.DataCentre),
			NoOpen: t.Drain || v.outVM[string(t.ID)],
			From:   o.from,
		}
		e.Dests[d.Handle] = d
		e.Targets = append(e.Targets, d)
	}
	return e
}

package daemon

import (
	"encoding/json"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/coordination/plan"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

const (
	planEvery = 250 * clock.Milli(1)
	// rampStep is how long a target keeps one rate.
	rampStep = 5 * clock.Second
	// writeTimeout is how long a planner waits for its write's outcome.
	writeTimeout = 3 * clock.Second
	// firstWait is how long a first placement waits for all targets' states.
	firstWait = 3 * clock.Second
	// reportAge is how long a report counts.
	reportAge = 3 * expireEvery
)

// planner is the memory of a daemon that plans services. All of it may be
// lost: a new planner only waits longer before it raises a rate or lets a
// bucket rest.
type planner struct {
	last    clock.Milli
	homes   homesMemo
	forgot  clock.Milli
	memo    map[schema.Service]*memo
	reports map[string]map[schema.VMID]reported
}

type reported struct {
	at     clock.Milli
	report peer.Report
}

type memo struct {
	since  clock.Milli
	moving [schema.Buckets]clock.Milli
	rates  map[schema.Handle]rate
	// written is the version of the last placement that a write replaced, and
	// busy when that was.
	written schema.Version
	busy    clock.Milli
}

type rate struct {
	value schema.PerSecond
	since clock.Milli
}

func newPlanner() *planner {
	return &planner{
		memo:    make(map[schema.Service]*memo),
		reports: make(map[string]map[schema.VMID]reported),
		homes:   homesMemo{busy: clock.Never},
	}
}

// report takes a daemon's list of buckets that hold flows elsewhere than on
// their current target.
func (pl *planner) report(now clock.Milli, from schema.VMID, list []*peer.Report) {
	for _, r := range list {
		if r == nil {
			continue
		}
		byVM := pl.reports[r.Service]
		if byVM == nil {
			byVM = make(map[schema.VMID]reported)
			pl.reports[r.Service] = byVM
		}
		byVM[from] = reported{at: now, report: *r}
	}
}

// reports lists, for each service with moving buckets, the buckets of which
// this daemon has records that differ from the newest placement.
func (m *Machine) reports(now clock.Milli) []*peer.Report {
	sets := make(map[schema.Service]*peer.Report)
	var list []*peer.Report
	for _, e := range m.view.Entries() {
		p, version := e.Table.Newest()
		if p == nil || !anyMoving(p) {
			continue
		}
		r := &peer.Report{Service: e.Service.Key(), Placement: version, Foreign: make([]byte, schema.Buckets/8)}
		if m.records.Full(now) || !e.Table.Settled(now) {
			fill(r.Foreign)
		}
		sets[e.Service] = r
		list = append(list, r)
	}
	if len(sets) == 0 {
		return nil
	}
	m.records.Each(func(k flow.Key, rec record.Record) {
		r := sets[k.Service()]
		if r == nil {
			return
		}
		p, _ := m.view.Entry(k.Service()).Table.Newest()
		b := flow.Bucket(k.Hash())
		if cur := p.Current[b]; cur == schema.NoSlot || p.Slots[cur].Handle != rec.Target {
			r.Foreign[b/8] |= 1 << (b % 8)
		}
	})
	return list
}

func anyMoving(p *schema.Placement) bool {
	for _, moving := range p.Moving {
		if moving {
			return true
		}
	}
	return false
}

func fill(bits []byte) {
	for i := range bits {
		bits[i] = 0xff
	}
}

// plan writes the next placement of each service that this daemon plans.
func (m *Machine) plan(now clock.Milli) {
	if now-m.plans.last < planEvery {
		return
	}
	m.plans.last = now
	if !m.ready || m.retired() || !m.reaches(now) || !m.set.Fresh(now, m.view.Revision()) {
		return
	}
	m.planHomes(now)
	m.forgetMembers(now)
	if !m.quorum(now) || m.homes.Version() == 0 {
		return // the other side of a cut plans, or flows have no homes yet
	}
	for _, e := range m.view.Entries() {
		if e.Pool == nil || m.set.Rank(now, plannerOf(e.Service), true) > 0 {
			delete(m.plans.memo, e.Service)
			continue
		}
		m.planService(now, e.Service, e)
	}
}

func (m *Machine) planService(now clock.Milli, s schema.Service, e *view.Entry) {
	prev, version := e.Table.Newest()
	mem := m.remember(now, s, prev)
	if now-mem.busy < writeTimeout && mem.written == version {
		return
	}
	if prev == nil && now-mem.since < firstWait && !m.allKnown(now, e) {
		return
	}
	next, changed := plan.Next(prev, m.planInput(now, e, mem, version))
	if !changed || prev == nil && len(next.Slots) == 0 || unplaced(next) {
		return
	}
	data, err := json.Marshal(next)
	if err != nil {
		return
	}
	mem.busy, mem.written = now, version
	id := object.ID{Kind: object.Placement, Name: s.Key()}
	m.out.Writes = append(m.out.Writes, Write{ID: id, Expect: version, Data: data})
}

// plannerOf returns the name that a service's planner is chosen by.
func plannerOf(s schema.Service) string {
	return "planner " + s.Key()
}

// unplaced reports whether no bucket has a target.
func unplaced(p *schema.Placement) bool {
	for _, c := range p.Current {
		if c != schema.NoSlot {
			return false
		}
	}
	return true
}

func (m *Machine) allKnown(now clock.Milli, e *view.Entry) bool {
	for _, d := range e.Targets {
		if !m.health.State(now, d.Handle).Known {
			return false
		}
	}
	return true
}

// remember updates the planner's timers from the newest placement.
func (m *Machine) remember(now clock.Milli, s schema.Service, prev *schema.Placement) *memo {
	mem := m.plans.memo[s]
	if mem == nil {
		mem = &memo{since: now, busy: clock.Never, rates: make(map[schema.Handle]rate)}
		for b := range mem.moving {
			mem.moving[b] = now
		}
		m.plans.memo[s] = mem
	}
	if prev == nil {
		return mem
	}
	for b, moving := range prev.Moving {
		if !moving {
			mem.moving[b] = now
		}
	}
	for _, slot := range prev.Slots {
		if mem.rates[slot.Handle].value != slot.Rate {
			mem.rates[slot.Handle] = rate{value: slot.Rate, since: now}
		}
	}
	return mem
}

func (m *Machine) planInput(now clock.Milli, e *view.Entry, mem *memo, version schema.Version) plan.Input {
	return plan.Input{
		Service:  e.Service,
		Pool:     e.Pool,
		Revision: m.view.Revision(),
		Marked:   m.view.Marked,
		Gone: func(t *schema.Target) bool {
			return m.view.OutDataCentre(t.DataCentre)
		},
		Drained: func(t *schema.Target) bool {
			return t.Drain || m.view.OutVM(string(t.ID))
		},
		Health: func(h schema.Handle) health.State {
			return m.health.State(now, h)
		},
		Members: m.admitters(now),
		RampDue: func(h schema.Handle) bool {
			return now-mem.rates[h].since >= rampStep
		},
		Settled: m.settled(now, e.Service, mem, version),
	}
}

// admitters lists the daemons that may have duties, this one first.
func (m *Machine) admitters(now clock.Milli) []schema.VMID {
	list := []schema.VMID{m.set.Self().ID}
	for _, p := range m.set.Peers() {
		if p.Fit(now) {
			list = append(list, p.Member.ID)
		}
	}
	return list
}

// settled returns the test whether a moving bucket may rest: it moved for
// longer than a live flow stays silent, and no daemon has a record of it that
// differs from the placement.
func (m *Machine) settled(now clock.Milli, s schema.Service, mem *memo, version schema.Version) func(int) bool {
	foreign := make([]byte, schema.Buckets/8)
	for _, id := range m.admitters(now) {
		r, ok := m.plans.reports[s.Key()][id]
		if !ok || r.report.Placement != version || now-r.at > reportAge || len(r.report.Foreign) != len(foreign) {
			return func(int) bool { return false }
		}
		for i, bits := range r.report.Foreign {
			foreign[i] |= bits
		}
	}
	return func(b int) bool {
		return now-mem.moving[b] > m.idle+2*expireEvery && foreign[b/8]>>(b%8)&1 == 0
	}
}

// Written takes the outcome of a Write. Whatever it is, also unknown, the next
// plan starts from what a new read shows.
func (m *Machine) Written() {
	m.lastRead = clock.Never
}

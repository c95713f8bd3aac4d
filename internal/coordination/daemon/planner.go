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
	// planInterval is the time between two runs of the planner.
	planInterval = 250 * clock.Milli(1)
	// rampStepTime is how long a target keeps one rate limit.
	rampStepTime = 5 * clock.Second
	// writeTimeout is how long a planner waits for the outcome of its write.
	writeTimeout = 3 * clock.Second
	// firstPlanWait is how long the first placement of a service waits for
	// the states of all targets.
	firstPlanWait = 3 * clock.Second
	// reportTTL is the age after which a report is ignored.
	reportTTL = 3 * expireInterval
)

// planner is the state of a daemon that plans services. It may be lost at any
// time: a new planner only waits longer before it raises a rate limit or
// stops moving a bucket.
type planner struct {
	plannedAt       clock.Milli
	homes           homesState
	memberRemovedAt clock.Milli
	services        map[schema.Service]*serviceState
	reports         map[string]map[schema.VMID]reported
}

// reported is the latest report of one daemon on one service.
type reported struct {
	receivedAt clock.Milli
	report     peer.Report
}

// serviceState is what the planner of a service remembers.
type serviceState struct {
	firstSeen clock.Milli
	// movingSince holds, for each bucket, the last time at which it was not
	// moving, or when this daemon began to plan the service if that is later.
	movingSince [schema.Buckets]clock.Milli
	rates       map[schema.Handle]rate
	// writtenVersion is the version of the placement that the last write was
	// to replace, and writtenAt is when that was.
	writtenVersion schema.Version
	writtenAt      clock.Milli
}

// rate is the rate limit of a target and the time since which it has applied.
type rate struct {
	value schema.PerSecond
	since clock.Milli
}

func newPlanner() *planner {
	return &planner{
		services: make(map[schema.Service]*serviceState),
		reports:  make(map[string]map[schema.VMID]reported),
		homes:    homesState{writtenAt: clock.Never},
	}
}

// addReports stores a daemon's reports of the buckets with flows that are not
// on their current target.
func (pl *planner) addReports(now clock.Milli, from schema.VMID, list []*peer.Report) {
	for _, r := range list {
		if r == nil {
			continue
		}
		byVM := pl.reports[r.Service]
		if byVM == nil {
			byVM = make(map[schema.VMID]reported)
			pl.reports[r.Service] = byVM
		}
		byVM[from] = reported{receivedAt: now, report: *r}
	}
}

// movingReports returns, for each service with moving buckets, a report of
// the buckets for which this daemon has records of another target than in the
// newest placement. All buckets are reported while a record may be missing or
// the newest placement is not yet in effect.
func (m *Machine) movingReports(now clock.Milli) []*peer.Report {
	sets := make(map[schema.Service]*peer.Report)
	var list []*peer.Report
	for _, e := range m.view.Entries() {
		p, version := e.Table.Newest()
		if p == nil || !anyMoving(p) {
			continue
		}
		r := &peer.Report{Service: e.Service.Key(), Placement: version, Foreign: make([]byte, schema.Buckets/8)}
		if m.records.RecentlyRejected(now) || !e.Table.Settled(now) {
			setAll(r.Foreign)
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

func setAll(bits []byte) {
	for i := range bits {
		bits[i] = 0xff
	}
}

// planServices writes the next placement of each service that this daemon
// plans.
func (m *Machine) planServices(now clock.Milli) {
	if now-m.planner.plannedAt < planInterval {
		return
	}
	m.planner.plannedAt = now
	if !m.ready || m.leavingOrOut() || !m.reachesPlatform(now) || !m.members.Fresh(now, m.view.Revision()) {
		return
	}
	m.planHomes(now)
	m.removeDeadMembers(now)
	if !m.hasQuorum(now) || m.homes.Version() == 0 {
		return // another side of a partition plans, or flows have no homes yet
	}
	for _, e := range m.view.Entries() {
		if e.Pool == nil || m.members.Rank(now, plannerKey(e.Service), true) > 0 {
			delete(m.planner.services, e.Service)
			continue
		}
		m.planService(now, e.Service, e)
	}
}

func (m *Machine) planService(now clock.Milli, s schema.Service, e *view.Entry) {
	prev, version := e.Table.Newest()
	state := m.updateTimers(now, s, prev)
	if now-state.writtenAt < writeTimeout && state.writtenVersion == version {
		return
	}
	if prev == nil && now-state.firstSeen < firstPlanWait && !m.allHealthKnown(now, e) {
		return
	}
	next, changed := plan.Next(prev, m.planInput(now, e, state, version))
	if !changed || prev == nil && len(next.Slots) == 0 || noBucketPlaced(next) {
		return
	}
	data, err := json.Marshal(next)
	if err != nil {
		return
	}
	state.writtenAt, state.writtenVersion = now, version
	id := object.ID{Kind: object.Placement, Name: s.Key()}
	m.out.Writes = append(m.out.Writes, Write{ID: id, Expect: version, Data: data})
}

// plannerKey returns the name from which the planner of a service is chosen
// by rendezvous hashing.
func plannerKey(s schema.Service) string {
	return "planner " + s.Key()
}

// noBucketPlaced reports whether no bucket has a target.
func noBucketPlaced(p *schema.Placement) bool {
	for _, c := range p.Current {
		if c != schema.NoSlot {
			return false
		}
	}
	return true
}

func (m *Machine) allHealthKnown(now clock.Milli, e *view.Entry) bool {
	for _, d := range e.Targets {
		if !m.health.State(now, d.Handle).Known {
			return false
		}
	}
	return true
}

// updateTimers updates the planner's timers from the newest placement.
func (m *Machine) updateTimers(now clock.Milli, s schema.Service, prev *schema.Placement) *serviceState {
	state := m.planner.services[s]
	if state == nil {
		state = &serviceState{firstSeen: now, writtenAt: clock.Never, rates: make(map[schema.Handle]rate)}
		for b := range state.movingSince {
			state.movingSince[b] = now
		}
		m.planner.services[s] = state
	}
	if prev == nil {
		return state
	}
	for b, moving := range prev.Moving {
		if !moving {
			state.movingSince[b] = now
		}
	}
	for _, slot := range prev.Slots {
		if state.rates[slot.Handle].value != slot.Rate {
			state.rates[slot.Handle] = rate{value: slot.Rate, since: now}
		}
	}
	return state
}

func (m *Machine) planInput(now clock.Milli, e *view.Entry, state *serviceState, version schema.Version) plan.Input {
	return plan.Input{
		Service:  e.Service,
		Pool:     e.Pool,
		Revision: m.view.Revision(),
		Marked:   m.view.Marked,
		Out: func(t *schema.Target) bool {
			return m.view.OutDataCentre(t.DataCentre)
		},
		Drained: func(t *schema.Target) bool {
			return t.Drain || m.view.OutVM(string(t.ID))
		},
		Health: func(h schema.Handle) health.State {
			return m.health.State(now, h)
		},
		Admitters: m.eligibleDaemons(now),
		RampDue: func(h schema.Handle) bool {
			return now-state.rates[h].since >= rampStepTime
		},
		Settled: m.settled(now, e.Service, state, version),
	}
}

// eligibleDaemons lists the daemons that may be given duties, this one first.
func (m *Machine) eligibleDaemons(now clock.Milli) []schema.VMID {
	list := []schema.VMID{m.members.Self().ID}
	for _, p := range m.members.Peers() {
		if p.Eligible(now) {
			list = append(list, p.Member.ID)
		}
	}
	return list
}

// settled returns a function that reports whether a moving bucket may stop
// moving: it has been moving for longer than a live flow can be silent, and
// no daemon has a record in it that differs from the placement.
func (m *Machine) settled(now clock.Milli, s schema.Service, state *serviceState, version schema.Version) func(int) bool {
	foreign := make([]byte, schema.Buckets/8)
	for _, id := range m.eligibleDaemons(now) {
		r, ok := m.planner.reports[s.Key()][id]
		if !ok || r.report.Placement != version || now-r.receivedAt > reportTTL || len(r.report.Foreign) != len(foreign) {
			return func(int) bool { return false }
		}
		for i, bits := range r.report.Foreign {
			foreign[i] |= bits
		}
	}
	return func(b int) bool {
		return now-state.movingSince[b] > m.idleLimit+2*expireInterval && foreign[b/8]>>(b%8)&1 == 0
	}
}

// WriteDone handles the outcome of a Write. Whether it succeeded, failed or is
// unknown, the next plan starts from what a new read returns.
func (m *Machine) WriteDone() {
	m.lastReadAt = clock.Never
}

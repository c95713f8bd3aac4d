// Package daemon is the decision core of an entry daemon, a pure state
// machine.
//
// Events go in with the time: a packet (Decide), a peer's message, a platform
// answer, a probe result, a tick. Typed actions come out. There is no
// goroutine, socket, clock or global random number inside, so processes,
// tests and fuzzers drive the same code.
//
// The model. A flow's bucket is a hash of its five-tuple; the placement maps
// the bucket to a target. A flow of a bucket at rest is where the placement
// says and has no state anywhere. While a bucket moves, its new flows open on
// the current target and are recorded at two homes, daemons chosen by
// rendezvous; every flow without a record is on the bucket's base. A daemon
// that has no confirmed record passes the packet to a home.
//
// Invariants:
//   - A target receives the first packet of a recorded flow only after both
//     homes that its sender knows have the record.
//   - A new version opens flows on a new target only after member.Lease since
//     it was learned; a daemon whose view lease has lapsed decides nothing
//     that a home can decide.
//   - A packet goes only to a target of the pool that has the route's name
//     now, and to none of a data centre that is out.
package daemon

import (
	"encoding/json"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/admit"
	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/coordination/homes"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// Defaults and spans.
const (
	defaultRecords = 200000
	defaultIdle    = 15 * clock.Minute
	recentOpens    = 8192
	// repeatWindow is how long the repetition of a first packet stays with a
	// target that drains. With the time to learn of the drain and the grace
	// period it ends within five seconds of the edit.
	repeatWindow = 2 * clock.Second
	// recentWindow is how old an open may be that becomes a record when its
	// bucket starts to move.
	recentWindow = 5 * clock.Second
	// readEvery is the time between a reader's platform reads.
	readEvery = 500 * clock.Milli(1)
	// readAlone is the age of the confirmation after which a daemon that is
	// not a reader reads for itself.
	readAlone   = 1100 * clock.Milli(1)
	readTimeout = 2 * clock.Second
	// readersPerDataCentre is how many daemons read the platform for all.
	readersPerDataCentre = 2
	// maxPlanners is how many planners get every heartbeat.
	maxPlanners = 4
	pullEvery   = 300 * clock.Milli(1)
	expireEvery = 5 * clock.Second
	// soloAfter is how long a new daemon waits for peers.
	soloAfter = 3 * clock.Second
)

// Read asks the platform for the objects changed since a revision.
type Read struct {
	Since schema.Version
}

// Write is a conditional update of a platform object. Without Data it removes
// the object.
type Write struct {
	ID     object.ID
	Expect schema.Version
	Data   json.RawMessage
}

// Send is a message to a peer. Urgent messages may be lost, others are sent
// reliably.
type Send struct {
	To       schema.Member
	Message  peer.Message
	Datagram bool
}

// Probe asks for one health probe of a target.
type Probe struct {
	Handle schema.Handle
	Target schema.Target
}

// Output is what the shell must do after an event.
type Output struct {
	Sends  []Send
	Reads  []Read
	Writes []Write
	Probes []Probe
}

// Machine is the state of one daemon. It is not safe for concurrent use.
type Machine struct {
	set     *member.Set
	homes   *homes.Table
	view    *view.View
	health  *health.Table
	records *record.Store
	recent  *record.Recent
	budget  *admit.Budget
	plans   *planner

	idle    clock.Milli
	refresh clock.Milli
	started clock.Milli
	ready   bool
	leaving bool

	readBusy  clock.Milli
	readDone  clock.Milli
	lastRead  clock.Milli
	lastBeat  clock.Milli
	lastPull  clock.Milli
	lastProbe clock.Milli
	lastSweep clock.Milli
	queue     []flow.Key
	// forgotten lists the flows whose record is to be dropped everywhere.
	forgotten []flow.Key
	out       Output
}

// Option changes a setting of a Machine.
type Option func(*Machine)

// WithRecords limits the number of flow records.
func WithRecords(n int) Option {
	return func(m *Machine) { m.records = record.New(n, m.idle) }
}

// WithIdle sets the silence after which a flow counts as closed.
func WithIdle(d clock.Milli) Option {
	return func(m *Machine) {
		m.idle = d
		m.refresh = d / 3
		m.records = record.New(defaultRecords, d)
	}
}

// WithPeers names daemons to ask for the view while the platform is down.
func WithPeers(list []*schema.Member) Option {
	return func(m *Machine) { m.set.Register(0, list) }
}

// New returns the machine of a daemon that starts now. Boot must differ
// between runs of the same VM.
func New(now clock.Milli, self schema.Member, boot uint64, opts ...Option) *Machine {
	m := &Machine{
		set:      member.New(self, boot),
		view:     view.New(member.Lease),
		health:   health.New(self.ID),
		records:  record.New(defaultRecords, defaultIdle),
		recent:   record.NewRecent(recentOpens),
		budget:   admit.New(),
		plans:    newPlanner(),
		idle:     defaultIdle,
		refresh:  defaultIdle / 3,
		started:  now,
		readBusy: clock.Never,
		readDone: clock.Never,
		lastRead: clock.Never,
		lastBeat: clock.Never,
		lastPull: clock.Never,
	}
	m.homes = homes.New(m.set)
	for _, o := range opts {
		o(m)
	}
	return m
}

// View returns the daemon's view, for status and the administration API.
func (m *Machine) View() *view.View {
	return m.view
}

// Members returns the daemon's membership, for status.
func (m *Machine) Members() *member.Set {
	return m.set
}

// Health returns the merged state of a target.
func (m *Machine) Health(now clock.Milli, h schema.Handle) health.State {
	return m.health.State(now, h)
}

// Records returns the number of flow records held.
func (m *Machine) Records() int {
	return m.records.Len()
}

// Ready reports whether the daemon may decide on packets, so that a fabric
// should send it some.
func (m *Machine) Ready(now clock.Milli) bool {
	return m.ready && !m.retired() && !m.set.Blind(now, m.view.Revision())
}

// Leave starts a graceful stop: the daemon stops being a home and hands its
// records over, and goes on passing packets.
func (m *Machine) Leave() {
	m.leaving = true
}

func (m *Machine) retired() bool {
	self := m.set.Self()
	return m.leaving || m.view.OutVM(string(self.ID)) || m.view.OutDataCentre(self.DataCentre)
}

// flush returns the collected output.
func (m *Machine) flush() Output {
	out := m.out
	m.out = Output{}
	return out
}

// Tick advances time. It must be called several times a second.
func (m *Machine) Tick(now clock.Milli) Output {
	m.updateReady(now)
	m.set.Tick(now, m.ready, m.retired(), m.reaches(now))
	m.set.SetAlone(!m.quorum(now))
	if m.ready {
		m.view.Activate(now, m.set.Acked(now, m.view.Revision()))
	}
	if m.homes.Advance(now) {
		m.rehome()
		m.records.Doubt(m.isHome)
	}
	m.beat(now)
	m.read(now)
	m.probe(now)
	m.sweep(now)
	m.plan(now)
	m.drainQueue(now)
	m.sendForgotten()
	return m.flush()
}

// updateReady makes the daemon ready once its first view is in effect and
// every live peer counts it in, or it has waited for peers in vain.
func (m *Machine) updateReady(now clock.Milli) {
	first := m.view.First()
	if m.ready || first == clock.Never || now-first <= member.Lease {
		return
	}
	m.ready = m.set.Met(now) && (m.anyAlive(now) || now-m.started > soloAfter)
}

func (m *Machine) anyAlive(now clock.Milli) bool {
	for _, p := range m.set.Peers() {
		if p.Alive(now) {
			return true
		}
	}
	return false
}

// ProbeDone takes the result of a Probe.
func (m *Machine) ProbeDone(now clock.Milli, r health.Result) {
	if m.health.Probe(now, r) {
		m.lastBeat = clock.Never // tell the peers at the next tick
	}
}

// cold reports whether a target restarted since the placement was made: it
// then takes no opens until a placement limits them.
func (m *Machine) cold(now clock.Milli, s schema.Slot) bool {
	h := m.health.State(now, s.Handle)
	if !h.Known {
		return false
	}
	restarted := s.Incarnation != 0 && h.Incarnation != 0 && h.Incarnation != s.Incarnation
	return restarted || h.State == peer.Starting && s.Rate == 0
}

// sweep drops idle records and reports the moving buckets.
func (m *Machine) sweep(now clock.Milli) {
	if now-m.lastSweep < expireEvery {
		return
	}
	m.lastSweep = now
	m.records.Expire(now)
	reports := m.reports(now)
	if len(reports) == 0 {
		return
	}
	m.plans.report(now, m.set.Self().ID, reports)
	for _, p := range m.set.Peers() {
		if p.Alive(now) {
			m.send(p, peer.Message{Reports: reports}, false)
		}
	}
}

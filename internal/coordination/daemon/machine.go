// Package daemon is the decision core of an entry daemon, a pure state
// machine.
//
// Events are passed in together with the time: a packet (Decide), a message
// from a peer, an answer of the platform, a probe result, a tick. The results
// are typed actions. The package uses no goroutine, socket, clock or global
// random number generator, so processes, tests and fuzzers all drive the same
// code.
//
// Flows are hashed to buckets by their five-tuple, and the placement maps
// each bucket to a target. A flow in a bucket that is not moving is on the
// target that the placement names and needs no state. While a bucket is
// moving, its new flows open on the bucket's current target and are recorded
// at two homes, daemons chosen by rendezvous hashing. Every flow without a
// record is on the bucket's base, its previous target. A daemon without a
// confirmed record of a flow forwards the flow's packets to a home.
//
// Invariants:
//   - A target receives the first packet of a recorded flow only after both
//     homes that the sender knows of have stored the record.
//   - A new version opens flows on a new target only after member.Lease has
//     passed since the version was learned. A daemon whose view lease has
//     expired decides nothing that a home can decide.
//   - A packet is sent only to a target that is currently in the pool with
//     the route's name, and never to a data centre that is out.
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
	// Defaults of the options WithRecords and WithIdle.
	defaultMaxRecords = 200000
	defaultIdle       = 15 * clock.Minute
	// maxRecentOpens is the number of recent opens that are remembered for
	// proposeRecentOpens.
	maxRecentOpens = 8192
	// repeatWindow is how long after a flow opened a repeated first packet
	// still goes to its target if that has started to drain. Together with
	// the time it takes to learn of the drain and the grace period, this ends
	// within five seconds of the edit.
	repeatWindow = 2 * clock.Second
	// recentWindow is the maximum age of an open that becomes a record when
	// its bucket starts to move.
	recentWindow = 5 * clock.Second
	// readInterval is the time between two platform reads by a reader.
	readInterval = 500 * clock.Milli(1)
	// directReadAge is the age of the platform's confirmation after which a
	// daemon that is not a reader reads the platform itself.
	directReadAge = 1100 * clock.Milli(1)
	// readTimeout is how long to wait for the answer to a read, and how long
	// after an answer the platform counts as reachable.
	readTimeout = 2 * clock.Second
	// readersPerDataCentre is the number of daemons that read the platform on
	// behalf of all.
	readersPerDataCentre = 2
	// maxPlannersToNotify is the number of planners that are sent every
	// heartbeat.
	maxPlannersToNotify = 4
	// pullInterval is the least time between two requests for the objects of
	// a peer.
	pullInterval = 300 * clock.Milli(1)
	// expireInterval is the time between two removals of idle records and
	// reports of moving buckets.
	expireInterval = 5 * clock.Second
	// peerWait is how long a new daemon waits for peers before it becomes
	// ready without any.
	peerWait = 3 * clock.Second
)

// Read requests the objects of the platform that changed after a revision.
type Read struct {
	Since schema.Version
}

// Write is a conditional update of a platform object. If Data is nil, the
// object is removed.
type Write struct {
	ID     object.ID
	Expect schema.Version
	Data   json.RawMessage
}

// Send is a message to a peer. A datagram may be lost; any other message is
// sent reliably.
type Send struct {
	To       schema.Member
	Message  peer.Message
	Datagram bool
}

// Probe requests one health probe of a target.
type Probe struct {
	Handle schema.Handle
	Target schema.Target
}

// Output is what the caller must do after an event.
type Output struct {
	Sends  []Send
	Reads  []Read
	Writes []Write
	Probes []Probe
}

// Machine is the state of one daemon. It is not safe for concurrent use.
type Machine struct {
	members *member.Set
	homes   *homes.Table
	view    *view.View
	health  *health.Table
	records *record.Store
	recent  *record.Recent
	limiter *admit.Limiter
	planner *planner

	idleLimit  clock.Milli
	refreshAge clock.Milli
	startedAt  clock.Milli
	ready      bool
	leaving    bool

	readStartedAt   clock.Milli
	readDoneAt      clock.Milli
	lastReadAt      clock.Milli
	lastHeartbeatAt clock.Milli
	lastPullAt      clock.Milli
	lastProbeAt     clock.Milli
	lastExpiryAt    clock.Milli
	handoverQueue   []flow.Key
	// endedFlows lists the flows whose records are to be dropped by all
	// daemons.
	endedFlows []flow.Key
	out        Output
}

// Option configures a Machine.
type Option func(*Machine)

// WithRecords sets the maximum number of flow records.
func WithRecords(n int) Option {
	return func(m *Machine) { m.records = record.New(n, m.idleLimit) }
}

// WithIdle sets the time without packets after which a flow counts as closed.
func WithIdle(d clock.Milli) Option {
	return func(m *Machine) {
		m.idleLimit = d
		m.refreshAge = d / 3
		m.records = record.New(defaultMaxRecords, d)
	}
}

// WithPeers names daemons to ask for the view while the platform is down.
func WithPeers(list []*schema.Member) Option {
	return func(m *Machine) { m.members.Register(0, list) }
}

// New returns the machine of a daemon that starts now. boot must differ
// between runs on the same VM.
func New(now clock.Milli, self schema.Member, boot uint64, opts ...Option) *Machine {
	m := &Machine{
		members:         member.New(self, boot),
		view:            view.New(member.Lease),
		health:          health.New(self.ID),
		records:         record.New(defaultMaxRecords, defaultIdle),
		recent:          record.NewRecent(maxRecentOpens),
		limiter:         admit.New(),
		planner:         newPlanner(),
		idleLimit:       defaultIdle,
		refreshAge:      defaultIdle / 3,
		startedAt:       now,
		readStartedAt:   clock.Never,
		readDoneAt:      clock.Never,
		lastReadAt:      clock.Never,
		lastHeartbeatAt: clock.Never,
		lastPullAt:      clock.Never,
	}
	m.homes = homes.New(m.members)
	for _, o := range opts {
		o(m)
	}
	return m
}

// View returns the daemon's view. It is used for the status and by the
// administration API.
func (m *Machine) View() *view.View {
	return m.view
}

// Members returns the daemon's membership. It is used for the status.
func (m *Machine) Members() *member.Set {
	return m.members
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
	return m.ready && !m.leavingOrOut() && !m.members.MaybeOutdated(now, m.view.Revision())
}

// Leave starts a graceful stop: the daemon stops being a home and hands its
// records over, but keeps forwarding packets.
func (m *Machine) Leave() {
	m.leaving = true
}

// leavingOrOut reports whether the daemon is stopping, or whether its VM or
// its data centre is marked as out.
func (m *Machine) leavingOrOut() bool {
	self := m.members.Self()
	return m.leaving || m.view.OutVM(string(self.ID)) || m.view.OutDataCentre(self.DataCentre)
}

// flush returns the collected output and resets it.
func (m *Machine) flush() Output {
	out := m.out
	m.out = Output{}
	return out
}

// Tick advances time. It must be called several times a second.
func (m *Machine) Tick(now clock.Milli) Output {
	m.updateReady(now)
	m.members.Tick(now, m.ready, m.leavingOrOut(), m.reachesPlatform(now))
	m.members.SetNoQuorum(!m.hasQuorum(now))
	if m.ready {
		m.view.Activate(now, m.members.ReachedByAll(now, m.view.Revision()))
	}
	if m.homes.Advance(now) {
		m.queueHandover()
		m.records.Unconfirm(m.isHome)
	}
	m.sendHeartbeats(now)
	m.readPlatform(now)
	m.requestProbes(now)
	m.expireRecords(now)
	m.planServices(now)
	m.handOverQueued(now)
	m.sendEndedFlows()
	return m.flush()
}

// updateReady makes the daemon ready once its first view is in effect and
// every live peer includes it in its lease. If there are no live peers, it
// waits for peerWait.
func (m *Machine) updateReady(now clock.Milli) {
	firstMerge := m.view.FirstMerge()
	if m.ready || firstMerge == clock.Never || now-firstMerge <= member.Lease {
		return
	}
	m.ready = m.members.AnsweredByPeers(now) && (m.anyAlive(now) || now-m.startedAt > peerWait)
}

func (m *Machine) anyAlive(now clock.Milli) bool {
	for _, p := range m.members.Peers() {
		if p.Alive(now) {
			return true
		}
	}
	return false
}

// ProbeDone handles the result of a Probe.
func (m *Machine) ProbeDone(now clock.Milli, r health.Result) {
	if m.health.AddResult(now, r) {
		m.lastHeartbeatAt = clock.Never // send heartbeats at the next tick
	}
}

// isCold reports whether a target restarted after the placement was computed,
// or is starting without a rate limit. Such a target takes no new flows until
// a placement limits them.
func (m *Machine) isCold(now clock.Milli, s schema.Slot) bool {
	h := m.health.State(now, s.Handle)
	if !h.Known {
		return false
	}
	restarted := s.Incarnation != 0 && h.Incarnation != 0 && h.Incarnation != s.Incarnation
	return restarted || h.State == peer.Starting && s.Rate == 0
}

// expireRecords drops idle records and reports the moving buckets to the
// planners.
func (m *Machine) expireRecords(now clock.Milli) {
	if now-m.lastExpiryAt < expireInterval {
		return
	}
	m.lastExpiryAt = now
	m.records.Expire(now)
	reports := m.movingReports(now)
	if len(reports) == 0 {
		return
	}
	m.planner.addReports(now, m.members.Self().ID, reports)
	for _, p := range m.members.Peers() {
		if p.Alive(now) {
			m.send(p, peer.Message{Reports: reports}, false)
		}
	}
}

package entry

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// simStep is the time between two ticks of a simulated daemon, a message's delay
	// and a call's latency.
	simStep = 25 * clock.Milli(1)
	// simSettle is how long a simulated fleet takes to start.
	simSettle = 8 * clock.Second
	// watchSilence is how long the simulated store's watches hear nothing.
	watchSilence = clock.Second
)

// simStore simulates the platform's store.
type simStore struct {
	rev     schema.Version
	targets map[schema.TargetID]fleet.Target
	version int64
	outs    map[schema.DataCentreID]schema.Version
	changes []fleet.Update
	// silentUntil is until when watches hear nothing. They then answer with the
	// current revision if passes is set, else with the one that they were asked for.
	silentUntil clock.Milli
	passes      bool
	// kindRevision makes watches answer with the last revision of their topic.
	kindRevision bool
	// down is set while the store answers nothing.
	down bool
	// dropped is the revision before which the history is gone.
	dropped schema.Version
	// latency is how long a call takes at least, zero for one step. If timeouts is set,
	// calls fail after their time limit.
	latency  clock.Milli
	timeouts bool
	// routes and pools are those of the configuration.
	routes []fleet.Route
	pools  []fleet.Pool
	// old holds the answers to stale lists, if set by keepLists.
	old map[fleet.Topic]*fleet.Update
}

// keepLists makes stale lists show what the store holds now, whatever comes later.
func (s *simStore) keepLists() {
	s.old = make(map[fleet.Topic]*fleet.Update)
	for t := range fleet.Topics {
		s.old[t] = s.list(t)
	}
}

// put writes a target's entry.
func (s *simStore) put(id schema.TargetID, draining bool) {
	s.rev++
	t := fleet.Target{
		ID: id, Number: uint64(len(s.targets) + 1), StartedAt: 1, Pool: "desk", Address: netip.MustParseAddrPort("10.9.0.1:80"), DataCentre: "a",
		Slots: 2, Draining: draining, Rev: s.rev,
	}
	if old, ok := s.targets[id]; ok {
		t.Number = old.Number
	}
	s.targets[id] = t
	s.changes = append(s.changes, fleet.Update{Topic: fleet.Targets, Rev: s.rev, Targets: []fleet.Target{t}})
}

// write writes a target's entry as the target states it.
func (s *simStore) write(t fleet.Target) {
	s.rev++
	t.Rev = s.rev
	s.targets[t.ID] = t
	s.changes = append(s.changes, fleet.Update{Topic: fleet.Targets, Rev: s.rev, Targets: []fleet.Target{t}})
}

// remove removes a target's entry.
func (s *simStore) remove(id schema.TargetID) {
	s.rev++
	delete(s.targets, id)
	s.changes = append(s.changes, fleet.Update{Topic: fleet.Targets, Rev: s.rev, Gone: []fleet.Removal{{Name: string(id), Rev: s.rev}}})
}

// configure writes a new version of the configuration.
func (s *simStore) configure() {
	s.rev++
	s.version++
	s.changes = append(s.changes, fleet.Update{Topic: fleet.Config, Rev: s.rev, Table: &fleet.Table{Version: s.version, Rev: s.rev, Routes: s.routes, Pools: s.pools}})
}

// takeOut marks a data centre out.
func (s *simStore) takeOut(dc schema.DataCentreID) {
	s.rev++
	s.outs[dc] = s.rev
	s.changes = append(s.changes, fleet.Update{Topic: fleet.Outs, Rev: s.rev, Outs: []fleet.Out{{DataCentre: dc, Rev: s.rev}}})
}

// list answers a list.
func (s *simStore) list(t fleet.Topic) *fleet.Update {
	u := &fleet.Update{Topic: t, Full: true, Rev: s.rev}
	switch t {
	case fleet.Targets:
		for _, x := range s.targets {
			u.Targets = append(u.Targets, x)
		}
	case fleet.Config:
		for _, x := range s.changes {
			if x.Topic == fleet.Config {
				u.Table = x.Table
			}
		}
	case fleet.Outs:
		for dc, rev := range s.outs {
			u.Outs = append(u.Outs, fleet.Out{DataCentre: dc, Rev: rev})
		}
	}
	return u
}

// watch answers a call for changes.
func (s *simStore) watch(now clock.Milli, c watch.Call) (*fleet.Update, error) {
	u := &fleet.Update{Topic: c.Topic, Since: c.Since, Rev: s.rev}
	if c.Since < s.dropped {
		return u, object.Compacted.New("changes since %d are gone", c.Since)
	}
	if now < s.silentUntil {
		if !s.passes {
			u.Rev = c.Since
		}
		return u, nil
	}
	last := c.Since
	for _, x := range s.changes {
		if x.Topic == c.Topic && x.Rev > c.Since {
			u.Targets = append(u.Targets, x.Targets...)
			u.Gone = append(u.Gone, x.Gone...)
			last = x.Rev
		}
	}
	if s.kindRevision {
		u.Rev = last
	}
	return u, nil
}

// answer answers a call that has lasted for a time; nil if it still waits.
func (s *simStore) answer(now clock.Milli, c watch.Call, lasted clock.Milli) (*fleet.Update, error) {
	if s.timeouts && lasted >= c.Wait+c.Timeout {
		return &fleet.Update{Topic: c.Topic}, errors.New("timed out")
	}
	if s.down || lasted < s.latency {
		return nil, nil
	}
	if c.List && c.Stale && s.old != nil {
		u := *s.old[c.Topic]
		return &u, nil
	}
	if c.List {
		u := s.list(c.Topic)
		if !c.Stale {
			u.Proved = u.Rev
		}
		return u, nil
	}
	u, err := s.watch(now, c)
	if err == nil && len(u.Targets)+len(u.Gone) == 0 && lasted < c.Wait {
		return nil, nil
	}
	return u, err
}

// simDaemon is a daemon in the simulation.
type simDaemon struct {
	*Daemon
	call  *watch.Call
	began clock.Milli
	// returns is when a lost daemon starts again, zero while it runs.
	returns clock.Milli
	// undisturbed is set if the daemon was never lost.
	undisturbed bool
}

// message is a summary on its way.
type message struct {
	from, to netip.AddrPort
	data     []byte
}

// sim runs daemons, with all that they decide, before a simulated store, network and
// clock.
type sim struct {
	t        *testing.T
	now      clock.Milli
	store    simStore
	bounds   setup.Bounds
	daemons  []*simDaemon
	messages []message
	starts   uint64
	// cut is set while no daemon reaches another.
	cut bool
	// calls counts the calls to the store, currentLists those that list what the store
	// holds now, lists all lists.
	calls, lists, currentLists int
	// pullSlots is the number of pulls that a daemon serves in a step, zero if it is
	// not limited; pulls counts those of this step.
	pullSlots int
	pulls     map[netip.AddrPort]int
	// seeds returns the seeds of a daemon; if nil, the first two daemons are.
	seeds func(i int) []netip.Addr
	// beat is called with each step by tests that let entries change all the time.
	beat func()
	// started is called for each daemon that starts, if set.
	started func(i int, d *simDaemon)
}

// boundsOf returns the bounds of a deployment by its bound for drains and versions.
func boundsOf(bound clock.Milli) setup.Bounds {
	return setup.Bounds{Apply: bound, Drain: bound, Out: 5 * clock.Second, Grace: 6 * clock.Second, FlowLife: clock.Minute}
}

// newSim returns a fleet that has settled, with 12 targets and a configuration.
func newSim(t *testing.T, n int, bound clock.Milli) *sim {
	s := &sim{t: t, bounds: boundsOf(bound), store: simStore{rev: 10, targets: map[schema.TargetID]fleet.Target{}, outs: map[schema.DataCentreID]schema.Version{}}}
	for i := range 12 {
		s.store.put(targetID(i), false)
	}
	s.store.configure()
	for i := range n {
		d := &simDaemon{undisturbed: true}
		s.daemons = append(s.daemons, d)
		s.start(i, d)
	}
	s.run(simSettle, nil)
	return s
}

func targetID(i int) schema.TargetID { return schema.TargetID(fmt.Sprintf("i-%02x", i)) }

func simAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7720)
}

// start starts the daemon of an index.
func (s *sim) start(i int, d *simDaemon) {
	s.starts++
	cfg := &setup.Entry{
		ID: schema.VMID(fmt.Sprintf("vm-%d", i)), DataCentre: schema.DataCentreID([]string{"a", "b", "c"}[i%3]), Peer: simAddr(i),
		Seeds: []netip.Addr{simAddr(0).Addr(), simAddr(1).Addr()}, Bounds: s.bounds,
	}
	if s.seeds != nil {
		cfg.Seeds = s.seeds(i)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.Daemon = newDaemon(cfg, PlatformAdapter{}, log, clock.New(clock.WithSource(func() clock.Milli { return s.now })), s.starts*37)
	s.t.Cleanup(d.log.close)
	d.call, d.returns = nil, 0
	d.sendToPeer = func(data []byte, to netip.AddrPort) {
		s.messages = append(s.messages, message{from: cfg.Peer, to: to, data: data})
	}
	if s.started != nil {
		s.started(i, d)
	}
}

// run lets a time pass and calls each after each step.
func (s *sim) run(d clock.Milli, each func()) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		s.pulls = make(map[netip.AddrPort]int)
		s.deliver()
		for i, x := range s.daemons {
			if x.returns != 0 && s.now >= x.returns {
				s.start(i, x)
			}
			if x.returns == 0 {
				s.step(x)
			}
		}
		if each != nil {
			each()
		}
	}
}

// step lets a daemon do what is due.
func (s *sim) step(d *simDaemon) {
	d.mu.Lock()
	d.tick()
	if d.call != nil {
		if u, err := s.store.answer(s.now, *d.call, s.now-d.began); u != nil {
			c := *d.call
			d.call = nil
			if next, ok := d.finishRead(d.began, c, u, err); ok {
				d.call, d.began = &next, s.now
				s.countCall(&next)
			}
		}
	}
	d.mu.Unlock()
	select {
	case c := <-d.storeCalls:
		d.call, d.began = &c, s.now
		s.countCall(&c)
	default:
	}
	select {
	case from := <-d.pullQueue:
		s.pull(d, from)
	default:
	}
}

// countCall counts a call to the store.
func (s *sim) countCall(c *watch.Call) {
	s.calls++
	if c.List {
		s.lists++
	}
	if c.List && !c.Stale {
		s.currentLists++
	}
}

// pull makes a pull from a peer, as its wire form carries it.
func (s *sim) pull(d *simDaemon, from netip.AddrPort) {
	p := d.newPull(from)
	peer := s.at(from)
	if peer == nil || s.cut || s.pullSlots > 0 && s.pulls[from] >= s.pullSlots {
		return
	}
	s.pulls[from]++
	data, err := digest.Encode(peer.updatesSince(p.since, p.removed, p.full))
	require.NoError(s.t, err)
	n, err := digest.Decode[digest.PullResponse](data)
	require.NoError(s.t, err)
	d.finishPull(p, n)
}

// at returns the running daemon with an address, nil if there is none.
func (s *sim) at(a netip.AddrPort) *simDaemon {
	for i, d := range s.daemons {
		if simAddr(i) == a && d.returns == 0 {
			return d
		}
	}
	return nil
}

func (s *sim) deliver() {
	list := s.messages
	s.messages = nil
	for _, m := range list {
		d := s.at(m.to)
		if d == nil || s.cut {
			continue
		}
		require.NoError(s.t, d.handlePeerMessage(m.from, m.data))
	}
}

// lose ends the first n daemons by rank without a word. They start again after away.
func (s *sim) lose(n int, away clock.Milli) {
	var running []*simDaemon
	for _, d := range s.daemons {
		if d.returns == 0 {
			running = append(running, d)
		}
	}
	slices.SortStableFunc(running, func(x, y *simDaemon) int { return x.membership.Rank(s.now) - y.membership.Rank(s.now) })
	for _, d := range running[:min(n, len(running)-1)] {
		d.returns, d.undisturbed = s.now+away, false
	}
}

// unaware returns the daemons that were never lost and don't know something.
func (s *sim) unaware(knows func(r *fleet.Replica) bool) []schema.VMID {
	var list []schema.VMID
	for _, d := range s.daemons {
		if d.undisturbed && !knows(d.core.Replica()) {
			list = append(list, d.cfg.ID)
		}
	}
	return list
}

// drained returns a check that a target takes no new flows.
func drained(id schema.TargetID) func(r *fleet.Replica) bool {
	return func(r *fleet.Replica) bool {
		e := r.Entry(id)
		return e != nil && (e.Gone || e.Target.Draining)
	}
}

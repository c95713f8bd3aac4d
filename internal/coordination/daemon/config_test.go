package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// faults are failures that may occur while operators edit the tables.
var faults = []struct {
	name string
	act  func(*simulation)
}{
	{"nothing", func(*simulation) {}},
	{"one daemon reaches the platform", func(w *simulation) {
		for _, n := range w.nodes[1:] {
			n.cutOff = true
		}
	}},
	{"slow platform", func(w *simulation) { w.platform.answerDelay = 900 }},
	{"lossy links", func(w *simulation) { w.lossRate = 0.2 }},
	{"a daemon frozen for a second", func(w *simulation) { w.nodes[4].freeze(clock.Second) }},
	{"a daemon killed", func(w *simulation) { w.nodes[4].kill() }},
}

// TestChangeInForce checks that a stored edit is in every daemon's view, and
// past its grace period, within five seconds.
func TestChangeInForce(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				w, p := newLoadedSimulation(seed, 0, 10, 20*clock.Second)
				f.act(w)
				p.Targets[2].Weight = 3
				v := w.storeObject(object.Pool, "desk", p)
				stored := w.now
				w.run(5*clock.Second - member.Lease)
				for _, n := range w.nodes {
					if !n.dead {
						require.GreaterOrEqual(t, n.m.view.Revision(), v, "%s seed %d %d ms", n.member.ID, seed, w.now-stored)
					}
				}
			}
		})
	}
}

// TestDrainedTargetGetsNoNewFlows checks that a drained target gets no new
// flow from five seconds after the edit was stored.
func TestDrainedTargetGetsNoNewFlows(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			w, p := newLoadedSimulation(3, 200, 300, 30*clock.Second)
			h := w.hosts[p.Targets[3].Address]
			f.act(w)
			drainTarget(w, p)
			w.run(5 * clock.Second)
			n := len(h.openedAt)
			w.run(15 * clock.Second)
			require.Empty(t, h.openedAt[n:])
			require.Zero(t, w.stats.broken, w.failures)
		})
	}
}

// TestViewNeverReverts passes outdated lists and a list with a gap to a
// daemon, from the platform and from a peer. The view must take none of them.
func TestViewNeverReverts(t *testing.T) {
	w, p := newLoadedSimulation(1, 0, 1, clock.Second)
	n := w.nodes[0]
	old := n.m.view.Store().Since(0)
	p.Targets[0].Drain = true
	w.storeObject(object.Pool, "desk", p)
	w.run(2 * clock.Second)
	revision := n.m.view.Revision()
	id := object.ID{Kind: object.Pool, Name: "desk"}
	before, _ := n.m.view.Store().Get(id)
	n.m.ReadDone(n.time(), n.time()-clock.Minute, 0, &old)
	n.m.Peer(n.time(), &peer.Message{From: "vm-2", Objects: &peer.Objects{List: old}})
	gap := object.List{Revision: revision + 10}
	n.m.Peer(n.time(), &peer.Message{From: "vm-2", Objects: &peer.Objects{Since: revision + 5, List: gap}})
	require.Equal(t, revision, n.m.view.Revision(), "an old list or one with a gap is refused")
	after, _ := n.m.view.Store().Get(id)
	require.Equal(t, before, after)
}

// TestBootWhilePlatformDown starts a daemon while the platform is down. It
// must learn the view from its peers and carry flows.
func TestBootWhilePlatformDown(t *testing.T) {
	w, _ := newLoadedSimulation(1, 300, 100, 40*clock.Second)
	w.platform.down = true
	w.run(3 * clock.Second)
	var seeds []*schema.Member
	for _, n := range w.nodes[:2] {
		seeds = append(seeds, &n.member)
	}
	w.opts = append(w.opts, WithPeers(seeds))
	late := w.addDaemon("late", dataCentres[0])
	w.run(8 * clock.Second)
	require.True(t, late.m.Ready(late.time()))
	require.Equal(t, w.nodes[0].m.view.Revision(), late.m.view.Revision())
	require.True(t, late.m.members.Fresh(late.time(), late.m.view.Revision()), "peers confirm each other")
	w.run(10 * clock.Second)
	require.Zero(t, w.stats.broken, w.failures)
	require.Zero(t, w.stats.refused)
}

// TestAddressMovesToOtherPool moves a target's address from one pool to
// another while one daemon's view is outdated. No packet of one service may
// reach the other.
func TestAddressMovesToOtherPool(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w, p := newLoadedSimulation(seed, 300, 300, 60*clock.Second)
		proofs := new(schema.Pool)
		o := w.platform.objects[object.ID{Kind: object.Pool, Name: "proof"}]
		decoded, err := schema.Decode[schema.Pool](o.Data)
		require.NoError(t, err)
		*proofs = *decoded
		moved := p.Targets[5]
		h := w.hosts[moved.Address]
		w.nodes[1].deaf, w.nodes[1].cutOff = true, true
		w.after(9*clock.Second, func() { w.nodes[1].deaf, w.nodes[1].cutOff = false, false })
		w.nodes[2].freeze(3 * clock.Second)
		p.Targets = append(p.Targets[:5:5], p.Targets[6:]...)
		w.storeObject(object.Pool, "desk", p)
		for range 500 { // flows on the target end when it leaves the pool
			w.run(10)
			w.endFlowsOn(h)
		}
		w.restart(h)
		h.vni, h.state = proofVNI, peer.Ready
		moved.ID = "proof-moved"
		proofs.Targets = append(proofs.Targets, moved)
		w.storeObject(object.Pool, "proof", proofs)
		w.run(20 * clock.Second)
		require.Zero(t, w.stats.wrongPool, "seed %d: %v", seed, w.failures)
		require.Zero(t, w.stats.broken, "seed %d: %v", seed, w.failures)
		require.NotEmpty(t, h.openedAt)
	}
}

// TestDeadRegistrationIsRemoved kills one daemon and freezes another. After a
// while the registration of the first one must be removed and that of the
// second one kept.
func TestDeadRegistrationIsRemoved(t *testing.T) {
	w := newSimulation(1, 7)
	w.addPool(desk, deskVNI, 14)
	w.run(10 * clock.Second)
	w.nodes[2].kill()
	w.nodes[3].freeze(20 * clock.Second)
	w.run(removeAfter + 10*clock.Second)
	for _, n := range w.nodes {
		_, ok := n.m.view.Store().Get(object.ID{Kind: object.Member, Name: "vm-3"})
		require.Equal(t, n.dead, ok, n.member.ID)
		_, ok = n.m.view.Store().Get(object.ID{Kind: object.Member, Name: "vm-4"})
		require.True(t, ok, n.member.ID)
	}
}

// TestRename renames a route and its pool in two edits. The flows must
// continue once both are stored.
func TestRename(t *testing.T) {
	w, p := newLoadedSimulation(2, 300, 50, 40*clock.Second)
	p.Name = "orders"
	w.removeObject(object.Pool, "desk")
	w.storeObject(object.Pool, "orders", p)
	w.run(4 * clock.Second)
	r := desk
	r.Name = "orders"
	w.removeObject(object.Route, "desk")
	w.storeObject(object.Route, "orders", r)
	w.run(30 * clock.Second)
	require.Zero(t, w.stats.broken, w.failures)
	require.Zero(t, w.stats.wrongPool)
}

// TestOnlyFirstPacketsWithoutDataAreRefused checks that only the first packet
// of a flow, without data and not forwarded before, is refused, and only by a
// daemon with a fresh view. A client may then be sure that its request did
// not run.
func TestOnlyFirstPacketsWithoutDataAreRefused(t *testing.T) {
	w, _ := newLoadedSimulation(1, 0, 1, clock.Second)
	w.removeObject(object.Pool, "desk")
	w.run(4 * clock.Second)
	n := w.nodes[0]
	key := flow.Key{Destination: desk.Address.As16(), Port: 443, SourcePort: 5, Protocol: flow.ProtocolTCP}
	tests := []struct {
		name   string
		packet geneve.Packet
		action Action
	}{
		{"first packet", geneve.Packet{Key: key, Open: true}, Refuse},
		{"first packet with data", geneve.Packet{Key: key, Open: true, HasPayload: true}, Drop},
		{"established flow", geneve.Packet{Key: key}, Drop},
		{"relayed first packet", geneve.Packet{Key: key, Open: true, Relay: geneve.Relay{Step: geneve.Ask, From: w.nodes[1].m.members.Num()}}, Drop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.action, n.m.Decide(n.time(), &tt.packet).Action)
		})
	}
	old := geneve.Packet{Key: key, Open: true}
	require.NotEqual(t, Refuse, n.m.Decide(n.time()+10*clock.Second, &old).Action, "the view is old")
}

// TestWrongHealthReports lets health endpoints report wrong states. The pool
// must keep taking new flows.
func TestWrongHealthReports(t *testing.T) {
	tests := []struct {
		name string
		act  func(*simulation, *schema.Pool)
	}{
		{"all say that they drain", func(w *simulation, p *schema.Pool) {
			for _, target := range p.Targets {
				w.hosts[target.Address].reportedState = peer.Draining
			}
		}},
		{"most say that they shed", func(w *simulation, p *schema.Pool) {
			for _, target := range p.Targets[:10] {
				w.hosts[target.Address].reportedState = peer.Shedding
			}
		}},
		{"one flaps", func(w *simulation, p *schema.Pool) {
			h := w.hosts[p.Targets[0].Address]
			for i := range 20 {
				w.after(clock.Milli(i)*700, func() {
					h.reportedState = []peer.TargetState{peer.Draining, peer.Ready}[i%2]
				})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, p := newLoadedSimulation(4, 300, 200, 30*clock.Second)
			tt.act(w, p)
			w.run(20 * clock.Second)
			opened := w.stats.opened
			w.run(5 * clock.Second)
			require.Greater(t, w.stats.opened, opened+500, "new flows go on")
			require.Zero(t, w.stats.broken, w.failures)
			require.Zero(t, w.stats.refused)
		})
	}
}

// TestFailedTargetGetsNoNewFlows kills a target. New flows must avoid it
// within seconds, and established flows on other targets must continue.
func TestFailedTargetGetsNoNewFlows(t *testing.T) {
	w, p := newLoadedSimulation(6, 300, 200, 30*clock.Second)
	w.hosts[p.Targets[4].Address].dead = true
	w.run(6 * clock.Second)
	var later []*client
	for range 200 {
		later = append(later, w.openFlow(desk, deskVNI, 4, 300))
	}
	w.run(500)
	for _, c := range later {
		require.NotNil(t, c.host, "opened at the first try")
	}
	w.run(15 * clock.Second)
	require.Zero(t, w.stats.broken, w.failures)
	require.Zero(t, w.stats.refused)
}

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

// faults are what may go on while operators edit the tables.
var faults = []struct {
	name string
	act  func(*world)
}{
	{"nothing", func(*world) {}},
	{"one daemon reaches the platform", func(w *world) {
		for _, n := range w.nodes[1:] {
			n.cutOff = true
		}
	}},
	{"slow platform", func(w *world) { w.plat.delay = 900 }},
	{"lossy links", func(w *world) { w.loss = 0.2 }},
	{"a daemon frozen for a second", func(w *world) { w.nodes[4].freeze(clock.Second) }},
	{"a daemon killed", func(w *world) { w.nodes[4].kill() }},
}

// TestChangeInForce proves that a stored edit is in every daemon's view, and
// past its grace period, within five seconds.
func TestChangeInForce(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 5; seed++ {
				w, p := today(seed, 0, 10, 20*clock.Second)
				f.act(w)
				p.Targets[2].Weight = 3
				v := w.store(object.Pool, "desk", p)
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

// TestLeavingTargetGetsNoNewWork proves that a drained target gets no new flow
// five seconds after the edit was stored.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			w, p := today(3, 200, 300, 30*clock.Second)
			h := w.hosts[p.Targets[3].Address]
			f.act(w)
			drain(w, p)
			w.run(5 * clock.Second)
			n := len(h.opens)
			w.run(15 * clock.Second)
			require.Empty(t, h.opens[n:])
			require.Zero(t, w.stats.broken, w.why)
		})
	}
}

// TestNeverReverts offers old lists, late, twice and from peers: the view
// takes none of them.
func TestNeverReverts(t *testing.T) {
	w, p := today(1, 0, 1, clock.Second)
	n := w.nodes[0]
	old := n.m.view.Store().Since(0)
	p.Targets[0].Drain = true
	w.store(object.Pool, "desk", p)
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

// TestBootWhilePlatformDown starts a daemon during an outage: it learns the
// view from its peers and carries flows.
func TestBootWhilePlatformDown(t *testing.T) {
	w, _ := today(1, 300, 100, 40*clock.Second)
	w.plat.down = true
	w.run(3 * clock.Second)
	var seeds []*schema.Member
	for _, n := range w.nodes[:2] {
		seeds = append(seeds, &n.member)
	}
	w.opts = append(w.opts, WithPeers(seeds))
	late := w.join("late", zones[0])
	w.run(8 * clock.Second)
	require.True(t, late.m.Ready(late.time()))
	require.Equal(t, w.nodes[0].m.view.Revision(), late.m.view.Revision())
	require.True(t, late.m.members.Fresh(late.time(), late.m.view.Revision()), "peers confirm each other")
	w.run(10 * clock.Second)
	require.Zero(t, w.stats.broken, w.why)
	require.Zero(t, w.stats.refused)
}

// TestAddressMovesToOtherPool moves a target's address from one pool to the
// other while one daemon's view is old. No packet of one service reaches the
// other.
func TestAddressMovesToOtherPool(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w, p := today(seed, 300, 300, 60*clock.Second)
		proofs := new(schema.Pool)
		o := w.plat.objects[object.ID{Kind: object.Pool, Name: "proof"}]
		decoded, err := schema.Decode[schema.Pool](o.Data)
		require.NoError(t, err)
		*proofs = *decoded
		moved := p.Targets[5]
		h := w.hosts[moved.Address]
		w.nodes[1].deaf, w.nodes[1].cutOff = true, true
		w.at(9*clock.Second, func() { w.nodes[1].deaf, w.nodes[1].cutOff = false, false })
		w.nodes[2].freeze(3 * clock.Second)
		p.Targets = append(p.Targets[:5:5], p.Targets[6:]...)
		w.store(object.Pool, "desk", p)
		for range 500 { // flows on the target end with it
			w.run(10)
			w.giveUpOn(h)
		}
		w.restart(h)
		h.vni, h.state = proofVNI, peer.Ready
		moved.ID = "proof-moved"
		proofs.Targets = append(proofs.Targets, moved)
		w.store(object.Pool, "proof", proofs)
		w.run(20 * clock.Second)
		require.Zero(t, w.stats.wrongPool, "seed %d: %v", seed, w.why)
		require.Zero(t, w.stats.broken, "seed %d: %v", seed, w.why)
		require.NotEmpty(t, h.opens)
	}
}

// TestDeadRegistrationIsRemoved kills a daemon: its registration goes after a
// while, and a frozen daemon's does not.
func TestDeadRegistrationIsRemoved(t *testing.T) {
	w := newWorld(1, 7)
	w.pool(desk, deskVNI, 14)
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

// TestRename renames a route and its pool in two edits. The flows go on once
// both are stored.
func TestRename(t *testing.T) {
	w, p := today(2, 300, 50, 40*clock.Second)
	p.Name = "orders"
	w.remove(object.Pool, "desk")
	w.store(object.Pool, "orders", p)
	w.run(4 * clock.Second)
	r := desk
	r.Name = "orders"
	w.remove(object.Route, "desk")
	w.store(object.Route, "orders", r)
	w.run(30 * clock.Second)
	require.Zero(t, w.stats.broken, w.why)
	require.Zero(t, w.stats.wrongPool)
}

// TestRefusedMeansNotRun proves that only the first packet of a flow without
// data is refused, and only by a daemon with a fresh view.
func TestRefusedMeansNotRun(t *testing.T) {
	w, _ := today(1, 0, 1, clock.Second)
	w.remove(object.Pool, "desk")
	w.run(4 * clock.Second)
	n := w.nodes[0]
	key := flow.Key{Destination: desk.Address.As16(), Port: 443, SourcePort: 5, Protocol: flow.ProtocolTCP}
	tests := []struct {
		name   string
		packet geneve.Packet
		action Action
	}{
		{"first packet", geneve.Packet{Key: key, Open: true}, Refuse},
		{"first packet with data", geneve.Packet{Key: key, Open: true, Payload: true}, Drop},
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

// TestLyingHealth lets health endpoints lie and checks that a pool is never
// emptied on their word.
func TestLyingHealth(t *testing.T) {
	tests := []struct {
		name string
		lie  func(*world, *schema.Pool)
	}{
		{"all say that they drain", func(w *world, p *schema.Pool) {
			for _, target := range p.Targets {
				w.hosts[target.Address].lies = peer.Draining
			}
		}},
		{"most say that they shed", func(w *world, p *schema.Pool) {
			for _, target := range p.Targets[:10] {
				w.hosts[target.Address].lies = peer.Shedding
			}
		}},
		{"one flaps", func(w *world, p *schema.Pool) {
			h := w.hosts[p.Targets[0].Address]
			for i := range 20 {
				w.at(clock.Milli(i)*700, func() {
					h.lies = []peer.TargetState{peer.Draining, peer.Ready}[i%2]
				})
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, p := today(4, 300, 200, 30*clock.Second)
			tt.lie(w, p)
			w.run(20 * clock.Second)
			opened := w.stats.opened
			w.run(5 * clock.Second)
			require.Greater(t, w.stats.opened, opened+500, "new flows go on")
			require.Zero(t, w.stats.broken, w.why)
			require.Zero(t, w.stats.refused)
		})
	}
}

// TestFailedTargetIsLeft kills a target without notice: new flows leave it
// within seconds and established ones elsewhere go on.
func TestFailedTargetIsLeft(t *testing.T) {
	w, p := today(6, 300, 200, 30*clock.Second)
	w.hosts[p.Targets[4].Address].dead = true
	w.run(6 * clock.Second)
	var later []*client
	for range 200 {
		later = append(later, w.open(desk, deskVNI, 4, 300))
	}
	w.run(500)
	for _, c := range later {
		require.NotNil(t, c.host, "opened at the first try")
	}
	w.run(15 * clock.Second)
	require.Zero(t, w.stats.broken, w.why)
	require.Zero(t, w.stats.refused)
}

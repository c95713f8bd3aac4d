package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/plan"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/pkg/schema"
)

// coldRate is the default opens a second of a cold target.
const coldRate = 5

// overBound returns how many opens a target received over what it bears after
// a start: the cold rate, doubled every step of the ramp, and one open more.
// It counts over windows of a second, from the first open after the start.
func overBound(h *host, start clock.Milli) int {
	var opens []clock.Milli
	for _, at := range h.opens {
		if at >= start {
			opens = append(opens, at)
		}
	}
	over := 0
	for i, at := range opens {
		step := (at - opens[0]) / rampStepTime
		if step >= plan.RampDoublings {
			break
		}
		allowed := coldRate<<step + 1
		n := 0
		for _, later := range opens[i:] {
			if later-at < clock.Second && (later-opens[0])/rampStepTime == step {
				n++
			}
		}
		over = max(over, n-allowed)
	}
	return over
}

// TestColdTargetGetsTrickle proves that a target that was just added never
// gets more opens than it bears, in sum over all daemons.
func TestColdTargetGetsTrickle(t *testing.T) {
	tests := []struct {
		name string
		act  func(*world, *node)
	}{
		{"alone", func(*world, *node) {}},
		{"admitter killed", func(_ *world, a *node) { a.kill() }},
		{"admitter frozen", func(_ *world, a *node) { a.freeze(4 * clock.Second) }},
		{"admitter leaves", func(_ *world, a *node) { a.leave() }},
		{"admitter cut from platform", func(_ *world, a *node) { a.cutOff = true }},
		{"admitter deaf and cut from platform", func(_ *world, a *node) { a.deaf, a.cutOff = true, true }},
		{"admitter's data centre cut off", func(w *world, a *node) { w.partition(a.member.DataCentre, true) }},
		{"daemons join", func(w *world, _ *node) {
			w.join("vm-8", zones[0])
			w.join("vm-9", zones[1])
		}},
		{"platform down", func(w *world, _ *node) { w.plat.down = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 3; seed++ {
				w, p := today(seed, 200, 400, 60*clock.Second)
				h := w.addTarget(p)
				w.store(object.Pool, "desk", p)
				w.run(6 * clock.Second)
				tt.act(w, w.admitter(h))
				w.run(40 * clock.Second)
				require.LessOrEqual(t, overBound(h, 0), 0, "seed %d", seed)
				require.NotEmpty(t, h.opens, "seed %d", seed)
			}
		})
	}
}

// admitter returns the daemon that admits a target's opens.
func (w *world) admitter(h *host) *node {
	p, _ := w.nodes[0].m.view.Entry(desk.Service()).Table.Newest()
	for _, s := range p.Slots {
		for _, n := range w.nodes {
			if s.ID == h.target.ID && n.member.ID == s.Admitter {
				return n
			}
		}
	}
	return w.nodes[0]
}

// TestWarmTargetTurnsCold restarts a warm target. It may get opens until a
// probe shows the restart, and only the trickle from then on.
func TestWarmTargetTurnsCold(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		w, p := today(seed, 200, 400, 60*clock.Second)
		h := w.hosts[p.Targets[2].Address]
		w.restart(h)
		w.run(1100) // a probe interval, a heartbeat and a tick
		noticed := w.now
		w.at(4*clock.Second, func() { h.state = peer.Ready })
		w.run(40 * clock.Second)
		require.LessOrEqual(t, overBound(h, noticed), 0, "seed %d", seed)
		last := h.opens[len(h.opens)-1]
		require.Greater(t, last, noticed+30*clock.Second, "seed %d: the target warms up again", seed)
	}
}

// giveUpOn ends the flows of a target on the client's side.
func (w *world) giveUpOn(h *host) {
	for _, c := range w.flows {
		if c.host == h {
			c.done = true
		}
	}
}

// restart gives a target a new process, which loses its flows and starts
// cold.
func (w *world) restart(h *host) {
	h.boot = w.rng.Uint64()
	h.state = peer.Starting
	w.giveUpOn(h)
	clear(h.flows)
}

// TestDataCentreOut proves that a data centre that operators take out gets
// nothing after three seconds, that flows elsewhere go on, and that its
// return brings no stampede.
func TestDataCentreOut(t *testing.T) {
	tests := []struct {
		name        string
		before, mid func(*world)
	}{
		{"alone", func(*world) {}, func(*world) {}},
		{"one reader reaches the platform", func(w *world) {
			for _, n := range w.nodes[1:] {
				n.cutOff = true
			}
		}, func(*world) {}},
		{"platform down right after", func(*world) {}, func(w *world) {
			w.at(700, func() { w.plat.down = true })
			w.at(12*clock.Second, func() { w.plat.down = false })
		}},
		{"daemon killed", func(*world) {}, func(w *world) { w.nodes[3].kill() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			w, p := today(5, 900, 200, 90*clock.Second)
			tt.before(w)
			w.store(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b", Out: true})
			tt.mid(w)
			w.given = "dc-b"
			w.run(3 * clock.Second)
			late := w.received("dc-b")
			w.run(17 * clock.Second)
			require.Equal(t, late, w.received("dc-b"), "packets after 3 s")
			require.Zero(t, w.stats.broken, w.why)
			w.store(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b"})
			back := w.now
			w.giveUp("dc-b")
			w.given = ""
			w.run(50 * clock.Second)
			for _, target := range p.Targets {
				h := w.hosts[target.Address]
				if h.target.DataCentre == "dc-b" {
					require.LessOrEqual(t, overBound(h, back), 0, target.ID)
					require.Greater(t, h.opens[len(h.opens)-1], back)
				}
			}
			require.Zero(t, w.stats.broken, w.why)
			require.Zero(t, w.stats.wrongPool)
		})
	}
}

// giveUp ends the flows of a data centre on the client's side.
func (w *world) giveUp(dc schema.DataCentreID) {
	for _, c := range w.flows {
		if c.host != nil && c.host.target.DataCentre == dc {
			c.done = true
		}
	}
}

// received counts the packets that a data centre's targets got.
func (w *world) received(dc schema.DataCentreID) int {
	n := 0
	for _, h := range w.hosts {
		if h.target.DataCentre == dc {
			n += h.packets
		}
	}
	return n
}

// TestRestartIsNoticedAtOnce asks for the bound from the very restart on. It
// is listed in KNOWN-RED.txt: until a probe shows the restart, opens go on.
func TestRestartIsNoticedAtOnce(t *testing.T) {
	w, p := today(1, 200, 2000, 30*clock.Second)
	h := w.hosts[p.Targets[2].Address]
	w.restart(h)
	start := w.now
	w.at(4*clock.Second, func() { h.state = peer.Ready })
	w.run(20 * clock.Second)
	require.LessOrEqual(t, overBound(h, start), 0)
}

package daemon

import (
	"fmt"
	"testing"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// strategy is one way to choose targets. The benchmarks compare strategies
// under the same traffic.
type strategy struct {
	name   string
	decide func() func(*node, clock.Milli, *geneve.Packet) Verdict
}

// strategies are the one in use and those it is compared with.
var strategies = []strategy{
	{name: "homes"},
	{name: "rendezvous", decide: func() func(*node, clock.Milli, *geneve.Packet) Verdict { return rendezvous }},
	{name: "rendezvous+local", decide: localTable},
	{name: "pin-local", decide: pinLocal},
}

// rendezvous chooses the target of every packet by rendezvous hashing over
// the targets that are open in the daemon's own view, without any memory.
func rendezvous(n *node, now clock.Milli, p *geneve.Packet) Verdict {
	e := n.m.view.Entry(p.Key.Service())
	if e == nil {
		return drop(NoRoute)
	}
	var best schema.Handle
	var top uint64
	hash := p.Key.Hash()
	for h, d := range e.Dests {
		if d.NoOpen || d.Out {
			continue
		}
		if score := flow.Score(hash, uint64(h)); best == 0 || score > top {
			best, top = h, score
		}
	}
	return deliverTo(n, now, p, best)
}

// deliverTo delivers a packet to the target with handle h.
func deliverTo(n *node, now clock.Milli, p *geneve.Packet, h schema.Handle) Verdict {
	e := n.m.view.Entry(p.Key.Service())
	d := e.Dest(now, h)
	if d == nil {
		return drop(TargetOut)
	}
	return Verdict{Action: Deliver, To: d.Target.Address, VNI: d.VNI}
}

// localTable is rendezvous with a table of the flows that the daemon has seen
// itself.
func localTable() func(*node, clock.Milli, *geneve.Packet) Verdict {
	seen := make(map[*node]map[flow.Key]schema.Handle)
	return func(n *node, now clock.Milli, p *geneve.Packet) Verdict {
		if seen[n] == nil {
			seen[n] = make(map[flow.Key]schema.Handle)
		}
		if h := seen[n][p.Key]; h != 0 {
			return deliverTo(n, now, p, h)
		}
		v := rendezvous(n, now, p)
		if e := n.m.view.Entry(p.Key.Service()); e != nil {
			for h, d := range e.Dests {
				if d.Target.Address == v.To {
					seen[n][p.Key] = h
				}
			}
		}
		return v
	}
}

// pinLocal uses the agreed bucket table and local records, but forwards no
// packets. A daemon without a record of a flow takes the bucket's base for an
// old flow and the current target for a new one.
func pinLocal() func(*node, clock.Milli, *geneve.Packet) Verdict {
	seen := make(map[*node]map[flow.Key]schema.Handle)
	return func(n *node, now clock.Milli, p *geneve.Packet) Verdict {
		if seen[n] == nil {
			seen[n] = make(map[flow.Key]schema.Handle)
		}
		if h := seen[n][p.Key]; h != 0 && !p.Open {
			return deliverTo(n, now, p, h)
		}
		e := n.m.view.Entry(p.Key.Service())
		if e == nil {
			return drop(NoRoute)
		}
		newest, _ := e.Table.Newest()
		if newest == nil {
			return drop(NotReady)
		}
		b := flow.Bucket(p.Key.Hash())
		slot := newest.Base[b]
		if p.Open {
			slot = newest.Current[b]
		}
		h := newest.Slots[slot].Handle
		seen[n][p.Key] = h
		return deliverTo(n, now, p, h)
	}
}

func runStrategy(b *testing.B, st strategy, s scenario, long, rate int) *simulation {
	b.Helper()
	w, p := newSimulation(42, 7), (*schema.Pool)(nil)
	if st.decide != nil {
		w.decide = st.decide()
	}
	p = w.addPool(desk, deskVNI, 14)
	w.addPool(proof, proofVNI, 4)
	w.run(6 * clock.Second)
	w.openLongFlows(desk, deskVNI, long, 4*clock.Second, 4*clock.Second)
	w.openShortFlows(desk, deskVNI, rate, 36*clock.Second)
	w.run(6 * clock.Second)
	s.act(w, p)
	w.run(30 * clock.Second)
	return w
}

// BenchmarkBrokenFlows compares the strategies at the present size of the
// system: 28,000 long flows and 500 opens per second over 7 daemons.
func BenchmarkBrokenFlows(b *testing.B) {
	for _, s := range scenarios {
		for _, st := range strategies {
			b.Run(fmt.Sprintf("%s/%s", s.name, st.name), func(b *testing.B) {
				for b.Loop() {
					w := runStrategy(b, st, s, 28000, 500)
					b.ReportMetric(float64(w.stats.broken)*10000/float64(w.stats.opened), "broken/10k")
					b.ReportMetric(float64(w.stats.relayed)*100/float64(w.stats.packets), "relayed-%")
					b.ReportMetric(float64(w.stats.wrongPool), "wrong-pool")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

package daemon

import (
	"fmt"
	"testing"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// way is one way to place flows, for comparison on the same traffic.
type way struct {
	name   string
	decide func() func(*node, clock.Milli, *geneve.Packet) Verdict
}

// ways are the chosen design and the baselines that it is weighed against.
var ways = []way{
	{name: "homes"},
	{name: "rendezvous", decide: func() func(*node, clock.Milli, *geneve.Packet) Verdict { return rendezvous }},
	{name: "rendezvous+local", decide: localTable},
	{name: "pin-local", decide: pinLocal},
}

// rendezvous places every packet by hash over the targets that are open in
// the daemon's own view, without history.
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
	return to(n, now, p, best)
}

func to(n *node, now clock.Milli, p *geneve.Packet, h schema.Handle) Verdict {
	e := n.m.view.Entry(p.Key.Service())
	d := e.Dest(now, h)
	if d == nil {
		return drop(TargetOut)
	}
	return Verdict{Action: Deliver, To: d.Target.Address, VNI: d.VNI}
}

// localTable adds a table of the flows that a daemon saw itself.
func localTable() func(*node, clock.Milli, *geneve.Packet) Verdict {
	seen := make(map[*node]map[flow.Key]schema.Handle)
	return func(n *node, now clock.Milli, p *geneve.Packet) Verdict {
		if seen[n] == nil {
			seen[n] = make(map[flow.Key]schema.Handle)
		}
		if h := seen[n][p.Key]; h != 0 {
			return to(n, now, p, h)
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

// pinLocal uses the agreed bucket table and records, but no relays: a daemon
// that has no record trusts the table's base for old flows and opens new ones
// on the current target at once (way A with the witnesses' pins only).
func pinLocal() func(*node, clock.Milli, *geneve.Packet) Verdict {
	seen := make(map[*node]map[flow.Key]schema.Handle)
	return func(n *node, now clock.Milli, p *geneve.Packet) Verdict {
		if seen[n] == nil {
			seen[n] = make(map[flow.Key]schema.Handle)
		}
		if h := seen[n][p.Key]; h != 0 && !p.Open {
			return to(n, now, p, h)
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
		return to(n, now, p, h)
	}
}

func runWay(b *testing.B, y way, s scenario, long, rate int) *world {
	b.Helper()
	w, p := newWorld(42, 7), (*schema.Pool)(nil)
	if y.decide != nil {
		w.decide = y.decide()
	}
	p = w.pool(desk, deskVNI, 14)
	w.pool(proof, proofVNI, 4)
	w.run(6 * clock.Second)
	w.long(desk, deskVNI, long, 4*clock.Second, 4*clock.Second)
	w.load(desk, deskVNI, rate, 36*clock.Second)
	w.run(6 * clock.Second)
	s.act(w, p)
	w.run(30 * clock.Second)
	return w
}

// BenchmarkBroken compares the ways at today's size: 28,000 long flows and
// 500 opens a second over 7 daemons.
func BenchmarkBroken(b *testing.B) {
	for _, s := range scenarios {
		for _, y := range ways {
			b.Run(fmt.Sprintf("%s/%s", s.name, y.name), func(b *testing.B) {
				for b.Loop() {
					w := runWay(b, y, s, 28000, 500)
					b.ReportMetric(float64(w.stats.broken)*10000/float64(w.stats.opened), "broken/10k")
					b.ReportMetric(float64(w.stats.relayed)*100/float64(w.stats.packets), "relayed-%")
					b.ReportMetric(float64(w.stats.wrongPool), "wrong-pool")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

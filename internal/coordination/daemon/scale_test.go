package daemon

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/coordination/plan"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
	"coltsfootdock/pkg/schema"
)

// BenchmarkImbalance reports the largest number of flows of an open target
// divided by the mean, before a change and a minute after it.
func BenchmarkImbalance(b *testing.B) {
	changes := []scenario{scenarios[0], scenarios[1], scenarios[2], scenarios[3], {name: "data centre out and back", act: func(w *simulation, _ *schema.Pool) {
		w.storeObject(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b", Out: true})
		w.run(3 * clock.Second)
		w.endFlowsIn("dc-b")
		w.run(27 * clock.Second)
		w.storeObject(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b"})
	}}}
	for _, s := range changes {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				w := newSimulation(42, 7)
				p := w.addPool(desk, deskVNI, 14)
				w.run(6 * clock.Second)
				w.openLongFlows(desk, deskVNI, 28000, 4*clock.Second, 15*clock.Second)
				w.openShortFlows(desk, deskVNI, 500, 100*clock.Second)
				w.run(6 * clock.Second)
				b.ReportMetric(w.imbalance(p), "max/mean-before")
				s.act(w, p)
				w.run(60 * clock.Second)
				b.ReportMetric(w.imbalance(p), "max/mean-after")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkColdTarget reports by how many opens a target exceeds its limit
// after a start, at 2,000 opens per second.
func BenchmarkColdTarget(b *testing.B) {
	starts := []struct {
		name string
		act  func(*simulation, *schema.Pool) (*host, clock.Milli)
	}{
		{"added", func(w *simulation, p *schema.Pool) (*host, clock.Milli) {
			h := w.addTarget(p)
			w.storeObject(object.Pool, "desk", p)
			return h, w.now
		}},
		{"added, admitter killed", func(w *simulation, p *schema.Pool) (*host, clock.Milli) {
			h := w.addTarget(p)
			w.storeObject(object.Pool, "desk", p)
			w.run(6 * clock.Second)
			w.admitterOf(h).kill()
			return h, 0
		}},
		{"restarted, from the restart", func(w *simulation, p *schema.Pool) (*host, clock.Milli) {
			h := w.hosts[p.Targets[2].Address]
			w.restart(h)
			w.after(4*clock.Second, func() { h.state = peer.Ready })
			return h, w.now
		}},
		{"restarted, from a probe on", func(w *simulation, p *schema.Pool) (*host, clock.Milli) {
			h := w.hosts[p.Targets[2].Address]
			w.restart(h)
			w.after(4*clock.Second, func() { h.state = peer.Ready })
			return h, w.now + 1100
		}},
	}
	for _, s := range starts {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				w, p := newLoadedSimulation(42, 1000, 2000, 40*clock.Second)
				h, from := s.act(w, p)
				w.run(30 * clock.Second)
				b.ReportMetric(float64(max(0, opensOverLimit(h, from))), "opens-over")
				b.ReportMetric(float64(w.stats.broken), "broken")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkTimeToEffect reports the simulated time until an edit has taken
// effect at the last daemon, and until a data centre that is taken out gets
// its last packet.
func BenchmarkTimeToEffect(b *testing.B) {
	for _, f := range faults {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				var edit, out clock.Milli
				for seed := uint64(1); seed <= 10; seed++ {
					w, p := newLoadedSimulation(seed, 200, 200, 20*clock.Second)
					f.act(w)
					drainTarget(w, p)
					edit = max(edit, w.timeToReachAll(w.platform.revision)+member.Lease)
					w, _ = newLoadedSimulation(seed, 200, 200, 20*clock.Second)
					f.act(w)
					w.storeObject(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b", Out: true})
					out = max(out, w.timeToLastPacket("dc-b"))
				}
				b.ReportMetric(float64(edit)/1000, "s-edit")
				b.ReportMetric(float64(out)/1000, "s-out")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// timeToReachAll returns the time until all live daemons have a revision.
func (w *simulation) timeToReachAll(v schema.Version) clock.Milli {
	start := w.now
	for w.now-start < 30*clock.Second {
		w.run(10)
		all := true
		for _, n := range w.nodes {
			all = all && (n.dead || n.m.view.Revision() >= v)
		}
		if all {
			break
		}
	}
	return w.now - start
}

// timeToLastPacket returns the time until a data centre's targets got their
// last packet.
func (w *simulation) timeToLastPacket(dc schema.DataCentreID) clock.Milli {
	start, last, n := w.now, w.now, w.packetsReceived(dc)
	for w.now-start < 10*clock.Second {
		w.run(10)
		if got := w.packetsReceived(dc); got != n {
			n, last = got, w.now
		}
	}
	return last - start
}

// BenchmarkControlTraffic reports the control traffic, the platform calls and
// the processor time of a daemon, with and without changes, by the number of
// daemons and targets.
func BenchmarkControlTraffic(b *testing.B) {
	for _, size := range []struct{ daemons, targets, changes int }{
		{7, 18, 0}, {7, 18, 30}, {7, 100, 0}, {7, 400, 0}, {14, 18, 0}, {28, 18, 0}, {66, 470, 0},
	} {
		b.Run(fmt.Sprintf("daemons=%d/targets=%d/changes=%d", size.daemons, size.targets, size.changes), func(b *testing.B) {
			for b.Loop() {
				w := newSimulation(42, size.daemons)
				p := w.addPool(desk, deskVNI, size.targets)
				w.run(40 * clock.Second)
				bytes, calls, begin := w.stats.peerBytes, w.platform.calls, time.Now()
				const span = 30
				for i := range size.changes {
					w.after(clock.Milli(i)*clock.Second, func() {
						p.Targets[i%4].Weight = uint16(i%3 + 1)
						w.storeObject(object.Pool, "desk", p)
					})
				}
				w.run(span * clock.Second)
				per := float64(span * size.daemons)
				b.ReportMetric(float64(w.stats.peerBytes-bytes)/per, "B/s/daemon")
				b.ReportMetric(float64(w.platform.calls-calls)/span, "platform-calls/s")
				b.ReportMetric(float64(time.Since(begin).Microseconds())/per, "cpu-us/s/daemon")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// liveHeap returns the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkHeap reports the memory of a flow record and of a target in the
// view.
func BenchmarkHeap(b *testing.B) {
	b.Run("record", func(b *testing.B) {
		for b.Loop() {
			const n = 200000
			before := liveHeap()
			s := record.New(n, clock.Minute)
			for i := range n {
				s.Put(1, benchmarkKey(i), 1)
			}
			b.ReportMetric((liveHeap()-before)/n, "B/record")
			runtime.KeepAlive(s)
		}
	})
	for _, n := range []int{14, 140, 1000} {
		b.Run(fmt.Sprintf("view/targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				w := newSimulation(1, 1)
				w.addPool(desk, deskVNI, n)
				w.run(8 * clock.Second)
				b.ReportMetric((liveHeap()-before)/float64(n), "B/target")
				runtime.KeepAlive(w)
			}
		})
	}
}

func benchmarkKey(i int) flow.Key {
	k := flow.Key{Destination: desk.Address.As16(), Port: 443, SourcePort: uint16(i), Protocol: flow.ProtocolTCP}
	k.Source[12], k.Source[13], k.Source[14] = 10, byte(i>>16), byte(i>>24)
	return k
}

// BenchmarkDecide measures decisions on flows in a bucket that is not moving
// and on flows in a moving bucket, with and without a record, by the number
// of daemons.
func BenchmarkDecide(b *testing.B) {
	for _, daemons := range []int{7, 66} {
		w := newSimulation(42, daemons)
		p := w.addPool(desk, deskVNI, 14)
		w.run(20 * clock.Second)
		drainTarget(w, p)
		w.run(4 * clock.Second)
		n := w.nodes[0]
		e := n.m.view.Entry(desk.Service())
		var rest, moving []flow.Key
		for i := range 20000 {
			k := benchmarkKey(i)
			if bucket, _ := e.Table.At(n.time(), flow.Bucket(k.Hash())); bucket.ConsultRecords {
				moving = append(moving, k)
			} else {
				rest = append(rest, k)
			}
		}
		measure := func(name string, keys []flow.Key, open bool) {
			b.Run(fmt.Sprintf("daemons=%d/%s", daemons, name), func(b *testing.B) {
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					pkt := geneve.Packet{Key: keys[i%len(keys)], Open: open}
					n.m.Decide(n.time(), &pkt)
					i++
				}
			})
		}
		measure("at rest", rest, false)
		measure("open at rest", rest, true)
		measure("moving, no record", moving, false)
		for _, k := range moving {
			n.m.records.Put(n.time(), k, flow.HandleOf(&p.Targets[0]))
		}
		measure("moving, record", moving, false)
	}
}

// BenchmarkPlan measures the computation of a placement by the number of
// targets.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{14, 140, 470} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			w := newSimulation(1, 1)
			p := w.addPool(desk, deskVNI, n)
			in := plan.Input{
				Service: desk.Service(), Pool: p, Admitters: []schema.VMID{"vm-1"},
				Marked:  func(schema.DataCentreID) schema.Version { return 0 },
				Out:     func(*schema.Target) bool { return false },
				Drained: func(t *schema.Target) bool { return t.Drain },
				Health: func(schema.Handle) health.State {
					return health.State{Known: true, State: peer.Ready, Incarnation: 1}
				},
				RampDue: func(schema.Handle) bool { return false },
				Settled: func(int) bool { return false },
			}
			prev, _ := plan.Next(nil, in)
			b.ReportAllocs()
			for b.Loop() {
				plan.Next(prev, in)
			}
		})
	}
}

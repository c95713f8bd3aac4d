package daemon

import (
	"slices"
	"testing"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

// BenchmarkOpenLatency reports how long new flows wait for an answer while a
// data centre leaves, while it returns and while a target fails: the longest
// wait, and the share of the flows opened within ten seconds that waited more
// than a second.
func BenchmarkOpenLatency(b *testing.B) {
	changes := []scenario{
		{name: "data centre out", act: func(w *simulation, _ *schema.Pool) {
			w.storeObject(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b", Out: true})
		}},
		{name: "data centre back", act: func(w *simulation, _ *schema.Pool) {
			w.storeObject(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b", Out: true})
			w.run(20 * clock.Second)
			w.storeObject(object.DataCentre, "dc-b", schema.Mark{Name: "dc-b"})
		}},
		{name: "target fails", act: func(w *simulation, p *schema.Pool) { w.hosts[p.Targets[2].Address].dead = true }},
	}
	for _, s := range changes {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				var waits []clock.Milli
				for seed := uint64(1); seed <= 5; seed++ {
					w, p := newLoadedSimulation(seed, 500, 0, clock.Second)
					s.act(w, p)
					waits = append(waits, w.openLatencies(200)...)
				}
				slow := 0
				for _, wait := range waits {
					if wait > clock.Second {
						slow++
					}
				}
				b.ReportMetric(float64(slices.Max(waits))/1000, "s-longest")
				b.ReportMetric(100*float64(slow)/float64(len(waits)), "slow-%")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// openLatencies opens flows for ten seconds and returns how long each one
// waited for an answer.
func (w *simulation) openLatencies(perSecond int) []clock.Milli {
	type opened struct {
		c  *client
		at clock.Milli
	}
	var list []opened
	for i := range 10 * perSecond {
		w.after(clock.Milli(i)*clock.Second/clock.Milli(perSecond), func() {
			list = append(list, opened{w.openFlow(desk, deskVNI, 2, 300), w.now})
		})
	}
	w.run(45 * clock.Second)
	var waits []clock.Milli
	for _, o := range list {
		if o.c.host == nil {
			waits = append(waits, 45*clock.Second)
			continue
		}
		waits = append(waits, o.c.firstDelivered-o.at)
	}
	return waits
}

//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

// Figures of the case "unreadable".
const (
	drainBound = 3 * time.Second
	evacBound  = 5 * time.Second
	// depth is how deep the arrays of the other writer's value are nested: 22 kB.
	depth = 11000
)

// runUnreadable lets another writer put an entry into the store whose value the
// daemons can't read. Later a backend drains and a zone is evacuated. The
// exit code is that of DRAIN alone.
func runUnreadable(rec *recorder, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	l.rawValue = append(bytes.Repeat([]byte("["), depth), bytes.Repeat([]byte("]"), depth)...)
	desk := &route{name: "r-desk", service: "order-desk", kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	l.routes = []*route{desk}
	l.services = []service{{name: "order-desk", maxConns: 2000, warmup: 2 * time.Second}}
	l.writeManifest(1)
	for i := range 14 {
		if _, err := l.addBackend("order-desk", zones[i%3], 4, 2000, 0); err != nil {
			return exitCannot, err
		}
	}
	if err := l.startDaemons(7); err != nil {
		return exitCannot, err
	}
	var hosts []*clientHost
	for i := range 12 {
		h, err := l.addHost(zones[i%len(zones)])
		if err != nil {
			return exitCannot, err
		}
		hosts = append(hosts, h)
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range hosts {
		for range 3 {
			wg.Go(func() { freshUser(hosts[i], desk, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		l.store.Put(kindServers, "other-1", "raw value of another writer")
		rec.logf("another writer puts servers/other-1: %d nested arrays, %d bytes", depth, len(l.rawValue))
	}
	time.Sleep(2 * time.Second)
	b := l.backends[0]
	acked := b.drain()
	rec.logf("backend %s: draining, accepted by the store", b.id)
	l.store.Put("evacuations", zones[1], struct{}{})
	evacuated := time.Now()
	rec.logf("zone %s: evacuation accepted by the store", zones[1])
	time.Sleep(12 * time.Second)
	close(stop)
	wg.Wait()
	rec.logf("clients: %+v", l.total())
	if !l.daemonsAlive() {
		return exitCannot, fmt.Errorf("a daemon ended")
	}
	if l.total().answered == 0 {
		return exitCannot, fmt.Errorf("no request was answered")
	}
	if os.Getenv("RESTART") == "1" {
		if err := l.restartAll(); err != nil {
			return exitCannot, err
		}
	}
	late, after := 0, 0
	b.mu.Lock()
	for _, x := range b.opens {
		if x.arrived.After(acked) {
			after++
		}
		if x.sent.Sub(acked) > drainBound {
			if late++; late <= 10 {
				rec.logf("DRAIN: backend %s takes a flow %d ms after the store accepted that it drains, through %s", b.id, x.arrived.Sub(acked).Milliseconds(), x.daemon)
			}
		}
	}
	b.mu.Unlock()
	out := 0
	for _, x := range l.backends {
		x.mu.Lock()
		for _, o := range x.opens {
			if x.zone == zones[1] && o.sent.Sub(evacuated) > evacBound {
				out++
			}
		}
		x.mu.Unlock()
	}
	rec.say("flows that backends of the evacuated zone took later than %s after its evacuation was accepted: %d", evacBound, out)
	rec.say("flows that the draining backend took: %d after the store accepted its report, %d of them later than %s after", after, late, drainBound)
	if late > 0 {
		rec.say("DRAIN is broken")
		return exitBroken, nil
	}
	rec.say("DRAIN held")
	return exitHeld, nil
}

//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// runUnborn lets another writer replace the entry of a living backend by one in
// which fields are missing. The backend's next heartbeat, 1.2 s later at most,
// writes it again.
func runUnborn(rec *recorder, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	desk := &route{name: "r-desk", service: "order-desk", kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	edit := &route{name: "r-edit", service: "order-desk", kind: "non_idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8080")}
	l.routes = []*route{desk, edit}
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
		for _, r := range l.routes {
			for range 6 {
				wg.Go(func() { longUser(hosts[i], r, stop) })
			}
		}
	}
	time.Sleep(4 * time.Second)
	for i := range 8 {
		b := l.backends[i]
		if trouble {
			l.store.Put(kindServers, b.id, map[string]any{
				"service": b.service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "concurrency": b.slots, "state": "ready",
			})
			rec.logf("another writer replaces servers/%s by an entry without warmupLeftMs, seq and born", b.id)
		}
		time.Sleep(1700 * time.Millisecond)
		rec.logf("clients: %+v", l.total())
	}
	t := l.total()
	close(stop)
	wg.Wait()
	if !l.daemonsAlive() {
		return exitCannot, fmt.Errorf("a daemon ended")
	}
	rec.say("resets of open flows by daemons: %d; of flows whose backend lived and held them: %d, of these with a request under way: %d; resets by backends: %d",
		t.daemonResets, t.living, t.busy, t.backendResets)
	if t.living > 0 {
		rec.say("FLOW is broken: clients got resets that the flow's backend didn't send")
		return exitBroken, nil
	}
	if t.answered == 0 {
		return exitCannot, fmt.Errorf("no request was answered")
	}
	rec.say("FLOW held")
	return exitHeld, nil
}

// longUser keeps a flow open for eight requests, with pauses between them.
func longUser(h *clientHost, r *route, stop chan struct{}) {
	for {
		f := h.newFlow(r)
		ok := f.connect()
		for n := 0; ok && n < 8; n++ {
			if ok = f.ask(55*time.Millisecond, 4*time.Second); !ok {
				break
			}
			select {
			case <-stop:
				f.finish()
				return
			case <-time.After(150 * time.Millisecond):
			}
		}
		if ok {
			f.finish()
		} else {
			f.forget()
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}

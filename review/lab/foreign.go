//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// runForeign lets another writer put an entry into the store that names a service
// and an address but lacks other fields. The address belonged to a backend that is
// gone and is used again by a backend of another service.
func runForeign(rec *recorder, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	desk := &route{name: "r-desk", service: "order-desk", kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	edit := &route{name: "r-edit", service: "order-desk", kind: "non_idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8080")}
	vault := &route{name: "r-vault", service: "proof-vault", kind: "download", addr: netip.MustParseAddrPort("198.18.0.2:8443")}
	l.routes = []*route{desk, edit, vault}
	l.services = []service{{name: "order-desk", maxConns: 2000, warmup: 2 * time.Second}, {name: "proof-vault", maxConns: 2000, warmup: 2 * time.Second}}
	l.writeManifest(1)
	for i := range 14 {
		if _, err := l.addBackend("order-desk", zones[i%3], 4, 2000, 0); err != nil {
			return exitCannot, err
		}
	}
	var vaults []*backend
	for i := range 4 {
		b, err := l.addBackend("proof-vault", zones[i%3], 4, 2000, 0)
		if err != nil {
			return exitCannot, err
		}
		vaults = append(vaults, b)
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
			wg.Go(func() { freshUser(hosts[i], r, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		spec := map[string]any{"service": "order-desk", "address": vaults[0].addr.String(), "zone": vaults[0].zone, "state": "ready"}
		l.store.Put(kindServers, "order-desk-0", spec)
		rec.logf("another writer puts servers/order-desk-0: %v; version, concurrency, warmupLeftMs, seq and born are missing; the address is that of %s of proof-vault", spec, vaults[0].id)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	rec.logf("clients: %+v", l.total())
	if !l.daemonsAlive() {
		return exitCannot, fmt.Errorf("a daemon ended")
	}
	if l.total().answered == 0 {
		return exitCannot, fmt.Errorf("no request was answered")
	}
	foreign := 0
	for _, b := range l.backends {
		b.mu.Lock()
		rec.logf("backend %s of %s: ran %d requests, %d of them of routes that don't lead to it", b.id, b.service, b.ran, b.foreign)
		foreign += b.foreign
		b.mu.Unlock()
	}
	rec.say("requests run by a service that their route doesn't lead to: %d of %d", foreign, l.total().answered)
	if foreign > 0 {
		rec.say("ROUTE is broken")
		return exitBroken, nil
	}
	rec.say("ROUTE held")
	return exitHeld, nil
}

// freshUser opens a flow for each request, five a second.
func freshUser(h *clientHost, r *route, stop chan struct{}) {
	for {
		f := h.newFlow(r)
		if f.connect() && f.ask(20*time.Millisecond, 4*time.Second) {
			f.finish()
		} else {
			f.forget()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

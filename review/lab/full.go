//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// Figures of the case "full": a small service with two backends that hold 2,000
// flows each. Its users come within burstTime and pause after their first request.
const (
	fullConns   = 2000
	usersPerS   = 1000
	burstFactor = 1.5
	burstTime   = 3 * time.Second
	hostCount   = 24
	pause       = 9 * time.Second
)

// runFull lets more users open flows than the backends of a service hold. Each
// user asks once, pauses, and asks again. A backend that is full sends nothing to
// a first packet. No flow of the users inside may be reset by a daemon.
func runFull(rec *recorder, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	booking := &route{name: "r-booking", service: "booking", kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	gallery := &route{name: "r-gallery", service: "gallery", kind: "download", addr: netip.MustParseAddrPort("198.18.0.2:8443")}
	l.routes = []*route{booking, gallery}
	l.services = []service{{name: "booking", maxConns: 2000, warmup: 2 * time.Second}, {name: "gallery", maxConns: fullConns, warmup: 2 * time.Second}}
	l.writeManifest(1)
	for i := range 3 {
		if _, err := l.addBackend("booking", zones[i], 4, 2000, 0); err != nil {
			return exitCannot, err
		}
	}
	var galleries []*backend
	for i := range 2 {
		b, err := l.addBackend("gallery", zones[i], 4, fullConns, 0)
		if err != nil {
			return exitCannot, err
		}
		galleries = append(galleries, b)
	}
	if err := l.startDaemons(6); err != nil {
		return exitCannot, err
	}
	var hosts []*clientHost
	for i := range hostCount {
		h, err := l.addHost(zones[i%len(zones)])
		if err != nil {
			return exitCannot, err
		}
		hosts = append(hosts, h)
	}
	time.Sleep(stableWindow + 2*time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 { // a steady load of the other service, 12 long flows
		wg.Go(func() { steadyUser(hosts[i], booking, stop) })
	}
	time.Sleep(time.Second)
	rate := usersPerS
	if trouble {
		rate = int(usersPerS * burstFactor)
	}
	users := rate * int(burstTime/time.Second)
	rec.logf("%d users come within %s; the backends hold %d flows", users, burstTime, 2*fullConns)
	began := time.Now()
	for i := range users {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() { visitor(hosts[i%len(hosts)], gallery, stop) })
	}
	rec.logf("all users have come")
	for range 16 {
		time.Sleep(time.Second)
		logFull(rec, l, galleries)
	}
	t := l.total()
	close(stop)
	wg.Wait()
	if !l.daemonsAlive() {
		return exitCannot, fmt.Errorf("a daemon ended")
	}
	rec.say("resets of open flows by daemons: %d; of flows whose backend lived and held them: %d, of these with a request under way: %d; resets by backends: %d",
		t.daemonResets, t.living, t.busy, t.backendResets)
	rec.say("users who asked again: %d answered; %d found their flow reset and no room for a new one", t.again, t.shutOut)
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

func logFull(rec *recorder, l *lab, list []*backend) {
	for _, b := range list {
		open, silent, ran := b.counts()
		rec.logf("backend %s: holds %d open flows, left %d first packets without an answer, ran %d requests", b.id, open, silent, ran)
	}
	rec.logf("clients: %+v", l.total())
}

// steadyUser keeps a flow open and asks ten times a second.
func steadyUser(h *clientHost, r *route, stop chan struct{}) {
	for {
		f := h.newFlow(r)
		for ok := f.connect(); ok; ok = f.ask(5*time.Millisecond, 4*time.Second) {
			select {
			case <-stop:
				f.finish()
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
		f.forget()
		select {
		case <-stop:
			return
		default:
		}
	}
}

// visit opens a flow and asks once. It tries three times, as the requests may be
// repeated, and returns nil if all fail.
func visit(h *clientHost, r *route, stop chan struct{}) *clientFlow {
	for range 3 {
		f := h.newFlow(r)
		if f.connect() && f.ask(time.Millisecond, 8*time.Second) {
			return f
		}
		f.forget()
		select {
		case <-stop:
			return nil
		default:
		}
	}
	return nil
}

// visitor opens a flow, asks once, pauses with the flow open, and asks again, on a
// new flow if the old one was reset.
func visitor(h *clientHost, r *route, stop chan struct{}) {
	f := visit(h, r, stop)
	if f == nil {
		return
	}
	select {
	case <-stop:
		f.finish()
		return
	case <-time.After(pause):
	}
	reset := f.isEnded()
	ok := !reset && f.ask(time.Millisecond, 8*time.Second)
	if reset {
		f.forget()
		f = visit(h, r, stop)
		ok = f != nil
	}
	h.count(func(s *clientStats) {
		switch {
		case ok:
			s.again++
		case reset:
			s.shutOut++
		}
	})
	if f != nil {
		<-stop
		f.finish()
	}
}

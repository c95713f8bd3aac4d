//go:build review

package main

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Figures of the case "cold".
const (
	coldService  = "availability"
	coldBackends = 14
	coldSlots    = 4
	coldWarmup   = 2 * time.Second
	coldPerS     = 3.0
	coldOverage  = 1.5
	coldSlack    = 5.0
	coldFlows    = 292 // a second, each with a flow of its own
	coldWork     = 55 * time.Millisecond
)

// runCold adds two empty backends to a service whose requests have a flow each.
func runCold(rec *recorder, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	r := &route{name: "r-availability", service: coldService, kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	l.routes = []*route{r}
	l.services = []service{{name: coldService, maxConns: 2000, warmup: coldWarmup, warmupPerS: coldPerS}}
	l.writeManifest(1)
	for i := range coldBackends {
		if _, err := l.addBackend(coldService, zones[i%len(zones)], coldSlots, 2000, 0); err != nil {
			return exitCannot, err
		}
	}
	if err := l.startDaemons(6); err != nil {
		return exitCannot, err
	}
	var hosts []*clientHost
	for i := range 30 {
		h, err := l.addHost(zones[i%len(zones)])
		if err != nil {
			return exitCannot, err
		}
		hosts = append(hosts, h)
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second / coldFlows)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			wg.Go(func() { oneRequest(hosts[i%len(hosts)], r) })
		}
	})
	time.Sleep(5 * time.Second)
	var added []*backend
	if trouble {
		for i := range 3 {
			b, err := l.addBackend(coldService, zones[i], coldSlots, 2000, coldWarmup)
			if err != nil {
				return exitCannot, err
			}
			added = append(added, b)
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	rec.logf("clients: %+v", l.total())
	if !l.daemonsAlive() {
		return exitCannot, fmt.Errorf("a daemon ended")
	}
	if l.total().answered == 0 {
		return exitCannot, fmt.Errorf("no request was answered")
	}
	bound := coldPerS*coldOverage + coldSlack
	worst := 0
	for _, b := range added {
		n, at := b.worstColdSecond()
		worst = max(worst, n)
		b.mu.Lock()
		for _, x := range b.opens {
			if x.cold {
				rec.logf("backend %s: cold, took a flow %d ms after its start, through %s", b.id, x.arrived.Sub(b.started).Milliseconds(), x.daemon)
			}
		}
		b.mu.Unlock()
		rec.say("backend %s: at most %d requests in one second while cold, the second from %d ms after its start; the bound is %.1f", b.id, n, at.Milliseconds(), bound)
	}
	if float64(worst) > bound {
		rec.say("FAILBACK is broken")
		return exitBroken, nil
	}
	rec.say("FAILBACK held")
	return exitHeld, nil
}

// worstColdSecond returns the greatest number of requests that were sent and
// arrived inside one second while the backend was cold, and when that second
// began, from the backend's start.
func (b *backend) worstColdSecond() (int, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []openEvent
	for _, x := range b.opens {
		if x.cold {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(x, y openEvent) int { return x.sent.Compare(y.sent) })
	worst, at := 0, time.Duration(0)
	for i := range list {
		n := 0
		for _, x := range list[i:] {
			if x.arrived.Sub(list[i].sent) < time.Second {
				n++
			}
		}
		if n > worst {
			worst, at = n, list[i].sent.Sub(b.started)
		}
	}
	return worst, at
}

// oneRequest opens a flow for one request and closes it.
func oneRequest(h *clientHost, r *route) {
	for range 3 {
		f := h.newFlow(r)
		if f.connect() && f.ask(coldWork, 4*time.Second) {
			f.finish()
			return
		}
		f.forget()
	}
}

//go:build review

package main

import (
	"net/netip"
	"sync"
	"time"
)

// Figures of the case "alone".
const (
	aloneWarmup = time.Second // less than a heartbeat, to leave case 5 out of it
	alonePerS   = 20.0
	aloneFlows  = 292
	// deadSeeds is the first of three hosts at which nothing listens.
	deadSeeds = 50
)

// runAlone starts seven daemons whose seeds are all down, so that none knows of
// another, and then four empty backends of a service that is in demand. Each daemon
// takes itself for the admitter of each cold backend. It has no folder of its own.
func runAlone(rec *recorder, trouble bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	r := &route{name: "r-launch", service: "launch", kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	l.routes = []*route{r}
	l.services = []service{{name: "launch", maxConns: 2000, warmup: aloneWarmup, warmupPerS: alonePerS}}
	l.writeManifest(1)
	if trouble {
		l.seedFrom = deadSeeds
	}
	if err := l.startDaemons(7); err != nil {
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
	for i := range 4 {
		if _, err := l.addBackend("launch", zones[i%3], 4, 2000, aloneWarmup); err != nil {
			return exitCannot, err
		}
	}
	wg.Go(func() {
		tick := time.NewTicker(time.Second / aloneFlows)
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
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	bound := alonePerS*coldOverage + coldSlack
	worst := 0
	for _, b := range l.backends {
		n, at := b.worstColdSecond()
		worst = max(worst, n)
		rec.say("backend %s: at most %d requests in one second while cold, the second from %d ms after its start; the bound is %.1f", b.id, n, at.Milliseconds(), bound)
	}
	if float64(worst) > bound {
		rec.say("FAILBACK is broken")
		return exitBroken, nil
	}
	rec.say("FAILBACK held")
	return exitHeld, nil
}

//go:build review

package main

import (
	"net/netip"
	"time"
)

// playAgain: a zone is emptied and taken back twice; its backends are cold at the end.
// FAILBACK: a cold backend gets no more than it may. Without the trouble the zone is
// emptied once.
func playAgain(l *lab, trouble bool) (bool, error) {
	const (
		warmup    = 5 * time.Second
		perSecond = 2.0
		out       = 8 * time.Second
		coldAhead = 500 * time.Millisecond
	)
	l.putConfig(7, "idempotent", warmup.Seconds(), perSecond)
	for i, n := range []int{4, 3, 3} {
		for range n {
			l.addDaemon(zones[i])
		}
	}
	l.seeds = []netip.Addr{l.daemons[0].ip, l.daemons[4].ip, l.daemons[7].ip}
	for range 3 {
		for _, z := range zones {
			if _, err := l.addBackend(serviceName, z, 55, 0); err != nil {
				return false, err
			}
		}
	}
	for _, d := range l.daemons {
		if err := l.start(d); err != nil {
			return false, err
		}
	}
	go l.runRouters(make(chan struct{}))
	if err := l.awaitReady(len(l.daemons), 15*time.Second); err != nil {
		return false, err
	}
	if err := l.addClients(12); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go l.openFlows(300, stop)
	time.Sleep(settle)
	times := 1
	if trouble {
		times = 2
	}
	broken := false
	for n := range times {
		l.store.put("evacuations", zones[0], map[string]any{})
		l.logf("evacuation %d of %s is acknowledged", n+1, zones[0])
		time.Sleep(out - coldAhead)
		for _, b := range l.backends {
			if b.zone == zones[0] {
				b.becomeCold(coldAhead + warmup)
			}
		}
		time.Sleep(coldAhead)
		l.store.remove("evacuations", zones[0])
		l.logf("evacuation %d of %s is taken back", n+1, zones[0])
		time.Sleep(warmup + time.Second)
		for _, b := range l.backends {
			if b.zone == zones[0] {
				broken = l.checkCold(b, perSecond) || broken
			}
		}
	}
	close(stop)
	time.Sleep(300 * time.Millisecond)
	l.logRequests()
	return broken, nil
}

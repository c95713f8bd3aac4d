//go:build review

package main

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// playBackoff: the store is down for some seconds, and meanwhile all machines but one are
// lost. Then the store is back, and the operator drops a route. CONFIG: the machine that
// is left must not serve the dropped route once it is in touch and the bound is over.
// Without the trouble the machines are lost, but the store is up.
func playBackoff(l *lab, trouble bool) (bool, error) {
	const (
		outage     = 3200 * time.Millisecond
		lossBefore = 300 * time.Millisecond
		applyBound = 3 * time.Second
	)
	dropped := netip.AddrPortFrom(l.service.Addr(), 8443)
	l.putRoutes(7, l.service, dropped)
	for i, n := range []int{4, 3, 3} {
		for range n {
			l.addDaemon(zones[i])
		}
	}
	l.seeds = []netip.Addr{l.daemons[0].ip, l.daemons[4].ip, l.daemons[7].ip}
	for range 2 {
		for _, z := range zones {
			if _, err := l.addBackend(serviceName, z, 20, 0); err != nil {
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
	if err := l.addClients(6); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go l.openFlows(100, stop)
	time.Sleep(settle)
	left := l.lastOfRanks()
	l.logf("the machine that will be left: %s in %s", left.name, left.zone)
	if trouble {
		l.store.setDown(true)
		l.logf("the store is down")
	}
	time.Sleep(outage - lossBefore)
	for _, d := range l.daemons {
		if d != left {
			l.kill(d)
		}
	}
	l.logf("all machines but %s are lost", left.name)
	time.Sleep(lossBefore)
	if trouble {
		l.store.setDown(false)
		l.logf("the store is back")
	}
	back := time.Now()
	time.Sleep(200 * time.Millisecond)
	acked := l.putRoutes(8, l.service)
	l.logf("version 8 is acknowledged: it drops the route of port %d", dropped.Port())
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken := 0
	var lastOpened time.Duration
	for n := 0; time.Since(back) < 12*time.Second; n++ {
		c := l.clients[n%len(l.clients)]
		wg.Go(func() {
			sent := time.Now()
			f := c.newFlow(dropped)
			defer f.forget()
			if f.connect() != done || f.request("GET", 4*time.Second) != done {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			since := sent.Sub(back)
			lastOpened = max(lastOpened, since)
			if since > stableWindow && sent.Sub(acked) > applyBound {
				broken++
				l.logf("a request on the dropped route, sent %.3f s after the store's return and %.3f s after the ack, was run and answered", since.Seconds(), sent.Sub(acked).Seconds())
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	l.logRequests()
	l.logf("the last request on the dropped route that was run was sent %.3f s after the store's return", lastOpened.Seconds())
	for _, line := range left.daemonLog("store:", "config:") {
		l.logf("log of %s: %s", left.name, line)
	}
	l.logf("%d requests broke the bound; %s ended by itself: %t", broken, left.name, left.endedAlone())
	return broken > 0, nil
}

// lastOfRanks returns the daemon that reads the store last if others fail: the order of
// ranks is that of a hash of the address for peers.
func (l *lab) lastOfRanks() *daemon {
	return slices.MaxFunc(l.daemons, func(x, y *daemon) int { return cmp.Compare(l.rankScore(x), l.rankScore(y)) })
}

func (l *lab) rankScore(d *daemon) uint64 {
	b, _ := netip.AddrPortFrom(d.ip, l.port+3).MarshalBinary() // never fails for an address
	return xxhash.Sum64(b)
}

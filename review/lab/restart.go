//go:build review

package main

import (
	"net/netip"
	"sync"
	"syscall"
	"time"

	"coltsfootdock/internal/state/flow"
)

// runRestart lets backends crash and start again at once under the ids that they
// had, cold. It plays the entry TestRestartIsNoticedAtOnce of KNOWN-RED.txt on the
// cookie path. It has no folder of its own.
func runRestart(rec *recorder, trouble bool) (int, error) {
	return playRestarts(rec, trouble, false)
}

// runFrozen is runRestart with half of the daemons frozen for 0.9 s around each
// restart (issue 18, 5). It has no folder of its own.
func runFrozen(rec *recorder, trouble bool) (int, error) {
	return playRestarts(rec, trouble, true)
}

func playRestarts(rec *recorder, trouble, freeze bool) (int, error) {
	zones := []string{"north-a", "north-b", "north-c"}
	l, err := newLab(rec, zones)
	if err != nil {
		return exitCannot, err
	}
	defer l.close()
	r := &route{name: "r-availability", service: coldService, kind: "idempotent", addr: netip.MustParseAddrPort("198.18.0.1:8443")}
	l.routes = []*route{r}
	l.services = []service{{name: coldService, maxConns: 2000, warmup: aloneWarmup, warmupPerS: coldPerS}}
	l.writeManifest(1)
	for i := range 6 {
		if _, err := l.addBackend(coldService, zones[i%3], coldSlots, 2000, 0); err != nil {
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
	time.Sleep(3 * time.Second)
	for i := range 4 {
		frozen := l.daemons[:3]
		if !trouble || !freeze {
			frozen = nil
		}
		for _, d := range frozen {
			_ = d.cmd.Process.Signal(syscall.SIGSTOP)
		}
		if freeze {
			time.Sleep(600 * time.Millisecond)
		}
		if trouble {
			l.backends[i].restart(aloneWarmup)
		}
		if freeze {
			time.Sleep(300 * time.Millisecond)
		}
		for _, d := range frozen {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	wg.Wait()
	bound := coldPerS*coldOverage + coldSlack
	worst := 0
	for _, b := range l.backends {
		n, at := b.worstColdSecond()
		if n > 0 {
			rec.say("backend %s: at most %d requests in one second while cold, the second from %d ms after its start; the bound is %.1f", b.id, n, at.Milliseconds(), bound)
		}
		worst = max(worst, n)
		b.mu.Lock()
		for _, x := range b.opens {
			if x.cold {
				rec.logf("backend %s: cold, took a flow %d ms after its start, through %s", b.id, x.arrived.Sub(b.started).Milliseconds(), x.daemon)
			}
		}
		b.mu.Unlock()
	}
	if float64(worst) > bound {
		rec.say("FAILBACK is broken")
		return exitBroken, nil
	}
	rec.say("FAILBACK held")
	return exitHeld, nil
}

// restart drops all flows, as a crash does, and starts the backend again under its
// id. The store has its entry before it takes a packet.
func (b *backend) restart(coldFor time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows, b.ended, b.queue, b.running = make(map[flow.Tuple]*serverFlow), make(map[flow.Tuple]time.Time), nil, 0
	b.started, b.born, b.coldFor = time.Now(), time.Now().UnixMilli(), coldFor
	b.mu.Unlock()
	b.beat()
	b.mu.Lock()
}

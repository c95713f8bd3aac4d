//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	stableWindow = 4 * time.Second
	// settle is more than the stable window after the last start.
	settle = 6 * time.Second
	// Bounds of FAILBACK.
	warmupOverage   = 1.5
	warmupTolerance = 5
)

// deploy starts the daemons of all zones and the backends, two daemons a zone, and waits
// until the daemons have run for more than the stable window.
func (l *lab) deploy(daemonsPerZone, backendsPerZone, workMs int) error {
	for _, z := range zones {
		for range daemonsPerZone {
			l.addDaemon(z)
		}
	}
	for i := range zones {
		l.seeds = append(l.seeds, l.daemons[i*daemonsPerZone].ip)
	}
	for range backendsPerZone {
		for _, z := range zones {
			if _, err := l.addBackend(serviceName, z, workMs, 0); err != nil {
				return err
			}
		}
	}
	for _, d := range l.daemons {
		if err := l.start(d); err != nil {
			return err
		}
	}
	go l.runRouters(make(chan struct{}))
	return l.awaitReady(len(l.daemons), 15*time.Second)
}

// addClients adds n clients, spread over the zones.
func (l *lab) addClients(n int) error {
	for i := range n {
		c, err := newClient(l, zones[i%len(zones)], l.ip(64, byte(10+i)).As4())
		if err != nil {
			return err
		}
		l.clients = append(l.clients, c)
	}
	return nil
}

// lostFlow is a flow that ended by a reset.
type lostFlow struct {
	at      time.Time
	by      outcome
	backend *backend
	// busy is set if a request was without an answer.
	busy bool
}

// holdFlows opens n flows and sends a request on each again and again, until stop is
// closed. It returns the flows that were reset.
func (l *lab) holdFlows(n int, method string, pause time.Duration, stop chan struct{}) (lost func() []lostFlow, opened func() int) {
	var mu sync.Mutex
	var list []lostFlow
	count := 0
	for i := range n {
		go func() {
			time.Sleep(rand.N(2 * pause)) // so that requests are sent at all times
			f := l.clients[i%len(l.clients)].newFlow(l.service)
			if f.connect() != done {
				return
			}
			mu.Lock()
			count++
			mu.Unlock()
			for {
				select {
				case <-stop:
					return
				default:
				}
				busy := true
				o := f.request(method, 5*time.Second)
				if o == done {
					busy = false
					o = f.idle(pause/2 + rand.N(pause))
				}
				if o == resetBySystem || o == resetByOther {
					x := lostFlow{at: time.Now(), by: o, backend: l.holder(f.key), busy: busy}
					mu.Lock()
					list = append(list, x)
					mu.Unlock()
					name := "no backend"
					if x.backend != nil {
						name = x.backend.id
					}
					l.logf("flow of %v port %d, open at %s, gets a reset: %s; a request without an answer: %t", f.key.client, f.key.clientPort, name, o, busy)
					return
				}
			}
		}()
	}
	lost = func() []lostFlow {
		mu.Lock()
		defer mu.Unlock()
		return append([]lostFlow(nil), list...)
	}
	opened = func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
	return lost, opened
}

// holder returns the backend at which a flow is open, nil if there is none.
func (l *lab) holder(k flowKey) *backend {
	for _, b := range l.backends {
		b.mu.Lock()
		f := b.flows[k]
		open := f != nil && f.open && b.conn != nil
		b.mu.Unlock()
		if open {
			return b
		}
	}
	return nil
}

// flowsOf returns the number of open flows at a backend.
func (b *backend) flowsOf() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, f := range b.flows {
		if f.open {
			n++
		}
	}
	return n
}

// playForeign: another writer writes an entry with a service that no manifest names over
// the entry of a living backend, which writes its own again at its next heartbeat.
// FLOW: no flow of that backend may be reset.
func playForeign(l *lab, trouble bool) (bool, error) {
	l.putConfig(7, "non_idempotent", 2, 0)
	if err := l.deploy(2, 2, 55); err != nil {
		return false, err
	}
	if err := l.addClients(6); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	lost, opened := l.holdFlows(60, "POST", 400*time.Millisecond, stop)
	time.Sleep(settle)
	x := l.backends[0]
	l.logf("%d flows are open, %d of them at %s", opened(), x.flowsOf(), x.id)
	if before := lost(); len(before) > 0 || opened() < 60 {
		return false, fmt.Errorf("%d flows opened and %d lost before the disruption", opened(), len(before))
	}
	if trouble {
		e := x.describe()
		e.Service, e.Born, e.Address = "wuno96z", time.Now().UnixMilli(), netip.AddrPortFrom(l.ip(129, 9), l.port+1).String()
		l.store.put("servers", x.id, e)
		l.logf("another writer writes servers/%s: %+v", x.id, e)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	broken, busy := 0, 0
	for _, f := range lost() {
		if f.by == resetBySystem && f.backend != nil {
			broken++
			if f.busy {
				busy++
			}
		}
	}
	l.logRequests()
	l.logf("%d open flows of living backends were reset by the system, %d of them with a request without an answer", broken, busy)
	for _, d := range l.daemons {
		for _, line := range d.daemonLog("reset:") {
			l.logf("log of %s: %s", d.name, line)
		}
	}
	return broken > 0, nil
}

// openFlows opens flows at a rate for a request each, until stop is closed.
func (l *lab) openFlows(perSecond int, stop chan struct{}) {
	t := time.NewTicker(time.Second / time.Duration(perSecond))
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		c := l.clients[i%len(l.clients)]
		go func() {
			f := c.newFlow(l.service)
			if f.connect() == done && f.request("GET", 4*time.Second) == done {
				f.finish()
				return
			}
			f.forget()
		}()
	}
}

// mostInSecond returns the greatest number of opening packets that were sent and arrived
// inside one second, and when that second began.
func mostInSecond(list []opening) (int, time.Time) {
	most, at := 0, time.Time{}
	for _, first := range list {
		n := 0
		for _, o := range list {
			if !o.sent.Before(first.sent) && o.arrived.Before(first.sent.Add(time.Second)) {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}

// checkCold reports whether a backend got more opening packets in one second than it may
// while it was last cold.
func (l *lab) checkCold(b *backend, perSecond float64) bool {
	list := b.coldOpenings()
	bound := perSecond*warmupOverage + warmupTolerance
	most, at := mostInSecond(list)
	b.mu.Lock()
	from, until := b.coldFrom, b.coldUntil
	b.mu.Unlock()
	l.logf("%s was cold for %.1f s and took %d opening packets then; at most %d were sent and arrived inside one second; the bound is %.1f", b.id, until.Sub(from).Seconds(), len(list), most, bound)
	for i, o := range list {
		l.logf("%s: opening packet %d through %s was sent %.3f s and arrived %.3f s after it became cold", b.id, i+1, o.by, o.sent.Sub(from).Seconds(), o.arrived.Sub(from).Seconds())
	}
	if most > 0 {
		l.logf("%s: the second with the most began %.3f s after it became cold", b.id, at.Sub(from).Seconds())
	}
	return float64(most) > bound
}

// playOutage: the store is down for some seconds, and two backends crash and start again
// under their ids meanwhile. FAILBACK: a cold backend gets no more than it may. Without
// the trouble the backends crash and start again, but the store is up.
func playOutage(l *lab, trouble bool) (bool, error) {
	const (
		warmup    = 5 * time.Second
		perSecond = 2.0
		crashAt   = 200 * time.Millisecond
		downFor   = 700 * time.Millisecond
		outage    = 5500 * time.Millisecond
	)
	l.putConfig(7, "idempotent", warmup.Seconds(), perSecond)
	if err := l.deploy(2, 5, 20); err != nil {
		return false, err
	}
	if err := l.addClients(12); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go l.openFlows(300, stop)
	time.Sleep(settle)
	crashed := l.backends[:2]
	if trouble {
		l.store.setDown(true)
		l.logf("the store is down")
	}
	time.Sleep(crashAt)
	for _, x := range crashed {
		x.crash()
		l.logf("%s crashes", x.id)
	}
	time.Sleep(downFor)
	for _, x := range crashed {
		if err := x.start(warmup); err != nil {
			return false, err
		}
		l.logf("%s has started again and is cold for %s", x.id, warmup)
	}
	time.Sleep(outage - crashAt - downFor)
	if trouble {
		l.store.setDown(false)
		l.logf("the store is up")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	time.Sleep(300 * time.Millisecond)
	l.logRequests()
	broken := false
	for _, x := range crashed {
		broken = l.checkCold(x, perSecond) || broken
	}
	return broken, nil
}

// playStale: all machines but one are lost. Later the process of the machine that is left
// and a backend are killed at the same moment and start again, the backend under its id.
// Lists that may be old are some seconds old. Without the trouble they are current. FAILBACK: the cold backend gets no more than it may.
func playStale(l *lab, trouble bool) (bool, error) {
	const warmup, perSecond = 2 * time.Second, 2.0
	l.putConfig(7, "idempotent", warmup.Seconds(), perSecond)
	if trouble {
		l.store.setStaleBy(3 * time.Second)
	}
	if err := l.deploy(2, 2, 20); err != nil {
		return false, err
	}
	if err := l.addClients(12); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	go l.openFlows(200, stop)
	time.Sleep(settle)
	x, left := l.backends[0], l.daemons[0]
	for _, d := range l.daemons[1:] {
		l.kill(d)
	}
	l.logf("all machines but %s are lost", left.name)
	time.Sleep(settle)
	x.crash()
	l.kill(left)
	l.logf("%s and the process of %s are killed", x.id, left.name)
	time.Sleep(100 * time.Millisecond)
	if err := x.start(warmup); err != nil {
		return false, err
	}
	l.logf("%s has started again and is cold for %s", x.id, warmup)
	time.Sleep(100 * time.Millisecond)
	if err := l.start(left); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	close(stop)
	l.logRequests()
	return l.checkCold(x, perSecond), nil
}

//go:build review

package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// cases holds the cases by name.
var cases = map[string]func(*lab, bool) error{"reader": readerKilled, "outage": storeDown, "moved": storeMoved, "power": powerLost, "twice": twiceRestarted}

const (
	// crashed is the number of backends that end at once: 0.14 of the service's 14, the
	// share of srv_crash.
	crashed = 2
	// downFor is how long a backend is down before its supervisor has started it again.
	downFor = 30 * time.Millisecond
	// rounds is the number of times that the disruption is made in a run.
	rounds = 3
)

// readerKilled: the daemon that reads the store is killed, and the processes of two
// backends end and start again at once.
func readerKilled(l *lab, trouble bool) error {
	stop, err := l.startTraffic(work)
	if err != nil {
		return err
	}
	defer close(stop)
	for n := range rounds {
		if trouble {
			d := l.daemons[l.store.reader()]
			d.kill()
			l.record("%s, which reads the store, is killed", d.name)
			if err := l.restartBackends(n*crashed, downFor); err != nil {
				return err
			}
			time.Sleep(time.Second)
			if err := l.startDaemon(d); err != nil {
				return err
			}
			l.record("%s runs again", d.name)
		}
		time.Sleep(7 * time.Second)
		l.report(fmt.Sprintf("after round %d", n+1))
	}
	return l.checkCold()
}

// storeDown: while the store is down, the processes of two backends end and start again at
// once.
func storeDown(l *lab, trouble bool) error {
	stop, err := l.startTraffic(work)
	if err != nil {
		return err
	}
	defer close(stop)
	for n := range rounds {
		if trouble {
			l.store.setDown(true)
			l.record("the store is down")
			time.Sleep(time.Second)
			if err := l.restartBackends(n*crashed, downFor); err != nil {
				return err
			}
			time.Sleep(3 * time.Second)
			l.store.setDown(false)
			l.record("the store is back")
		}
		time.Sleep(6 * time.Second)
		l.report(fmt.Sprintf("after round %d", n+1))
	}
	return l.checkCold()
}

// powerLost: while the store is down, the hosts of two backends lose power, and the backends
// start again.
func powerLost(l *lab, trouble bool) error {
	stop, err := l.startTraffic(shortWork)
	if err != nil {
		return err
	}
	defer close(stop)
	for n := range rounds {
		if trouble {
			l.store.setDown(true)
			l.record("the store is down")
			time.Sleep(200 * time.Millisecond)
			if err := l.losePower(n * crashed); err != nil {
				return err
			}
			time.Sleep(2800 * time.Millisecond)
			l.store.setDown(false)
			l.record("the store is back")
		}
		time.Sleep(6 * time.Second)
		l.report(fmt.Sprintf("after round %d", n+1))
	}
	return l.checkCold()
}

const (
	// work is the time of a request of the kind availability-check of tordikandja-lb,
	// shortWork that of the kind job-status-feed of caroni-mugworks.
	work      = 55 * time.Millisecond
	shortWork = 15 * time.Millisecond
	// powerOff is how long a backend whose host lost power is silent.
	powerOff = 1500 * time.Millisecond
)

// losePower takes the power from the hosts of the backends from the given one on, and starts
// them again.
func (l *lab) losePower(first int) error {
	list := l.backends[first : first+crashed]
	var ends []func()
	for _, b := range list {
		end, err := b.loseHost()
		if err != nil {
			return err
		}
		ends = append(ends, end)
		l.record("the host of backend %s loses power", b.id)
	}
	time.Sleep(powerOff)
	for i, b := range list {
		ends[i]()
		if err := b.start(true); err != nil {
			return err
		}
		l.record("backend %s starts again, cold for %s", b.id, l.warmup)
	}
	return nil
}

// twiceRestarted: while the store is down, two backends end and start again twice.
func twiceRestarted(l *lab, trouble bool) error {
	stop, err := l.startTraffic(work)
	if err != nil {
		return err
	}
	defer close(stop)
	for n := range rounds {
		if trouble {
			l.store.setDown(true)
			l.record("the store is down")
			time.Sleep(200 * time.Millisecond)
			if err := l.restartBackends(n*crashed, awayFor); err != nil {
				return err
			}
			time.Sleep(time.Second)
			if err := l.restartBackends(n*crashed, awayFor); err != nil {
				return err
			}
			time.Sleep(2300 * time.Millisecond)
			l.store.setDown(false)
			l.record("the store is back")
		}
		time.Sleep(6 * time.Second)
		l.report(fmt.Sprintf("after round %d", n+1))
	}
	return l.checkCold()
}

// awayFor is how long a backend is down whose end is noticed.
const awayFor = 500 * time.Millisecond

// storeMoved: the settings name another address of the store, which then leaves the former
// one. A backend drains after that.
func storeMoved(l *lab, trouble bool) error {
	stop, err := l.startTraffic(work)
	if err != nil {
		return err
	}
	defer close(stop)
	if trouble {
		port := l.daemons[0].ports.store
		if err := l.openStore(5, len(l.daemons), port); err != nil {
			return err
		}
		for i, d := range l.daemons {
			if err := l.writeSettings(d, netip.AddrPortFrom(l.addr(5, i), port)); err != nil {
				return err
			}
		}
		l.record("the store serves at its former and at another address; all settings files name the latter")
		for _, d := range l.daemons[:signalled] {
			_ = d.cmd.Process.Signal(syscall.SIGHUP)
			l.record("%s gets SIGHUP", d.name)
		}
	}
	time.Sleep(10 * time.Second)
	if trouble {
		for _, x := range l.listeners[4] {
			_ = x.Close()
		}
		l.record("the store no longer serves at its former address")
	}
	time.Sleep(10 * time.Second)
	l.report("before the drain")
	b := l.backends[0]
	b.drain()
	time.Sleep(8 * time.Second)
	l.report("after the drain")
	return l.checkDrain(b)
}

// signalled is the number of daemons that get SIGHUP: 0.3 of six, the share of hup.
const signalled = 2

// checkDrain checks DRAIN for a backend.
func (l *lab) checkDrain(b *backend) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := 0
	for _, o := range b.opens {
		if since := o.arrived.Sub(b.drainAcked); since > 0 {
			l.record("  opening packet from port %d arrived %.3f s after the ack of the drain", o.client.port, since.Seconds())
			if since > drainBound {
				late++
			}
		}
	}
	l.record("backend %s: %d opening packets later than %s after the ack", b.id, late, drainBound)
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests later than %s after the ack", errBroken, late, drainBound)
	}
	return nil
}

// startTraffic starts the deployment and its clients, whose requests take the given time.
// Closing the channel ends the traffic.
func (l *lab) startTraffic(work time.Duration) (chan struct{}, error) {
	l.warmup, l.warmupPerS, l.work = 2*time.Second, 2, work
	if err := l.setUp(6, 14, 12); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	l.clients.perS.Store(375)
	go l.clients.run(stop)
	time.Sleep(6 * time.Second)
	l.report("before")
	return stop, nil
}

// restartBackends ends the backends from the given one on and starts them again.
func (l *lab) restartBackends(first int, down time.Duration) error {
	list := l.backends[first : first+crashed]
	for _, b := range list {
		b.crash()
		l.record("backend %s ends", b.id)
	}
	time.Sleep(down)
	for _, b := range list {
		if err := b.start(true); err != nil {
			return err
		}
		l.record("backend %s starts again, cold for %s", b.id, l.warmup)
	}
	return nil
}

// report records what the clients have seen so far.
func (l *lab) report(when string) {
	c := l.clients
	reads, refused := l.store.counts()
	l.record("%s: requests sent=%d answered=%d reset=%d lost=%d; reads of the store=%d refused=%d",
		when, c.sent.Load(), c.answered.Load(), c.reset.Load(), c.lost.Load(), reads, refused)
}

// checkCold checks FAILBACK for the backends that started during traffic.
func (l *lab) checkCold() error {
	limit := l.warmupPerS*warmupOverage + warmupTolerance
	worst := 0
	for _, b := range l.backends {
		if !b.cold {
			continue
		}
		n, at := b.most()
		worst = max(worst, n)
		l.record("backend %s: at most %d opening packets in one second of its cold time, the bound is %g; that second began %.3f s after its start",
			b.id, n, limit, at.Sub(b.born).Seconds())
		for _, o := range b.opens {
			if since := o.arrived.Sub(b.born); since < l.warmup {
				l.record("  opening packet from port %d sent %.3f s, arrived %.3f s after the start", o.client.port, o.sent.Sub(b.born).Seconds(), since.Seconds())
			}
		}
	}
	if float64(worst) > limit {
		return fmt.Errorf("%w: FAILBACK: %d requests in one second, the bound is %g", errBroken, worst, limit)
	}
	return nil
}

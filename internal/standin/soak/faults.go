package soak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"coltsfootdock/internal/standin/plat"
)

// faultKind is a fault: it strikes and returns how it is healed.
type faultKind struct {
	name string
	run  func(s *System) (heal func())
	// least is how long it lasts at least.
	least time.Duration
}

// kinds are the faults, in a fixed order.
var kinds = []faultKind{
	{"daemon killed", func(s *System) func() {
		d := s.pickDaemon()
		done := d.calm.disturb()
		d.stop(syscall.SIGKILL)
		return func() { s.restart(d); done() }
	}, 0},
	{"all daemons killed", func(s *System) func() {
		var heals []func()
		for _, d := range s.daemons {
			done := d.calm.disturb()
			d.signal(syscall.SIGKILL)
			heals = append(heals, func() { d.stop(syscall.SIGKILL); s.restart(d); done() })
		}
		return func() {
			for _, h := range heals {
				h()
			}
		}
	}, 0},
	{"daemon stopped", func(s *System) func() {
		d := s.pickDaemon()
		done := d.calm.disturb()
		d.stop(syscall.SIGTERM)
		return func() { s.restart(d); done() }
	}, 0},
	{"daemon paused", func(s *System) func() {
		d := s.pickDaemon()
		done := d.calm.disturb()
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT); done() }
	}, 0},
	{"settings read again", func(s *System) func() {
		s.pickDaemon().signal(syscall.SIGHUP)
		return func() {}
	}, 0},
	{"packets to a daemon lost", func(s *System) func() {
		d := s.pickDaemon()
		done := d.calm.disturb()
		d.mu.Lock()
		d.loss = []float64{0.05, 0.3, 1}[s.rand()%3]
		d.mu.Unlock()
		return func() {
			d.mu.Lock()
			d.loss = 0
			d.mu.Unlock()
			done()
		}
	}, 0},
	{"daemon turned away by the store", turnAway(refuses), 0},
	{"store silent to a daemon", turnAway(keepsSilent), 0},
	{"store resets a daemon's calls", turnAway(resets), 0},
	{"packets repeated and delayed", func(s *System) func() {
		s.unruly.Store(true)
		return func() { s.unruly.Store(false) }
	}, 0},
	{"entries by another writer", func(s *System) func() {
		for i, spec := range foreignSpecs {
			s.store.Put(targetsKind, fmt.Sprintf("x-%08x", i), spec)
		}
		return func() {
			for i := range foreignSpecs {
				s.store.Drop(targetsKind, fmt.Sprintf("x-%08x", i))
			}
		}
	}, 0},
	{"store down", storeFault(plat.Fault{Down: true}, true), 0},
	{"store silent", storeFault(plat.Fault{Silent: true}, true), 0},
	{"store slow", storeFault(plat.Fault{DelayMilliseconds: 400}, false), 0},
	{"store forgets", func(s *System) func() {
		done := s.judge.store.disturb()
		s.store.Compact()
		return done
	}, 0},
	{"target dark", func(s *System) func() {
		t := s.pickTarget()
		done := t.calm.disturb()
		t.setDark()
		return func() {
			if err := t.setBright(); err != nil {
				s.soakFailed(t.id, "target %s does not listen again: %s", t.id, err)
			}
			done()
		}
	}, 0},
	{"target crashes", func(s *System) func() {
		t := s.pickTarget()
		done := t.calm.disturb()
		t.restart()
		return done
	}, 0},
	{"target replaced", func(s *System) func() {
		s.mu.Lock()
		n := len(s.targets)
		s.mu.Unlock()
		if n < 200 && s.addTarget(n) == nil {
			s.pickTarget().leave()
		}
		return func() {}
	}, 0},
	{"route added and removed", func(s *System) func() {
		s.mu.Lock()
		n := len(s.routes)
		r := &route{name: fmt.Sprintf("extra-%d", n), pool: "desk", addr: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.2:%d", 9000+n))}
		s.routes = append(s.routes, r)
		s.mu.Unlock()
		s.writeTable()
		return func() {
			r.mu.Lock()
			r.off = time.Now()
			r.mu.Unlock()
			s.writeTable()
		}
	}, 0},
	{"data centre out", func(s *System) func() {
		z := s.zones[s.rand()%3]
		if !z.outSince().IsZero() {
			return func() {}
		}
		s.store.Put(outsKind, z.name, struct{}{})
		z.setOut(time.Now())
		return func() {
			z.setOut(time.Time{})
			s.store.Drop(outsKind, z.name)
		}
	}, outBound + 4*time.Second},
}

// foreignSpecs are values of targets' entries that name no target.
var foreignSpecs = []any{
	nil, "ready", 7, []int{1}, map[string]any{},
	map[string]any{"service": "desk", "state": "ready"},
	map[string]any{"service": "desk", "address": "here", "zone": "dc-a", "state": "ready", "born": 1},
	map[string]any{"service": 3, "address": "127.0.0.1:1", "zone": "dc-a", "state": "ready", "born": 1},
	map[string]any{"service": "desk", "address": "127.0.0.1:1", "zone": "dc-a", "state": "asleep", "born": 1},
	map[string]any{"service": "desk", "address": "127.0.0.1:1", "zone": "dc-a", "state": "ready", "born": "soon"},
}

// turnAway is a fault of the store towards one daemon.
func turnAway(m manner) func(*System) func() {
	return func(s *System) func() {
		d := s.pickDaemon()
		done := d.calm.disturb()
		d.store.set(m)
		return func() { d.store.set(serves); done() }
	}
}

// storeFault is a fault of the whole store. Targets write no heartbeats while
// it is down.
func storeFault(f plat.Fault, down bool) func(*System) func() {
	return func(s *System) func() {
		done := s.judge.store.disturb()
		s.down.Store(down)
		s.store.SetFault(f)
		return func() {
			s.store.SetFault(plat.Fault{})
			s.down.Store(false)
			for _, t := range s.alive() {
				t.beat()
			}
			done()
		}
	}
}

// restart starts a daemon's process again, unless another fault's end did.
func (s *System) restart(d *daemon) {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	default:
		return
	}
	if err := s.start(d); err != nil {
		s.soakFailed(d.id, "daemon %s does not start: %s", d.id, err)
	}
}

// soakFailed notes a fault of the soak itself.
func (s *System) soakFailed(about, format string, args ...any) {
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	s.judge.fail("soak", about, format, args...)
}

func (s *System) pickDaemon() *daemon { return s.daemons[s.rand()%uint64(len(s.daemons))] }

// alive returns the targets that stay.
func (s *System) alive() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*target
	for _, t := range s.targets {
		if t.leaving().IsZero() {
			list = append(list, t)
		}
	}
	return list
}

func (s *System) pickTarget() *target {
	list := s.alive()
	return list[s.rand()%uint64(len(list))]
}

// strike lets faults strike, one after another and overlapping, until the
// time is over, and heals them all.
func (s *System) strike() {
	end := time.Now().Add(s.opts.For)
	type open struct {
		at   time.Time
		heal func()
	}
	running := make(map[string]open)
	for time.Now().Before(end) {
		for _, k := range kinds {
			if o, ok := running[k.name]; ok && time.Now().After(o.at) {
				o.heal()
				delete(running, k.name)
			}
		}
		k := kinds[s.rand()%uint64(len(kinds))]
		if _, ok := running[k.name]; !ok && len(running) < 4 {
			s.injected[k.name]++
			heal := k.run(s)
			running[k.name] = open{at: time.Now().Add(k.least + time.Duration(200+s.rand()%6000)*time.Millisecond), heal: heal}
		}
		s.sleep(100, 2000)
	}
	for _, k := range kinds {
		if o, ok := running[k.name]; ok {
			o.heal()
		}
	}
}

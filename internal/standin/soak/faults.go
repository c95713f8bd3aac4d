package soak

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"time"

	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/platform"
)

// faultKind is a kind of fault.
type faultKind struct {
	name string
	// inject starts the fault and returns the function that ends it.
	inject func(s *System) (heal func())
	// minDuration is how long the fault lasts at least.
	minDuration time.Duration
}

// faultKinds lists the faults. Its order is fixed, since a seed selects them by
// index.
var faultKinds = append(basicKinds, outageKinds...)

// basicKinds are the faults without outageKinds. Seeds of before these play as they did.
var basicKinds = []faultKind{
	{"daemon killed", func(s *System) func() {
		d := s.randomDaemon()
		done := d.faults.begin()
		d.stop(syscall.SIGKILL)
		return func() { s.restart(d); done() }
	}, 0},
	{"all daemons killed", func(s *System) func() {
		var heals []func()
		for _, d := range s.daemons {
			done := d.faults.begin()
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
		d := s.randomDaemon()
		done := d.faults.begin()
		d.stop(syscall.SIGTERM)
		return func() { s.restart(d); done() }
	}, 0},
	{"daemon paused", func(s *System) func() {
		d := s.randomDaemon()
		done := d.faults.begin()
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT); done() }
	}, 0},
	{"signals in series", func(s *System) func() {
		d := s.randomDaemon()
		done := d.faults.begin()
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
			d.signal(sig)
			s.drawPause(1, 150)
		}
		return func() { d.stop(syscall.SIGKILL); s.restart(d); done() }
	}, 0},
	{"first daemons lost", func(s *System) func() {
		return s.loseFirst(1 + int(s.draw()%uint64(1+len(s.daemons)/3)))
	}, lostTime},
	{"drains unheard, first daemons lost", func(s *System) func() {
		done := s.checker.storeFaults.begin()
		s.store.HushWatches(hushTime)
		for range 1 + s.draw()%3 {
			s.randomTarget().drainAndStop()
		}
		s.drawPause(100, 1500)
		heal := s.loseFirst(1 + int(s.draw()%uint64(1+len(s.daemons)/3)))
		s.after(hushTime, done)
		return heal
	}, lostTime},
	{"settings read again", func(s *System) func() {
		s.randomDaemon().signal(syscall.SIGHUP)
		return func() {}
	}, 0},
	{"packets to a daemon lost", func(s *System) func() {
		d := s.randomDaemon()
		done, healed := d.faults.begin(), d.cuts.begin()
		d.mu.Lock()
		d.packetLoss = []float64{0.05, 0.3, 1}[s.draw()%3]
		d.mu.Unlock()
		return func() {
			d.mu.Lock()
			d.packetLoss = 0
			d.mu.Unlock()
			done()
			healed()
		}
	}, 0},
	{"daemon turned away by the store", storeProxyFault(storeRefuses), 0},
	{"store silent to a daemon", storeProxyFault(storeHangs), 0},
	{"store resets a daemon's calls", storeProxyFault(storeResets), 0},
	{"packets repeated and delayed", func(s *System) func() {
		s.packetDisorder.Store(true)
		return func() {
			s.disorderEnded.Store(time.Now().UnixMilli())
			s.packetDisorder.Store(false)
		}
	}, 0},
	{"entries by another writer", func(s *System) func() {
		for i, spec := range invalidTargetSpecs {
			s.store.Put(targetsKind, fmt.Sprintf("x-%08x", i), spec)
		}
		return func() {
			for i := range invalidTargetSpecs {
				s.store.Drop(targetsKind, fmt.Sprintf("x-%08x", i))
			}
		}
	}, 0},
	{"store down", storeFault(plat.Fault{Down: true}, true), 0},
	{"store silent", storeFault(plat.Fault{Silent: true}, true), 0},
	{"store slow", storeFault(plat.Fault{DelayMilliseconds: 400}, false), 0},
	{"store forgets", func(s *System) func() {
		done := s.checker.storeFaults.begin()
		s.store.Compact()
		return done
	}, 0},
	{"target dark", func(s *System) func() {
		t := s.randomTarget()
		done := t.faults.begin()
		t.setUnresponsive()
		return func() {
			if err := t.setResponsive(); err != nil {
				s.recordSoakError(t.id, "target %s cannot open its health port again: %s", t.id, err)
			}
			done()
		}
	}, 0},
	{"target crashes", func(s *System) func() {
		t := s.randomTarget()
		done := t.faults.begin()
		t.restart()
		return done
	}, 0},
	{"target replaced", func(s *System) func() {
		s.replaceTarget((*target).drainAndStop)
		return func() {}
	}, 0},
	{"target killed", func(s *System) func() {
		s.replaceTarget((*target).kill)
		return func() {}
	}, 0},
	{"target killed, address reused", func(s *System) func() {
		for _, t := range s.replaceTarget((*target).killForGood) {
			time.Sleep(addressReuse)
			s.mu.Lock()
			n := len(s.targets)
			s.mu.Unlock()
			other := map[string]string{"desk": "proof", "proof": "desk"}[t.pool]
			if err := s.addTargetAt(n, other, t.addr); err != nil {
				s.recordSoakError(t.id, "no target can start at the address of %s: %s", t.id, err)
			}
		}
		return func() {}
	}, 0},
	{"targets drained in series", func(s *System) func() {
		for range 2 + s.draw()%4 {
			s.replaceTarget((*target).drainAndStop)
			s.drawPause(50, 400)
		}
		return func() {}
	}, 0},
	{"targets' writes fail", func(s *System) func() {
		s.failWrites(plat.WritesRefused+plat.WriteFault(s.draw()%uint64(plat.WriteFaults-plat.WritesRefused)), []float64{0.5, 0.9, 1}[s.draw()%3])
		return func() { s.failWrites(plat.WritesServed, 0) }
	}, silentTime},
	{"targets cut off from the store", func(s *System) func() {
		return cutOff(s.randomTargets(1 + int(s.draw()%4)))
	}, silentTime},
	{"draining targets cut off from the store", func(s *System) func() {
		var list []*target
		for range 1 + s.draw()%3 {
			list = append(list, s.replaceTarget((*target).drainAndStop)...)
			s.drawPause(50, 400)
		}
		return cutOff(list)
	}, silentTime},
	{"daemons released in turn", func(s *System) func() {
		for range 1 + s.draw()%3 {
			d := s.randomDaemon()
			done := d.faults.begin()
			d.stop(syscall.SIGTERM)
			s.restart(d)
			done()
		}
		return func() {}
	}, 0},
	{"route added and removed", func(s *System) func() {
		r := s.addRoute("desk")
		return func() { s.removeRoute(r) }
	}, 0},
	{"route moved", func(s *System) func() {
		r := s.addRoute("desk")
		return func() {
			s.moveRoute(r, "proof")
			s.after(time.Duration(s.draw()%6000)*time.Millisecond, func() { s.removeRoute(r) })
		}
	}, 0},
	{"versions in quick succession", func(s *System) func() {
		var added []*route
		for range stormVersions {
			added = append(added, s.addRoute("desk"))
			time.Sleep(stormGap)
		}
		return func() {
			for _, r := range added {
				s.removeRoute(r)
			}
		}
	}, 0},
	{"watches hear nothing", func(s *System) func() {
		done := s.checker.storeFaults.begin()
		s.store.HushWatches(hushTime)
		return done
	}, hushTime},
	{"data centre out", func(s *System) func() {
		dc := s.dataCentres[s.draw()%dataCentreCount]
		if !dc.outSince().IsZero() {
			return func() {}
		}
		s.store.Put(outsKind, dc.name, struct{}{})
		dc.setOut(time.Now())
		return func() {
			dc.setOut(time.Time{})
			s.store.Drop(outsKind, dc.name)
		}
	}, outBound + 4*time.Second},
	{"store returns from an older copy", func(s *System) func() {
		s.drill()
		if s.draw()%3 == 0 {
			s.drawPause(200, 1500) // a second one before the first has settled
			s.drill()
		}
		return func() {}
	}, drillTime},
}

// A storm writes stormVersions versions, one each stormGap.
const (
	stormVersions = 8
	stormGap      = 60 * time.Millisecond
)

// lostTime is how long the first daemons by rank are lost at least.
const lostTime = 5 * time.Second

// hushTime is how long the store's watches hear nothing.
const hushTime = time.Second

// silentTime is how long targets' entries are not written at least: longer than the
// entries last.
const silentTime = 5 * time.Second

// addressReuse is how long the address of a target that has gone is not used again.
const addressReuse = 2 * time.Second

// maxTargets bounds the targets that a soak test creates.
const maxTargets = 200

// maxActiveFaults bounds the faults that are active at once.
const maxActiveFaults = 4

// invalidTargetSpecs are values of target entries that describe no valid target.
var invalidTargetSpecs = []any{
	nil, "ready", 7, []int{1}, map[string]any{},
	map[string]any{"service": "desk", "state": "ready"},
	entryWith("address", "here"),
	entryWith("service", 3),
	entryWith("state", "asleep"),
	entryWith("born", "soon"),
	entryWith("born", nil),
}

// entryWith returns a target's whole entry with one field replaced. Nothing listens at
// its address.
func entryWith(field string, value any) map[string]any {
	data, err := json.Marshal(platform.NewTargetSpec("desk", "127.0.0.1:1", "dc-a", 2, false, 1))
	if err != nil {
		panic(err) // an entry can always be encoded
	}
	var entry map[string]any
	if err := json.Unmarshal(data, &entry); err != nil {
		panic(err)
	}
	entry[field] = value
	return entry
}

// storeProxyFault returns the fault that one daemon's store proxy is in a mode.
func storeProxyFault(mode storeMode) func(*System) func() {
	return func(s *System) func() {
		d := s.randomDaemon()
		done := d.faults.begin()
		d.storeProxy.setMode(mode)
		return func() { d.storeProxy.setMode(storeServes); done() }
	}
}

// storeFault returns a fault of the store that affects all daemons. With
// blockHeartbeats, targets write no heartbeats meanwhile.
func storeFault(f plat.Fault, blockHeartbeats bool) func(*System) func() {
	return func(s *System) func() {
		done := s.checker.storeFaults.begin()
		s.heartbeatsBlocked.Store(blockHeartbeats)
		s.store.SetFault(f)
		return func() {
			s.store.SetFault(plat.Fault{})
			s.heartbeatsBlocked.Store(false)
			for _, t := range s.activeTargets() {
				t.writeHeartbeat()
			}
			done()
		}
	}
}

// loseFirst kills the first n daemons in the order in which they read the store, one
// after the other. The function that it returns starts them again.
func (s *System) loseFirst(n int) func() {
	var heals []func()
	for _, d := range s.byRank()[:min(n, len(s.daemons)-1)] {
		done := d.faults.begin()
		d.stop(syscall.SIGKILL)
		heals = append(heals, func() { s.restart(d); done() })
	}
	return func() {
		for _, h := range heals {
			h()
		}
	}
}

// byRank returns the daemons in the order in which they read the store.
func (s *System) byRank() []*daemon {
	rank := make(map[*daemon]int)
	for _, d := range s.daemons {
		ps := watch.NewPeerSet(netip.AddrPortFrom(d.host, peerPort), "", nil, 0)
		for _, x := range s.daemons {
			ps.RecordNeighbour(0, netip.AddrPortFrom(x.host, peerPort), "")
		}
		rank[d] = ps.Rank(0)
	}
	return slices.SortedFunc(slices.Values(s.daemons), func(x, y *daemon) int { return rank[x] - rank[y] })
}

// restart starts a daemon's process again, unless the end of another fault has
// already done so.
func (s *System) restart(d *daemon) {
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	default:
		return
	}
	if err := s.start(d); err != nil {
		s.recordSoakError(d.id, "cannot start daemon %s: %s", d.id, err)
	}
}

// recordSoakError records a failure of the soak test itself.
func (s *System) recordSoakError(about, format string, args ...any) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.recordViolation("soak", about, format, args...)
}

// draw returns the next random number of the faults. Only the goroutine that injects
// faults uses it, so that a seed always draws the same faults, whatever the traffic.
func (s *System) draw() uint64 { return s.faultRNG.Uint64() }

// drawPause waits for a random time of at least low and below high milliseconds.
func (s *System) drawPause(low, high uint64) {
	time.Sleep(time.Duration(low+s.draw()%(high-low)) * time.Millisecond)
}

func (s *System) randomDaemon() *daemon { return s.daemons[s.draw()%uint64(len(s.daemons))] }

// activeTargets returns the targets that do not drain.
func (s *System) activeTargets() []*target {
	s.mu.Lock()
	all := slices.Clone(s.targets)
	s.mu.Unlock() // before the targets' locks are taken
	var list []*target
	for _, t := range all {
		if t.drainingSince().IsZero() && t.goneSince().IsZero() {
			list = append(list, t)
		}
	}
	return list
}

// randomTargets returns up to n different targets that do not drain.
func (s *System) randomTargets(n int) []*target {
	list := s.activeTargets()
	for i := range list {
		j := i + int(s.draw()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}

// replaceTarget adds a target and ends another one, which it returns, unless there are
// too many targets.
func (s *System) replaceTarget(end func(t *target)) []*target {
	s.mu.Lock()
	n := len(s.targets)
	s.mu.Unlock()
	if n >= maxTargets || s.addTarget(n) != nil {
		return nil
	}
	t := s.randomTarget()
	end(t)
	return []*target{t}
}

// failWrites sets what becomes of a share of the targets' writes.
func (s *System) failWrites(f plat.WriteFault, share float64) {
	s.store.SetWriteFault(f, share, s.draw())
}

// cutOff cuts targets off from the store alone. The function that it returns ends
// that.
func cutOff(list []*target) func() {
	for _, t := range list {
		t.setCutOff(true)
	}
	return func() {
		for _, t := range list {
			t.setCutOff(false)
			t.writeHeartbeat()
		}
	}
}

func (s *System) randomTarget() *target {
	list := s.activeTargets()
	return list[s.draw()%uint64(len(list))]
}

// kinds returns the faults that are to be injected.
func (o *Options) kinds() []faultKind {
	switch {
	case len(o.Faults) == 0 && o.WithoutOutages:
		return basicKinds
	case len(o.Faults) == 0:
		return faultKinds
	}
	return slices.DeleteFunc(slices.Clone(faultKinds), func(k faultKind) bool {
		return !slices.ContainsFunc(o.Faults, func(part string) bool { return strings.Contains(k.name, part) })
	})
}

// injectFaults starts random faults, up to maxActiveFaults at once, for the
// configured time, and then ends all of them.
func (s *System) injectFaults() {
	kinds := s.opts.kinds()
	end := time.Now().Add(s.opts.For)
	type activeFault struct {
		healAt time.Time
		heal   func()
	}
	running := make(map[string]activeFault)
	for time.Now().Before(end) {
		for _, k := range faultKinds {
			if o, ok := running[k.name]; ok && time.Now().After(o.healAt) {
				o.heal()
				delete(running, k.name)
			}
		}
		k := kinds[s.draw()%uint64(len(kinds))]
		if _, ok := running[k.name]; !ok && len(running) < maxActiveFaults {
			s.injected[k.name]++
			heal := k.inject(s)
			running[k.name] = activeFault{healAt: time.Now().Add(k.minDuration + time.Duration(200+s.draw()%6000)*time.Millisecond), heal: heal}
		}
		s.drawPause(100, 2000)
	}
	for _, k := range faultKinds {
		if o, ok := running[k.name]; ok {
			o.heal()
		}
	}
}

// Package health decides the state of targets from probe results.
//
// Each target is probed by a few daemons, chosen by rendezvous. A prober
// applies hysteresis to its own results and shares the state. Every daemon
// merges the shared states conservatively: a target counts as failed only if
// all fresh probers say so, and as starting if any does. Probes may lag or
// lie, so a pool is never emptied on their word: see Usable.
package health

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/pkg/schema"
)

const (
	// Probers is the number of daemons that probe a target.
	Probers = 2
	// Interval is the time between two probes of a target by one prober.
	Interval = 500 * clock.Milli(1)
	// failAfter is the number of failed probes in a row that fail a target.
	failAfter = 3
	// shedAfter is the number of shedding answers in a row that close it.
	shedAfter = 3
	// shareEvery is how often an unchanged state is shared.
	shareEvery = 3 * clock.Second
	// newsRepeat is how many heartbeats carry a changed state.
	newsRepeat = 3
	// staleAfter is the age after which a shared state is ignored.
	staleAfter = 8 * clock.Second
)

// Result is the outcome of one probe.
type Result struct {
	Target      schema.Handle
	OK          bool
	State       peer.TargetState
	Incarnation uint64
	Open        uint32
}

// State is the merged state of a target.
type State struct {
	// Known is false while no fresh prober reports the target.
	Known       bool
	State       peer.TargetState
	Incarnation uint64
	Open        uint32
}

type own struct {
	probe peer.Probe
	fails int
	sheds int
	// news counts the heartbeats that still carry the last change.
	news int
	// told is when the state was last shared.
	told clock.Milli
}

type shared struct {
	probe peer.Probe
	at    clock.Milli
}

// Table holds the probe states known to one daemon. It is not safe for
// concurrent use.
type Table struct {
	self   schema.VMID
	own    map[schema.Handle]*own
	shared map[schema.Handle]map[schema.VMID]shared
}

// New returns an empty table of the daemon self.
func New(self schema.VMID) *Table {
	return &Table{
		self:   self,
		own:    make(map[schema.Handle]*own),
		shared: make(map[schema.Handle]map[schema.VMID]shared),
	}
}

// Probe takes a result of this daemon's own probe and reports whether the
// target's state changed.
func (t *Table) Probe(now clock.Milli, r Result) bool {
	o := t.own[r.Target]
	if o == nil {
		o = &own{probe: peer.Probe{Target: r.Target}}
		t.own[r.Target] = o
	}
	before := o.probe
	o.take(r)
	if o.probe.State != 0 {
		t.Share(now, t.self, []peer.Probe{o.probe})
	}
	changed := o.probe.State != before.State || o.probe.Incarnation != before.Incarnation
	if changed {
		o.news = newsRepeat
	}
	return changed
}

func (o *own) take(r Result) {
	if !r.OK {
		o.fails++
		if o.fails >= failAfter {
			o.probe.State = peer.Failed
		}
		return
	}
	o.fails = 0
	restarted := r.Incarnation != o.probe.Incarnation
	o.probe.Incarnation, o.probe.Open = r.Incarnation, r.Open
	if r.State != peer.Shedding {
		o.sheds = 0
		o.probe.State = r.State
		return
	}
	o.sheds++
	if o.sheds >= shedAfter {
		o.probe.State = peer.Shedding
	} else if o.probe.State == 0 || o.probe.State == peer.Failed || restarted {
		o.probe.State = peer.Ready
	}
}

// News returns the own states that the next heartbeats carry: those that
// changed, a few times, and each of the others once every shareEvery.
func (t *Table) News(now clock.Milli) []peer.Probe {
	var list []peer.Probe
	for _, o := range t.own {
		if o.probe.State == 0 || o.news == 0 && now-o.told < shareEvery {
			continue
		}
		o.news = max(0, o.news-1)
		o.told = now
		list = append(list, o.probe)
	}
	return list
}

// Keep forgets the own states of targets that this daemon does not probe.
func (t *Table) Keep(mine map[schema.Handle]bool) {
	for h := range t.own {
		if !mine[h] {
			delete(t.own, h)
		}
	}
}

// Share takes states that a prober told.
func (t *Table) Share(now clock.Milli, prober schema.VMID, list []peer.Probe) {
	for _, p := range list {
		m := t.shared[p.Target]
		if m == nil {
			m = make(map[schema.VMID]shared)
			t.shared[p.Target] = m
		}
		m[prober] = shared{probe: p, at: now}
	}
}

// State returns the merged state of a target.
func (t *Table) State(now clock.Milli, h schema.Handle) State {
	var merged State
	var newest clock.Milli
	for prober, s := range t.shared[h] {
		if now-s.at > staleAfter {
			delete(t.shared[h], prober)
			continue
		}
		if !merged.Known {
			merged.State = s.probe.State
		}
		merged.State = join(merged.State, s.probe.State)
		if s.probe.State != peer.Failed && (s.at > newest || merged.Incarnation == 0) {
			merged.Incarnation, merged.Open, newest = s.probe.Incarnation, s.probe.Open, s.at
		}
		merged.Known = true
	}
	return merged
}

// join merges two probers' states: failed only if both say so, else the one
// that promises less.
func join(a, b peer.TargetState) peer.TargetState {
	if a == peer.Failed {
		return b
	}
	if b == peer.Failed {
		return a
	}
	return min(a, b)
}

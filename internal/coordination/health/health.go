// Package health derives the state of each target from probe results.
//
// Each target is probed by a few daemons, chosen by rendezvous hashing. A
// prober applies hysteresis to its own results and reports the resulting
// state to the other daemons. Every daemon merges the reported states
// conservatively: a target counts as failed only if all probers with a recent
// report say so, and as starting if any of them does. Probe results may be
// late or wrong, so package plan does not close most targets of a pool
// because of them.
package health

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/pkg/schema"
)

const (
	// ProbersPerTarget is the number of daemons that probe a target.
	ProbersPerTarget = 2
	// ProbeInterval is the time between two probes of a target by one prober.
	ProbeInterval = 500 * clock.Milli(1)
	// failThreshold is the number of consecutive failed probes after which a
	// target counts as failed.
	failThreshold = 3
	// shedThreshold is the number of consecutive "shedding" answers after
	// which a target counts as shedding.
	shedThreshold = 3
	// resendInterval is how often an unchanged state is reported.
	resendInterval = 3 * clock.Second
	// changeSends is the number of heartbeats that carry a changed state,
	// since a heartbeat may be lost.
	changeSends = 3
	// reportTTL is the age after which a prober's report is ignored.
	reportTTL = 8 * clock.Second
)

// Result is the outcome of one probe. OpenFlows is the number of flows that the
// target reports as open.
type Result struct {
	Target      schema.Handle
	OK          bool
	State       peer.TargetState
	Incarnation uint64
	OpenFlows   uint32
}

// State is the merged state of a target.
type State struct {
	// Known is false if no prober has reported the target within reportTTL.
	Known       bool
	State       peer.TargetState
	Incarnation uint64
	OpenFlows   uint32
}

// ownState is the state of a target as probed by this daemon.
type ownState struct {
	probe       peer.Probe
	failures    int
	shedAnswers int
	// sendsLeft is the number of heartbeats that still carry the last change.
	sendsLeft int
	// sentAt is when the state was last put into a heartbeat.
	sentAt clock.Milli
}

// reportedState is the latest state that one prober reported.
type reportedState struct {
	probe      peer.Probe
	receivedAt clock.Milli
}

// Table holds the target states known to one daemon. It is not safe for
// concurrent use.
type Table struct {
	self     schema.VMID
	own      map[schema.Handle]*ownState
	reported map[schema.Handle]map[schema.VMID]reportedState
}

// New returns an empty table for the daemon self.
func New(self schema.VMID) *Table {
	return &Table{
		self:     self,
		own:      make(map[schema.Handle]*ownState),
		reported: make(map[schema.Handle]map[schema.VMID]reportedState),
	}
}

// AddResult adds the result of one of this daemon's own probes and reports
// whether the target's state or incarnation changed.
func (t *Table) AddResult(now clock.Milli, r Result) bool {
	o := t.own[r.Target]
	if o == nil {
		o = &ownState{probe: peer.Probe{Target: r.Target}}
		t.own[r.Target] = o
	}
	before := o.probe
	o.update(r)
	if o.probe.State != 0 {
		t.AddReported(now, t.self, []peer.Probe{o.probe})
	}
	changed := o.probe.State != before.State || o.probe.Incarnation != before.Incarnation
	if changed {
		o.sendsLeft = changeSends
	}
	return changed
}

// update applies a result with hysteresis. A target that was unknown or
// failed, or that has restarted, is ready even if it answers "shedding",
// until it has done so shedThreshold times.
func (o *ownState) update(r Result) {
	if !r.OK {
		o.failures++
		if o.failures >= failThreshold {
			o.probe.State = peer.Failed
		}
		return
	}
	o.failures = 0
	restarted := r.Incarnation != o.probe.Incarnation
	o.probe.Incarnation, o.probe.OpenFlows = r.Incarnation, r.OpenFlows
	if r.State != peer.Shedding {
		o.shedAnswers = 0
		o.probe.State = r.State
		return
	}
	o.shedAnswers++
	if o.shedAnswers >= shedThreshold {
		o.probe.State = peer.Shedding
	} else if o.probe.State == 0 || o.probe.State == peer.Failed || restarted {
		o.probe.State = peer.Ready
	}
}

// StatesToSend returns the own states to put into the next heartbeats: a
// changed state in changeSends calls, any other once every resendInterval.
func (t *Table) StatesToSend(now clock.Milli) []peer.Probe {
	var list []peer.Probe
	for _, o := range t.own {
		if o.probe.State == 0 || o.sendsLeft == 0 && now-o.sentAt < resendInterval {
			continue
		}
		o.sendsLeft = max(0, o.sendsLeft-1)
		o.sentAt = now
		list = append(list, o.probe)
	}
	return list
}

// Retain drops the own states of targets that are not in mine, the targets
// that this daemon probes.
func (t *Table) Retain(mine map[schema.Handle]bool) {
	for h := range t.own {
		if !mine[h] {
			delete(t.own, h)
		}
	}
}

// AddReported stores states that a prober reported.
func (t *Table) AddReported(now clock.Milli, prober schema.VMID, list []peer.Probe) {
	for _, p := range list {
		m := t.reported[p.Target]
		if m == nil {
			m = make(map[schema.VMID]reportedState)
			t.reported[p.Target] = m
		}
		m[prober] = reportedState{probe: p, receivedAt: now}
	}
}

// State returns the merged state of a target. Incarnation and OpenFlows come
// from the newest report that is not "failed".
func (t *Table) State(now clock.Milli, h schema.Handle) State {
	var merged State
	var newest clock.Milli
	for prober, s := range t.reported[h] {
		if now-s.receivedAt > reportTTL {
			delete(t.reported[h], prober)
			continue
		}
		if !merged.Known {
			merged.State = s.probe.State
		}
		merged.State = merge(merged.State, s.probe.State)
		if s.probe.State != peer.Failed && (s.receivedAt > newest || merged.Incarnation == 0) {
			merged.Incarnation, merged.OpenFlows, newest = s.probe.Incarnation, s.probe.OpenFlows, s.receivedAt
		}
		merged.Known = true
	}
	return merged
}

// merge combines the states of two probers: failed only if both say so,
// otherwise the lower of the two.
func merge(a, b peer.TargetState) peer.TargetState {
	if a == peer.Failed {
		return b
	}
	if b == peer.Failed {
		return a
	}
	return min(a, b)
}

package daemon

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

var stateNames = [...]string{
	0:             "unknown",
	peer.Failed:   "failed",
	peer.Starting: "starting",
	peer.Draining: "draining",
	peer.Shedding: "shedding",
	peer.Ready:    "ready",
}

// Reached returns the live daemons whose view has reached revision v, and
// those whose view has not.
func (m *Machine) Reached(now clock.Milli, v schema.Version) (in, waiting []schema.VMID) {
	add := func(id schema.VMID, rev schema.Version) {
		if rev >= v {
			in = append(in, id)
		} else {
			waiting = append(waiting, id)
		}
	}
	add(m.members.Self().ID, m.view.Revision())
	for _, p := range m.members.Peers() {
		if p.Alive(now) {
			add(p.Member.ID, p.Revision)
		}
	}
	return in, waiting
}

// Status returns this daemon's view of the system.
func (m *Machine) Status(now clock.Milli) schema.Status {
	self := m.members.Self()
	s := schema.Status{
		ID:              self.ID,
		Revision:        m.view.Revision(),
		Fresh:           m.members.Fresh(now, m.view.Revision()),
		AgeMilliseconds: int64(timeSince(now, now-m.members.ConfirmAge(now))),
		Records:         m.records.Len(),
	}
	s.Daemons = append(s.Daemons, schema.DaemonStatus{
		ID: self.ID, DataCentre: self.DataCentre, Revision: m.view.Revision(),
		Alive: true, Ready: m.ready, Out: m.leavingOrOut(),
	})
	for _, p := range m.members.Peers() {
		s.Daemons = append(s.Daemons, schema.DaemonStatus{
			ID: p.Member.ID, DataCentre: p.Member.DataCentre, Revision: p.Revision,
			Alive: p.Alive(now), Ready: p.Ready, Out: p.Out,
			SilenceMilliseconds: int64(timeSince(now, p.HeardAt)),
		})
	}
	for _, e := range m.view.Entries() {
		s.Services = append(s.Services, m.serviceStatus(now, e))
	}
	return s
}

// timeSince returns the time since a point, or -1 if the point is
// clock.Never.
func timeSince(now, at clock.Milli) clock.Milli {
	if at < 0 {
		return -1
	}
	return now - at
}

// serviceStatus returns the status of a service. Its imbalance is the largest
// number of open flows of an open target divided by their mean.
func (m *Machine) serviceStatus(now clock.Milli, e *view.Entry) schema.ServiceStatus {
	p, version := e.Table.Newest()
	s := schema.ServiceStatus{
		Route:     e.Route.Name,
		Service:   e.Service.Key(),
		Pool:      e.Pool != nil,
		Placement: version,
	}
	buckets := make(map[schema.Handle]int)
	if p != nil {
		for b := range schema.Buckets {
			if p.Moving[b] {
				s.Moving++
			}
			if c := p.Current[b]; c != schema.NoSlot {
				buckets[p.Slots[c].Handle]++
			}
		}
	}
	if e.Pool == nil {
		return s
	}
	var most, sum, n float64
	for i := range e.Pool.Targets {
		t := m.targetStatus(now, p, &e.Pool.Targets[i], buckets)
		s.Targets = append(s.Targets, t)
		if t.Closed {
			continue
		}
		most, sum, n = max(most, float64(t.OpenFlows)), sum+float64(t.OpenFlows), n+1
	}
	if sum > 0 {
		s.Imbalance = most * n / sum
	}
	return s
}

func (m *Machine) targetStatus(now clock.Milli, p *schema.Placement, t *schema.Target, buckets map[schema.Handle]int) schema.TargetStatus {
	h := flow.HandleOf(t)
	state := m.health.State(now, h)
	ts := schema.TargetStatus{
		ID:         t.ID,
		DataCentre: t.DataCentre,
		State:      stateNames[state.State],
		Buckets:    buckets[h],
		OpenFlows:  state.OpenFlows,
		Closed:     true,
	}
	if p == nil {
		return ts
	}
	if slot := view.Slot(p, h); slot != nil {
		ts.Rate, ts.Closed = slot.Rate, slot.Closed
	}
	return ts
}

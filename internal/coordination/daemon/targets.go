package daemon

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// requestProbes requests the probes that are due of the targets that this
// daemon is a prober of. A target without a health address counts as ready.
func (m *Machine) requestProbes(now clock.Milli) {
	if now-m.lastProbeAt < health.ProbeInterval {
		return
	}
	m.lastProbeAt = now
	mine := make(map[schema.Handle]bool)
	self, peers := m.members.Probers(now)
	for _, e := range m.view.Entries() {
		for _, d := range e.Targets {
			if mine[d.Handle] || d.Out || !isProber(self, peers, d) {
				continue
			}
			mine[d.Handle] = true
			if !d.Target.Health.IsValid() {
				m.health.AddResult(now, health.Result{Target: d.Handle, OK: true, State: peer.Ready})
				continue
			}
			m.out.Probes = append(m.out.Probes, Probe{Handle: d.Handle, Target: d.Target})
		}
	}
	m.health.Retain(mine)
}

// isProber reports whether the daemon self is one of a target's probers. Live
// daemons in the target's data centre come first; others probe it only if
// there are none.
func isProber(self member.Prober, peers []member.Prober, d *view.Dest) bool {
	hash := uint64(d.Handle)
	own := flow.Score(hash, self.Seed)
	local := self.DataCentre == d.Target.DataCentre
	before := 0
	for _, p := range peers {
		peerLocal := p.DataCentre == d.Target.DataCentre
		if peerLocal && !local {
			return false
		}
		if peerLocal == local && flow.Score(hash, p.Seed) > own {
			before++
		}
	}
	return before < health.ProbersPerTarget
}

// addReportedProbes stores the states that a prober reported. A report of a
// failure from another data centre is ignored while a daemon in the target's
// own data centre is alive, because the prober may be cut off from that data
// centre.
func (m *Machine) addReportedProbes(now clock.Milli, p *member.Peer, list []peer.Probe) {
	for _, probe := range list {
		if probe.State == peer.Failed && m.localProberAlive(now, probe.Target, p) {
			continue
		}
		m.health.AddReported(now, p.Member.ID, []peer.Probe{probe})
	}
}

// localProberAlive reports whether p is in another data centre than a target,
// and a live daemon is in the target's.
func (m *Machine) localProberAlive(now clock.Milli, h schema.Handle, p *member.Peer) bool {
	dc, ok := m.dataCentre(h)
	if !ok || dc == p.Member.DataCentre {
		return false
	}
	if m.members.Self().DataCentre == dc {
		return true
	}
	for _, other := range m.members.Peers() {
		if other.Member.DataCentre == dc && other.Alive(now) {
			return true
		}
	}
	return false
}

// dataCentre returns the data centre of a target.
func (m *Machine) dataCentre(h schema.Handle) (schema.DataCentreID, bool) {
	for _, e := range m.view.Entries() {
		if d := e.Dests[h]; d != nil {
			return d.Target.DataCentre, true
		}
	}
	return "", false
}

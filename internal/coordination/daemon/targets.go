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

// probe asks for the probes that are due: those of the targets that this
// daemon is a prober of.
func (m *Machine) probe(now clock.Milli) {
	if now-m.lastProbe < health.Interval {
		return
	}
	m.lastProbe = now
	mine := make(map[schema.Handle]bool)
	self, peers := m.set.Probers(now)
	for _, e := range m.view.Entries() {
		for _, d := range e.Targets {
			if mine[d.Handle] || d.Out || !probes(self, peers, d) {
				continue
			}
			mine[d.Handle] = true
			if !d.Target.Health.IsValid() {
				m.health.Probe(now, health.Result{Target: d.Handle, OK: true, State: peer.Ready})
				continue
			}
			m.out.Probes = append(m.out.Probes, Probe{Handle: d.Handle, Target: d.Target})
		}
	}
	m.health.Keep(mine)
}

// probes reports whether a daemon is one of a target's probers. Daemons of the
// target's data centre go first; others probe only if it has none alive.
func probes(self member.Prober, peers []member.Prober, d *view.Dest) bool {
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
	return before < health.Probers
}

// shareProbes takes a prober's states. That a target failed is believed of a
// prober in another data centre only while the target's own has no live
// daemon: the prober may be cut off from it.
func (m *Machine) shareProbes(now clock.Milli, p *member.Peer, list []peer.Probe) {
	for _, probe := range list {
		if probe.State == peer.Failed && m.betterProber(now, probe.Target, p) {
			continue
		}
		m.health.Share(now, p.Member.ID, []peer.Probe{probe})
	}
}

// betterProber reports whether a live daemon in a target's data centre knows
// better than p, which is in another.
func (m *Machine) betterProber(now clock.Milli, h schema.Handle, p *member.Peer) bool {
	dc, ok := m.dataCentre(h)
	if !ok || dc == p.Member.DataCentre {
		return false
	}
	if m.set.Self().DataCentre == dc {
		return true
	}
	for _, other := range m.set.Peers() {
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

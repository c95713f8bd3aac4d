package daemon

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/pkg/schema"
)

// sendHeartbeats sends the heartbeats that are due.
func (m *Machine) sendHeartbeats(now clock.Milli) {
	if now-m.lastHeartbeatAt < member.HeartbeatInterval {
		return
	}
	m.lastHeartbeatAt = now
	probes := m.health.StatesToSend(now)
	audience := m.members.HeartbeatPeers()
	for _, p := range m.planners(now) {
		if !slices.Contains(audience, p) {
			audience = append(audience, p)
		}
	}
	for _, p := range audience {
		m.sendHeartbeat(now, p, probes)
	}
}

// planners returns the peers that plan services, at most maxPlannersToNotify.
// They need the results of every prober.
func (m *Machine) planners(now clock.Milli) []*member.Peer {
	var list []*member.Peer
	for _, e := range m.view.Entries() {
		p := m.members.Leader(now, plannerKey(e.Service))
		if p != nil && !slices.Contains(list, p) && len(list) < maxPlannersToNotify {
			list = append(list, p)
		}
	}
	return list
}

func (m *Machine) sendHeartbeat(now clock.Milli, p *member.Peer, probes []peer.Probe) {
	h := m.members.Heartbeat(now, p, m.view.Revision())
	h.Probes = probes
	m.send(p, peer.Message{Heartbeat: &h}, true)
}

func (m *Machine) send(p *member.Peer, msg peer.Message, datagram bool) {
	msg.From = m.members.Self().ID
	m.out.Sends = append(m.out.Sends, Send{To: p.Member, Message: msg, Datagram: datagram})
}

// readPlatform requests the changes from the platform if this daemon is a
// reader, if its view is known to be outdated, or if the view's confirmation
// is older than directReadAge.
func (m *Machine) readPlatform(now clock.Milli) {
	if now-m.readStartedAt < readTimeout || now-m.lastReadAt < readInterval {
		return
	}
	reader := m.members.Rank(now, "reader", false) < readersPerDataCentre
	if !reader && !m.members.Behind(m.view.Revision()) && m.members.ConfirmAge(now) < directReadAge {
		return
	}
	m.lastReadAt, m.readStartedAt = now, now
	m.out.Reads = append(m.out.Reads, Read{Since: m.view.Revision()})
}

// reachesPlatform reports whether a platform read succeeded within the last
// readTimeout.
func (m *Machine) reachesPlatform(now clock.Milli) bool {
	return now-m.readDoneAt <= readTimeout
}

// ReadDone handles the answer to a Read that began at the given time. l is
// nil if the read failed.
func (m *Machine) ReadDone(now, began clock.Milli, since schema.Version, l *object.List) Output {
	m.readStartedAt = clock.Never
	if l == nil {
		return m.flush()
	}
	if !m.reachesPlatform(now) {
		m.planner.homes.renewedAt = now
	}
	m.readDoneAt = now
	m.merge(now, since, *l)
	m.members.Confirm(began, l.Revision, m.view.Revision())
	return m.flush()
}

// merge merges newer objects into the view and announces the new revision to
// the peers.
func (m *Machine) merge(now clock.Milli, since schema.Version, l object.List) {
	before := m.view.Revision()
	leaseExpired := m.members.LeaseExpired(now)
	changed := m.view.Merge(now, since, l)
	if m.view.Revision() > before {
		m.members.ViewReplaced(m.view.Revision())
	}
	if !changed {
		return
	}
	m.syncMembers(now)
	m.updateHomes(now, leaseExpired)
	m.proposeRecentOpens(now)
	m.lastHeartbeatAt = clock.Never // send heartbeats at the next tick
}

// syncMembers adds and removes peers as listed in the view.
func (m *Machine) syncMembers(now clock.Milli) {
	list := m.view.Members()
	m.members.Register(now, list)
	listed := make(map[schema.VMID]bool, len(list))
	for _, p := range list {
		listed[p.ID] = true
	}
	m.members.Remove(now, listed)
}

// Peer handles a message from a peer.
func (m *Machine) Peer(now clock.Milli, msg *peer.Message) Output {
	p := m.members.Peer(msg.From)
	if msg.Heartbeat != nil {
		m.heartbeat(now, msg)
		return m.flush()
	}
	if p == nil {
		return m.flush()
	}
	switch {
	case msg.Pull != nil:
		list := m.view.Store().Since(msg.Pull.Since)
		m.send(p, peer.Message{Objects: &peer.Objects{Since: msg.Pull.Since, List: list}}, false)
	case msg.Objects != nil:
		m.merge(now, msg.Objects.Since, msg.Objects.List)
	case msg.Records != nil:
		m.storeRecords(now, msg.Records)
	}
	if len(msg.Reports) > 0 {
		m.planner.addReports(now, msg.From, msg.Reports)
	}
	return m.flush()
}

// heartbeat handles a heartbeat and asks its sender for objects if that has a
// newer view.
func (m *Machine) heartbeat(now clock.Milli, msg *peer.Message) {
	newer := m.members.HandleHeartbeat(now, msg.From, msg.Heartbeat, m.view.Revision())
	p := m.members.Peer(msg.From)
	if p == nil {
		return
	}
	m.addReportedProbes(now, p, msg.Heartbeat.Probes)
	if newer && now-m.lastPullAt >= pullInterval {
		m.lastPullAt = now
		m.send(p, peer.Message{Pull: &peer.Pull{Since: m.view.Revision()}}, false)
	}
}

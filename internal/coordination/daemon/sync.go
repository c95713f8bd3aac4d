package daemon

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/pkg/schema"
)

// beat sends the heartbeats that are due.
func (m *Machine) beat(now clock.Milli) {
	if now-m.lastBeat < member.Interval {
		return
	}
	m.lastBeat = now
	probes := m.health.News(now)
	audience := m.set.Audience()
	for _, p := range m.planners(now) {
		if !slices.Contains(audience, p) {
			audience = append(audience, p)
		}
	}
	for _, p := range audience {
		m.beatTo(now, p, probes)
	}
}

// planners returns the daemons that plan services, up to maxPlanners: they
// need every prober's results.
func (m *Machine) planners(now clock.Milli) []*member.Peer {
	var list []*member.Peer
	for _, e := range m.view.Entries() {
		p := m.set.Leader(now, plannerOf(e.Service))
		if p != nil && !slices.Contains(list, p) && len(list) < maxPlanners {
			list = append(list, p)
		}
	}
	return list
}

func (m *Machine) beatTo(now clock.Milli, p *member.Peer, probes []peer.Probe) {
	h := m.set.Beat(now, p, m.view.Revision())
	h.Probes = probes
	m.send(p, peer.Message{Heartbeat: &h}, true)
}

func (m *Machine) send(p *member.Peer, msg peer.Message, datagram bool) {
	msg.From = m.set.Self().ID
	m.out.Sends = append(m.out.Sends, Send{To: p.Member, Message: msg, Datagram: datagram})
}

// read asks the platform for changes, if this daemon is a reader of its data
// centre or nobody confirms its view.
func (m *Machine) read(now clock.Milli) {
	if now-m.readBusy < readTimeout || now-m.lastRead < readEvery {
		return
	}
	reader := m.set.Rank(now, "reader", false) < readersPerDataCentre
	if !reader && !m.set.Behind(m.view.Revision()) && m.set.ConfirmAge(now) < readAlone {
		return
	}
	m.lastRead, m.readBusy = now, now
	m.out.Reads = append(m.out.Reads, Read{Since: m.view.Revision()})
}

// reaches reports whether this daemon read the platform lately.
func (m *Machine) reaches(now clock.Milli) bool {
	return now-m.readDone <= readTimeout
}

// ReadDone takes a platform answer to a Read that was sent at began; l is nil
// if the read failed.
func (m *Machine) ReadDone(now, began clock.Milli, since schema.Version, l *object.List) Output {
	m.readBusy = clock.Never
	if l == nil {
		return m.flush()
	}
	if !m.reaches(now) {
		m.plans.homes.seen = now
	}
	m.readDone = now
	m.merge(now, since, *l)
	m.set.Confirm(began, l.Revision, m.view.Revision())
	return m.flush()
}

// merge takes newer objects into the view and tells peers about it.
func (m *Machine) merge(now clock.Milli, since schema.Version, l object.List) {
	before := m.view.Revision()
	late := m.set.Lapsed(now)
	changed := m.view.Merge(now, since, l)
	if m.view.Revision() > before {
		m.set.Adopt(m.view.Revision())
	}
	if !changed {
		return
	}
	m.syncMembers(now)
	m.takeHomes(now, late)
	m.pinRecent(now)
	m.lastBeat = clock.Never // tell the peers at the next tick
}

func (m *Machine) syncMembers(now clock.Milli) {
	list := m.view.Members()
	m.set.Register(now, list)
	listed := make(map[schema.VMID]bool, len(list))
	for _, p := range list {
		listed[p.ID] = true
	}
	m.set.Remove(now, listed)
}

// Peer handles a peer's message.
func (m *Machine) Peer(now clock.Milli, msg *peer.Message) Output {
	p := m.set.Peer(msg.From)
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
		m.takeRecords(now, msg.Records)
	}
	if len(msg.Reports) > 0 {
		m.plans.report(now, msg.From, msg.Reports)
	}
	return m.flush()
}

func (m *Machine) heartbeat(now clock.Milli, msg *peer.Message) {
	newer := m.set.Take(now, msg.From, msg.Heartbeat, m.view.Revision())
	p := m.set.Peer(msg.From)
	if p == nil {
		return
	}
	m.shareProbes(now, p, msg.Heartbeat.Probes)
	if newer && now-m.lastPull >= pullEvery {
		m.lastPull = now
		m.send(p, peer.Message{Pull: &peer.Pull{Since: m.view.Revision()}}, false)
	}
}

package daemon

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
)

const (
	// removeAfter is the silence after which a daemon's registration is
	// removed. A daemon that is still alive registers again.
	removeAfter = 60 * clock.Second
	// removeInterval is the least time between two removals.
	removeInterval = 5 * clock.Second
)

// removeDeadMembers removes the registrations of daemons that stopped without
// removing them, one at a time. Only the planner of the list of homes does
// so, and only with a quorum.
func (m *Machine) removeDeadMembers(now clock.Milli) {
	if m.members.Rank(now, homesPlannerKey, true) > 0 || !m.hasQuorum(now) || now-m.planner.memberRemovedAt < removeInterval {
		return
	}
	for _, registered := range m.view.Members() {
		p := m.members.Peer(registered.ID)
		if p == nil || !p.SilentFor(now, removeAfter) {
			continue
		}
		m.planner.memberRemovedAt = now
		id := object.ID{Kind: object.Member, Name: string(registered.ID)}
		m.out.Writes = append(m.out.Writes, Write{ID: id, Expect: m.view.Store().Version(id)})
		return
	}
}

package daemon

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
)

const (
	// forgetAfter is the silence after which a daemon's registration is
	// removed. A daemon that lives registers again.
	forgetAfter = 60 * clock.Second
	// forgetEvery is the least time between two removals.
	forgetEvery = 5 * clock.Second
)

// forgetMembers removes the registration of a daemon that was killed, one at
// a time. The planner of the list of homes does it, with a quorum.
func (m *Machine) forgetMembers(now clock.Milli) {
	if m.set.Rank(now, homesPlanner, true) > 0 || !m.quorum(now) || now-m.plans.forgot < forgetEvery {
		return
	}
	for _, registered := range m.view.Members() {
		p := m.set.Peer(registered.ID)
		if p == nil || !p.SilentFor(now, forgetAfter) {
			continue
		}
		m.plans.forgot = now
		id := object.ID{Kind: object.Member, Name: string(registered.ID)}
		m.out.Writes = append(m.out.Writes, Write{ID: id, Expect: m.view.Store().Version(id)})
		return
	}
}

package daemon

import (
	"encoding/json"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// homesPlannerKey is the name from which the planner of the list of homes is
// chosen by rendezvous hashing.
const homesPlannerKey = "planner homes"

const (
	// homesChangeDelay is how long the live daemons must differ from the list
	// of homes before it is rewritten.
	homesChangeDelay = 500 * clock.Milli(1)
	// homesFirstWait is how long the first list waits for other daemons that
	// start at the same time.
	homesFirstWait = 2 * clock.Second
	// homesChangeInterval is the least time between two changes of the list.
	// Each changes one daemon, so that a flow keeps one of its homes, and is
	// past its grace period before the next one is made.
	homesChangeInterval = 2000 * clock.Milli(1)
	// homesRenewInterval is how often an unchanged list is written again.
	homesRenewInterval = 15 * clock.Second
	// homesExpiry is how long a list may go without renewal, as seen by a
	// daemon that reaches the platform, before any daemon may replace it.
	homesExpiry = 45 * clock.Second
)

// homesState is what the planner of the list of homes remembers.
type homesState struct {
	// differsSince is when the live daemons began to differ from the list.
	differsSince clock.Milli
	// missingSince is when this daemon first found no list.
	missingSince   clock.Milli
	writtenVersion schema.Version
	writtenAt      clock.Milli
	// changedAt is when the list last changed.
	changedAt clock.Milli
	// renewedAt is when the list last changed or was renewed. Time in which
	// this daemon did not reach the platform does not count: renewedAt is
	// reset when the platform is reached again.
	renewedAt clock.Milli
}

// hasQuorum reports whether this daemon may plan, and may decide on a flow
// without its other home. Without a quorum it may do so once the list has
// expired.
func (m *Machine) hasQuorum(now clock.Milli) bool {
	return m.homes.Quorum(now) || m.reachesPlatform(now) && now-m.planner.homes.renewedAt > homesExpiry
}

// planHomes rewrites the list of homes when daemons join and leave. Only a
// daemon with a quorum of the list does so, so the smaller side of a
// partition can't.
func (m *Machine) planHomes(now clock.Milli) {
	state := &m.planner.homes
	list, version := m.view.Homes()
	eligible := m.eligibleDaemons(now)
	slices.Sort(eligible)
	if slices.Equal(eligible, list) {
		state.differsSince = now
	}
	if version == 0 && state.missingSince == 0 {
		state.missingSince = now
	}
	if version == 0 && now-state.missingSince < homesFirstWait {
		return
	}
	due := now-state.differsSince >= homesChangeDelay || now-state.renewedAt >= homesRenewInterval
	if !due || m.members.Rank(now, homesPlannerKey, true) > 0 || !m.hasQuorum(now) {
		return
	}
	if now-state.writtenAt < writeTimeout && state.writtenVersion == version {
		return
	}
	if version != 0 && now-state.changedAt < homesChangeInterval {
		return
	}
	data, err := json.Marshal(schema.Homes{Members: nextHomes(list, eligible)})
	if err != nil {
		return
	}
	state.writtenAt, state.writtenVersion = now, version
	id := object.ID{Kind: object.Homes, Name: view.HomesName}
	m.out.Writes = append(m.out.Writes, Write{ID: id, Expect: version, Data: data})
}

// nextHomes returns the list after one change towards the goal: it removes a
// daemon or, if there is none to remove, adds one. A list that has no daemon
// in common with the goal is replaced as a whole.
func nextHomes(list, goal []schema.VMID) []schema.VMID {
	shared := slices.ContainsFunc(list, func(id schema.VMID) bool { return slices.Contains(goal, id) })
	if !shared {
		return goal
	}
	for i, id := range list {
		if !slices.Contains(goal, id) {
			return slices.Delete(slices.Clone(list), i, i+1)
		}
	}
	for _, id := range goal {
		if !slices.Contains(list, id) {
			next := append(slices.Clone(list), id)
			slices.Sort(next)
			return next
		}
	}
	return list
}

// updateHomes takes the list of homes from a new view. The list takes effect
// after the grace period, but at once if this daemon's lease had expired,
// because the other daemons may already have put it into effect. A list
// changes by one daemon at a time and less often than once per grace period,
// so the lists of two daemons differ by at most one daemon.
func (m *Machine) updateHomes(now clock.Milli, leaseExpired bool) {
	list, version := m.view.Homes()
	if version == m.homes.Version() {
		return
	}
	m.planner.homes.renewedAt = now
	at := now + member.Lease
	if leaseExpired {
		at = now
	}
	if m.homes.Add(at, version, list) {
		m.planner.homes.changedAt = now
		m.queueHandover()
	}
}

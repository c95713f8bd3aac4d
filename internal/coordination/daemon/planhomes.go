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

// homesPlanner is the name that the planner of the list is chosen by.
const homesPlanner = "planner homes"

const (
	// homesSettle is how long the live daemons must differ from the list of
	// homes before it is rewritten.
	homesSettle = 500 * clock.Milli(1)
	// homesFirst is how long the first list waits for daemons that start at
	// the same time.
	homesFirst = 2 * clock.Second
	// homesSpacing is the least time between two changes of the list. Each
	// changes one daemon, so that a flow keeps one of its homes, and is over
	// the grace period before the next one is.
	homesSpacing = 2000 * clock.Milli(1)
	// homesRenew is how often an unchanged list is written again.
	homesRenew = 15 * clock.Second
	// homesExpire is how long a list may stand unrenewed, as seen by a daemon
	// that reaches the platform, before any daemon may replace it.
	homesExpire = 45 * clock.Second
)

// homesMemo is what the planner of the list of homes remembers.
type homesMemo struct {
	// since is when the live daemons began to differ from the list.
	since clock.Milli
	// began is when this daemon first looked for a list in vain.
	began   clock.Milli
	written schema.Version
	busy    clock.Milli
	// changed is when the list last changed.
	changed clock.Milli
	// seen is when the list last changed or was renewed, not counting the
	// time in which this daemon did not reach the platform.
	seen clock.Milli
}

// quorum reports whether this daemon may plan, and decide on a flow without
// its other home.
func (m *Machine) quorum(now clock.Milli) bool {
	return m.homes.Quorum(now) || m.reaches(now) && now-m.plans.homes.seen > homesExpire
}

// planHomes rewrites the list of homes when daemons come and go. Only a
// daemon that hears most of the list may: the smaller side of a cut can't.
func (m *Machine) planHomes(now clock.Milli) {
	memo := &m.plans.homes
	list, version := m.view.Homes()
	fit := m.admitters(now)
	slices.Sort(fit)
	if slices.Equal(fit, list) {
		memo.since = now
	}
	if version == 0 && memo.began == 0 {
		memo.began = now
	}
	if version == 0 && now-memo.began < homesFirst {
		return
	}
	due := now-memo.since >= homesSettle || now-memo.seen >= homesRenew
	if !due || m.set.Rank(now, homesPlanner, true) > 0 || !m.quorum(now) {
		return
	}
	if now-memo.busy < writeTimeout && memo.written == version {
		return
	}
	if version != 0 && now-memo.changed < homesSpacing {
		return
	}
	data, err := json.Marshal(schema.Homes{Members: step(list, fit)})
	if err != nil {
		return
	}
	memo.busy, memo.written = now, version
	id := object.ID{Kind: object.Homes, Name: view.HomesName}
	m.out.Writes = append(m.out.Writes, Write{ID: id, Expect: version, Data: data})
}

// step returns the list with one change towards the goal: it drops a daemon
// or, if there is none to drop, adds one. A list that shares nothing with the
// goal is replaced whole.
func step(list, goal []schema.VMID) []schema.VMID {
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

// takeHomes takes the list of homes of a new view. It takes effect after the
// grace period, but at once if this daemon's lease had lapsed: then the others
// may have the list in effect already. As a list changes one daemon at a time
// and slower than the grace period, two daemons' lists differ by one at most.
func (m *Machine) takeHomes(now clock.Milli, late bool) {
	list, version := m.view.Homes()
	if version == m.homes.Version() {
		return
	}
	m.plans.homes.seen = now
	at := now + member.Lease
	if late {
		at = now
	}
	if m.homes.Push(at, version, list) {
		m.plans.homes.changed = now
		m.rehome()
	}
}

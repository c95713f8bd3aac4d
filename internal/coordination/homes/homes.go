// Package homes determines which daemons are the homes of a flow: the two
// replicas that store its record.
//
// The daemons that may be homes are an agreed list, stored as an object of
// the platform. It is written with a conditional update by a daemon that
// hears from a quorum of the previous list. Like all agreed state, a new list
// takes effect after the grace period; records are handed over both when the
// list is learned and when it takes effect. During a network partition one
// side can't change the list and is eventually removed from it, so both sides
// act as homes of the same flow for a short time only. The list is a lease:
// its planner renews it, and if nobody has renewed it for a while, any daemon
// that reaches the platform may replace it.
//
// Invariant: a home decides on a flow for which it has no record only
// together with the flow's other home, or while it hears from a quorum of the
// list.
package homes

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Pair holds the homes of a flow, the one with the highest score first. N is
// the number of homes.
type Pair struct {
	Num [2]peer.Num
	N   int
}

// Has reports whether daemon n is one of the homes.
func (p Pair) Has(n peer.Num) bool {
	return p.N > 0 && p.Num[0] == n || p.N > 1 && p.Num[1] == n
}

// candidate is a daemon of the list with its seed for rendezvous hashing.
type candidate struct {
	num  peer.Num
	seed uint64
}

// listVersion is one version of the list and the time at which it takes
// effect.
type listVersion struct {
	effectiveAt clock.Milli
	list        []candidate
}

// Table holds the list in effect, the newer lists that are waiting for their
// grace period, and the list that was in effect before.
type Table struct {
	members  *member.Set
	version  schema.Version
	versions []listVersion
	previous []candidate
	// changedAt is when the list in effect took effect.
	changedAt clock.Milli
}

// Version returns the version of the newest list.
func (t *Table) Version() schema.Version {
	return t.version
}

// New returns an empty table. set tells which daemons are alive.
func New(set *member.Set) *Table {
	return &Table{members: set}
}

// Add appends a newer list that takes effect at the given time, and reports
// whether it differs from the newest list so far. The first list takes effect
// at once.
func (t *Table) Add(at clock.Milli, version schema.Version, ids []schema.VMID) bool {
	if version <= t.version {
		return false
	}
	t.version = version
	l := listVersion{effectiveAt: at}
	for _, id := range ids {
		l.list = append(l.list, candidate{num: peer.NumOf(id), seed: flow.Seed(string(id))})
	}
	if n := len(t.versions); n > 0 && slices.Equal(t.versions[n-1].list, l.list) {
		return false
	}
	t.versions = append(t.versions, l)
	return true
}

// Advance puts the lists into effect whose time has come and reports whether
// there was one.
func (t *Table) Advance(now clock.Milli) bool {
	changed := false
	for len(t.versions) > 1 && t.versions[1].effectiveAt <= now {
		t.previous = t.versions[0].list
		t.versions = t.versions[1:]
		t.changedAt = now
		changed = true
	}
	return changed
}

// Pair returns the homes of a flow under the list in effect.
func (t *Table) Pair(hash uint64) Pair {
	return highestTwo(t.current(), hash)
}

// Changing reports whether another daemon may be using a different list than
// this one: a newer list is waiting, or the list in effect took effect less
// than the grace period ago.
func (t *Table) Changing(now clock.Milli) bool {
	return len(t.versions) > 1 || t.previous != nil && now-t.changedAt <= member.Lease
}

// Previous returns the homes from which a flow's record is handed over: those
// under the list in effect while a newer one is waiting, otherwise those
// under the list before it. The record goes to the homes that Newest returns.
func (t *Table) Previous(hash uint64) Pair {
	if len(t.versions) > 1 {
		return highestTwo(t.versions[0].list, hash)
	}
	return highestTwo(t.previous, hash)
}

// Newest returns the homes of a flow under the newest list.
func (t *Table) Newest(hash uint64) Pair {
	if len(t.versions) == 0 {
		return Pair{}
	}
	return highestTwo(t.versions[len(t.versions)-1].list, hash)
}

// current returns the list in effect.
func (t *Table) current() []candidate {
	if len(t.versions) == 0 {
		return nil
	}
	return t.versions[0].list
}

// Quorum reports whether this daemon may plan, and may decide on a flow
// without its other home: more than half of the list is alive, or exactly
// half including the daemon with the lowest number. An empty list counts as a
// quorum.
func (t *Table) Quorum(now clock.Milli) bool {
	list := t.current()
	alive := 0
	lowest := false
	for _, c := range list {
		p := t.members.ByNum(c.num)
		if c.num == t.members.Num() || p != nil && p.Alive(now) {
			alive++
			lowest = lowest || c.num == slices.MinFunc(list, byNum).num
		}
	}
	return 2*alive > len(list) || 2*alive == len(list) && (lowest || alive == 0)
}

// byNum compares candidates by number.
func byNum(a, b candidate) int {
	return int(int64(a.num) - int64(b.num))
}

// highestTwo returns the two candidates with the highest rendezvous scores
// for hash.
func highestTwo(list []candidate, hash uint64) Pair {
	var p Pair
	var best, second uint64
	for _, c := range list {
		score := flow.Score(hash, c.seed)
		switch {
		case p.N == 0 || score > best:
			p.Num[1], second = p.Num[0], best
			p.Num[0], best = c.num, score
			p.N = min(p.N+1, 2)
		case p.N == 1 || score > second:
			p.Num[1], second = c.num, score
			p.N = 2
		}
	}
	return p
}

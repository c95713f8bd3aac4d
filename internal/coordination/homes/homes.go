// Package homes tells which daemons keep the records of a flow.
//
// The list of daemons that may be homes is agreed: it is an object of the
// platform, written with a conditional update by a daemon that hears most of
// the former list. A new list takes effect after the grace period, like every
// agreed state, and records are handed over before and after it does. So two
// sides of a network cut never both act as homes of one flow for long: one
// side can't change the list, and is left out of it. The list is a lease: its
// planner renews it, and if nobody does, all of its daemons are lost and any
// other may write a new one.
//
// Invariant: a home decides on a flow that it has no record of only together
// with the flow's other home, or while it hears most of the list.
package homes

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Pair is the homes of a flow, best first; N tells how many there are.
type Pair struct {
	Num [2]peer.Num
	N   int
}

// Has reports whether a daemon is one of the homes.
func (p Pair) Has(n peer.Num) bool {
	return p.N > 0 && p.Num[0] == n || p.N > 1 && p.Num[1] == n
}

type candidate struct {
	num  peer.Num
	seed uint64
}

type layer struct {
	at   clock.Milli
	list []candidate
}

// Table holds the list in effect, those that wait, and the one before.
type Table struct {
	set     *member.Set
	version schema.Version
	layers  []layer
	former  []candidate
	changed clock.Milli // when the list in effect took effect
}

// Version returns the version of the newest list.
func (t *Table) Version() schema.Version {
	return t.version
}

// New returns an empty table. Set tells which daemons live.
func New(set *member.Set) *Table {
	return &Table{set: set}
}

// Push adds a newer list that takes effect at the given time, and reports
// whether it differs. The first list takes effect at once.
func (t *Table) Push(at clock.Milli, version schema.Version, ids []schema.VMID) bool {
	if version <= t.version {
		return false
	}
	t.version = version
	l := layer{at: at}
	for _, id := range ids {
		l.list = append(l.list, candidate{num: peer.NumOf(id), seed: flow.Seed(string(id))})
	}
	if n := len(t.layers); n > 0 && slices.Equal(t.layers[n-1].list, l.list) {
		return false
	}
	t.layers = append(t.layers, l)
	return true
}

// Advance lets waiting lists take effect and reports whether one did.
func (t *Table) Advance(now clock.Milli) bool {
	changed := false
	for len(t.layers) > 1 && t.layers[1].at <= now {
		t.former = t.layers[0].list
		t.layers = t.layers[1:]
		t.changed = now
		changed = true
	}
	return changed
}

// Pair returns the homes of a flow.
func (t *Table) Pair(hash uint64) Pair {
	return pick(t.effective(), hash)
}

// Changing reports whether some daemon may go by another list than this one
// does: one waits, or one took effect less than the grace period ago.
func (t *Table) Changing(now clock.Milli) bool {
	return len(t.layers) > 1 || t.former != nil && now-t.changed <= member.Lease
}

// Old returns the homes that hand a flow's record over, and New those that it
// goes to.
func (t *Table) Old(hash uint64) Pair {
	if len(t.layers) > 1 {
		return pick(t.layers[0].list, hash)
	}
	return pick(t.former, hash)
}

// New returns the homes of a flow under the newest list.
func (t *Table) New(hash uint64) Pair {
	if len(t.layers) == 0 {
		return Pair{}
	}
	return pick(t.layers[len(t.layers)-1].list, hash)
}

func (t *Table) effective() []candidate {
	if len(t.layers) == 0 {
		return nil
	}
	return t.layers[0].list
}

// Quorum reports whether this daemon may decide without a flow's other home
// and may plan: it hears more than half of the list, or exactly half with the
// lowest number among them.
func (t *Table) Quorum(now clock.Milli) bool {
	list := t.effective()
	alive := 0
	lowest := false
	for _, c := range list {
		p := t.set.ByNum(c.num)
		if c.num == t.set.Num() || p != nil && p.Alive(now) {
			alive++
			lowest = lowest || c.num == slices.MinFunc(list, byNum).num
		}
	}
	return 2*alive > len(list) || 2*alive == len(list) && (lowest || alive == 0)
}

func byNum(a, b candidate) int {
	return int(int64(a.num) - int64(b.num))
}

func pick(list []candidate, hash uint64) Pair {
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

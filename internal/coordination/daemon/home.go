package daemon

import (
	"slices"

	"coltsfootdock/internal/coordination/homes"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/record"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// home returns the flow's first live home that is none of the given daemons,
// or nil.
//
// A home that hears few other daemons counts as dead while this one hears
// most. While a list of homes takes effect, the homes under the list before and
// after count too: other daemons may go by that one.
func (d *decision) home(not ...peer.Num) *member.Peer {
	pairs := [...]homes.Pair{d.m.homes.Pair(d.hash), {}, {}}
	if d.m.homes.Changing(d.now) {
		pairs[1], pairs[2] = d.m.homes.New(d.hash), d.m.homes.Old(d.hash)
	}
	for i := range pairs {
		for _, n := range pairs[i].Num[:pairs[i].N] {
			p := d.m.set.ByNum(n)
			if p != nil && p.Preferred(d.now) && !slices.Contains(not, n) {
				return p
			}
		}
	}
	return nil
}

// atHome decides as the first home, or as the second while the first is dead,
// or asks the home that does.
func (d *decision) atHome(hint schema.Handle) Verdict {
	pair := d.m.homes.Pair(d.hash)
	self := d.m.set.Num()
	if pair.N == 0 || pair.Num[0] == self {
		return d.asHome(hint)
	}
	first := d.home(self)
	if pair.Has(self) && (first == nil || first.Num != pair.Num[0]) {
		return d.asHome(hint)
	}
	if first != nil {
		return d.forward(first, geneve.Ask, hint)
	}
	return drop(NoHome)
}

// ask handles a question as a home.
func (d *decision) ask() Verdict {
	if !d.bucket.Consult {
		return d.atRest()
	}
	d.noteAsker()
	return d.atHome(d.p.Relay.Target)
}

// asHome decides as a home of the flow. Hint is a target that the asker
// remembers from an earlier home.
func (d *decision) asHome(hint schema.Handle) Verdict {
	r, ok := d.m.records.Get(d.p.Key)
	if ok && !r.Confirmed() {
		ok = false
		if !d.reopens(r) {
			hint = r.Target
		}
	}
	if ok && d.reused(r) {
		return d.forget()
	}
	if ok && !d.reopens(r) {
		return d.known(r.Target, d.now-r.Fresh > d.m.refresh)
	}
	if d.alone() && !d.m.quorum(d.now) {
		return drop(NoQuorum)
	}
	if !ok && hint != 0 && d.entry.Dests[hint] != nil {
		return d.choose(hint)
	}
	if !d.p.Open {
		return d.unknown()
	}
	return d.open()
}

// alone reports whether no daemon hears the flow's other home.
func (d *decision) alone() bool {
	return d.m.homes.Pair(d.hash).N > 1 && d.home(d.m.set.Num()) == nil
}

// known delivers a flow that has a record. A record that the second home has
// not seen for a while passes by it, to keep its copy alive.
func (d *decision) known(t schema.Handle, stale bool) Verdict {
	if other := d.second(); stale && other != nil {
		return d.forward(other, geneve.Store, t)
	}
	d.m.records.Touch(d.now, d.p.Key, d.p.Open)
	return d.deliver(t)
}

// choose proposes the target of a flow to the second home, which stores it,
// delivers the packet and confirms: a target sees no packet of a new flow
// before both homes have its record. Without a second home it decides alone.
func (d *decision) choose(t schema.Handle) Verdict {
	other := d.second()
	if other == nil {
		if !d.m.records.Put(d.now, d.p.Key, t) {
			return d.unrecorded(d.spare(t))
		}
		return d.deliver(t)
	}
	if !d.m.records.Propose(d.now, d.p.Key, t) {
		t = d.spare(t)
	}
	return d.forward(other, geneve.Store, t)
}

// spare returns the target for a flow for which there is no room here: a new
// one opens on the base if it may, where it needs no record.
func (d *decision) spare(t schema.Handle) schema.Handle {
	if !d.p.Open {
		return t
	}
	p, _ := d.entry.Table.Newest()
	if s := view.Slot(p, d.bucket.Base); s != nil && d.mayOpen(*s) {
		return d.bucket.Base
	}
	return t
}

// unrecorded handles a flow that could not be stored: an established one goes
// on, and a new one opens only where it needs no record.
func (d *decision) unrecorded(t schema.Handle) Verdict {
	if d.p.Open && t != d.bucket.Base {
		return drop(OverBudget)
	}
	return d.deliver(t)
}

// second returns the home besides this daemon, or nil.
func (d *decision) second() *member.Peer {
	return d.home(d.m.set.Num())
}

// unknown handles a flow without a record here that is not new: the second
// home may know it, else it is an old flow on the bucket's base.
func (d *decision) unknown() Verdict {
	if other := d.second(); other != nil {
		return d.forward(other, geneve.Store, 0)
	}
	return d.choose(d.bucket.Base)
}

// store handles a proposal as the second home. A record here goes before it:
// the flow's first packet may have been delivered by it.
func (d *decision) store() Verdict {
	d.note(d.p.Relay.From)
	d.noteAsker()
	t := d.p.Relay.Target
	r, ok := d.m.records.Get(d.p.Key)
	switch {
	case ok && !d.reopens(r):
		t = r.Target
	case t == 0:
		t = d.bucket.Base
	}
	if !d.m.records.Put(d.now, d.p.Key, t) {
		d.count = 0
		return d.unrecorded(t)
	}
	d.m.records.Touch(d.now, d.p.Key, d.p.Open)
	return d.deliver(t)
}

// reused reports whether the packet opens a new flow under the key of an
// established one whose target takes no more. Other daemons may hold copies of
// that record.
func (d *decision) reused(r record.Record) bool {
	return r.Established && d.reopens(r)
}

// forget drops the record of a flow that ended, here and at all daemons. The
// new flow opens with the repetition of its first packet, when the copies are
// gone.
func (d *decision) forget() Verdict {
	d.m.records.Delete(d.p.Key)
	d.m.forgotten = append(d.m.forgotten, d.p.Key)
	return drop(KeyReused)
}

// noteAsker remembers to tell the asker of an established flow. The record of
// a flow that opens may still change, and only its homes would know.
func (d *decision) noteAsker() {
	if !d.p.Open {
		d.note(d.p.Relay.Asker)
	}
}

// note remembers a daemon to tell the flow's record.
func (d *decision) note(n peer.Num) {
	if n == d.m.set.Num() || d.count == maxNotes || d.count > 0 && d.notes[0] == n {
		return
	}
	d.notes[d.count] = n
	d.count++
}

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

// liveHome returns the flow's first live home that is not in except, or nil.
//
// While this daemon has a quorum, a home that has none counts as dead. While
// a list of homes is changing, the homes under the list before and the list
// after the change count as well, because other daemons may be using that
// list.
func (d *decision) liveHome(except ...peer.Num) *member.Peer {
	pairs := [...]homes.Pair{d.m.homes.Pair(d.hash), {}, {}}
	if d.m.homes.Changing(d.now) {
		pairs[1], pairs[2] = d.m.homes.Newest(d.hash), d.m.homes.Previous(d.hash)
	}
	for i := range pairs {
		for _, n := range pairs[i].Num[:pairs[i].N] {
			p := d.m.members.ByNum(n)
			if p != nil && p.Preferred(d.now) && !slices.Contains(except, n) {
				return p
			}
		}
	}
	return nil
}

// decideAtHome decides if this daemon is the first home, or the second one
// while the first is dead. Otherwise it asks the home that does decide.
func (d *decision) decideAtHome(hint schema.Handle) Verdict {
	pair := d.m.homes.Pair(d.hash)
	self := d.m.members.Num()
	if pair.N == 0 || pair.Num[0] == self {
		return d.decideAsHome(hint)
	}
	first := d.liveHome(self)
	if pair.Has(self) && (first == nil || first.Num != pair.Num[0]) {
		return d.decideAsHome(hint)
	}
	if first != nil {
		return d.forward(first, geneve.Ask, hint)
	}
	return drop(NoHome)
}

// handleAsk handles a packet that another daemon forwarded to this one as a
// home.
func (d *decision) handleAsk() Verdict {
	if !d.bucket.ConsultRecords {
		return d.deliverByPlacement()
	}
	d.notifyAsker()
	return d.decideAtHome(d.p.Relay.Target)
}

// decideAsHome decides as a home of the flow. hint is the target that the
// asking daemon has recorded, perhaps from an earlier home, or zero.
func (d *decision) decideAsHome(hint schema.Handle) Verdict {
	r, ok := d.m.records.Get(d.p.Key)
	if ok && !r.Confirmed() {
		ok = false
		if !d.startsNewFlow(r) {
			hint = r.Target
		}
	}
	if ok && d.reusesKey(r) {
		return d.dropRecord()
	}
	if ok && !d.startsNewFlow(r) {
		return d.deliverRecorded(r.Target, d.now-r.ConfirmedAt > d.m.refreshAge)
	}
	if d.otherHomeDead() && !d.m.hasQuorum(d.now) {
		return drop(NoQuorum)
	}
	if !ok && hint != 0 && d.entry.Dests[hint] != nil {
		return d.proposeTarget(hint)
	}
	if !d.p.Open {
		return d.handleUnrecorded()
	}
	return d.openFlow()
}

// otherHomeDead reports whether the flow has another home and it is dead.
func (d *decision) otherHomeDead() bool {
	return d.m.homes.Pair(d.hash).N > 1 && d.liveHome(d.m.members.Num()) == nil
}

// deliverRecorded delivers a packet of a flow that has a record. If the
// record is stale, which means that the other home has not seen it for a
// while, the packet is forwarded by way of that home to refresh its copy.
func (d *decision) deliverRecorded(t schema.Handle, stale bool) Verdict {
	if other := d.otherHome(); stale && other != nil {
		return d.forward(other, geneve.Store, t)
	}
	d.m.records.Touch(d.now, d.p.Key, d.p.Open)
	return d.deliver(t)
}

// proposeTarget proposes the target of a flow to the other home, which stores
// the record, delivers the packet and confirms the record. So a target
// receives no packet of a new flow before both homes have its record. If
// there is no other home, this daemon decides alone.
func (d *decision) proposeTarget(t schema.Handle) Verdict {
	other := d.otherHome()
	if other == nil {
		if !d.m.records.Put(d.now, d.p.Key, t) {
			return d.deliverWithoutRecord(d.targetWithoutRecord(t))
		}
		return d.deliver(t)
	}
	if !d.m.records.Propose(d.now, d.p.Key, t) {
		t = d.targetWithoutRecord(t)
	}
	return d.forward(other, geneve.Store, t)
}

// targetWithoutRecord returns the target for a flow that t was chosen for but
// that can't be recorded here because the table is full. A new flow opens on
// the base if that is allowed, since no record is needed there.
func (d *decision) targetWithoutRecord(t schema.Handle) schema.Handle {
	if !d.p.Open {
		return t
	}
	p, _ := d.entry.Table.Newest()
	if s := view.Slot(p, d.bucket.Base); s != nil && d.opensFreely(*s) {
		return d.bucket.Base
	}
	return t
}

// deliverWithoutRecord handles a packet of a flow that could not be recorded.
// An established flow continues; a new one opens only on the base, where no
// record is needed.
func (d *decision) deliverWithoutRecord(t schema.Handle) Verdict {
	if d.p.Open && t != d.bucket.Base {
		return drop(OverBudget)
	}
	return d.deliver(t)
}

// otherHome returns the flow's live home other than this daemon, or nil.
func (d *decision) otherHome() *member.Peer {
	return d.liveHome(d.m.members.Num())
}

// handleUnrecorded handles a packet of a flow that is not new and has no
// record here. The other home may have its record; if it does not, the flow
// is on the bucket's base.
func (d *decision) handleUnrecorded() Verdict {
	if other := d.otherHome(); other != nil {
		return d.forward(other, geneve.Store, 0)
	}
	return d.proposeTarget(d.bucket.Base)
}

// handleStore handles a proposal as the second home. A record that exists
// here takes precedence, because the flow's first packet may have been
// delivered by it.
func (d *decision) handleStore() Verdict {
	d.notify(d.p.Relay.From)
	d.notifyAsker()
	t := d.p.Relay.Target
	r, ok := d.m.records.Get(d.p.Key)
	switch {
	case ok && !d.startsNewFlow(r):
		t = r.Target
	case t == 0:
		t = d.bucket.Base
	}
	if !d.m.records.Put(d.now, d.p.Key, t) {
		d.toNotifyCount = 0
		return d.deliverWithoutRecord(t)
	}
	d.m.records.Touch(d.now, d.p.Key, d.p.Open)
	return d.deliver(t)
}

// reusesKey reports whether the packet opens a new flow under the key of an
// established one whose target takes no new flows. Other daemons may hold
// copies of the old record.
func (d *decision) reusesKey(r record.Record) bool {
	return r.Established && d.startsNewFlow(r)
}

// dropRecord drops the record of a flow that has ended, here and later at all
// other daemons. The packet is dropped as well: the new flow opens when its
// first packet is repeated, by which time the copies are gone.
func (d *decision) dropRecord() Verdict {
	d.m.records.Delete(d.p.Key)
	d.m.endedFlows = append(d.m.endedFlows, d.p.Key)
	return drop(KeyReused)
}

// notifyAsker marks the asking daemon to be told the record of an established
// flow. The record of a flow that is being opened may still change, and only
// its homes would learn of that.
func (d *decision) notifyAsker() {
	if !d.p.Open {
		d.notify(d.p.Relay.Asker)
	}
}

// notify marks a daemon to be told the flow's record.
func (d *decision) notify(n peer.Num) {
	if n == d.m.members.Num() || d.toNotifyCount == maxNotified || d.toNotifyCount > 0 && d.toNotify[0] == n {
		return
	}
	d.toNotify[d.toNotifyCount] = n
	d.toNotifyCount++
}

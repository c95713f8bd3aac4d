package daemon

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/homes"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// maxHops is the number of times a packet may pass between daemons.
const maxHops = 5

// Decide returns what to do with a packet. It does not allocate.
func (m *Machine) Decide(now clock.Milli, p *geneve.Packet) Verdict {
	if p.Relay.Step != geneve.FromFabric && m.set.ByNum(p.Relay.From) == nil {
		return drop(UnknownPeer)
	}
	if p.Relay.Step == geneve.Note {
		m.records.Put(now, p.Key, p.Relay.Target)
		return drop(IsNote)
	}
	d := decision{m: m, now: now, p: p, hash: p.Key.Hash()}
	d.fresh = m.ready && m.set.Fresh(now, m.view.Revision())
	d.entry = m.view.Entry(p.Key.Service())
	return d.decide()
}

// decision is the state of one call of Decide.
type decision struct {
	m      *Machine
	now    clock.Milli
	p      *geneve.Packet
	hash   uint64
	fresh  bool
	entry  *view.Entry
	bucket view.Bucket
	notes  [maxNotes]peer.Num
	count  int
}

func drop(r Reason) Verdict {
	return Verdict{Action: Drop, Reason: r}
}

func (d *decision) decide() Verdict {
	if !d.fresh && d.p.Relay.Step <= geneve.Ask {
		if v, ok := d.passOn(); ok {
			return v
		}
	}
	if !d.fresh && d.m.set.Blind(d.now, d.m.view.Revision()) {
		return d.blind()
	}
	if d.entry == nil {
		return drop(NoRoute)
	}
	if d.entry.Pool == nil {
		return d.noPool()
	}
	var ok bool
	d.bucket, ok = d.entry.Table.At(d.now, flow.Bucket(d.hash))
	if !ok {
		return drop(NotReady)
	}
	switch d.p.Relay.Step {
	case geneve.FromFabric:
		return d.fromFabric()
	case geneve.Ask:
		return d.ask()
	case geneve.Admit:
		return d.admit()
	case geneve.Decided:
		return d.decided()
	default:
		return d.store()
	}
}

// blind handles a packet that this daemon may not decide and can't pass on: it
// keeps the record that the packet brings, and waits for the packet to be
// repeated.
func (d *decision) blind() Verdict {
	if d.p.Relay.Step == geneve.Store && d.p.Relay.Target != 0 {
		if _, ok := d.m.records.Get(d.p.Key); !ok {
			d.m.records.Put(d.now, d.p.Key, d.p.Relay.Target)
		}
	}
	return drop(OldView)
}

// noPool handles a packet for a route whose pool does not exist. Packets of
// established flows are dropped without an answer, so that the flows go on
// when a renamed pool appears. A new flow is refused, but not one whose first
// packet carries data: a copy of it may have been passed on and run.
func (d *decision) noPool() Verdict {
	first := d.p.Open && !d.p.Payload && d.p.Key.Protocol == flow.ProtocolTCP
	if first && d.fresh && d.p.Relay.Step == geneve.FromFabric {
		return Verdict{Action: Refuse, Reason: NoPool, Name: d.entry.Route.Name}
	}
	return drop(NoPool)
}

// passOn gives the packet to a home, as this daemon's view may be old. It
// reports false if there is no other home to give it to.
func (d *decision) passOn() (Verdict, bool) {
	if d.p.Relay.Hops >= maxHops {
		return Verdict{}, false
	}
	other := d.home(d.m.set.Num(), d.p.Relay.From)
	if other == nil {
		return Verdict{}, false
	}
	hint := d.p.Relay.Target
	if r, ok := d.m.records.Get(d.p.Key); ok {
		hint = r.Target
	}
	return d.forward(other, geneve.Ask, hint), true
}

// home returns the flow's first live home that is none of the given daemons,
// or nil.
//
// While a list of homes takes effect, the homes under the list before and
// after count too: other daemons may go by that one.
func (d *decision) home(not ...peer.Num) *member.Peer {
	pairs := [...]homes.Pair{d.m.homes.Pair(d.hash), {}, {}}
	if d.m.homes.Changing(d.now) {
		pairs[1], pairs[2] = d.m.homes.New(d.hash), d.m.homes.Old(d.hash)
	}
	for i := range pairs {
		for _, n := range pairs[i].Num[:pairs[i].N] {
			p := d.m.set.ByNum(n)
			if p != nil && p.Alive(d.now) && !slices.Contains(not, n) {
				return p
			}
		}
	}
	return nil
}

func (d *decision) forward(to *member.Peer, s geneve.Step, t schema.Handle) Verdict {
	asker := d.p.Relay.Asker
	if d.p.Relay.Step == geneve.FromFabric {
		asker = d.m.set.Num()
	}
	return Verdict{
		Action: Forward,
		To:     to.Member.Data,
		Relay: geneve.Relay{
			Step:   s,
			Hops:   d.p.Relay.Hops + 1,
			From:   d.m.set.Num(),
			Asker:  asker,
			Target: t,
		},
	}
}

// fromFabric handles a packet that no daemon has seen.
func (d *decision) fromFabric() Verdict {
	if !d.bucket.Consult {
		return d.atRest()
	}
	r, ok := d.m.records.Get(d.p.Key)
	if ok && d.now-r.Fresh <= d.m.refresh && !d.reopens(r.Target, r.Opened) {
		d.m.records.Touch(d.now, d.p.Key, r)
		return d.deliver(r.Target)
	}
	hint := schema.Handle(0)
	if ok {
		hint = r.Target
	}
	return d.atHome(hint)
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
	if first != nil && d.p.Relay.Hops < maxHops {
		return d.forward(first, geneve.Ask, hint)
	}
	return drop(NoHome)
}

// atRest handles a packet of a bucket whose flows are all where the table
// says.
func (d *decision) atRest() Verdict {
	if d.p.Open {
		if !d.mayOpen(d.bucket.Open) {
			return drop(OverBudget)
		}
		d.m.recent.Add(d.now, d.p.Key, d.bucket.Open.Handle)
	}
	return d.deliver(d.bucket.Base)
}

// mayOpen reports whether a slot takes a new flow without its admitter.
func (d *decision) mayOpen(s schema.Slot) bool {
	return s.Rate == 0 && d.takesOpens(s)
}

// takesOpens reports whether a slot takes new flows at all.
func (d *decision) takesOpens(s schema.Slot) bool {
	if s.Handle == 0 || s.Closed || d.m.cold(d.now, s) {
		return false
	}
	dest := d.entry.Dest(d.now, s.Handle)
	newest, _ := d.entry.Table.Newest()
	return dest != nil && dest.Marked <= newest.Planned
}

// reopens reports whether an opening packet starts a new flow under the key
// of an old one whose target takes no more. A repetition of the first packet,
// which comes within repeatWindow, stays with a target that drains.
func (d *decision) reopens(t schema.Handle, opened clock.Milli) bool {
	if !d.p.Open {
		return false
	}
	if d.entry.Dest(d.now, t) == nil {
		return true
	}
	p, _ := d.entry.Table.Newest()
	s := view.Slot(p, t)
	return (s == nil || s.Closed) && d.now-opened > repeatWindow
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
		if !d.reopens(r.Target, r.Opened) {
			hint = r.Target
		}
	}
	if ok && !d.reopens(r.Target, r.Opened) {
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
	r, _ := d.m.records.Get(d.p.Key)
	d.m.records.Touch(d.now, d.p.Key, r)
	return d.deliver(t)
}

// open picks the target of a new flow. A target that can't take one now keeps
// its opens waiting, as their clients repeat them: a flow that opened
// elsewhere would need a record in a bucket that may come to rest.
func (d *decision) open() Verdict {
	s := d.bucket.Open
	if d.mayOpen(s) {
		return d.choose(s.Handle)
	}
	if s.Rate == 0 || !d.takesOpens(s) {
		return drop(OverBudget)
	}
	if s.Admitter == d.m.set.Self().ID {
		return d.chooseOpen(d.admitted(s))
	}
	if a := d.m.set.Peer(s.Admitter); a != nil && a.Alive(d.now) && d.p.Relay.Hops < maxHops {
		return d.forward(a, geneve.Admit, 0)
	}
	return d.chooseOpen(d.fallback(s.Handle))
}

// admitted spends an open of a limited target, or returns another target.
func (d *decision) admitted(s schema.Slot) schema.Handle {
	if d.fresh && d.takesOpens(s) && d.m.budget.Take(d.now, s.Handle, s.Rate) {
		return s.Handle
	}
	return d.fallback(s.Handle)
}

// fallback returns a warm target for an open that is over the limit of its
// own: the bucket's base if that is open, else the best of the warm ones. The
// bucket can't come to rest while its target is limited.
func (d *decision) fallback(not schema.Handle) schema.Handle {
	p, _ := d.entry.Table.Newest()
	limited := view.Slot(p, not)
	if limited == nil || limited.Rate == 0 || !p.Moving[flow.Bucket(d.hash)] {
		return 0
	}
	var found schema.Handle
	var top uint64
	for i := range p.Slots {
		s := p.Slots[i]
		dest := d.entry.Dest(d.now, s.Handle)
		if s.Handle == not || !d.mayOpen(s) || dest.NoOpen {
			continue
		}
		if s.Handle == d.bucket.Base {
			return s.Handle
		}
		if score := flow.Score(d.hash, uint64(s.Handle)); found == 0 || score > top {
			found, top = s.Handle, score
		}
	}
	return found
}

func (d *decision) chooseOpen(t schema.Handle) Verdict {
	if t == 0 {
		return drop(OverBudget)
	}
	return d.choose(t)
}

// choose proposes the target of a flow to the second home, which stores it,
// delivers the packet and confirms: a target sees no packet of a new flow
// before both homes have its record. Without a second home it decides alone.
func (d *decision) choose(t schema.Handle) Verdict {
	other := d.second()
	if other == nil {
		if !d.m.records.Put(d.now, d.p.Key, t) {
			return d.unrecorded(t)
		}
		return d.deliver(t)
	}
	if !d.m.records.Propose(d.now, d.p.Key, t) {
		return d.unrecorded(t)
	}
	return d.forward(other, geneve.Store, t)
}

// unrecorded handles a flow for which there is no room: a new one opens on
// the base, where it needs no record.
func (d *decision) unrecorded(t schema.Handle) Verdict {
	if !d.p.Open || t == d.bucket.Base {
		return d.deliver(d.bucket.Base)
	}
	if p, _ := d.entry.Table.Newest(); p != nil {
		if s := view.Slot(p, d.bucket.Base); s != nil && d.mayOpen(*s) {
			return d.deliver(d.bucket.Base)
		}
	}
	return drop(OverBudget)
}

// second returns the home besides this daemon, or nil.
func (d *decision) second() *member.Peer {
	if d.p.Relay.Hops >= maxHops {
		return nil
	}
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

// admit answers a home as the admitter of the bucket's target.
func (d *decision) admit() Verdict {
	home := d.m.set.ByNum(d.p.Relay.From)
	s := d.bucket.Open
	t := schema.Handle(0)
	if s.Rate > 0 && s.Admitter == d.m.set.Self().ID {
		t = d.admitted(s)
	} else {
		t = d.fallback(s.Handle)
	}
	if t == 0 || home == nil {
		return drop(OverBudget)
	}
	return d.forward(home, geneve.Decided, t)
}

// decided goes on with an admitter's choice as a home. A record that was made
// in the meantime goes before it.
func (d *decision) decided() Verdict {
	r, ok := d.m.records.Get(d.p.Key)
	if !ok || d.reopens(r.Target, r.Opened) {
		return d.choose(d.p.Relay.Target)
	}
	if r.Confirmed() {
		return d.deliver(r.Target)
	}
	return d.choose(r.Target)
}

// store handles a proposal as the second home. A record here goes before it:
// the flow's first packet may have been delivered by it.
func (d *decision) store() Verdict {
	d.note(d.p.Relay.From)
	d.noteAsker()
	t := d.p.Relay.Target
	r, ok := d.m.records.Get(d.p.Key)
	switch {
	case ok && !d.reopens(r.Target, r.Opened):
		t = r.Target
	case t == 0:
		t = d.bucket.Base
	}
	if !d.m.records.Put(d.now, d.p.Key, t) {
		d.count = 0
		return d.unrecorded(t)
	}
	return d.deliver(t)
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

// deliver sends the packet to a target, if that may still receive packets of
// this service.
func (d *decision) deliver(t schema.Handle) Verdict {
	if t == 0 {
		return drop(NoTarget)
	}
	dest := d.entry.Dest(d.now, t)
	if dest == nil {
		return drop(TargetOut)
	}
	v := Verdict{
		Action: Deliver,
		To:     dest.Target.Address,
		VNI:    dest.VNI,
		Noted:  t,
		Name:   d.entry.Route.Name,
	}
	for _, n := range d.notes[:d.count] {
		if p := d.m.set.ByNum(n); p != nil {
			v.Notes[v.NoteCount] = p.Member.Data
			v.NoteCount++
		}
	}
	return v
}

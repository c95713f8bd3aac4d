package daemon

import (
	"coltsfootdock/internal/clock"
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
	if (p.Open || p.Relay.Step == geneve.Note) && m.set.Backlogged(now) {
		// A first packet that waited may be older than its flow: it would
		// open another. Clients repeat those that still matter.
		return drop(Waited)
	}
	if p.Relay.Step == geneve.Note {
		m.records.Put(now, p.Key, p.Relay.Target)
		m.records.Touch(now, p.Key, p.Relay.Opening)
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
		return Verdict{Action: Refuse, Reason: NoPool, Name: d.entry.Route.Name, Team: d.entry.Route.Team}
	}
	return drop(NoPool)
}

// passOn gives the packet to a home, as this daemon's view may be old. It
// reports false if there is no other home to give it to.
func (d *decision) passOn() (Verdict, bool) {
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

// forward passes the packet to another daemon, unless it was passed on too
// often: daemons whose views differ must not pass it to and fro.
func (d *decision) forward(to *member.Peer, s geneve.Step, t schema.Handle) Verdict {
	if d.p.Relay.Hops >= maxHops {
		return drop(TooManyHops)
	}
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
	if ok && d.now-r.Fresh <= d.m.refresh && (r.Established || !d.reopens(r)) && d.entry.Dest(d.now, r.Target) != nil {
		if d.reused(r) {
			return d.forget()
		}
		d.m.records.Touch(d.now, d.p.Key, d.p.Open)
		return d.deliver(r.Target)
	}
	hint := schema.Handle(0)
	if ok {
		hint = r.Target
	}
	return d.atHome(hint)
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
		Team:   d.entry.Route.Team,
	}
	for _, n := range d.notes[:d.count] {
		if p := d.m.set.ByNum(n); p != nil {
			v.Notes[v.NoteCount] = p.Member.Data
			v.NoteCount++
		}
	}
	return v
}

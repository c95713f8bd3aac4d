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

// maxHops is the maximum number of times that a packet is forwarded between
// daemons.
const maxHops = 5

// Decide returns what to do with a packet. It does not allocate.
func (m *Machine) Decide(now clock.Milli, p *geneve.Packet) Verdict {
	if p.Relay.Step != geneve.FromFabric && m.members.ByNum(p.Relay.From) == nil {
		return drop(UnknownPeer)
	}
	if (p.Open || p.Relay.Step == geneve.Note) && m.members.Backlogged(now) {
		// The packet may have waited in a queue for longer than its flow
		// lasted, and would then open another one. Clients repeat the first
		// packets that still matter.
		return drop(Waited)
	}
	if p.Relay.Step == geneve.Note {
		m.records.Put(now, p.Key, p.Relay.Target)
		m.records.Touch(now, p.Key, p.Relay.Opening)
		return drop(IsNote)
	}
	d := decision{m: m, now: now, p: p, hash: p.Key.Hash()}
	d.fresh = m.ready && m.members.Fresh(now, m.view.Revision())
	d.entry = m.view.Entry(p.Key.Service())
	return d.decide()
}

// decision is the state of one call of Decide.
type decision struct {
	m             *Machine
	now           clock.Milli
	p             *geneve.Packet
	hash          uint64
	fresh         bool
	entry         *view.Entry
	bucket        view.Bucket
	toNotify      [maxNotified]peer.Num
	toNotifyCount int
}

func drop(r Reason) Verdict {
	return Verdict{Action: Drop, Reason: r}
}

// decide chooses the action by the state of the view, the route and the step
// that a forwarded packet is in. If the view is not fresh, a packet from the
// fabric, or one that this daemon was asked to decide on as a home, is
// forwarded to another home.
func (d *decision) decide() Verdict {
	if !d.fresh && d.p.Relay.Step <= geneve.Ask {
		if v, ok := d.forwardToHome(); ok {
			return v
		}
	}
	if !d.fresh && d.m.members.MaybeOutdated(d.now, d.m.view.Revision()) {
		return d.handleOutdated()
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
		return d.handleFromFabric()
	case geneve.Ask:
		return d.handleAsk()
	case geneve.Admit:
		return d.handleAdmit()
	case geneve.Decided:
		return d.handleDecided()
	default:
		return d.handleStore()
	}
}

// handleOutdated handles a packet that this daemon may not decide on and
// can't forward. It stores the record that the packet carries, if any, and
// drops the packet, which its sender will repeat.
func (d *decision) handleOutdated() Verdict {
	if d.p.Relay.Step == geneve.Store && d.p.Relay.Target != 0 {
		if _, ok := d.m.records.Get(d.p.Key); !ok {
			d.m.records.Put(d.now, d.p.Key, d.p.Relay.Target)
		}
	}
	return drop(OldView)
}

// noPool handles a packet for a route without a pool. Packets of established
// flows are dropped without an answer, so that the flows can continue once a
// renamed pool appears. A new flow is refused, unless its first packet
// carries data: a copy of that packet may have been forwarded and its request
// executed.
func (d *decision) noPool() Verdict {
	first := d.p.Open && !d.p.HasPayload && d.p.Key.Protocol == flow.ProtocolTCP
	if first && d.fresh && d.p.Relay.Step == geneve.FromFabric {
		return Verdict{Action: Refuse, Reason: NoPool, Name: d.entry.Route.Name, Team: d.entry.Route.Team}
	}
	return drop(NoPool)
}

// forwardToHome forwards the packet to a home, because this daemon's view may
// be outdated. It reports false if there is no other home.
func (d *decision) forwardToHome() (Verdict, bool) {
	other := d.liveHome(d.m.members.Num(), d.p.Relay.From)
	if other == nil {
		return Verdict{}, false
	}
	hint := d.p.Relay.Target
	if r, ok := d.m.records.Get(d.p.Key); ok {
		hint = r.Target
	}
	return d.forward(other, geneve.Ask, hint), true
}

// forward forwards the packet to another daemon. It drops the packet after
// maxHops, so that daemons with different views don't forward it to each
// other forever.
func (d *decision) forward(to *member.Peer, s geneve.Step, t schema.Handle) Verdict {
	if d.p.Relay.Hops >= maxHops {
		return drop(TooManyHops)
	}
	asker := d.p.Relay.Asker
	if d.p.Relay.Step == geneve.FromFabric {
		asker = d.m.members.Num()
	}
	return Verdict{
		Action: Forward,
		To:     to.Member.Data,
		Relay: geneve.Relay{
			Step:   s,
			Hops:   d.p.Relay.Hops + 1,
			From:   d.m.members.Num(),
			Asker:  asker,
			Target: t,
		},
	}
}

// handleFromFabric handles a packet that no other daemon has handled before.
// If its bucket is moving, it is delivered by a recent record of this daemon,
// otherwise a home decides, with the recorded target as a hint.
func (d *decision) handleFromFabric() Verdict {
	if !d.bucket.ConsultRecords {
		return d.deliverByPlacement()
	}
	r, ok := d.m.records.Get(d.p.Key)
	if ok && d.now-r.ConfirmedAt <= d.m.refreshAge && (r.Established || !d.startsNewFlow(r)) && d.entry.Dest(d.now, r.Target) != nil {
		if d.reusesKey(r) {
			return d.dropRecord()
		}
		d.m.records.Touch(d.now, d.p.Key, d.p.Open)
		return d.deliver(r.Target)
	}
	hint := schema.Handle(0)
	if ok {
		hint = r.Target
	}
	return d.decideAtHome(hint)
}

// deliverByPlacement delivers a packet in a bucket that is not moving, whose
// flows are all on the target that the placement names.
func (d *decision) deliverByPlacement() Verdict {
	if d.p.Open {
		if !d.opensFreely(d.bucket.Open) {
			return drop(OverBudget)
		}
		d.m.recent.Add(d.now, d.p.Key, d.bucket.Open.Handle)
	}
	return d.deliver(d.bucket.Base)
}

// deliver sends the packet to a target if that may still receive packets of
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
		Action:     Deliver,
		To:         dest.Target.Address,
		VNI:        dest.VNI,
		NoteTarget: t,
		Name:       d.entry.Route.Name,
		Team:       d.entry.Route.Team,
	}
	for _, n := range d.toNotify[:d.toNotifyCount] {
		if p := d.m.members.ByNum(n); p != nil {
			v.Notes[v.NoteCount] = p.Member.Data
			v.NoteCount++
		}
	}
	return v
}

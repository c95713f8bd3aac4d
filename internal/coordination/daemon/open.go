package daemon

import (
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// opensFreely reports whether a slot takes a new flow without asking its
// admitter.
func (d *decision) opensFreely(s schema.Slot) bool {
	return s.Rate == 0 && d.takesOpens(s)
}

// takesOpens reports whether a slot takes new flows at all.
func (d *decision) takesOpens(s schema.Slot) bool {
	if s.Handle == 0 || s.Closed || d.m.isCold(d.now, s) {
		return false
	}
	dest := d.entry.Dest(d.now, s.Handle)
	newest, _ := d.entry.Table.Newest()
	return dest != nil && dest.Marked <= newest.Planned
}

// startsNewFlow reports whether a first packet starts a new flow under the
// key of an old one, whose target takes no new flows. A repeated first
// packet, which arrives within repeatWindow, stays on a target that drains.
func (d *decision) startsNewFlow(r record.Record) bool {
	if !d.p.Open {
		return false
	}
	if d.entry.Dest(d.now, r.Target) == nil {
		return true
	}
	p, _ := d.entry.Table.Newest()
	s := view.Slot(p, r.Target)
	repeated := !r.Established && d.now-r.CreatedAt <= repeatWindow
	return (s == nil || s.Closed) && !repeated
}

// openFlow chooses the target of a new flow. If the bucket's target can't
// take the flow now, the packet is dropped and the client repeats it. Opening
// the flow on another target would require a record in a bucket that may stop
// moving, after which records are not consulted.
func (d *decision) openFlow() Verdict {
	s := d.bucket.Open
	if d.opensFreely(s) {
		return d.proposeTarget(s.Handle)
	}
	if s.Rate == 0 || !d.takesOpens(s) {
		return drop(OverBudget)
	}
	if s.Admitter == d.m.members.Self().ID {
		return d.proposeOpen(d.admitOrFallback(s))
	}
	if a := d.m.members.Peer(s.Admitter); a != nil && a.Alive(d.now) {
		return d.forward(a, geneve.Admit, 0)
	}
	return d.proposeOpen(d.warmFallback(s.Handle))
}

// admitOrFallback returns the target of the slot if its rate limit admits the
// new flow now, otherwise a fallback.
func (d *decision) admitOrFallback(s schema.Slot) schema.Handle {
	if d.fresh && d.takesOpens(s) && d.m.limiter.Allow(d.now, s.Handle, s.Rate) {
		return s.Handle
	}
	return d.warmFallback(s.Handle)
}

// warmFallback returns a warm target for a new flow that exceeds the rate
// limit of its own target, which is passed as except: the bucket's base if
// that is open, otherwise the warm target with the highest rendezvous score.
// It returns zero unless the bucket is moving and except has a limit: only
// then will the flow's record be consulted, and a bucket does not stop moving
// while its target has a limit.
func (d *decision) warmFallback(except schema.Handle) schema.Handle {
	p, _ := d.entry.Table.Newest()
	limited := view.Slot(p, except)
	if limited == nil || limited.Rate == 0 || !p.Moving[flow.Bucket(d.hash)] {
		return 0
	}
	var found schema.Handle
	var top uint64
	for i := range p.Slots {
		s := p.Slots[i]
		dest := d.entry.Dest(d.now, s.Handle)
		if s.Handle == except || !d.opensFreely(s) || dest.NoOpen {
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

// proposeOpen proposes target t for a new flow, or drops the packet if t is
// zero.
func (d *decision) proposeOpen(t schema.Handle) Verdict {
	if t == 0 {
		return drop(OverBudget)
	}
	return d.proposeTarget(t)
}

// handleAdmit answers a home as the admitter of the bucket's target.
func (d *decision) handleAdmit() Verdict {
	home := d.m.members.ByNum(d.p.Relay.From)
	s := d.bucket.Open
	t := schema.Handle(0)
	if s.Rate > 0 && s.Admitter == d.m.members.Self().ID {
		t = d.admitOrFallback(s)
	} else {
		t = d.warmFallback(s.Handle)
	}
	if t == 0 || home == nil {
		return drop(OverBudget)
	}
	return d.forward(home, geneve.Decided, t)
}

// handleDecided continues as a home with the admitter's choice. A record made
// in the meantime takes precedence.
func (d *decision) handleDecided() Verdict {
	r, ok := d.m.records.Get(d.p.Key)
	if !ok || d.startsNewFlow(r) {
		return d.proposeTarget(d.p.Relay.Target)
	}
	if r.Confirmed() {
		return d.deliver(r.Target)
	}
	return d.proposeTarget(r.Target)
}

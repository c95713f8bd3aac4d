package daemon

import (
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

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
func (d *decision) reopens(r record.Record) bool {
	if !d.p.Open {
		return false
	}
	if d.entry.Dest(d.now, r.Target) == nil {
		return true
	}
	p, _ := d.entry.Table.Newest()
	s := view.Slot(p, r.Target)
	repeated := !r.Established && d.now-r.Opened <= repeatWindow
	return (s == nil || s.Closed) && !repeated
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
	if a := d.m.set.Peer(s.Admitter); a != nil && a.Alive(d.now) {
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
	if !ok || d.reopens(r) {
		return d.choose(d.p.Relay.Target)
	}
	if r.Confirmed() {
		return d.deliver(r.Target)
	}
	return d.choose(r.Target)
}

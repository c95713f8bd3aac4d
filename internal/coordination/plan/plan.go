// Package plan computes the next placement of a service.
//
// One daemon plans each service, chosen by rendezvous over the live daemons.
// The choice need not be exclusive: a placement is written with a conditional
// update on the version it was computed from, so of two planners one gets a
// conflict. Next is a pure function of its input.
//
// Invariants of a step: a bucket moves only if its target takes no new flows
// or has more than its share; a bucket whose flows may still live on the old
// target keeps it as Base and is marked as moving; a target that was not open
// in the previous placement starts with a limited rate.
package plan

import (
	"cmp"
	"reflect"
	"slices"

	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// RampSteps is how often the rate of a cold target doubles before its limit
// is lifted.
const RampSteps = 5

// Input is what a placement follows from.
type Input struct {
	Service schema.Service
	Pool    *schema.Pool
	// Revision is that of the view behind the input.
	Revision schema.Version
	// Marked returns the version of the last mark of a data centre.
	Marked func(schema.DataCentreID) schema.Version
	// Gone reports whether nothing may be sent to a target any more.
	Gone func(*schema.Target) bool
	// Drained reports whether the operators stopped new flows to a target.
	Drained func(*schema.Target) bool
	Health  func(schema.Handle) health.State
	// Members are the daemons that may admit, in any fixed order.
	Members []schema.VMID
	// RampDue reports whether a target's rate may rise by one step.
	RampDue func(schema.Handle) bool
	// Settled reports whether all live flows of a moving bucket are on its
	// current target.
	Settled func(bucket int) bool
}

// target is one slot with what the input says of it.
type target struct {
	slot   schema.Slot
	t      *schema.Target // nil once it left the pool
	gone   bool
	weight int
}

// Next returns the placement that follows prev, which may be nil, and whether
// it differs.
func Next(prev *schema.Placement, in Input) (*schema.Placement, bool) {
	first := prev == nil
	if first {
		prev = empty(in.Service)
	}
	targets := list(prev, in.Pool)
	closeSlots(targets, in, prev.Planned)
	for i := range targets {
		targets[i].ramp(in, first)
	}
	next := &schema.Placement{
		Service: in.Service,
		Planned: prev.Planned,
		Base:    slices.Clone(prev.Base),
		Current: slices.Clone(prev.Current),
		Moving:  slices.Clone(prev.Moving),
	}
	assign(next.Current, targets)
	for b := range schema.Buckets {
		settle(prev, next, targets, b, in)
	}
	compact(next, targets)
	changed := first || !reflect.DeepEqual(prev, next)
	next.Planned = in.Revision
	return next, changed
}

func empty(s schema.Service) *schema.Placement {
	p := &schema.Placement{
		Service: s,
		Base:    make([]uint16, schema.Buckets),
		Current: make([]uint16, schema.Buckets),
		Moving:  make([]bool, schema.Buckets),
	}
	for b := range schema.Buckets {
		p.Base[b], p.Current[b] = schema.NoSlot, schema.NoSlot
	}
	return p
}

// list returns the slots of the previous placement, then the pool's targets
// that have none yet.
func list(prev *schema.Placement, pool *schema.Pool) []target {
	byHandle := make(map[schema.Handle]*schema.Target, len(pool.Targets))
	for i := range pool.Targets {
		t := &pool.Targets[i]
		byHandle[flow.HandleOf(t)] = t
	}
	var targets []target
	for _, s := range prev.Slots {
		targets = append(targets, target{slot: s, t: byHandle[s.Handle]})
		delete(byHandle, s.Handle)
	}
	for i := range pool.Targets {
		t := &pool.Targets[i]
		h := flow.HandleOf(t)
		if byHandle[h] == nil {
			continue
		}
		s := schema.Slot{ID: t.ID, Handle: h, Closed: true}
		targets = append(targets, target{slot: s, t: t})
	}
	return targets
}

// closeSlots decides which targets take no new flows. Health counts only
// while it leaves at least half of the pool open: a fault that looks like the
// loss of most targets is more often a fault of the probes.
func closeSlots(targets []target, in Input, planned schema.Version) {
	eligible, healthy := 0, 0
	for i := range targets {
		t := &targets[i]
		t.gone = t.t == nil || in.Gone(t.t)
		if t.t != nil && in.Marked(t.t.DataCentre) > planned {
			t.slot.Closed = true // it was out, and returns as a cold target
		}
		if t.gone || in.Drained(t.t) {
			continue
		}
		h := in.Health(t.slot.Handle)
		if !h.Known && t.slot.Closed {
			continue // new, and not probed yet
		}
		eligible++
		if usable(h, t.slot) {
			healthy++
		}
	}
	trust := 2*healthy >= eligible && healthy > 0
	for i := range targets {
		t := &targets[i]
		t.weight = 0
		if t.gone || in.Drained(t.t) {
			continue
		}
		known := !t.slot.Closed || in.Health(t.slot.Handle).Known
		if usable(in.Health(t.slot.Handle), t.slot) || !trust && known {
			t.weight = max(1, int(t.t.Weight))
		}
	}
}

// usable reports whether a health state allows new flows. An unknown state
// leaves the slot as it is.
func usable(h health.State, s schema.Slot) bool {
	if !h.Known {
		return !s.Closed
	}
	return h.State == peer.Ready || h.State == peer.Starting
}

// ramp sets the slot's limit and admitter. On the first placement of a
// service there is no warm target to fall back on, and a target that says it
// is ready is believed.
func (t *target) ramp(in Input, first bool) {
	s := &t.slot
	open := t.weight > 0
	reopened := open && s.Closed
	s.Closed = !open
	if !open {
		s.Rate, s.Admitter = 0, ""
		return
	}
	h := in.Health(s.Handle)
	restarted := h.Incarnation != 0 && h.Incarnation != s.Incarnation
	if restarted {
		s.Incarnation = h.Incarnation
	}
	cold := in.Pool.ColdOpens()
	switch {
	case first && h.State != peer.Starting:
	case reopened || restarted || h.State == peer.Starting:
		s.Rate = cold
	case s.Rate > 0 && h.State == peer.Ready && in.RampDue(s.Handle):
		s.Rate *= 2
		if s.Rate >= cold*(1<<RampSteps) {
			s.Rate, s.Admitter = 0, ""
		}
	}
	if s.Rate > 0 && !slices.Contains(in.Members, s.Admitter) {
		s.Admitter = admitter(s.Handle, in.Members)
	}
}

// admitter picks the daemon that admits a target's opens.
func admitter(h schema.Handle, members []schema.VMID) schema.VMID {
	var best schema.VMID
	var top uint64
	for _, m := range members {
		if score := flow.Score(uint64(h), flow.Seed(string(m))); best == "" || score > top {
			best, top = m, score
		}
	}
	return best
}

// assign gives each open target its share of buckets and moves as few of
// them as that takes.
func assign(current []uint16, targets []target) {
	quota := quotas(targets)
	if quota == nil {
		return // nothing is open; the buckets stay where they are
	}
	used := make([]int, len(targets))
	var orphans []int
	for _, b := range bucketOrder {
		i := current[b]
		if i != schema.NoSlot && used[i] < quota[i] {
			used[i]++
			continue
		}
		orphans = append(orphans, b)
	}
	for _, b := range orphans {
		i := best(b, targets, quota, used)
		current[b] = uint16(i)
		used[i]++
	}
}

// bucketOrder is a fixed shuffle, so that the buckets a target gives up are
// spread over the table.
var bucketOrder = func() []int {
	order := make([]int, schema.Buckets)
	for b := range order {
		order[b] = b
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(flow.Score(uint64(a), 0), flow.Score(uint64(b), 0))
	})
	return order
}()

// quotas splits the buckets by weight with the largest remainder method. It
// returns nil if no target is open.
func quotas(targets []target) []int {
	total := 0
	for _, t := range targets {
		total += t.weight
	}
	if total == 0 {
		return nil
	}
	quota := make([]int, len(targets))
	var order []int
	left := schema.Buckets
	for i, t := range targets {
		quota[i] = schema.Buckets * t.weight / total
		left -= quota[i]
		if t.weight > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ra := schema.Buckets * targets[a].weight % total
		rb := schema.Buckets * targets[b].weight % total
		return cmp.Compare(rb, ra)
	})
	for i := range left {
		quota[order[i%len(order)]]++
	}
	return quota
}

// best returns the target with room that has the highest score for b.
func best(b int, targets []target, quota, used []int) int {
	found := -1
	var top uint64
	for i := range targets {
		if used[i] >= quota[i] {
			continue
		}
		score := flow.Score(uint64(b), uint64(targets[i].slot.Handle))
		if found < 0 || score > top {
			found, top = i, score
		}
	}
	return found
}

// settle decides where the flows of bucket b without a record are and whether
// its flows may have records.
func settle(prev, next *schema.Placement, targets []target, b int, in Input) {
	cur := next.Current[b]
	if cur == schema.NoSlot {
		return
	}
	limited := targets[cur].slot.Rate > 0
	base := next.Base[b]
	switch {
	case base == schema.NoSlot || targets[base].gone:
		next.Base[b] = cur // no flow is left to protect there
	case base != cur:
		next.Moving[b] = true
	}
	if limited {
		next.Moving[b] = true
		return
	}
	if prev.Moving[b] && prev.Current[b] == cur && in.Settled(b) {
		next.Base[b], next.Moving[b] = cur, false
	}
}

// compact fills in the slots and drops those that no bucket names and that
// left the pool.
func compact(p *schema.Placement, targets []target) {
	named := make([]bool, len(targets))
	for b := range schema.Buckets {
		for _, i := range []uint16{p.Base[b], p.Current[b]} {
			if i != schema.NoSlot {
				named[i] = true
			}
		}
	}
	renumber := make([]uint16, len(targets))
	for i, t := range targets {
		if t.t == nil && !named[i] {
			continue
		}
		renumber[i] = uint16(len(p.Slots))
		p.Slots = append(p.Slots, t.slot)
	}
	for b := range schema.Buckets {
		if p.Base[b] != schema.NoSlot {
			p.Base[b] = renumber[p.Base[b]]
		}
		if p.Current[b] != schema.NoSlot {
			p.Current[b] = renumber[p.Current[b]]
		}
	}
}

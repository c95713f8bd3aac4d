// Package plan computes the next placement of a service.
//
// Each service has one planner, the daemon chosen by rendezvous hashing over
// the live daemons. The choice need not be exclusive: a placement is written
// with a conditional update on the version it was computed from, so if two
// daemons plan at once, one of them gets a conflict. Next is a pure function
// of its input.
//
// Invariants of a step:
//   - A bucket moves to another target only if its target takes no new flows
//     or has more than its share of buckets.
//   - While flows of a bucket may still be on its previous target, that
//     target stays the bucket's Base and the bucket is marked as moving.
//   - A target that was closed in the previous placement starts with a
//     limited rate of new flows.
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

// RampDoublings is how many times the rate limit of a cold target doubles
// before the limit is lifted.
const RampDoublings = 5

// Input is everything that a placement is computed from.
type Input struct {
	Service schema.Service
	Pool    *schema.Pool
	// Revision is the revision of the view from which the input was taken.
	Revision schema.Version
	// Marked returns the version of the last mark of a data centre as in or
	// out.
	Marked func(schema.DataCentreID) schema.Version
	// Out reports whether packets must no longer be sent to a target.
	Out func(*schema.Target) bool
	// Drained reports whether an operator stopped new flows to a target.
	Drained func(*schema.Target) bool
	Health  func(schema.Handle) health.State
	// Admitters are the daemons that may be chosen as admitters. Their order
	// must not change between calls with the same set.
	Admitters []schema.VMID
	// RampDue reports whether a target's rate limit may be doubled now.
	RampDue func(schema.Handle) bool
	// Settled reports whether all live flows of a moving bucket are on its
	// current target.
	Settled func(bucket int) bool
}

// target is a slot of the placement together with what the input says about
// its target.
type target struct {
	slot   schema.Slot
	spec   *schema.Target // nil once the target has left the pool
	gone   bool
	weight int
}

// Next returns the placement that follows prev and whether the two differ.
// prev is nil for the first placement of a service.
func Next(prev *schema.Placement, in Input) (*schema.Placement, bool) {
	first := prev == nil
	if first {
		prev = emptyPlacement(in.Service)
	}
	targets := candidates(prev, in.Pool)
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
	assignBuckets(next.Current, targets)
	for b := range schema.Buckets {
		updateBase(prev, next, targets, b, in)
	}
	compactSlots(next, targets)
	changed := first || !reflect.DeepEqual(prev, next)
	next.Planned = in.Revision
	return next, changed
}

// emptyPlacement returns a placement without slots, in which no bucket has a
// target.
func emptyPlacement(s schema.Service) *schema.Placement {
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

// candidates returns the slots of the previous placement, followed by the
// targets of the pool that have no slot yet.
func candidates(prev *schema.Placement, pool *schema.Pool) []target {
	byHandle := make(map[schema.Handle]*schema.Target, len(pool.Targets))
	for i := range pool.Targets {
		t := &pool.Targets[i]
		byHandle[flow.HandleOf(t)] = t
	}
	var targets []target
	for _, s := range prev.Slots {
		targets = append(targets, target{slot: s, spec: byHandle[s.Handle]})
		delete(byHandle, s.Handle)
	}
	for i := range pool.Targets {
		t := &pool.Targets[i]
		h := flow.HandleOf(t)
		if byHandle[h] == nil {
			continue
		}
		s := schema.Slot{ID: t.ID, Handle: h, Closed: true}
		targets = append(targets, target{slot: s, spec: t})
	}
	return targets
}

// closeSlots decides which targets take no new flows. Health is taken into
// account only while at least half of the pool is usable: if most targets
// seem to be lost, a fault of the probes is the likelier cause.
func closeSlots(targets []target, in Input, planned schema.Version) {
	eligible, healthy := 0, 0
	for i := range targets {
		t := &targets[i]
		t.gone = t.spec == nil || in.Out(t.spec)
		if t.spec != nil && in.Marked(t.spec.DataCentre) > planned {
			// The data centre was out; its targets come back as cold ones.
			t.slot.Closed = true
		}
		if t.gone || in.Drained(t.spec) {
			continue
		}
		h := in.Health(t.slot.Handle)
		if !h.Known && t.slot.Closed {
			continue // new and not probed yet
		}
		eligible++
		if usable(h, t.slot) {
			healthy++
		}
	}
	trustHealth := 2*healthy >= eligible && healthy > 0
	for i := range targets {
		t := &targets[i]
		t.weight = 0
		if t.gone || in.Drained(t.spec) {
			continue
		}
		known := !t.slot.Closed || in.Health(t.slot.Handle).Known
		if usable(in.Health(t.slot.Handle), t.slot) || !trustHealth && known {
			t.weight = max(1, int(t.spec.Weight))
		}
	}
}

// usable reports whether the health state h allows new flows. An unknown
// state leaves the slot open or closed as it was.
func usable(h health.State, s schema.Slot) bool {
	if !h.Known {
		return !s.Closed
	}
	return h.State == peer.Ready || h.State == peer.Starting
}

// ramp sets the slot's rate limit and admitter. In the first placement of a
// service there are no warm targets to use instead, so a target that reports
// ready gets no limit.
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
		if s.Rate >= cold*(1<<RampDoublings) {
			s.Rate, s.Admitter = 0, ""
		}
	}
	if s.Rate > 0 && !slices.Contains(in.Admitters, s.Admitter) {
		s.Admitter = admitter(s.Handle, in.Admitters)
	}
}

// admitter chooses the daemon that admits a target's new flows by rendezvous
// hashing.
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

// assignBuckets gives each open target its share of the buckets and moves as
// few buckets as possible.
func assignBuckets(current []uint16, targets []target) {
	quota := quotas(targets)
	if quota == nil {
		return // no target is open; the buckets keep their targets
	}
	used := make([]int, len(targets))
	var unassigned []int
	for _, b := range bucketOrder {
		i := current[b]
		if i != schema.NoSlot && used[i] < quota[i] {
			used[i]++
			continue
		}
		unassigned = append(unassigned, b)
	}
	for _, b := range unassigned {
		i := bestTarget(b, targets, quota, used)
		current[b] = uint16(i)
		used[i]++
	}
}

// bucketOrder is a fixed permutation of the buckets, so that the buckets that
// a target gives up are spread over the table.
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

// quotas divides the buckets by weight with the largest remainder method. It
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

// bestTarget returns the index of the target with the highest rendezvous
// score for bucket b among those below their quota.
func bestTarget(b int, targets []target, quota, used []int) int {
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

// updateBase sets the base of bucket b, the target of its flows without a
// record, and whether the bucket is moving, which means that its flows may
// have records.
func updateBase(prev, next *schema.Placement, targets []target, b int, in Input) {
	cur := next.Current[b]
	if cur == schema.NoSlot {
		return
	}
	limited := targets[cur].slot.Rate > 0
	base := next.Base[b]
	switch {
	case base == schema.NoSlot || targets[base].gone:
		next.Base[b] = cur // no flow can go on at the previous base
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

// compactSlots fills in the slots of p, without those whose target has left
// the pool and that no bucket refers to.
func compactSlots(p *schema.Placement, targets []target) {
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
		if t.spec == nil && !named[i] {
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

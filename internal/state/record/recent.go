package record

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Open is a flow that was opened without a record, in a bucket that was not
// moving.
type Open struct {
	Key    flow.Key
	Target schema.Handle
	At     clock.Milli
}

// Recent is a ring buffer of the latest opens. When a bucket starts to move,
// its recent opens become records, so that a retransmitted opening packet does
// not reach a second target.
type Recent struct {
	ring []Open
	// next is the index of the oldest open, which is replaced next.
	next int
}

// NewRecent returns a ring buffer for n opens.
func NewRecent(n int) *Recent {
	return &Recent{ring: make([]Open, n)}
}

// Add stores an open and drops the oldest.
func (r *Recent) Add(now clock.Milli, k flow.Key, t schema.Handle) {
	r.ring[r.next] = Open{Key: k, Target: t, At: now}
	r.next = (r.next + 1) % len(r.ring)
}

// Since calls f for every stored open from the given time on, in no particular
// order.
func (r *Recent) Since(from clock.Milli, f func(Open)) {
	for i := range r.ring {
		if r.ring[i].Target != 0 && r.ring[i].At >= from {
			f(r.ring[i])
		}
	}
}

// Package admit limits the opens of targets that are not warm.
//
// The budget of a target belongs to the target, not to each daemon, so one
// daemon alone admits its opens: the admitter that the placement names. A
// daemon spends a budget only while its view is fresh and the placement that
// names it has been in effect for the grace period; by then the former
// admitter knows of the change or knows that it may not act.
package admit

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// burst is the number of opens that may pass at once.
const burst = 1

type bucket struct {
	tokens float64
	last   clock.Milli
}

// Budget holds the token buckets of the targets that this daemon admits.
type Budget struct {
	buckets map[schema.Handle]*bucket
}

// New returns an empty budget.
func New() *Budget {
	return &Budget{buckets: make(map[schema.Handle]*bucket)}
}

// Take spends one open of a target at the given rate and reports whether
// there was one. A bucket starts empty, so a new admitter adds no burst.
func (g *Budget) Take(now clock.Milli, h schema.Handle, rate schema.PerSecond) bool {
	b := g.buckets[h]
	if b == nil {
		b = &bucket{last: now}
		g.buckets[h] = b
	}
	b.tokens = min(burst, b.tokens+float64(rate)*float64(now-b.last)/float64(clock.Second))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Package admit limits the rate of new flows to targets that are still
// warming up.
//
// The rate limit of a target applies to the sum over all daemons, so exactly
// one daemon admits its new flows: the admitter named in the placement. An
// admitter uses a limit only while its view is fresh and only after the
// placement that names it has been in effect for the grace period. By then
// the previous admitter either knows of the change or knows that its own view
// has expired.
package admit

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// burst is the capacity of a token bucket: the number of new flows that may
// be admitted at once.
const burst = 1

type tokenBucket struct {
	tokens float64
	last   clock.Milli
}

// Limiter holds one token bucket for each target that this daemon admits new
// flows for.
type Limiter struct {
	buckets map[schema.Handle]*tokenBucket
}

// New returns a Limiter without token buckets.
func New() *Limiter {
	return &Limiter{buckets: make(map[schema.Handle]*tokenBucket)}
}

// Allow takes one token for a new flow to target h, whose bucket refills at
// the given rate, and reports whether one was available. A bucket starts
// empty, so a change of admitter adds no burst.
func (l *Limiter) Allow(now clock.Milli, h schema.Handle, rate schema.PerSecond) bool {
	b := l.buckets[h]
	if b == nil {
		b = &tokenBucket{last: now}
		l.buckets[h] = b
	}
	b.tokens = min(burst, b.tokens+float64(rate)*float64(now-b.last)/float64(clock.Second))
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

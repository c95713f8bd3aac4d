// Package clock provides a monotonic clock with millisecond resolution.
//
// Decision code doesn't read the clock itself: the caller reads it once for
// each event and passes the Milli in. A Milli counts from an arbitrary origin
// in its own process, so processes don't exchange timestamps; they exchange
// ages.
package clock

import (
	"sync/atomic"
	"time"
)

// Milli is a timestamp in monotonic time or a duration, in milliseconds.
type Milli int64

const (
	Second Milli = 1000
	Minute       = 60 * Second
	// Never is earlier than every timestamp that a Clock returns, by at least
	// 34 years; a difference with it doesn't overflow.
	Never Milli = -1 << 40
)

// Duration converts a duration to the standard library's type.
func (m Milli) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard duration, truncated to whole milliseconds.
func FromDuration(d time.Duration) Milli {
	return Milli(d / time.Millisecond)
}

// Clock is a monotonic clock that is safe for concurrent use. The zero value is
// not usable; call New.
type Clock struct {
	// source returns the time since New.
	source func() Milli
	// suspended is the time added by Advance, in milliseconds.
	suspended atomic.Int64
}

// Option sets up a Clock.
type Option func(*Clock)

// WithSource replaces the operating system's clock in simulations.
func WithSource(now func() Milli) Option {
	return func(c *Clock) { c.source = now }
}

// New returns a clock that starts at zero, unless WithSource is given.
func New(opts ...Option) *Clock {
	start := time.Now()
	c := &Clock{source: func() Milli { return FromDuration(time.Since(start)) }}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Now returns the time since New, plus the time added by Advance. Steps of the
// wall clock don't affect it.
func (c *Clock) Now() Milli {
	return c.source() + Milli(c.suspended.Load())
}

// Advance moves the clock on by the time that the VM was suspended, which the
// operating system's monotonic clock doesn't count.
func (c *Clock) Advance(d Milli) {
	c.suspended.Add(int64(d))
}

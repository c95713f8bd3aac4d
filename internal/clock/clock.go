// Package clock holds the time type of the system: monotonic milliseconds.
//
// Decisions never read a clock. They take a Milli that the caller read once
// for the event. A Milli counts from an arbitrary start of its own process,
// so two processes never compare values; they exchange ages instead.
package clock

import (
	"sync/atomic"
	"time"
)

// Milli is a point in monotonic time or a span, in milliseconds.
type Milli int64

const (
	// Second is one second.
	Second Milli = 1000
	// Minute is one minute.
	Minute = 60 * Second
	// Never is before every point that a Clock returns.
	Never Milli = -1 << 40
)

// Duration converts a span to the standard library's type.
func (m Milli) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard span, rounded down to a millisecond.
func FromDuration(d time.Duration) Milli {
	return Milli(d / time.Millisecond)
}

// Clock reads monotonic time. The zero value is not usable; see New.
type Clock struct {
	start   time.Time
	skipped atomic.Int64
}

// New returns a clock that starts at zero.
func New() *Clock {
	return &Clock{start: time.Now()}
}

// Now returns the time since the clock was made. It never goes back, also
// when the wall clock is stepped.
func (c *Clock) Now() Milli {
	return FromDuration(time.Since(c.start)) + Milli(c.skipped.Load())
}

// Skip moves the clock forward by time that the VM was suspended.
func (c *Clock) Skip(d Milli) {
	c.skipped.Add(int64(d))
}

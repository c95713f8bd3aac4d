package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspend measures how long the VM was suspended, which monotonic time leaves
// out. It is not safe for concurrent use.
type Suspend struct {
	start  time.Time
	origin time.Duration
	seen   time.Duration
}

// NewSuspend starts a measurement.
func NewSuspend() *Suspend {
	s := &Suspend{start: time.Now()}
	s.origin, _ = bootTime()
	return s
}

// suspendNoise is the difference of the two clocks that reading them one
// after the other may cause.
const suspendNoise = 20 * time.Millisecond

// Passed returns how long the VM was suspended since the last call.
func (s *Suspend) Passed() Milli {
	boot, ok := bootTime()
	if !ok {
		return 0
	}
	total := boot - s.origin - time.Since(s.start)
	if total-s.seen < suspendNoise {
		return 0
	}
	passed := total - s.seen
	s.seen = total
	return FromDuration(passed)
}

// bootTime reads the clock that counts suspended time.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspend measures how long the VM was suspended. It compares CLOCK_BOOTTIME,
// which counts suspended time, with monotonic time, which doesn't. It is not
// safe for concurrent use.
type Suspend struct {
	start     time.Time
	bootStart time.Duration
	// reported is the suspended time that Passed has returned so far.
	reported time.Duration
}

// NewSuspend returns a Suspend that measures from now on.
func NewSuspend() *Suspend {
	s := &Suspend{start: time.Now()}
	s.bootStart, _ = bootTime()
	return s
}

// minSuspend is the shortest suspension that is reported. The two clocks are
// read one after the other, so a smaller difference may be due to the delay
// between the reads.
const minSuspend = 20 * time.Millisecond

// Passed returns how long the VM was suspended since the last call that
// returned a suspension. It returns 0 if the boot clock can't be read.
func (s *Suspend) Passed() Milli {
	boot, ok := bootTime()
	if !ok {
		return 0
	}
	total := boot - s.bootStart - time.Since(s.start)
	if total-s.reported < minSuspend {
		return 0
	}
	passed := total - s.reported
	s.reported = total
	return FromDuration(passed)
}

// bootTime reads CLOCK_BOOTTIME and reports whether that succeeded.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SuspendMeter measures how long the VM was suspended. It compares CLOCK_BOOTTIME,
// which counts suspended time, with monotonic time, which doesn't. It is not
// safe for concurrent use.
type SuspendMeter struct {
	start     time.Time
	bootStart time.Duration
	// reported is the suspended time that Elapsed has returned so far.
	reported time.Duration
}

// NewSuspendMeter returns a SuspendMeter that measures from now on.
func NewSuspendMeter() *SuspendMeter {
	m := &SuspendMeter{start: time.Now()}
	m.bootStart, _ = bootTime()
	return m
}

// minSuspend is the shortest suspension that is reported. The two clocks are
// read one after the other, so a smaller difference may be due to the delay
// between the reads.
const minSuspend = 20 * time.Millisecond

// Elapsed returns how long the VM was suspended since the last call that
// returned a suspension. It returns 0 if the boot clock can't be read.
func (m *SuspendMeter) Elapsed() Milli {
	boot, ok := bootTime()
	if !ok {
		return 0
	}
	total := boot - m.bootStart - time.Since(m.start)
	if total-m.reported < minSuspend {
		return 0
	}
	elapsed := total - m.reported
	m.reported = total
	return FromDuration(elapsed)
}

// bootTime reads CLOCK_BOOTTIME and reports whether that succeeded.
func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

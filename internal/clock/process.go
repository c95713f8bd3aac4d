package clock

import "time"

// initialized is when the packages of the process were initialised. The operating system
// and the Go runtime have taken a few milliseconds before; to measure these too would need
// /proc.
var initialized = time.Now()

// SinceProcessStart returns the time since the start of the process.
func SinceProcessStart() Milli { return FromDuration(time.Since(initialized)) }

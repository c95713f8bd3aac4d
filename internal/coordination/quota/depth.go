package quota

import (
	"slices"

	"coltsfootdock/internal/clock"
)

const (
	// maxTimes bounds the measured times that are kept, minTimes is the number from
	// which their median counts.
	maxTimes = 64
	minTimes = 8
	// timesSpan is how long a measured time counts.
	timesSpan = clock.Second
	// depthTolerance is how much deeper than allowed the targets' queues may seem
	// before limits are lowered: service times vary by half.
	depthTolerance = 1.5
	// lowerStep and raiseStep bound the change of the correction in one interval of
	// 250 ms. A time to first byte is known only after that time, so that larger steps
	// down overshoot. From minCorrection a limit is back within 2 s.
	lowerStep = 0.8
	raiseStep = 1.2
	// minCorrection bounds the correction: times that are long for another reason than
	// load cost at most half of a limit.
	minCorrection = 0.5
)

// timed is a measured time to first byte.
type timed struct {
	at   clock.Milli
	took clock.Milli
}

// Depth corrects a limit by Little's law: requests in flight for each slot are the time
// to first byte in relation to that without queueing. The zero value is ready for use.
type Depth struct {
	times      []timed
	correction float64
}

// Observe records the time to first byte of an answer.
func (d *Depth) Observe(now, took clock.Milli) {
	if len(d.times) == maxTimes {
		d.times = slices.Delete(d.times, 0, 1)
	}
	d.times = append(d.times, timed{at: now, took: took})
}

// Median returns the median of the times that count, false if there are too few. A few
// slow targets, lost packets and single long requests don't change it.
func (d *Depth) Median() (float64, bool) {
	if len(d.times) < minTimes {
		return 0, false
	}
	var sorted [maxTimes]clock.Milli
	for i, x := range d.times {
		sorted[i] = x.took
	}
	slices.Sort(sorted[:len(d.times)])
	return float64(sorted[(len(d.times)-1)/2]), true
}

// Update recomputes the correction at the end of an interval. unloaded is the time to
// first byte without queueing, allowed the requests in flight for each slot that the
// limit allows. loaded is set while the targets have at least one request for each slot:
// otherwise long times don't come from the requests in flight.
func (d *Depth) Update(now clock.Milli, unloaded, allowed float64, loaded bool) {
	d.times = slices.DeleteFunc(d.times, func(x timed) bool { return now-x.at > timesSpan })
	median, known := d.Median()
	c := d.Correction()
	measured := 0.0
	if known && unloaded > 0 {
		measured = median / unloaded
	}
	switch {
	case loaded && measured > allowed*depthTolerance:
		c *= max(lowerStep, allowed/measured)
	case !loaded || measured <= allowed:
		c *= raiseStep
	}
	d.correction = min(1, max(minCorrection, c))
}

// Correction returns the factor of the limit, at most 1.
func (d *Depth) Correction() float64 {
	if d.correction == 0 {
		return 1
	}
	return d.correction
}

// Package quota computes which part of a pool's capacity a daemon may use, from request
// rates that daemons report to each other. It is pure: no I/O, no clock, no locks.
//
// Rates averages this daemon's request rate and those that peers report over the same
// span. Demands holds the demand of the other data centres. Divide is the weighted
// max-min division of a capacity. Depth corrects a limit by measured response times.
package quota

import (
	"slices"

	"coltsfootdock/internal/clock"
)

const (
	// Span is the time over which rates are averaged. It is that for which a peer's
	// report counts, so that own and reported rates have the same mean age and a
	// burst that reaches all daemons changes no share.
	Span = 1500 * clock.Milli(1)
	// maxIntervals bounds the intervals of the own rate that are kept.
	maxIntervals = 16
	// baseRate, in requests a second, is added to each rate. It keeps the shares of
	// daemons with few requests from following single requests.
	baseRate = 1.0
)

// interval is the number of requests that began in an interval.
type interval struct {
	began, ended clock.Milli
	requests     int
}

// report is a peer's report: its requests a second and the requests that wait there.
type report struct {
	at      clock.Milli
	rate    float64
	waiting float64
	// local is set if the peer is in this daemon's data centre.
	local bool
}

// Rates holds the rates of the requests to one pool. The zero value is ready for use.
type Rates struct {
	requests int
	began    clock.Milli
	own      []interval
	heard    []report
}

// Count counts a request that begins at this daemon.
func (r *Rates) Count() { r.requests++ }

// EndInterval ends the current interval of the own rate and drops what is older than
// Span.
func (r *Rates) EndInterval(now clock.Milli) {
	if r.began != 0 && now > r.began {
		if len(r.own) == maxIntervals {
			r.own = slices.Delete(r.own, 0, 1)
		}
		r.own = append(r.own, interval{began: r.began, ended: now, requests: r.requests})
	}
	r.began, r.requests = now, 0
	r.expire(now)
}

// expire drops what is older than Span. A report covers an interval that began before it.
func (r *Rates) expire(now clock.Milli) {
	r.own = slices.DeleteFunc(r.own, func(i interval) bool { return now-i.began > Span })
	r.heard = slices.DeleteFunc(r.heard, func(x report) bool { return now-x.at >= Span })
}

// Hear records a peer's report: its requests a second and the requests that wait there.
func (r *Rates) Hear(now clock.Milli, rate, waiting float64, local bool) {
	r.heard = append(r.heard, report{at: now, rate: rate, waiting: waiting, local: local})
}

// Reports returns the number of reports that count.
func (r *Rates) Reports() int { return len(r.heard) }

// Last returns the own rate of the last complete interval, in requests a second.
func (r *Rates) Last() float64 {
	if len(r.own) == 0 {
		return 0
	}
	i := r.own[len(r.own)-1]
	return float64(i.requests) * float64(clock.Second) / float64(i.ended-i.began)
}

// Own returns the own rate over Span, in requests a second.
func (r *Rates) Own() float64 {
	n, took := 0, clock.Milli(0)
	for _, i := range r.own {
		n += i.requests
		took += i.ended - i.began
	}
	if took == 0 {
		return 0
	}
	return float64(n) * float64(clock.Second) / float64(took)
}

// InUse reports whether any daemon is known to have requests for the pool.
func (r *Rates) InUse() bool {
	return r.Own() > 0 || slices.ContainsFunc(r.heard, func(x report) bool { return x.rate+x.waiting > 0 })
}

// mean returns the means of the local or of the other reports, and their number.
func (r *Rates) mean(local bool) (rate, waiting float64, n int) {
	for _, x := range r.heard {
		if x.local == local {
			rate += x.rate
			waiting += x.waiting
			n++
		}
	}
	if n == 0 {
		return 0, 0, 0
	}
	return rate / float64(n), waiting / float64(n), n
}

// Members are the numbers of daemons of this daemon's data centre and of the fleet, this
// one included in both.
type Members struct {
	Local, Fleet int
}

// others returns the numbers of the other daemons of this data centre and of those of
// other data centres.
func (m Members) others() (local, remote float64) {
	return float64(max(0, m.Local-1)), float64(max(0, m.Fleet-max(1, m.Local)))
}

// Share returns this daemon's part of the requests of the fleet. Reports of the own data
// centre and of others count by the numbers of daemons there, as most reports come from
// the own one. Where no report comes from, the daemons count as those that are heard;
// without any report it is an equal part: a daemon that is cut off has no claim to more.
func (r *Rates) Share(m Members) float64 {
	local, remote := m.others()
	localRate, _, n := r.mean(true)
	remoteRate, _, far := r.mean(false)
	switch {
	case n+far == 0:
		return 1 / (1 + local + remote)
	case n == 0:
		localRate = remoteRate
	case far == 0:
		remoteRate = localRate
	}
	own := r.Own() + baseRate
	return own / (own + local*(localRate+baseRate) + remote*(remoteRate+baseRate))
}

// LocalShare returns this daemon's part of the requests of its data centre.
func (r *Rates) LocalShare(m Members) float64 {
	local, _ := m.others()
	rate, _, n := r.mean(true)
	if n == 0 {
		return 1 / (1 + local)
	}
	own := r.Own() + baseRate
	return own / (own + local*(rate+baseRate))
}

// LocalDemand returns the requests a second that the daemons of this data centre want
// processed. Those that wait are to be processed within a second; waiting of them are here.
func (r *Rates) LocalDemand(m Members, waiting int) float64 {
	local, _ := m.others()
	rate, queued, _ := r.mean(true)
	return r.Own() + float64(waiting) + local*(rate+queued)
}

// Demand is LocalDemand of the whole fleet.
func (r *Rates) Demand(m Members, waiting int) float64 {
	_, remote := m.others()
	rate, queued, _ := r.mean(false)
	return r.LocalDemand(m, waiting) + remote*(rate+queued)
}

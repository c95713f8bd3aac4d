package steer

import "coltsfootdock/internal/clock"

const (
	// answerIn is how long a target has to answer a first packet before that
	// counts against it.
	answerIn = 120 * clock.Milli(1)
	// missLimit is the number of flows without an answer, with none that had
	// one in between, after which a target is avoided.
	missLimit = 2
	firstWait = 500 * clock.Milli(1)
	maxWait   = 4 * clock.Second
	// heardFor is how long a peer's word on a target counts.
	heardFor = 1500 * clock.Milli(1)
)

// answers is the evidence on whether a target answers, from the packets that
// pass. A target that does not is avoided for a while, then tried with one
// flow; the wait doubles.
type answers struct {
	// last is when a flow last showed an answer.
	last clock.Milli
	// misses counts the flows without an answer since then.
	misses int
	first  clock.Milli
	until  clock.Milli
	wait   clock.Milli
	// trial is when a flow was sent to find out, zero if none was.
	trial clock.Milli
	// told is when a peer last told that the target does not answer.
	told clock.Milli
}

// ok notes an answer.
func (a *answers) ok(now clock.Milli) {
	*a = answers{last: now}
}

// miss notes a flow without an answer and reports whether the target is to be
// avoided from now on.
func (a *answers) miss(now clock.Milli) bool {
	if a.misses == 0 {
		a.first = now
	}
	a.misses++
	a.trial = 0
	if a.misses < missLimit {
		return false
	}
	if now < a.until {
		return false
	}
	a.wait = min(maxWait, max(firstWait, 2*a.wait))
	a.until = now + a.wait
	return true
}

// silent reports whether this daemon's own flows say that the target does not
// answer.
func (a *answers) silent() bool { return a.misses >= missLimit }

// avoid reports whether new flows should go elsewhere.
func (a *answers) avoid(now clock.Milli) bool {
	if a.told != 0 && now-a.told < heardFor && a.last <= a.told-heardFor/3 {
		return true
	}
	if !a.silent() {
		return false
	}
	return now < a.until || a.trial != 0 && now-a.trial < 2*answerIn
}

// try notes that a flow is sent to a target that was avoided until now.
func (a *answers) try(now clock.Milli) {
	if a.silent() {
		a.trial = now
	}
}

package soak

import (
	"fmt"
	"sync"
	"time"

	"coltsfootdock/internal/state/flow"
)

// Bounds that the simulated deployment guarantees, and the tolerances of the
// checks.
const (
	outBound = 5 * time.Second
	// stableWindow is the time after a fault during which its effects are allowed.
	stableWindow = 4 * time.Second
	// boundTolerance is added to a bound before it counts as exceeded.
	boundTolerance = 500 * time.Millisecond
	requestTimeout = 4 * time.Second
)

// faultTracker records when injected faults affected a component. It is safe
// for concurrent use.
type faultTracker struct {
	mu      sync.Mutex
	active  int
	lastEnd time.Time
}

// begin records the start of a fault; the returned function records its end.
func (t *faultTracker) begin() func() {
	t.mu.Lock()
	t.active++
	t.mu.Unlock()
	return func() {
		t.mu.Lock()
		t.active--
		t.lastEnd = time.Now()
		t.mu.Unlock()
	}
}

// ended returns when the last fault ended. It reports false while a fault is
// active.
func (t *faultTracker) ended() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastEnd, t.active == 0
}

// stableAt reports whether no fault is active and the last one ended more than
// stableWindow before at.
func (t *faultTracker) stableAt(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active == 0 && at.Sub(t.lastEnd) > stableWindow
}

// Violation is a guarantee that was violated.
type Violation struct {
	At      time.Duration
	Promise string
	Detail  string
	// About is the text that the daemons' log lines about the violation contain,
	// such as a target's ID.
	About string
	// Lines are the last of those log lines.
	Lines []string
}

// openKey identifies a flow by its addresses and the number of its first packet.
type openKey struct {
	tuple flow.Tuple
	seq   uint32
}

// checker verifies the guarantees from what clients and targets observe.
type checker struct {
	mu sync.Mutex
	// bound is the time within which drains and versions must be in force.
	bound         time.Duration
	started       time.Time
	storeFaults   faultTracker
	violations    []Violation
	runs          map[uint64]int
	nonIdempotent map[uint64]bool
	// taken holds the flows whose first packet a target received, with the target,
	// refused those that a daemon refused.
	taken    map[openKey]*target
	refused  map[openKey]bool
	checks   int
	flows    int
	served   int
	lost     int
	rejected int
	gone     waits
	// Requests sent and served later than stableWindow after faultsEnded.
	sentAfterFaults, servedAfterFaults int
	faultsEnded                        time.Time
}

func newChecker(bound time.Duration) *checker {
	return &checker{bound: bound, started: time.Now(), runs: make(map[uint64]int), nonIdempotent: make(map[uint64]bool), taken: make(map[openKey]*target), refused: make(map[openKey]bool)}
}

// recordViolation records a violated guarantee. About is a target's ID, a flow's
// client, a daemon's ID or the prefix of the related log lines; it is empty if
// there is none. The caller holds the lock.
func (c *checker) recordViolation(promise, about, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		At: time.Since(c.started), Promise: promise, About: about, Detail: fmt.Sprintf(format, args...),
	})
}

// late reports whether a daemon acts later than a bound after a change. A bound
// counts from the end of the last fault of the store or the daemon; while one is
// active, or if the change is zero, no bound is exceeded.
func (c *checker) late(d *daemon, change, now time.Time, bound time.Duration) bool {
	if d == nil || change.IsZero() {
		return false
	}
	healed, healthy := d.faults.ended()
	at, storeHealthy := c.storeFaults.ended()
	if at.After(healed) {
		healed = at
	}
	return healthy && storeHealthy && now.Sub(change) > bound+boundTolerance && now.Sub(healed) > bound+boundTolerance
}

// checkOpen checks the first packet of a flow that a target received from a
// daemon. The argument d is nil if the sender is not a daemon, r is nil if no
// route has the address.
func (c *checker) checkOpen(t *target, d *daemon, r *route, now time.Time) {
	// Lock order: targets, daemons and routes before the checker.
	var ended tableChange
	allowed, regressed := false, false
	if r != nil {
		var began float64
		ended, began, allowed = r.handling(t.pool)
		if d != nil {
			d.recordEffect(began, now)
			regressed = ended.version != 0 && d.hadEffect(ended.version, now)
		}
	}
	drain, out := t.drainAckedSince(), t.dataCentre.outSince()
	lateDrain := c.late(d, drain, now, c.bound)
	lateTable := c.late(d, ended.at, now, c.bound)
	lateOut := c.late(d, out, now, outBound)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks += 5
	if r == nil {
		c.recordViolation("wrong pool", t.id, "target %s of %s received a flow for an address without a route", t.id, t.pool)
		return
	}
	if !allowed {
		c.recordViolation("wrong pool", t.id, "target %s of %s received a flow of route %s", t.id, t.pool, r.name)
	}
	if lateDrain {
		c.recordViolation("leaving target", t.id, "target %s, draining for %s, received a new flow through %s", t.id, now.Sub(drain), d.id)
	}
	if lateTable {
		c.recordViolation("configuration", t.id, "route %s was used with %s, which version %g had ended %s ago, through %s", r.name, t.pool, ended.version, now.Sub(ended.at), d.id)
	}
	if regressed {
		c.recordViolation("configuration came back", t.id, "route %s was used with %s through %s, which had acted on version %g or later", r.name, t.pool, d.id, ended.version)
	}
	if lateOut {
		c.recordViolation("data centre out", t.id, "target %s in data centre %s, out for %s, received a new flow through %s", t.id, t.dataCentre.name, now.Sub(out), d.id)
	}
}

// recordTaken records that a target received the first packet of a flow, and checks
// that no daemon had refused it. During packet disorder a late copy of the packet may
// arrive after a refusal, when its client has given up the flow.
func (c *checker) recordTaken(t *target, k openKey, disorder bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken[k] = t
	if !disorder {
		c.checkRefused(k)
	}
}

// recordRefused records that a daemon refused a flow, and checks that no target has
// its first packet.
func (c *checker) recordRefused(k openKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[k] = true
	c.checkRefused(k)
}

// checkRefused checks that a flow was refused only if no daemon forwarded its first
// packet to a target that lives. The caller holds the lock.
func (c *checker) checkRefused(k openKey) {
	t := c.taken[k]
	c.checks++
	if c.refused[k] && t != nil && t.faults.stableAt(time.Now()) {
		c.recordViolation("refused means not run", k.tuple.Source().String(), "flow %s:%d was refused although target %s received its first packet", k.tuple.Source(), k.tuple.ServicePort, t.id)
	}
}

// checkReset checks a reset that a daemon, not the target, sent on an open flow. Such
// a reset is allowed only without an accepting target that still holds the flow, after
// the route's removal, and during and shortly after a fault of the target itself or a
// loss of the packets to the daemon. No trouble of the store allows it.
func (c *checker) checkReset(f *clientFlow, now time.Time) {
	t, d := f.target, f.resetBy.Load()
	allowed := t == nil || f.route.isRemoved() || !t.faults.stableAt(now) || !t.hasFlow(f.tuple) || d != nil && !d.cuts.stableAt(now)
	entry, by := "", "unknown"
	if !allowed {
		entry = t.describe()
	}
	if d != nil {
		by = d.id
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if !allowed {
		c.recordViolation("open flow", f.tuple.Source().String(), "flow %s:%d was reset by %s although target %s (%s) still holds it", f.tuple.Source(), f.tuple.ServicePort, by, t.id, entry)
	}
}

// waits are the times for which callers waited on flows of targets that had gone, until
// a reset or their time limit ended the request.
type waits struct {
	times    []time.Duration
	timeouts int
}

// recordGone records a failed request if its flow's target has gone. The caller waits
// from the request's start, or from the target's end if that is later.
func (c *checker) recordGone(f *clientFlow, started, now time.Time, timeout bool) {
	if f.target == nil {
		return
	}
	gone := f.target.goneSince()
	if gone.IsZero() {
		return
	}
	if gone.After(started) {
		started = gone
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone.times = append(c.gone.times, now.Sub(started))
	if timeout {
		c.gone.timeouts++
	}
}

// checkRun records that a target runs a request and checks that it may.
func (c *checker) checkRun(id uint64, t *target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	c.runs[id]++
	if c.nonIdempotent[id] && c.runs[id] > 1 {
		c.recordViolation("at most once", t.id, "request %x ran %d times, last on %s", id, c.runs[id], t.id)
	}
}

// recordRequest records a request before it is sent.
func (c *checker) recordRequest(id uint64, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if nonIdempotent {
		c.nonIdempotent[id] = true
	}
	if !c.faultsEnded.IsZero() && time.Since(c.faultsEnded) > stableWindow {
		c.sentAfterFaults++
	}
}

// checkAnswer compares an answer with its request.
func (c *checker) checkAnswer(id, got uint64, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if got != id || !complete {
		c.recordViolation("whole answers", "", "request %x received the answer to request %x, complete: %t", id, got, complete)
		return
	}
	c.served++
	if !c.faultsEnded.IsZero() && time.Since(c.faultsEnded) > stableWindow {
		c.servedAfterFaults++
	}
}

func (c *checker) increment(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

// checkRecovery checks that at least 90 % of the requests that were sent after
// all faults had ended and the system had had time to recover were served.
func (c *checker) checkRecovery() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if c.sentAfterFaults == 0 || c.servedAfterFaults*10 < c.sentAfterFaults*9 {
		c.recordViolation("service again", "ready:", "%d of %d requests served after all faults ended", c.servedAfterFaults, c.sentAfterFaults)
	}
}

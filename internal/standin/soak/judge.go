package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the deployment that a soak plays.
const (
	drainBound  = 3 * time.Second
	applyBound  = 3 * time.Second
	outBound    = 5 * time.Second
	stable      = 4 * time.Second
	slack       = 500 * time.Millisecond
	flowTimeout = 4 * time.Second
)

// calm tells when something was last disturbed. It is safe for concurrent use.
type calm struct {
	mu   sync.Mutex
	now  int
	last time.Time
}

// disturb marks the start of a disturbance; the function returned ends it.
func (c *calm) disturb() func() {
	c.mu.Lock()
	c.now++
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		c.now--
		c.last = time.Now()
		c.mu.Unlock()
	}
}

// until returns when the last disturbance ended; it reports false while one
// goes on.
func (c *calm) until() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.now == 0
}

// since reports whether nothing disturbed it since a time, nor in the stable
// window before.
func (c *calm) since(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now == 0 && t.Sub(c.last) > stable
}

// Broken is a promise that did not hold.
type Broken struct {
	At      time.Duration
	Promise string
	Detail  string
	// About is what the daemons' lines about it name, Lines those lines.
	About string
	Lines []string
}

// judge checks the promises from what clients and targets see.
type judge struct {
	mu      sync.Mutex
	began   time.Time
	store   calm
	broken  []Broken
	ran     map[uint64]int
	once    map[uint64]bool
	notRun  map[uint64]bool
	checks  int
	flows   int
	served  int
	lost    int
	refused int
	// late counts requests asked and served after the faults ended.
	lateAsked, lateServed int
	healed                time.Time
}

func newJudge() *judge {
	return &judge{began: time.Now(), ran: make(map[uint64]int), once: make(map[uint64]bool), notRun: make(map[uint64]bool)}
}

// fail notes a broken promise. About is a target's id, a flow's client or a
// daemon's id, empty if there is none.
func (j *judge) fail(promise, about, format string, args ...any) {
	j.broken = append(j.broken, Broken{
		At: time.Since(j.began), Promise: promise, About: about, Detail: fmt.Sprintf(format, args...),
	})
}

// opened checks the first packet of a flow that a target got from a daemon.
func (j *judge) opened(t *target, d *daemon, r *route, now time.Time) {
	// The locks of targets and routes are taken before the judge's.
	var off time.Time
	if r != nil {
		off = r.removed()
	}
	drain, out := t.leaving(), t.zone.outSince()
	// A bound runs from the end of the last disturbance of the store and of
	// the daemon.
	var healed, at time.Time
	calm := d != nil
	if calm {
		healed, calm = d.calm.until()
	}
	at, quiet := j.store.until()
	if calm = calm && quiet; at.After(healed) {
		healed = at
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checks += 4
	if r == nil {
		j.fail("wrong pool", t.id, "target %s of %s got a flow for an address without a route", t.id, t.pool)
		return
	}
	if r.pool != t.pool {
		j.fail("wrong pool", t.id, "target %s of %s got a flow of route %s", t.id, t.pool, r.name)
	}
	late := func(at time.Time, bound time.Duration) bool {
		return calm && !at.IsZero() && now.Sub(at) > bound+slack && now.Sub(healed) > bound+slack
	}
	if late(drain, drainBound) {
		j.fail("leaving target", t.id, "target %s, draining for %s, got a flow through %s", t.id, now.Sub(drain), d.id)
	}
	if late(off, applyBound) {
		j.fail("configuration", t.id, "route %s, removed for %s, was used through %s", r.name, now.Sub(off), d.id)
	}
	if late(out, outBound) {
		j.fail("data centre out", t.id, "target %s in %s, out for %s, got a flow through %s", t.id, t.zone.name, now.Sub(out), d.id)
	}
}

// reset checks a reset of the system's own on an open flow.
func (j *judge) reset(f *clientFlow, now time.Time) {
	t := f.target
	allowed := t == nil || f.route.gone() || !t.calm.since(now) || !t.holds(f.tuple)
	for _, d := range f.system.daemons {
		// The sender of the reset may be one that is disturbed.
		allowed = allowed || !d.calm.since(now)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checks++
	if !allowed {
		j.fail("open flow", f.tuple.Source().String(), "flow %s:%d on %s, which lives, was reset", f.tuple.Source(), f.tuple.Port, t.id)
	}
}

// run counts that a target runs a request.
func (j *judge) run(id uint64, t *target) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checks += 2
	j.ran[id]++
	if j.once[id] && j.ran[id] > 1 {
		j.fail("at most once", t.id, "request %x ran %d times, last on %s", id, j.ran[id], t.id)
	}
	if j.notRun[id] {
		j.fail("refused means not run", t.id, "request %x ran on %s after its flow was refused", id, t.id)
	}
}

// asked notes a request before it is sent.
func (j *judge) asked(id uint64, once bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if once {
		j.once[id] = true
	}
	if !j.healed.IsZero() && time.Since(j.healed) > stable {
		j.lateAsked++
	}
}

// answered checks an answer against its request.
func (j *judge) answered(id, got uint64, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checks++
	if got != id || !whole {
		j.fail("whole answers", "", "request %x got the answer to %x, whole: %t", id, got, whole)
		return
	}
	j.served++
	if !j.healed.IsZero() && time.Since(j.healed) > stable {
		j.lateServed++
	}
}

func (j *judge) count(n *int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*n++
}

// recovered checks that the system serves again after all faults ended.
func (j *judge) recovered() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checks++
	if j.lateAsked == 0 || j.lateServed*10 < j.lateAsked*9 {
		j.fail("service again", "ready:", "%d of %d requests served after all faults ended", j.lateServed, j.lateAsked)
	}
}

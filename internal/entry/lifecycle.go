package entry

import (
	"context"
	"net/http"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/state/fleet"
)

const (
	// unreadyDelay is how long the fabric may still send packets after the
	// readiness endpoint turned negative: two missed checks of the fabric, plus
	// a margin.
	unreadyDelay = 1300 * clock.Milli(1)
	// quietPeriod is the time without packets after which no more are expected.
	quietPeriod = 400 * clock.Milli(1)
	// lateStopCheck is the time between two calls of mayStop above which the
	// process is assumed to have been paused in between.
	lateStopCheck = 200 * clock.Milli(1)
	// graceMargin is the part of the grace period that is left when a graceful
	// stop ends at the latest.
	graceMargin = 700 * clock.Milli(1)
	// queuedSummaries is the time within which summaries that waited during a pause
	// have been handled.
	queuedSummaries = 100 * clock.Milli(1)
	// doubtTimeout is how long after a pause any target may be cold if no read
	// confirms the view.
	doubtTimeout = 2 * clock.Second
	// settingsInterval is the time between two reads of the settings file.
	settingsInterval = 2 * time.Second
)

func (d *Daemon) runTicks(ctx context.Context) error {
	return duty.Every(ctx, tickInterval, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.tick()
	})
}

// tick advances time and starts the work that has become due. The caller holds
// d.mu.
func (d *Daemon) tick() {
	if elapsed := d.suspendMeter.Elapsed(); elapsed > 0 {
		d.clock.Advance(elapsed)
	}
	now := d.clock.Now()
	d.notePause(now)
	d.lastTick = now
	d.endDoubt(now)
	if d.endUnconfirmed(now) {
		d.releaseHeld(now)
	}
	d.tickCore(now)
	d.logTargetChanges()
	d.logShortPools(now)
	for _, p := range d.core.Probes(now) {
		d.probeQueue <- p // never blocks: the core requests at most as many as the queue holds
	}
	members := d.tickMembership(now)
	if c, ok := d.reader.Next(now); ok {
		d.storeCalls <- c // never blocks: the reader requests no call while one is under way
	}
	d.updateCutOff(now)
	d.logStartup(now)
	if r := d.isReady(); r != d.wasReady {
		d.wasReady = r
		d.startup.end(stepReady, now)
		d.log.infof("ready: %t; known=%t leaving=%t deaf=%t cut=%t peers=%d",
			r, d.core.KnowsDeployment(), d.leaving, d.core.NoTargetAnswers(now), d.withdrawn(), members)
	}
}

// tickCore advances the decisions' time and executes what they have become due for. The
// caller holds d.mu.
func (d *Daemon) tickCore(now clock.Milli) {
	d.core.SetTargetsConfirmed(now - d.reader.Age(now, fleet.Targets))
	d.core.Tick(now)
	d.endKept(now)
	d.forwardReleased(d.core.Releases(now))
	d.discardEnded(now)
	for _, e := range d.core.Resets() {
		d.reset(&e)
		d.metrics.idleFlowsEnded.Inc()
		d.recordReset(now, &e, "silent")
		d.log.sampledf("flow: client=%s service=%s target=%s action=reset reason=%s while=silent",
			e.Tuple.Source(), e.Tuple.Service(), e.Target.ID, e.Reason)
	}
	d.flushResets(now)
}

// logTargetChanges logs what the decisions concluded on targets since the last tick. The
// caller holds d.mu.
func (d *Daemon) logTargetChanges() {
	for _, p := range d.core.SlownessChanges() {
		d.log.sampledf("pace: target=%s slow=%.1f requests=%d", p.ID, p.Slow, p.Requests)
	}
	for _, p := range d.core.SpeedChanges() {
		d.log.sampledf("pace: target=%s learned=%t ratio=%.2f requests=%d", p.ID, p.Differs, p.Ratio, p.Requests)
	}
	for _, p := range d.core.WithholdingChanges() {
		d.log.sampledf("pace: target=%s withheld=%t unanswered=%d requests=%d usual=%.3f", p.ID, p.Withheld, p.Unanswered, p.Requests, p.Usual)
	}
	for _, p := range d.core.Restarts() {
		d.metrics.restartsSuspected.Inc()
		d.log.sampledf("restart: target=%s may have started anew: refused=%t away=%dms cold=%dms", p.ID, p.Refused, p.Away, p.Cold)
	}
	for _, p := range d.core.PathChanges() {
		d.log.sampledf("path: dc=%s broken=%t misses=%d targets=%d", p.DataCentre, p.Broken, p.Misses, p.Targets)
	}
}

// tickMembership passes the present membership on to the decisions and the reader, sends
// the summaries that are due, and returns the number of members. The caller holds d.mu.
func (d *Daemon) tickMembership(now clock.Milli) int {
	d.membership.Forget(now)
	members := d.membership.Members(now)
	d.core.SetAdmitter(func(code fleet.Code) bool { return d.membership.Admits(now, code) }, members+1, d.membership.Sharers(now))
	d.core.SetPlace(steer.Place(d.membership.Place(now)))
	d.reader.SetRank(d.membership.Rank(now), d.membership.Alive(now) == 0)
	reportSoon, changed := d.core.TakeReportSoon(), d.reader.TakeChanged()
	d.noteKnown(now)
	d.summaryUrgent = d.summaryUrgent || reportSoon || changed || d.membership.HasJoined()
	d.sendSummaries(now)
	return members
}

// noteKnown updates the conclusion whether the whole fleet is new until this daemon knows
// the deployment. In a new fleet it then announces that to its peers. The caller holds
// d.mu.
func (d *Daemon) noteKnown(now clock.Milli) {
	switch {
	case d.wasKnown:
	case d.core.KnowsDeployment():
		d.wasKnown = true
		if d.reader.NewFleet() {
			d.membership.AnnounceToUninformed(now)
		}
	default:
		informed, uninformed := d.membership.Informed()
		d.reader.RecordStart(now, informed, uninformed)
	}
}

// notePause discards what a pause of this process has made old. The caller holds d.mu.
func (d *Daemon) notePause(now clock.Milli) {
	if now-d.lastTick <= pauseThreshold || d.resumedAt > d.lastTick {
		return
	}
	d.log.infof("pause: process did not run for %dms; confirmation ages discarded", now-d.lastTick)
	d.reader.InvalidateAges()
	d.resumedAt = now
	d.core.SetDoubtful(true)
}

// endDoubt ends the doubt after a pause once the targets were confirmed by a read that
// began after it, or after doubtTimeout. Summaries that waited during the pause state
// ages that are too low, so the read must have begun queuedSummaries later. The caller
// holds d.mu.
func (d *Daemon) endDoubt(now clock.Milli) {
	confirmed := now - d.reader.Age(now, fleet.Targets)
	if confirmed > d.resumedAt+queuedSummaries || now-d.resumedAt > doubtTimeout {
		d.core.SetDoubtful(false)
		d.reader.SettleAges()
	}
}

// endUnconfirmed ends the doubt of a start once the store, or a peer that has read it,
// confirms the targets. It reports whether that is so from now on. The caller holds d.mu.
func (d *Daemon) endUnconfirmed(now clock.Milli) bool {
	if !d.core.Unconfirmed() || !d.reader.Fresh(now, fleet.Targets) {
		return false
	}
	d.core.SetUnconfirmed(false)
	return true
}

// isReady reports whether the fabric should send packets to this daemon. The
// caller holds d.mu.
func (d *Daemon) isReady() bool {
	return d.core.KnowsDeployment() && !d.leaving && !d.core.NoTargetAnswers(d.lastTick) && !d.withdrawn() && !d.awaitsKept()
}

// readyHandler serves the readiness endpoint.
func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		ready := d.isReady()
		d.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// awaitLeave waits for Leave and calls stop when the graceful stop is complete.
func (d *Daemon) awaitLeave(ctx context.Context, stop func()) {
	defer stop()
	select {
	case <-ctx.Done():
		return
	case <-d.leave:
	}
	d.mu.Lock()
	d.leaving, d.summaryUrgent = true, true
	d.leftAt = d.clock.Now()
	d.lastStopCheck = d.leftAt
	d.log.infof("stop: no longer ready; handles remaining packets for at most %dms", d.cfg.Bounds.Grace-graceMargin)
	d.mu.Unlock()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for !d.mayStop() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// mayStop reports whether a graceful stop may end: the fabric no longer sends
// packets, or the grace period is almost over.
func (d *Daemon) mayStop() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if now-d.lastStopCheck > lateStopCheck {
		d.lastPacket = now // packets may wait unread in the socket
	}
	d.lastStopCheck = now
	since := now - d.leftAt
	stop := since > d.cfg.Bounds.Grace-graceMargin || since > unreadyDelay && now-d.lastPacket > quietPeriod
	if stop {
		d.forwardReleased(d.core.ReleaseAll(now))
	}
	return stop
}

// watchSettings reloads the settings file periodically, to apply changes that
// were made without a signal.
func (d *Daemon) watchSettings(ctx context.Context) error {
	return duty.Every(ctx, settingsInterval, func() { d.Reload("file") })
}

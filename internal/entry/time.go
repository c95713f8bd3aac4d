package entry

import (
	"context"
	"net/http"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/state/fleet"
)

const (
	// leftFor is how long after the ready endpoint turned negative the fabric
	// may still send packets: two of its misses, and some.
	leftFor = 1300 * clock.Milli(1)
	// quietFor is the silence after which no more packets are expected.
	quietFor = 400 * clock.Milli(1)
	// lateLook is the time between two looks at whether packets still come that
	// means that the process did not run in between.
	lateLook = 200 * clock.Milli(1)
	// stopMargin is what is left of the grace period at the latest end.
	stopMargin = 700 * clock.Milli(1)
	// settingsEvery is the time between two looks at the settings file.
	settingsEvery = 2 * time.Second
)

func (d *Daemon) ticks(ctx context.Context) error {
	return duty.Every(ctx, tickEvery, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.tick()
	})
}

// tick advances time. The lock is held.
func (d *Daemon) tick() {
	if passed := d.suspend.Passed(); passed > 0 {
		d.clock.Skip(passed)
	}
	now := d.clock.Now()
	if now-d.lastTick > pauseLimit {
		d.log.event("pause: did not run for %dms, ages forgotten", now-d.lastTick)
		d.reader.Paused()
	}
	d.lastTick = now
	d.core.Tick(now)
	for _, e := range d.core.Ended() {
		d.plane.Reset(&e.Tuple, e.Ack)
		d.metrics.ended.Inc()
		d.log.sampled("flow: client=%s service=%s target=%s action=reset reason=%s while=silent",
			e.Tuple.Source(), e.Tuple.Service(), e.Target.ID, e.Reason)
	}
	for _, p := range d.core.Paces() {
		d.log.sampled("pace: target=%s slow=%.1f requests=%d", p.ID, p.Slow, p.Requests)
	}
	for _, p := range d.core.Paths() {
		d.log.sampled("path: dc=%s broken=%t misses=%d targets=%d", p.DataCentre, p.Broken, p.Misses, p.Targets)
	}
	for _, p := range d.core.Probes(now) {
		d.probes <- p // the core asks for no more than the ring holds
	}
	d.crowd.Forget(now)
	members := d.crowd.Members(now)
	d.core.SetAdmitter(func(code fleet.Code) bool { return d.crowd.Admits(now, code) }, members+1)
	d.reader.SetRank(d.crowd.Rank(now), d.crowd.Alive(now) == 0)
	alarm, news := d.core.Alarm(), d.reader.News()
	d.news = d.news || alarm || news || d.crowd.Greets()
	d.tell(now)
	if c, ok := d.reader.Next(now); ok {
		d.calls <- c // the ring is empty while no call is under way
	}
	d.judgeCut(now)
	if r := d.isReady(); r != d.wasReady {
		d.wasReady = r
		d.log.event("ready: %t; known=%t leaving=%t deaf=%t cut=%t peers=%d",
			r, d.core.Known(), d.leaving, d.core.Deaf(now), d.withdrawn(), members)
	}
}

func (d *Daemon) isReady() bool {
	return d.core.Known() && !d.leaving && !d.core.Deaf(d.lastTick) && !d.withdrawn()
}

// readyHandler tells the platform whether to send packets.
func (d *Daemon) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+d.wire.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		ready := d.isReady()
		d.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// awaitLeave ends the daemon when a graceful stop is done.
func (d *Daemon) awaitLeave(ctx context.Context, stop func()) {
	defer stop()
	select {
	case <-ctx.Done():
		return
	case <-d.leave:
	}
	d.mu.Lock()
	d.leaving, d.news = true, true
	d.leftAt = d.clock.Now()
	d.lastLook = d.leftAt
	d.log.event("stop: no longer ready, goes on for %dms at most", d.cfg.Bounds.Grace-stopMargin)
	d.mu.Unlock()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for !d.mayStop() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// mayStop reports whether the fabric sends no more packets, or the grace
// period ends.
func (d *Daemon) mayStop() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if now-d.lastLook > lateLook {
		d.lastPacket = now // others may have waited unread
	}
	d.lastLook = now
	since := now - d.leftAt
	if since > d.cfg.Bounds.Grace-stopMargin {
		return true
	}
	return since > leftFor && now-d.lastPacket > quietFor
}

// watchSettings looks for changes of the settings that came without a signal.
func (d *Daemon) watchSettings(ctx context.Context) error {
	return duty.Every(ctx, settingsEvery, func() { d.Reload("file") })
}

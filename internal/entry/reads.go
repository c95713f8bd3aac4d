package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/fresh"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// callTimeout is what a call may take beyond the time it waits.
const callTimeout = 700 * time.Millisecond

// reads makes the calls that the reader asks for.
func (d *Daemon) reads(ctx context.Context) error {
	d.mu.Lock()
	if len(d.calls) == 0 {
		d.reader.Abandon()
	}
	d.mu.Unlock()
	return duty.Drain(ctx, d.calls, func(c fresh.Call) { d.readAll(ctx, c) })
}

// readAll makes a call and those that follow from it at once.
func (d *Daemon) readAll(ctx context.Context, c fresh.Call) {
	for ok := true; ok && ctx.Err() == nil; {
		began := d.clock.Now()
		u, err := d.read(ctx, c)
		if ctx.Err() != nil {
			return // the daemon stops: that says nothing of the store
		}
		d.mu.Lock()
		c, ok = d.readDone(began, c, u, err)
		d.mu.Unlock()
	}
}

// readDone takes the end of a call and returns the next one.
func (d *Daemon) readDone(began clock.Milli, c fresh.Call, u *fleet.Update, err error) (fresh.Call, bool) {
	now := d.clock.Now()
	d.metrics.call(c.Topic, err, now-began)
	outcome := fresh.Read
	rev := schema.Version(0)
	switch {
	case err == nil:
		rev = u.Rev
		d.apply(now, u, "store")
	case errorx.IsOfType(err, object.Compacted):
		outcome = fresh.Lost
		d.log.event("store: %s", err)
	default:
		outcome = fresh.Failed
		d.trouble(now, err)
	}
	d.reader.Done(now, began, c, outcome, rev)
	if outcome == fresh.Read {
		d.regained(now)
	}
	return d.reader.Next(now)
}

// read makes one call, with all pages of a list.
func (d *Daemon) read(ctx context.Context, c fresh.Call) (*fleet.Update, error) {
	var f object.Facts
	var err error
	if c.List {
		f, err = d.store.AllFacts(ctx, c.Topic, c.Stale)
	} else {
		f, err = d.store.NewFacts(ctx, c.Topic, c.Since, c.Wait)
	}
	d.bad(f.Bad)
	return &f.Update, err
}

// bad logs objects that could not be read.
func (d *Daemon) bad(list []error) {
	for _, err := range list {
		d.metrics.badObject.Inc()
		d.log.sampled("store: object left out: %s", err)
	}
}

// apply takes news of a topic. The lock is held.
func (d *Daemon) apply(now clock.Milli, u *fleet.Update, from string) {
	news := d.core.Apply(now, u)
	d.release(now) // an empty list may be all that was missing
	if !news {
		return
	}
	d.news = true
	version := int64(0)
	if t := d.core.Book().Table(); t != nil {
		version = t.Version
	}
	d.log.sampled("belief: topic=%s revision=%d from=%s full=%t targets=%d gone=%d outs=%d config=%d",
		u.Topic, u.Rev, from, u.Full, len(u.Targets), len(u.Gone), len(u.Outs), version)
}

// trouble notes a failed call. The lock is held.
func (d *Daemon) trouble(now clock.Milli, err error) {
	if d.troubled == clock.Never {
		d.log.event("store: lost: %s; oldest_age=%dms", err, d.reader.Oldest(now))
	}
	d.troubled = now
	d.core.Trouble(now)
}

// regained notes a call that succeeded after one that failed.
func (d *Daemon) regained(now clock.Milli) {
	if d.troubled != clock.Never {
		d.log.event("store: regained; last_failure=%dms ago", now-d.troubled)
		d.troubled = clock.Never
	}
}

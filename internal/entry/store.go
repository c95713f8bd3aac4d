package entry

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// fromStore names the store as the source of a change or of a proof.
const fromStore = "store"

// runStoreReads makes the calls to the store that the reader requests.
func (d *Daemon) runStoreReads(ctx context.Context) error {
	d.mu.Lock()
	if len(d.storeCalls) == 0 {
		d.reader.Abandon() // an earlier run of this duty may have ended during a call
	}
	d.mu.Unlock()
	return duty.Consume(ctx, d.storeCalls, func(c watch.Call) { d.readUntilIdle(ctx, c) })
}

// readUntilIdle makes a call, and then the next ones for as long as the reader
// requests another one immediately.
func (d *Daemon) readUntilIdle(ctx context.Context, c watch.Call) {
	for ok := true; ok && ctx.Err() == nil; {
		began := d.clock.Now()
		u, err := d.read(ctx, c)
		if ctx.Err() != nil {
			return // the daemon is stopping, so the error doesn't indicate a store failure
		}
		d.mu.Lock()
		c, ok = d.finishRead(began, c, u, err)
		d.mu.Unlock()
	}
}

// finishRead processes the result of a call and returns the next call to make,
// if any. The caller holds d.mu.
func (d *Daemon) finishRead(began clock.Milli, c watch.Call, u *fleet.Update, err error) (watch.Call, bool) {
	now := d.clock.Now()
	d.metrics.observeStoreCall(c.Topic, err, now-began)
	outcome := watch.Read
	rev := schema.Version(0)
	if u != nil {
		d.noteEra(now, u.Rev.Era(), fromStore)
	}
	switch {
	case err == nil:
		rev = u.Rev
		d.apply(now, u, fromStore)
	case errorx.IsOfType(err, object.Compacted):
		outcome = watch.HistoryLost
		d.log.infof("store: %s", err)
	default:
		outcome = watch.Failed
		d.noteStoreFailure(now, err)
	}
	proof := d.reader.Proof(c.Topic)
	d.reader.Done(now, began, c, outcome, rev)
	if d.reader.Proof(c.Topic) != proof {
		d.provedBy[c.Topic] = fromStore
		d.core.Replica().Prove(c.Topic, d.reader.Proof(c.Topic).Rev)
	}
	if outcome == watch.Read {
		d.noteStoreSuccess(now)
	}
	d.endUnconfirmed(now)
	d.releaseHeld(now) // even if nothing changed: an empty list can make the deployment known
	return d.reader.Next(now)
}

// read makes one call to the store; a list includes all its pages.
func (d *Daemon) read(ctx context.Context, c watch.Call) (*fleet.Update, error) {
	var u object.TopicUpdate
	var err error
	store := d.store.Within(c.Timeout.Duration())
	if c.List {
		u, err = store.ListTopic(ctx, c.Topic, c.Stale)
	} else {
		u, err = store.WatchTopic(ctx, c.Topic, c.Since, c.Wait)
	}
	d.logBadObjects(c.Topic, u.Errors)
	if c.Topic == fleet.Config && err == nil {
		d.noteConfig(&u)
	}
	if err != nil {
		u.Update.Rev = schema.NewVersion(store.Era(), 0)
	}
	return &u.Update, err
}

// noteConfig records whether the store's configuration could be decoded.
func (d *Daemon) noteConfig(u *object.TopicUpdate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.configUnread = len(u.Errors) > 0 && u.Update.Table == nil
}

// logBadObjects logs and counts the objects that could not be decoded. Those of the
// configuration are never sampled out, but logged once if they are read again.
func (d *Daemon) logBadObjects(t fleet.Topic, errs []error) {
	d.metrics.badObjects.Add(len(errs))
	if t == fleet.Config {
		text := fmt.Sprint(errs)
		if len(errs) > 0 && text != d.lastConfigErrors {
			d.log.infof("config: left out: %s", text)
		}
		d.lastConfigErrors = text
		return
	}
	for _, err := range errs {
		d.log.sampledf("store: object left out: %s", err)
	}
}

// apply applies an update of a topic that came from the store or a peer. The reader is
// told next; releaseHeld comes after that. The caller holds d.mu.
func (d *Daemon) apply(now clock.Milli, u *fleet.Update, from string) {
	before, _ := d.configVersion()
	d.core.SetTargetsConfirmed(now - d.reader.Age(now, fleet.Targets))
	changed := d.core.Apply(now, u)
	d.noteLearned(now, from)
	d.logKept()
	if !changed {
		return
	}
	d.summaryUrgent = true
	d.learnedFrom[u.Topic] = from
	version, table := d.configVersion()
	if u.Topic == fleet.Config {
		d.log.infof("config: version=%d table=%d before=%d revision=%d from=%s full=%t routes=%d",
			version, table, before, u.Rev, from, u.Full, len(d.core.Replica().Table().Routes))
	}
	d.log.sampledf("belief: topic=%s revision=%d from=%s full=%t targets=%d gone=%d outs=%d config=%d since=%d proved=%d/%dms/%s",
		u.Topic, u.Rev, from, u.Full, len(u.Targets), len(u.Gone), len(u.Outs), version,
		u.Since, d.reader.Proof(u.Topic).Rev, wireAge(d.reader.ProofAge(now, u.Topic)), d.provedBy[u.Topic])
}

// configVersion returns the version of the configuration in force and the revision of
// its object, zero if there is none. The caller holds d.mu.
func (d *Daemon) configVersion() (int64, schema.Version) {
	t := d.core.Replica().Table()
	if t == nil {
		return 0, 0
	}
	return t.Version, t.Rev
}

// noteStoreFailure records a failed call. The caller holds d.mu.
func (d *Daemon) noteStoreFailure(now clock.Milli, err error) {
	if d.storeFailedAt == clock.Never {
		d.log.infof("store: lost: %s; oldest_age=%dms", err, d.reader.OldestAge(now))
	}
	d.storeFailedAt = now
	d.core.RecordStoreFailure(now)
}

// noteStoreSuccess records a successful call, which ends an outage. The caller
// holds d.mu.
func (d *Daemon) noteStoreSuccess(now clock.Milli) {
	if d.storeFailedAt != clock.Never {
		d.log.infof("store: regained; last_failure=%dms ago", now-d.storeFailedAt)
		d.storeFailedAt = clock.Never
	}
}

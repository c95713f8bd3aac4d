package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/fresh"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

var (
	namespace = errorx.NewNamespace("entry")
	// unavailable is the type of calls without a usable answer.
	unavailable = namespace.NewType("unavailable")
	// compacted is the type of answers that the changes are no longer kept.
	compacted = namespace.NewType("compacted")
)

const (
	// callTimeout is what a call may take beyond the time it waits.
	callTimeout = 700 * time.Millisecond
	maxAnswer   = 8 << 20
	maxPages    = 1000
)

// caller makes HTTP calls to the store.
type caller struct {
	base string
	http *http.Client
}

func newCaller(store netip.AddrPort) *caller {
	return &caller{base: "http://" + store.String(), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}}}
}

func (c *caller) close() { c.http.CloseIdleConnections() }

// get returns the body of a successful answer.
func (c *caller) get(ctx context.Context, path string, wait clock.Milli) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, unavailable.Wrap(err, "call %s", path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, unavailable.Wrap(err, "call %s", path)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return nil, unavailable.Wrap(err, "answer to %s broke off", path)
	case resp.StatusCode == http.StatusGone:
		return nil, compacted.New("%s: changes are no longer kept", path)
	case resp.StatusCode != http.StatusOK:
		return nil, unavailable.New("%s: status %s", path, strconv.Itoa(resp.StatusCode))
	}
	return body, nil
}

// reads makes the calls that the reader asks for.
func (d *Daemon) reads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-d.calls:
			d.readAll(ctx, c)
		}
	}
}

// readAll makes a call and those that follow from it at once.
func (d *Daemon) readAll(ctx context.Context, c fresh.Call) {
	for ok := true; ok && ctx.Err() == nil; {
		began := d.clock.Now()
		u, err := d.read(ctx, c)
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
	case errorx.IsOfType(err, compacted):
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
	if !c.List {
		body, err := d.caller.get(ctx, d.wire.Store.Changes(c.Topic, c.Since, c.Wait), c.Wait)
		if err != nil {
			return nil, err
		}
		p, err := d.wire.Store.DecodeChanges(c.Topic, c.Since, body)
		d.bad(p.Bad)
		return &p.Update, err
	}
	var all *fleet.Update
	after := ""
	for range maxPages {
		body, err := d.caller.get(ctx, d.wire.Store.List(c.Topic, after), 0)
		if err != nil {
			return nil, err
		}
		p, err := d.wire.Store.DecodeList(c.Topic, body)
		if err != nil {
			return nil, err
		}
		d.bad(p.Bad)
		if all == nil {
			all = &p.Update // later pages may be newer; changes since the first bring them in line
		} else {
			all.Targets = append(all.Targets, p.Update.Targets...)
			all.Outs = append(all.Outs, p.Update.Outs...)
		}
		if after = p.Next; after == "" {
			return all, nil
		}
	}
	return nil, errors.New("list has too many pages")
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
	if !d.core.Apply(now, u) {
		return
	}
	d.news = true
	version := int64(0)
	if t := d.core.Book().Table(); t != nil {
		version = t.Version
	}
	d.log.sampled("belief: topic=%s revision=%d from=%s full=%t targets=%d gone=%d outs=%d config=%d",
		u.Topic, u.Rev, from, u.Full, len(u.Targets), len(u.Gone), len(u.Outs), version)
	d.release(now)
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

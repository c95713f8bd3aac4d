package serve

import (
	"context"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

// awaitLeave ends the daemon when a graceful stop is done.
func (d *Daemon) awaitLeave(ctx context.Context, stop func()) {
	defer stop()
	select {
	case <-ctx.Done():
		return
	case <-d.leaving:
	}
	d.log.Info("daemon: leaves")
	d.With(func(_ clock.Milli, m *daemon.Machine) { m.Leave() })
	d.unregister(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(d.cfg.LeaveSeconds) * time.Second):
	}
}

const (
	registerEvery = time.Second
	registerTries = 3
)

// register keeps the daemon's registration on the platform.
func (d *Daemon) register(ctx context.Context) error {
	t := time.NewTicker(registerEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.leaving:
			<-ctx.Done()
			return ctx.Err()
		case <-t.C:
		}
		if d.registered() {
			continue
		}
		if err := d.putMember(ctx); err != nil {
			d.log.Debugf("platform: not registered: %s", err)
		}
	}
}

// registered reports whether the view shows this daemon's registration.
func (d *Daemon) registered() bool {
	found := false
	d.With(func(_ clock.Milli, m *daemon.Machine) {
		for _, p := range m.View().Members() {
			found = found || *p == d.cfg.Member()
		}
	})
	return found
}

func (d *Daemon) memberID() object.ID {
	return object.ID{Kind: object.Member, Name: string(d.cfg.ID)}
}

func (d *Daemon) putMember(ctx context.Context) error {
	o, err := d.platform.Get(ctx, d.memberID())
	if err != nil {
		return err
	}
	member := d.cfg.Member()
	if old, err := schema.Decode[schema.Member](o.Data); o.Version != 0 && err == nil && *old == member {
		return nil
	}
	_, err = d.platform.Put(ctx, d.memberID(), o.Version, mustJSON(member))
	return err
}

// unregister removes the registration, so that the fabric stops sending. The
// stop goes on if the platform does not answer: the list is only a hint.
func (d *Daemon) unregister(ctx context.Context) {
	for range registerTries {
		o, err := d.platform.Get(ctx, d.memberID())
		if err == nil && o.Version != 0 {
			_, err = d.platform.Delete(ctx, d.memberID(), o.Version)
		}
		if err == nil {
			return
		}
		d.log.Debugf("platform: registration not removed: %s", err)
	}
}

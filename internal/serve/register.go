package serve

import (
	"context"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

// awaitLeave waits for Leave, performs the graceful stop and calls stop.
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
	registerInterval   = time.Second
	unregisterAttempts = 3
)

// register writes the daemon's registration to the platform whenever the view
// doesn't show it, until a graceful stop begins.
func (d *Daemon) register(ctx context.Context) error {
	t := time.NewTicker(registerInterval)
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
			d.log.Debugf("platform: registration failed: %s", err)
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

// memberID returns the ID of the registration's object.
func (d *Daemon) memberID() object.ID {
	return object.ID{Kind: object.Member, Name: string(d.cfg.ID)}
}

// putMember writes the registration unless the platform has it already.
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

// unregister removes the registration, so that the fabric stops sending packets
// to this daemon. If the platform doesn't respond, the stop continues: the list
// of registrations is only a hint to the fabric.
func (d *Daemon) unregister(ctx context.Context) {
	for range unregisterAttempts {
		o, err := d.platform.Get(ctx, d.memberID())
		if err == nil && o.Version != 0 {
			_, err = d.platform.Delete(ctx, d.memberID(), o.Version)
		}
		if err == nil {
			return
		}
		d.log.Debugf("platform: removing the registration failed: %s", err)
	}
}

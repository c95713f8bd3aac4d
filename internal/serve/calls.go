package serve

import (
	"context"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/transport/probe"
	"coltsfootdock/pkg/schema"
)

// runSends sends the queued messages to other daemons.
func (d *Daemon) runSends(ctx context.Context) error {
	return duty.Consume(ctx, d.sends, func(s daemon.Send) {
		d.mesh.Send(s.To, s.Message, s.Datagram)
	})
}

// runReads executes the queued reads of the platform.
func (d *Daemon) runReads(ctx context.Context) error {
	return duty.Consume(ctx, d.reads, func(r daemon.Read) {
		start := d.clock.Now()
		changes, err := d.platform.Changes(ctx, r.Since)
		d.metrics.PlatformCall("read", err)
		list := &changes
		if err != nil {
			d.log.Debugf("platform: read failed: %s", err)
			list = nil
		}
		d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output {
			return m.ReadDone(now, start, r.Since, list)
		})
	})
}

// runWrites executes the queued writes to the platform.
func (d *Daemon) runWrites(ctx context.Context) error {
	return duty.Consume(ctx, d.writes, func(w daemon.Write) {
		v, err := d.write(ctx, w)
		d.metrics.PlatformCall("write", err)
		if err != nil {
			d.log.Infof("planner: %s %s not written: %s", w.ID.Kind, w.ID.Name, err)
		} else {
			d.log.Infof("planner: %s %s is version %d", w.ID.Kind, w.ID.Name, v)
		}
		d.event(func(_ clock.Milli, m *daemon.Machine) daemon.Output {
			m.WriteDone()
			return daemon.Output{}
		})
	})
}

// write sends one conditional update to the platform.
func (d *Daemon) write(ctx context.Context, w daemon.Write) (schema.Version, error) {
	if w.Data == nil {
		return d.platform.Delete(ctx, w.ID, w.Expect)
	}
	return d.platform.Put(ctx, w.ID, w.Expect, w.Data)
}

// runProbes executes the queued probes of targets.
func (d *Daemon) runProbes(ctx context.Context) error {
	p := probe.New()
	defer p.Close()
	return duty.Consume(ctx, d.probes, func(q daemon.Probe) {
		r := p.Probe(ctx, q.Handle, q.Target)
		d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output {
			m.ProbeDone(now, r)
			return daemon.Output{}
		})
	})
}

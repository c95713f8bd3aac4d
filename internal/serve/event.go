package serve

import (
	"context"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/peer"
)

// With runs f with the core locked.
func (d *Daemon) With(f func(now clock.Milli, m *daemon.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.clock.Now(), d.core)
}

// event runs one event of the core and passes on what it asks for.
func (d *Daemon) event(f func(now clock.Milli, m *daemon.Machine) daemon.Output) {
	d.mu.Lock()
	out := f(d.clock.Now(), d.core)
	d.mu.Unlock()
	for _, r := range out.Reads {
		push(d, d.reads, r, "reads")
	}
	for _, w := range out.Writes {
		push(d, d.writes, w, "writes")
	}
	for _, p := range out.Probes {
		push(d, d.probes, p, "probes")
	}
	for _, s := range out.Sends {
		push(d, d.sends, s, "sends")
	}
}

func push[T any](d *Daemon, ring chan T, v T, name string) {
	select {
	case ring <- v:
	default:
		d.metrics.RingFull(name)
	}
}

func (d *Daemon) tick(ctx context.Context) error {
	return duty.Every(ctx, tickEvery, func() {
		d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output { return m.Tick(now) })
	})
}

func (d *Daemon) onPeer(msg *peer.Message) {
	d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output { return m.Peer(now, msg) })
}

package serve

import (
	"context"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/peer"
)

// With calls f while the core is locked.
func (d *Daemon) With(f func(now clock.Milli, m *daemon.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.clock.Now(), d.core)
}

// event handles one event in the core and queues the requests that result.
func (d *Daemon) event(f func(now clock.Milli, m *daemon.Machine) daemon.Output) {
	d.mu.Lock()
	out := f(d.clock.Now(), d.core)
	d.mu.Unlock()
	for _, r := range out.Reads {
		enqueue(d, d.reads, r, "reads")
	}
	for _, w := range out.Writes {
		enqueue(d, d.writes, w, "writes")
	}
	for _, p := range out.Probes {
		enqueue(d, d.probes, p, "probes")
	}
	for _, s := range out.Sends {
		enqueue(d, d.sends, s, "sends")
	}
}

// enqueue adds a request to a queue, or drops and counts it if the queue is full.
// name is the queue's label in the metrics.
func enqueue[T any](d *Daemon, queue chan T, v T, name string) {
	select {
	case queue <- v:
	default:
		d.metrics.QueueFull(name)
	}
}

// runTicks passes the time to the core at each tickInterval.
func (d *Daemon) runTicks(ctx context.Context) error {
	return duty.Every(ctx, tickInterval, func() {
		d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output { return m.Tick(now) })
	})
}

// onPeer passes a message of another daemon to the core.
func (d *Daemon) onPeer(msg *peer.Message) {
	d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output { return m.Peer(now, msg) })
}

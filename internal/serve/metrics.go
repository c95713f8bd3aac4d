package serve

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/transport/mesh"
	"coltsfootdock/internal/transport/packet"
	"coltsfootdock/pkg/schema"
)

// Metrics are the metrics of one daemon.
type Metrics struct {
	set     *metrics.Set
	faults  [geneve.Faults]*metrics.Counter
	dropped [daemon.Reasons]*metrics.Counter
	actions [actionCount]*metrics.Counter
	unsent  *metrics.Counter
	// sizes is used only by the packet service.
	sizes map[sizeKey]*metrics.Histogram
}

// sizeKey identifies a histogram of packet sizes: a team's route.
type sizeKey struct {
	team  schema.Team
	route schema.Name
}

// actionCount is the number of values of daemon.Action.
const actionCount = 4

// actionNames are the metric labels of the values of daemon.Action.
var actionNames = [actionCount]string{"drop", "deliver", "forward", "refuse"}

// NewMetrics returns the metrics of d.
func NewMetrics(d *Daemon) *Metrics {
	m := &Metrics{set: metrics.NewSet(), sizes: make(map[sizeKey]*metrics.Histogram)}
	for f := range m.faults {
		m.faults[f] = m.set.NewCounter(fmt.Sprintf(`coltsfootdock_malformed_total{reason=%q}`, geneve.Fault(f)))
	}
	for r := range m.dropped {
		m.dropped[r] = m.set.NewCounter(fmt.Sprintf(`coltsfootdock_dropped_total{reason=%q}`, daemon.Reason(r)))
	}
	for a := range m.actions {
		m.actions[a] = m.set.NewCounter(fmt.Sprintf(`coltsfootdock_packets_total{action=%q}`, actionNames[a]))
	}
	m.unsent = m.set.NewCounter("coltsfootdock_unsent_total")
	gauge := func(name string, f func(now clock.Milli, m *daemon.Machine) float64) {
		m.set.NewGauge(name, func() (v float64) {
			d.With(func(now clock.Milli, core *daemon.Machine) { v = f(now, core) })
			return v
		})
	}
	gauge("coltsfootdock_flow_records", func(_ clock.Milli, c *daemon.Machine) float64 { return float64(c.Records()) })
	gauge("coltsfootdock_revision", func(_ clock.Milli, c *daemon.Machine) float64 { return float64(c.View().Revision()) })
	gauge("coltsfootdock_view_fresh", func(now clock.Milli, c *daemon.Machine) float64 {
		if c.Members().Fresh(now, c.View().Revision()) {
			return 1
		}
		return 0
	})
	return m
}

// Packets returns the counters of the data plane.
func (m *Metrics) Packets() packet.Counters {
	return packet.Counters{
		Fault:   func(f geneve.Fault) { m.faults[f].Inc() },
		Verdict: m.verdict,
		Unsent:  m.unsent.Inc,
	}
}

// verdict counts one decided packet.
func (m *Metrics) verdict(v *daemon.Verdict, bytes int) {
	m.actions[v.Action].Inc()
	if v.Action == daemon.Drop {
		m.dropped[v.Reason].Inc()
	}
	if v.Name == "" {
		return
	}
	key := sizeKey{team: v.Team, route: v.Name}
	h := m.sizes[key]
	if h == nil {
		h = m.set.GetOrCreateHistogram(fmt.Sprintf(`coltsfootdock_packet_bytes{team=%q,route=%q}`, key.team, key.route))
		m.sizes[key] = h
	}
	h.Update(float64(bytes))
}

// Mesh returns the counters of the mesh.
func (m *Metrics) Mesh() mesh.Counters {
	sent := m.set.NewCounter("coltsfootdock_peer_sent_bytes_total")
	received := m.set.NewCounter("coltsfootdock_peer_received_bytes_total")
	dropped := m.set.NewCounter("coltsfootdock_peer_dropped_total")
	bad := m.set.NewCounter("coltsfootdock_peer_bad_total")
	return mesh.Counters{Sent: func(n int) { sent.Add(n) }, Received: func(n int) { received.Add(n) }, Dropped: dropped.Inc, Bad: bad.Inc}
}

// QueueFull counts a request that was dropped because its queue was full.
func (m *Metrics) QueueFull(name string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`coltsfootdock_ring_full_total{ring=%q}`, name)).Inc()
}

// PlatformCall counts a call to the platform by its outcome.
func (m *Metrics) PlatformCall(call string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`coltsfootdock_platform_calls_total{call=%q,outcome=%q}`, call, outcome)).Inc()
}

// Write writes the metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// mustJSON encodes a value of a type whose encoding can't fail.
func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // only a programming error gets here
	}
	return data
}

// decide returns the core's verdict on one packet and this daemon's relay header.
func (d *Daemon) decide(p *geneve.Packet) (daemon.Verdict, geneve.Relay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.core.Decide(d.clock.Now(), p)
	return v, geneve.Relay{From: d.core.Members().Num()}
}

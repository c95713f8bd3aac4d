package entry

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/transport/edge"
)

// instruments are the metrics of one daemon.
type instruments struct {
	set             *metrics.Set
	verdicts        [steer.Actions][steer.Reasons]*metrics.Counter
	opens           [fleet.Classes]*metrics.Counter
	storeCalls      [fleet.Topics]*metrics.Histogram
	storeFailed     *metrics.Counter
	malformed       *metrics.Counter
	unsent          *metrics.Counter
	badObjects      *metrics.Counter
	badPeerMessages *metrics.Counter
	peerSentBytes   *metrics.Counter
	idleFlowsEnded  *metrics.Counter
	// restartsSuspected counts the targets that answered again after a loss and were taken
	// for cold.
	restartsSuspected *metrics.Counter
	probes            [steer.Outcomes]*metrics.Counter
	openFlowsReset    map[steer.ProofKind]*metrics.Counter
	omittedLines      *metrics.Counter
	// viewsDiffer counts the summaries of peers that hold other objects of a topic
	// at the same revision.
	viewsDiffer [fleet.Topics]*metrics.Counter
	// queueFull counts packets dropped as the queue had no space, discarded those
	// flows whose wait ended without an answer, waited how long requests waited.
	queueFull *metrics.Counter
	discarded [steer.Reasons]*metrics.Counter
	waited    [fleet.Classes]*metrics.Histogram
}

func newInstruments(d *Daemon) *instruments {
	s := metrics.NewSet()
	m := &instruments{
		set:               s,
		storeFailed:       s.NewCounter("coltsfootdock_store_failed_total"),
		malformed:         s.NewCounter("coltsfootdock_malformed_total"),
		unsent:            s.NewCounter("coltsfootdock_unsent_total"),
		badObjects:        s.NewCounter("coltsfootdock_bad_objects_total"),
		badPeerMessages:   s.NewCounter("coltsfootdock_peer_bad_total"),
		peerSentBytes:     s.NewCounter("coltsfootdock_peer_sent_bytes_total"),
		idleFlowsEnded:    s.NewCounter("coltsfootdock_idle_flows_ended_total"),
		restartsSuspected: s.NewCounter("coltsfootdock_restarts_suspected_total"),
		omittedLines:      s.NewCounter("coltsfootdock_log_lines_omitted_total"),
		queueFull:         s.NewCounter("coltsfootdock_queue_full_total"),
		openFlowsReset:    make(map[steer.ProofKind]*metrics.Counter),
	}
	for _, k := range steer.ProofKinds {
		m.openFlowsReset[k] = s.NewCounter(fmt.Sprintf(`coltsfootdock_open_flows_reset_total{proof=%q}`, k))
	}
	for _, r := range []steer.Reason{steer.FlowEnded, steer.TimedOut} {
		m.discarded[r] = s.NewCounter(fmt.Sprintf(`coltsfootdock_wait_ended_total{reason=%q}`, r))
	}
	for c := range m.waited {
		m.waited[c] = s.NewHistogram(fmt.Sprintf(`coltsfootdock_request_wait_seconds{class=%q}`, fleet.Class(c)))
	}
	for a := range m.verdicts {
		for r := range m.verdicts[a] {
			m.verdicts[a][r] = s.NewCounter(fmt.Sprintf(`coltsfootdock_packets_total{action=%q,reason=%q}`, steer.Action(a), steer.Reason(r)))
		}
	}
	for c := range m.opens {
		m.opens[c] = s.NewCounter(fmt.Sprintf(`coltsfootdock_opens_total{class=%q}`, fleet.Class(c)))
	}
	for o := range m.probes {
		m.probes[o] = s.NewCounter(fmt.Sprintf(`coltsfootdock_probes_total{outcome=%q}`, steer.Outcome(o)))
	}
	for t := range fleet.Topics {
		m.viewsDiffer[t] = s.NewCounter(fmt.Sprintf(`coltsfootdock_views_differ_total{topic=%q}`, t))
		m.storeCalls[t] = s.NewHistogram(fmt.Sprintf(`coltsfootdock_store_call_seconds{topic=%q}`, t))
	}
	gauge := func(name string, f func(now clock.Milli) float64) {
		s.NewGauge(name, func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return f(d.clock.Now())
		})
	}
	gauge("coltsfootdock_view_age_seconds", func(now clock.Milli) float64 {
		return float64(d.reader.OldestAge(now)) / float64(clock.Second)
	})
	for t := range fleet.Topics {
		gauge(fmt.Sprintf(`coltsfootdock_topic_revision{topic=%q}`, t), func(clock.Milli) float64 { return float64(d.core.Replica().Rev(t).Revision()) })
		gauge(fmt.Sprintf(`coltsfootdock_topic_kept{topic=%q}`, t), func(clock.Milli) float64 { return float64(d.core.Replica().Kept(t)) })
		gauge(fmt.Sprintf(`coltsfootdock_topic_age_seconds{topic=%q}`, t), func(now clock.Milli) float64 {
			return float64(d.reader.Age(now, t)) / float64(clock.Second)
		})
		gauge(fmt.Sprintf(`coltsfootdock_topic_proof_age_seconds{topic=%q}`, t), func(now clock.Milli) float64 {
			return float64(d.reader.ProofAge(now, t)) / float64(clock.Second)
		})
		gauge(fmt.Sprintf(`coltsfootdock_topic_unproved_revisions{topic=%q}`, t), func(clock.Milli) float64 {
			rev, proved := d.core.Replica().Rev(t), d.reader.Proof(t).Rev
			if proved.Era() != rev.Era() {
				proved = 0
			}
			return float64((rev - proved).Revision())
		})
	}
	for step := range startupSteps {
		gauge(fmt.Sprintf(`coltsfootdock_start_seconds{step=%q}`, step), func(clock.Milli) float64 { return d.startup.seconds(step) })
	}
	gauge("coltsfootdock_config_unread", func(clock.Milli) float64 {
		if d.configUnread {
			return 1
		}
		return 0
	})
	gauge("coltsfootdock_config_version", func(clock.Milli) float64 {
		version, _ := d.configVersion()
		return float64(version)
	})
	gauge("coltsfootdock_config_table_revision", func(clock.Milli) float64 {
		_, table := d.configVersion()
		return float64(table.Revision())
	})
	gauge("coltsfootdock_store_era", func(clock.Milli) float64 { return float64(d.reader.Era()) })
	gauge("coltsfootdock_peers_other_version", func(now clock.Milli) float64 { return float64(d.otherVersions(now)) })
	gauge("coltsfootdock_peers_alive", func(now clock.Milli) float64 { return float64(d.membership.Members(now)) })
	gauge("coltsfootdock_waiting_requests", func(clock.Milli) float64 { return float64(d.core.Waiting()) })
	gauge("coltsfootdock_targets_learned_speed", func(clock.Milli) float64 { return float64(d.core.LearnedSpeeds()) })
	gauge("coltsfootdock_targets_withheld", func(now clock.Milli) float64 { return float64(d.core.Withheld(now)) })
	gauge("coltsfootdock_flows", func(clock.Milli) float64 { return float64(d.core.Flows()) })
	return m
}

// dataPlaneCounters returns the counters that the data plane increments itself.
func (m *instruments) dataPlaneCounters() edge.Counters {
	return edge.Counters{Malformed: m.malformed.Inc, Unsent: m.unsent.Inc}
}

func (m *instruments) countVerdict(v *steer.Verdict) {
	m.verdicts[v.Action][v.Reason].Inc()
	if v.Reason == steer.Opened && v.Route != nil {
		m.opens[v.Route.Class].Inc()
	}
}

func (m *instruments) observeStoreCall(t fleet.Topic, err error, took clock.Milli) {
	m.storeCalls[t].Update(took.Duration().Seconds())
	if err != nil {
		m.storeFailed.Inc()
	}
}

// writePoolMetrics writes the gauges of the pools, which come and go with the
// configuration.
func (d *Daemon) writePoolMetrics(w io.Writer) {
	d.mu.Lock()
	pools := d.core.PoolBeliefs()
	d.mu.Unlock()
	for _, p := range pools {
		gauge := func(name string, value float64) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf(`coltsfootdock_pool_%s{pool=%q}`, name, p.Pool), value)
		}
		gauge("demand_slots", p.Demand)
		gauge("capacity_slots", p.Capacity)
		gauge("limit_requests", p.Limit)
		gauge("share", p.Share)
		gauge("correction", p.Correction)
		for _, x := range p.DataCentres {
			labels := fmt.Sprintf(`{pool=%q,dc=%q}`, p.Pool, x.DataCentre)
			metrics.WriteGaugeFloat64(w, "coltsfootdock_pool_dc_demand_slots"+labels, x.Demand)
			metrics.WriteGaugeFloat64(w, "coltsfootdock_pool_dc_share_slots"+labels, x.Part)
		}
		for _, x := range p.Routes {
			labels := fmt.Sprintf(`{pool=%q,route=%q}`, p.Pool, x.Route)
			metrics.WriteGaugeUint64(w, "coltsfootdock_pool_route_in_flight"+labels, uint64(x.InFlight))
			metrics.WriteGaugeFloat64(w, "coltsfootdock_pool_route_part"+labels, x.Part)
			metrics.WriteGaugeUint64(w, "coltsfootdock_pool_route_waiting"+labels, uint64(x.Waiting))
			for rule, n := range x.Rejected {
				metrics.WriteCounterUint64(w, fmt.Sprintf(`coltsfootdock_pool_route_rejected_total{pool=%q,route=%q,rule=%q}`, p.Pool, x.Route, rule), n)
			}
		}
	}
}

// handler serves the metrics in the Prometheus text format, with those of the pools, and
// the Belief.
func (m *instruments) handler(belief http.HandlerFunc, writePools func(io.Writer)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+BeliefPath, belief)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		m.set.WritePrometheus(w)
		writePools(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

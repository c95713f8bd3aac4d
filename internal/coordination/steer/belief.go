package steer

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// TargetBelief is a daemon's view of one start of a target, as /belief shows it.
// Durations are in milliseconds.
type TargetBelief struct {
	ID         schema.TargetID
	Pool       schema.Name
	DataCentre schema.DataCentreID
	Address    string
	Cookie     string
	Rev        schema.Version
	// Takes is set if new flows may go to the target. Why lists the reasons.
	Takes bool
	Why   []string
	// Learned is the learned service time in usual times, 1 if it is not known to differ.
	// UnansweredShare is the part of the last requests without an answer. Both need the
	// policy Speed.Learn.
	Learned         float64
	UnansweredShare float64
	// Load is the expected extra time of a new request, in usual times of one:
	// see Target.score. Flows and Busy count this daemon's flows and requests,
	// PeerFlows and PeerBusy those of its peers.
	Load      float64
	Flows     int
	Busy      int
	PeerFlows int
	PeerBusy  int
	// Heard is the time since the target last answered this daemon or a peer,
	// negative if it never did.
	Heard clock.Milli
	// Proof is what speaks for and against resetting the target's open flows.
	Proof ResetProof
}

// FlowBelief is a daemon's record of one flow, as /belief shows it. Durations
// are in milliseconds.
type FlowBelief struct {
	Client  string
	Service string
	Target  schema.TargetID
	Route   schema.Name
	// Opening is set until a second packet shows that the target accepted the
	// flow. Asked is how long a request has been without an answer, zero if there
	// is none. Seen is the time since the flow's last packet here.
	Opening bool
	Asked   clock.Milli
	Seen    clock.Milli
	// Next is what the daemon would do with the flow's next packet.
	Next string
}

// Beliefs returns the daemon's view of all targets, sorted by ID.
func (c *Core) Beliefs(now clock.Milli) []TargetBelief {
	list := make([]TargetBelief, 0, len(c.targets))
	for _, t := range c.targets {
		list = append(list, c.targetBelief(now, t))
	}
	slices.SortStableFunc(list, func(x, y TargetBelief) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

func (c *Core) targetBelief(now clock.Milli, t *Target) TargetBelief {
	b := TargetBelief{
		ID: t.ID, Pool: t.Pool, DataCentre: t.DataCentre, Address: t.Address.String(), Cookie: fmt.Sprintf("%08x", uint32(t.Code)), Rev: t.Rev,
		Learned: t.timeRatio(), UnansweredShare: t.unanswered.share(),
		Load: t.score(), Flows: t.load.flows, Busy: t.load.busy, PeerFlows: t.load.peerFlows, PeerBusy: t.load.peerBusy,
		Heard: ageOf(now, t.answers.lastAnswerAnywhere()), Proof: c.currentProof(now, t),
	}
	b.Takes = c.acceptsNew(now, t) && !c.avoids(now, t) && !t.withheld(now) && len(c.colliding[t.Code]) == 0
	b.Why = c.reasons(now, t)
	return b
}

// reasons returns the reasons for and against sending new flows to a target.
func (c *Core) reasons(now clock.Milli, t *Target) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if t.gone {
		add("gone for %d ms, replaced by a newer start: %t, drained before: %t", now-t.goneAt, t.replaced, t.drained)
	}
	if t.Draining {
		add("draining by its entry of revision %d", t.Rev)
	}
	if out, at := c.replica.Out(t.DataCentre); out {
		add("data centre %q is out for %d ms", t.DataCentre, now-at)
	}
	if len(c.colliding[t.Code]) > 0 {
		add("another target has the same cookie")
	}
	if left := c.coldLeft(now, t); left > 0 {
		add("cold for another %d ms", left)
	}
	if l := &t.loss; l.at != 0 {
		add("may have started anew: last lost %d ms ago, refused connections: %t, answers again: %t", now-l.at, l.refused, l.backAt != clock.Never)
	}
	misses, _ := t.answers.missesSince(t.answers.lastAnswerAnywhere(), false)
	confirmed, _ := t.answers.missesSince(t.answers.lastAnswerAnywhere(), true)
	if reports := t.answers.peers; misses+reports.reporters > 0 {
		add("%d misses here since the last answer, %d of them confirmed; %d peers with misses, %d with confirmed ones",
			misses, confirmed, reports.reporters, reports.confirmed)
	}
	if t.answers.backoff > 0 {
		add("avoided; its admitter retries in %d ms; this daemon is its admitter: %t", max(0, t.answers.avoidUntil-now), c.admitter(t.Code))
	}
	if x := t.latency.slowness(); x > 1 {
		latency := t.latency.own()
		add("takes %.1f times as long as usual; %d requests here and %d at peers took %d and %d ms in total", x, latency.n, t.latency.peers.n, latency.total, t.latency.peers.total)
	}
	if x := t.timeRatio(); x != 1 {
		add("learned to take %.2f times as long as its pool's mean, by %.0f requests of %.0f ms on average", x, t.speed.n, t.speed.mean())
	}
	if u := &t.unanswered; u.count() > 0 || t.withheld(now) {
		add("%d requests without an answer here and %d at peers, of about %.0f; withheld from new flows for another %d ms, but for a trial in %d ms",
			u.own, u.peers, u.requests, max(0, u.withheldUntil-now), max(0, u.trialAt-now))
	}
	if t.probe.dead || t.reportedDead(now) {
		add("accepts no connections; proved here: %t, by a peer: %t", t.provedDead(), t.reportedDead(now))
	}
	if c.unresponsive(now, t) {
		add("unresponsive: its flows are reset")
	}
	if c.path(t.DataCentre).broken {
		add("no target in data centre %q answers the daemons of this one", t.DataCentre)
	}
	if c.unresponsiveDCs[t.DataCentre] {
		add("data centre %q is unresponsive", t.DataCentre)
	}
	if len(list) == 0 {
		add("ready by its entry of revision %d", t.Rev)
	}
	return list
}

// Flow returns the daemon's record of a flow.
func (c *Core) Flow(now clock.Milli, t flow.Tuple) (FlowBelief, bool) {
	r := c.flows.records[t]
	if r == nil {
		return FlowBelief{}, false
	}
	b := FlowBelief{
		Client: t.Source().String(), Service: t.Service().String(), Target: r.target.ID,
		Opening: r.openedAt != 0, Seen: now - r.lastPacket, Next: "delivered to the target",
	}
	if r.route != nil {
		b.Route = r.route.Name
	}
	if r.requestedAt != 0 {
		b.Asked = now - r.requestedAt
	}
	switch {
	case c.targetLost(now, r.target, r):
		b.Next = "reset: " + TargetGone.String()
	case c.mayReset(r) && c.unresponsive(now, r.target):
		b.Next = "reset: " + TargetUnresponsive.String()
	}
	return b, true
}

// FlowsOf returns the recorded flows of a client address and port, sorted by
// service.
func (c *Core) FlowsOf(now clock.Milli, client [4]byte, port uint16) []FlowBelief {
	var list []FlowBelief
	for t := range c.flows.records {
		if t.Client == client && t.ClientPort == port {
			if b, ok := c.Flow(now, t); ok {
				list = append(list, b)
			}
		}
	}
	slices.SortFunc(list, func(x, y FlowBelief) int { return cmp.Compare(x.Service, y.Service) })
	return list
}

// PoolBelief is a daemon's view of a pool's load, as /belief shows it.
type PoolBelief struct {
	Pool schema.Name
	// Limit is the number of requests that this daemon may have in flight, zero if
	// there is none. It is Capacity, what the targets process at the same time,
	// times Depth, times this daemon's Share.
	Limit    float64
	Capacity float64
	Depth    float64
	Share    float64
	InFlight int
	Waiting  int
	// Usual is the usual time to the first byte without queues, in milliseconds.
	Usual float64
	// Demand is the number of slots that the requests of the fleet need, zero if rates
	// are not reported. Reports is the number of peers' reports that it rests on.
	Demand  float64
	Reports int
	// Correction is the factor of the limit by the measured times to first byte: below 1
	// the targets' queues are deeper than intended.
	Correction float64
	// DataCentres are the shares of the data centres, if capacity is divided among them.
	DataCentres []DataCentreShare `json:",omitempty"`
	// Routes are the shares of the routes, sorted by name.
	Routes []RouteShare `json:",omitempty"`
}

// PoolBeliefs returns the daemon's view of the pools' load, sorted by name.
func (c *Core) PoolBeliefs() []PoolBelief {
	list := make([]PoolBelief, 0, len(c.limiters))
	for _, l := range c.limiters {
		b := PoolBelief{Pool: l.pool, Limit: l.limit, Capacity: l.capacity, Depth: l.depth, Share: l.share, InFlight: l.inFlight, Waiting: len(l.waiting), Usual: l.usual(), Correction: l.correction.Correction()}
		if c.usesRates() {
			b.Demand, b.Reports = l.demand, l.rates.Reports()
		}
		b.Routes = l.routeBeliefs()
		if c.sharesDataCentres() {
			b.DataCentres = slices.Clone(l.dataCentres)
		}
		if math.IsInf(b.Limit, 1) {
			b.Limit = 0
		}
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y PoolBelief) int { return cmp.Compare(x.Pool, y.Pool) })
	return list
}

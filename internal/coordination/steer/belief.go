package steer

import (
	"cmp"
	"fmt"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// TargetBelief is what a daemon believes of one start of a target. Spans are in
// milliseconds.
type TargetBelief struct {
	ID         schema.TargetID
	Pool       schema.Name
	DataCentre schema.DataCentreID
	Address    string
	Cookie     string
	Rev        schema.Version
	// Takes is set if new flows may go there, Why gives the reasons for or
	// against.
	Takes bool
	Why   []string
	// Load is the work for each slot, of this daemon's flows and peers'.
	Load      float64
	Flows     int
	Busy      int
	PeerFlows int
	PeerBusy  int
	// Heard is how long ago anyone last had an answer, negative if never.
	Heard clock.Milli
}

// FlowBelief is what a daemon remembers of one flow.
type FlowBelief struct {
	Client  string
	Service string
	Target  schema.TargetID
	Route   schema.Name
	// Opening is set until a second packet shows that the target accepted the
	// flow; Asked is how long a request has had no answer, zero if none waits;
	// Seen is how long ago its last packet came here.
	Opening bool
	Asked   clock.Milli
	Seen    clock.Milli
	// Next is what would be done with its next packet.
	Next string
}

// Beliefs returns what the daemon believes of all targets, by their ids.
func (c *Core) Beliefs(now clock.Milli) []TargetBelief {
	list := make([]TargetBelief, 0, len(c.list))
	for _, t := range c.list {
		list = append(list, c.belief(now, t))
	}
	slices.SortStableFunc(list, func(x, y TargetBelief) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

func (c *Core) belief(now clock.Milli, t *Target) TargetBelief {
	b := TargetBelief{
		ID: t.ID, Pool: t.Pool, DataCentre: t.DataCentre, Address: t.Address.String(), Cookie: fmt.Sprintf("%08x", uint32(t.Code)), Rev: t.Rev,
		Load: t.score(), Flows: t.load.flows, Busy: t.load.busy, PeerFlows: t.load.peerFlows, PeerBusy: t.load.peerBusy,
		Heard: -1,
	}
	if heard := t.answers.heard(); heard > 0 {
		b.Heard = now - heard
	}
	b.Takes = c.takes(now, t) && !c.avoids(now, t) && len(c.doubled[t.Code]) == 0
	b.Why = c.why(now, t)
	return b
}

// why returns the reasons for and against new flows on a target.
func (c *Core) why(now clock.Milli, t *Target) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if t.gone {
		add("gone for %d ms, replaced by a newer start: %t, drained before: %t", now-t.goneAt, t.replaced, t.drained)
	}
	if t.Draining {
		add("draining by its entry of revision %d", t.Rev)
	}
	if out, at := c.book.Out(t.DataCentre); out {
		add("data centre %q is out for %d ms", t.DataCentre, now-at)
	}
	if len(c.doubled[t.Code]) > 0 {
		add("another target has the same cookie")
	}
	if left := c.coldLeft(now, t); left > 0 {
		add("cold for another %d ms", left)
	}
	misses, _ := t.answers.after(t.answers.heard(), false)
	sure, _ := t.answers.after(t.answers.heard(), true)
	if word := t.answers.peers; misses+word.tellers > 0 {
		add("%d flows here without an answer since the last one, %d of them for sure; %d peers miss answers, %d for sure",
			misses, sure, word.tellers, word.sure)
	}
	if t.answers.wait > 0 {
		add("avoided; tried again in %d ms by its admitter, this daemon: %t", max(0, t.answers.until-now), c.admitter(t.Code))
	}
	if x := t.pace.slowness(); x > 1 {
		own := t.pace.seen()
		add("takes %.1f times as long as usual; %d requests here and %d at peers took %d and %d ms in sum", x, own.n, t.pace.peers.n, own.took, t.pace.peers.took)
	}
	if t.probing.dead || t.toldDead(now) {
		add("accepts no connection: proved here %t, by a peer %t", t.proved(), t.toldDead(now))
	}
	if c.dark(now, t) {
		add("dark: its flows are ended")
	}
	if c.path(t.DataCentre).broken {
		add("targets of data centre %q answer nobody here", t.DataCentre)
	}
	if c.darkDCs[t.DataCentre] {
		add("data centre %q answers nobody", t.DataCentre)
	}
	if len(list) == 0 {
		add("ready by its entry of revision %d", t.Rev)
	}
	return list
}

// Flow returns what the daemon remembers of a flow.
func (c *Core) Flow(now clock.Milli, t flow.Tuple) (FlowBelief, bool) {
	r := c.flows.records[t]
	if r == nil {
		return FlowBelief{}, false
	}
	b := FlowBelief{
		Client: t.Source().String(), Service: t.Service().String(), Target: r.target.ID,
		Opening: r.opened != 0, Seen: now - r.seen, Next: "delivered to the target",
	}
	if r.route != nil {
		b.Route = r.route.Name
	}
	if r.asked != 0 {
		b.Asked = now - r.asked
	}
	switch {
	case c.dead(now, r.target, r):
		b.Next = "reset: " + TargetGone.String()
	case c.givesUp(r) && c.dark(now, r.target):
		b.Next = "reset: " + TargetDark.String()
	}
	return b, true
}

// FlowsOf returns the flows that the daemon remembers of a client's address and
// port.
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

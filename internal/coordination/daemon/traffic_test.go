package daemon

import (
	"bytes"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// client is the client's side of one flow.
type client struct {
	key            flow.Key
	vni            schema.VNI
	host           *host // the target it is established on, or nil
	tries          int
	packetsLeft    int // packets to send; negative means no end
	interval       clock.Milli
	lastDelivered  clock.Milli // last packet that was delivered
	firstDelivered clock.Milli // first packet that was delivered
	done           bool
	// path lists what happened to the flow's packets, the latest last.
	path []string
}

// maxPathSteps is the number of latest steps of a flow that are kept.
const maxPathSteps = 24

func (c *client) addStep(format string, args ...any) {
	if len(c.path) == maxPathSteps {
		c.path = c.path[1:]
	}
	c.path = append(c.path, fmt.Sprintf(format, args...))
}

// fabricLag is the time after which the fabric notices that a daemon stopped.
const fabricLag = 500 * clock.Milli(1)

// fabricDaemons returns the daemons that the fabric sends to. Its list lags
// by fabricLag, and it does not notice a frozen daemon.
func (w *simulation) fabricDaemons() []*node {
	var list []*node
	for _, n := range w.nodes {
		if !n.dead && !n.left || w.now-n.stoppedAt < fabricLag {
			list = append(list, n)
		}
	}
	return list
}

// sendToFabric sends a packet to a random daemon of the fabric's list.
func (w *simulation) sendToFabric(c *client, open bool) {
	list := w.fabricDaemons()
	n := list[w.rng.IntN(len(list))]
	w.stats.packets++
	p := geneve.Packet{Key: c.key, Open: open}
	n.whenRunning(func() { n.handlePacket(c, p) })
}

// handlePacket lets a daemon decide on a packet and carries out the verdict.
func (n *node) handlePacket(c *client, p geneve.Packet) {
	w := n.w
	v := w.decide(n, n.time(), &p)
	if w.keepPaths {
		c.addStep("%d %s open=%t step=%d from=%d: action=%d step=%d reason=%s target=%x fresh=%t rev=%d", w.now, n.member.ID, p.Open, p.Relay.Step, p.Relay.From,
			v.Action, v.Relay.Step, v.Reason, v.NoteTarget, n.m.members.Fresh(n.time(), n.m.view.Revision()), n.m.view.Revision())
		c.addStep("   %s", n.describeHomes(p.Key))
	}
	for _, to := range v.Notes[:v.NoteCount] {
		note := geneve.Packet{Key: p.Key, Relay: geneve.Relay{Step: geneve.Note, From: n.m.members.Num(), Target: v.NoteTarget, Opening: p.Open}}
		n.forward(to, c, note)
	}
	switch v.Action {
	case Deliver:
		w.after(w.delay(), func() { w.deliver(n, c, p.Open, v) })
	case Forward:
		w.stats.relayed++
		n.forward(v.To, c, geneve.Packet{Key: p.Key, Open: p.Open, Relay: v.Relay})
	case Refuse:
		c.done = true
		w.stats.refused++
	}
}

// describeHomes describes the homes of a flow as seen by a daemon.
func (n *node) describeHomes(k flow.Key) string {
	pair := n.m.homes.Pair(k.Hash())
	text := fmt.Sprintf("list %d quorum %t", n.m.homes.Version(), n.m.hasQuorum(n.time()))
	for _, num := range pair.Num[:pair.N] {
		if p := n.m.members.ByNum(num); p != nil {
			text += fmt.Sprintf(" %s alive %t near %t", p.Member.ID, p.Alive(n.time()), p.Reachable(n.time()))
		} else {
			text += " self"
		}
	}
	r, ok := n.m.records.Get(k)
	return fmt.Sprintf("%s record %t %x confirmed %t", text, ok, r.Target, r.Confirmed())
}

func (n *node) forward(to netip.AddrPort, c *client, p geneve.Packet) {
	w := n.w
	other := w.nodeByAddr[to]
	if w.isCut(n.member.DataCentre, other.member.DataCentre) || w.rng.Float64() < w.lossRate {
		return
	}
	w.after(w.delay(), func() { other.whenRunning(func() { other.handlePacket(c, p) }) })
}

// deliver hands a packet to a target and the target's answer to the client.
func (w *simulation) deliver(n *node, c *client, open bool, v Verdict) {
	h := w.hosts[v.To]
	if h == nil || h.dead || w.isCut(n.member.DataCentre, h.target.DataCentre) {
		return
	}
	if h.vni != c.vni || v.VNI != c.vni {
		w.stats.wrongPool++
		w.recordFailure("packet of VNI %d at %s of VNI %d\n%s", v.VNI, h.target.ID, h.vni, strings.Join(c.path, "\n"))
		return
	}
	h.packets++
	if open && !h.flows[c.key] {
		h.flows[c.key] = true
		h.openedAt = append(h.openedAt, w.now)
	}
	if c.done {
		return
	}
	if c.host == nil && open {
		c.host, c.lastDelivered, c.firstDelivered = h, w.now, w.now
		w.stats.opened++
		w.after(6+w.delay(), func() { w.sendData(c) })
		return
	}
	if open {
		return // a repeated first packet is answered, and ignored by the client
	}
	if !h.flows[c.key] || h != c.host {
		w.recordFailure("reset by %s, established on %s, last %d %s", h.target.ID, c.host.target.ID, w.now-c.lastDelivered, strings.Join(c.path, "\n"))
		w.endFlow(c, &w.stats.broken) // the target resets a flow that it does not know
		return
	}
	c.lastDelivered = w.now
}

// stallTimeout is the time without a delivered packet after which a client
// gives its flow up.
const stallTimeout = 20 * clock.Second

// sendData sends the next packet of an established flow.
func (w *simulation) sendData(c *client) {
	switch {
	case c.done:
		return
	case c.host.dead:
		w.endFlow(c, nil) // the flow is lost with its target, which is not a failure of the daemons
		return
	case w.now-c.lastDelivered > stallTimeout:
		w.recordFailure("stalled on %s", c.host.target.ID)
		w.endFlow(c, &w.stats.broken)
		return
	case c.packetsLeft == 0:
		w.endFlow(c, nil)
		return
	}
	c.packetsLeft--
	w.sendToFabric(c, false)
	w.after(c.interval/2+clock.Milli(w.rng.IntN(int(c.interval))), func() { w.sendData(c) })
}

// endFlow ends a flow and increments count, unless that is nil or the flow
// was on a target of the evacuated data centre.
func (w *simulation) endFlow(c *client, count *int) {
	c.done = true
	if c.host != nil && c.host.target.DataCentre == w.evacuated {
		count = nil
	}
	if count != nil {
		*count++
	}
	if c.host != nil {
		delete(c.host.flows, c.key)
	}
	delete(w.flows, c.key)
}

// maxTries is how many times a client sends its first packet.
const maxTries = 6

// openFlow starts a flow of the given number of packets; a negative number
// means that it does not end.
func (w *simulation) openFlow(r schema.Route, vni schema.VNI, packets int, interval clock.Milli) *client {
	c := &client{vni: vni, packetsLeft: packets, interval: interval}
	c.key.Destination = r.Address.As16()
	c.key.Port, c.key.Protocol = r.Port, flow.ProtocolTCP
	for i := range 4 {
		c.key.Source[12+i] = byte(w.rng.IntN(256))
	}
	c.key.Source[10], c.key.Source[11] = 0xff, 0xff
	c.key.SourcePort = uint16(1024 + w.rng.IntN(60000))
	w.flows[c.key] = c
	w.sendFirst(c)
	return c
}

// sendFirst sends the first packet of a flow and repeats it with increasing
// delays until the flow is established.
func (w *simulation) sendFirst(c *client) {
	if c.done || c.host != nil {
		return
	}
	if c.tries == maxTries {
		w.endFlow(c, &w.stats.refused)
		return
	}
	w.sendToFabric(c, true)
	w.after(clock.Second<<c.tries, func() { w.sendFirst(c) })
	c.tries++
}

// openShortFlows opens flows of four packets at a rate for a time d.
func (w *simulation) openShortFlows(r schema.Route, vni schema.VNI, perSecond int, d clock.Milli) {
	for i := range perSecond * int(d/clock.Second) {
		at := clock.Milli(i) * clock.Second / clock.Milli(perSecond)
		w.after(at, func() { w.openFlow(r, vni, 4, 300) })
	}
}

// openLongFlows opens n flows that do not end, at random times within spread.
func (w *simulation) openLongFlows(r schema.Route, vni schema.VNI, n int, spread, interval clock.Milli) {
	for range n {
		w.after(clock.Milli(w.rng.IntN(int(spread))), func() { w.openFlow(r, vni, -1, interval) })
	}
}

// imbalance returns the largest number of flows of a pool's open targets
// divided by their mean.
func (w *simulation) imbalance(p *schema.Pool) float64 {
	most, sum, n := 0, 0, 0
	for _, t := range p.Targets {
		if t.Drain {
			continue
		}
		flows := len(w.hosts[t.Address].flows)
		most, sum, n = max(most, flows), sum+flows, n+1
	}
	return float64(most*n) / float64(sum)
}

// recordFailure records why a flow broke or a packet reached the wrong pool.
func (w *simulation) recordFailure(format string, args ...any) {
	if len(w.failures) < 20 {
		w.failures = append(w.failures, fmt.Sprintf("%d ms: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// sortedFlows returns the flows in an order that does not change between
// runs.
func (w *simulation) sortedFlows() []*client {
	return slices.SortedFunc(maps.Values(w.flows), func(a, b *client) int {
		return bytes.Compare(a.key.Append(nil), b.key.Append(nil))
	})
}

// reuseKey starts a new flow with the key of one that ended.
func (w *simulation) reuseKey(old *client) {
	c := &client{key: old.key, vni: old.vni, packetsLeft: 20, interval: 300}
	w.flows[c.key] = c
	w.sendFirst(c)
}

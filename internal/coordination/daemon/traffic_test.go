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

// client is one flow.
type client struct {
	key      flow.Key
	vni      schema.VNI
	host     *host // where it is established, nil before
	tries    int
	left     int // packets to send; negative means no end
	interval clock.Milli
	last     clock.Milli // last packet that was delivered
	answered clock.Milli // first packet that was delivered
	done     bool
	// path lists what became of the flow's packets, newest last.
	path []string
}

// maxPath is how many steps of a flow are kept for a trace.
const maxPath = 24

func (c *client) step(format string, args ...any) {
	if len(c.path) == maxPath {
		c.path = c.path[1:]
	}
	c.path = append(c.path, fmt.Sprintf(format, args...))
}

// fabric returns the daemons that the fabric sends to: its list lags by half
// a second, and it does not see a freeze.
func (w *world) fabric() []*node {
	var list []*node
	for _, n := range w.nodes {
		if !n.dead && !n.left || w.now-n.deadAt < 500 {
			list = append(list, n)
		}
	}
	return list
}

// spray hands a packet to a random daemon of the fabric's list.
func (w *world) spray(c *client, open bool) {
	list := w.fabric()
	n := list[w.rng.IntN(len(list))]
	w.stats.packets++
	p := geneve.Packet{Key: c.key, Open: open}
	n.to(func() { n.packet(c, p) })
}

func (n *node) packet(c *client, p geneve.Packet) {
	w := n.w
	v := w.decide(n, n.time(), &p)
	if w.debug {
		c.step("%d %s open=%t step=%d from=%d: action=%d step=%d reason=%s target=%x fresh=%t rev=%d", w.now, n.member.ID, p.Open, p.Relay.Step, p.Relay.From,
			v.Action, v.Relay.Step, v.Reason, v.Noted, n.m.members.Fresh(n.time(), n.m.view.Revision()), n.m.view.Revision())
		c.step("   %s", n.homesOf(p.Key))
	}
	for _, to := range v.Notes[:v.NoteCount] {
		note := geneve.Packet{Key: p.Key, Relay: geneve.Relay{Step: geneve.Note, From: n.m.members.Num(), Target: v.Noted, Opening: p.Open}}
		n.pass(to, c, note)
	}
	switch v.Action {
	case Deliver:
		w.at(w.delay(), func() { w.deliver(n, c, p.Open, v) })
	case Forward:
		w.stats.relayed++
		n.pass(v.To, c, geneve.Packet{Key: p.Key, Open: p.Open, Relay: v.Relay})
	case Refuse:
		c.done = true
		w.stats.refused++
	}
}

// homesOf describes the homes of a flow as a daemon sees them.
func (n *node) homesOf(k flow.Key) string {
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

func (n *node) pass(to netip.AddrPort, c *client, p geneve.Packet) {
	w := n.w
	other := w.byData[to]
	if w.cut(n.member.DataCentre, other.member.DataCentre) || w.rng.Float64() < w.loss {
		return
	}
	w.at(w.delay(), func() { other.to(func() { other.packet(c, p) }) })
}

// deliver brings a packet to a target.
func (w *world) deliver(n *node, c *client, open bool, v Verdict) {
	h := w.hosts[v.To]
	if h == nil || h.dead || w.cut(n.member.DataCentre, h.target.DataCentre) {
		return
	}
	if h.vni != c.vni || v.VNI != c.vni {
		w.stats.wrongPool++
		w.trace("packet of VNI %d at %s of VNI %d\n%s", v.VNI, h.target.ID, h.vni, strings.Join(c.path, "\n"))
		return
	}
	h.packets++
	if open && !h.flows[c.key] {
		h.flows[c.key] = true
		h.opens = append(h.opens, w.now)
	}
	if c.done {
		return
	}
	if c.host == nil && open {
		c.host, c.last, c.answered = h, w.now, w.now
		w.stats.opened++
		w.at(6+w.delay(), func() { w.data(c) })
		return
	}
	if open {
		return // a repeated first packet is answered, and ignored by the client
	}
	if !h.flows[c.key] || h != c.host {
		w.trace("reset by %s, established on %s, last %d %s", h.target.ID, c.host.target.ID, w.now-c.last, strings.Join(c.path, "\n"))
		w.end(c, &w.stats.broken) // the target resets a flow that it does not know
		return
	}
	c.last = w.now
}

// stall is the silence after which a client gives its flow up.
const stall = 20 * clock.Second

// data sends the next packet of an established flow.
func (w *world) data(c *client) {
	switch {
	case c.done:
		return
	case c.host.dead:
		w.end(c, nil) // lost with its target, not by the balancer
		return
	case w.now-c.last > stall:
		w.trace("stalled on %s", c.host.target.ID)
		w.end(c, &w.stats.broken)
		return
	case c.left == 0:
		w.end(c, nil)
		return
	}
	c.left--
	w.spray(c, false)
	w.at(c.interval/2+clock.Milli(w.rng.IntN(int(c.interval))), func() { w.data(c) })
}

func (w *world) end(c *client, count *int) {
	c.done = true
	if c.host != nil && c.host.target.DataCentre == w.given {
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

// maxTries is how often a client repeats its first packet.
const maxTries = 6

// open starts a flow: packets counts what it sends, negative without end.
func (w *world) open(r schema.Route, vni schema.VNI, packets int, interval clock.Milli) *client {
	c := &client{vni: vni, left: packets, interval: interval}
	c.key.Destination = r.Address.As16()
	c.key.Port, c.key.Protocol = r.Port, flow.ProtocolTCP
	for i := range 4 {
		c.key.Source[12+i] = byte(w.rng.IntN(256))
	}
	c.key.Source[10], c.key.Source[11] = 0xff, 0xff
	c.key.SourcePort = uint16(1024 + w.rng.IntN(60000))
	w.flows[c.key] = c
	w.syn(c)
	return c
}

func (w *world) syn(c *client) {
	if c.done || c.host != nil {
		return
	}
	if c.tries == maxTries {
		w.end(c, &w.stats.refused)
		return
	}
	w.spray(c, true)
	w.at(clock.Second<<c.tries, func() { w.syn(c) })
	c.tries++
}

// load opens short flows at a rate for a while.
func (w *world) load(r schema.Route, vni schema.VNI, perSecond int, d clock.Milli) {
	for i := range perSecond * int(d/clock.Second) {
		at := clock.Milli(i) * clock.Second / clock.Milli(perSecond)
		w.at(at, func() { w.open(r, vni, 4, 300) })
	}
}

// long opens flows without end, spread over a while.
func (w *world) long(r schema.Route, vni schema.VNI, n int, spread, interval clock.Milli) {
	for range n {
		w.at(clock.Milli(w.rng.IntN(int(spread))), func() { w.open(r, vni, -1, interval) })
	}
}

// imbalance returns the largest number of flows of a pool's open targets over
// their mean.
func (w *world) imbalance(p *schema.Pool) float64 {
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

// trace notes why a flow broke.
func (w *world) trace(format string, args ...any) {
	if len(w.why) < 20 {
		w.why = append(w.why, fmt.Sprintf("%d ms: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// sortedFlows returns the flows in a fixed order.
func (w *world) sortedFlows() []*client {
	return slices.SortedFunc(maps.Values(w.flows), func(a, b *client) int {
		return bytes.Compare(a.key.Append(nil), b.key.Append(nil))
	})
}

// reopen starts a new flow under the key of one that ended.
func (w *world) reopen(old *client) {
	c := &client{key: old.key, vni: old.vni, left: 20, interval: 300}
	w.flows[c.key] = c
	w.syn(c)
}

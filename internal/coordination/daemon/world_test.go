package daemon

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// world joins a few machines by an in-memory network in model time. Every
// daemon has a clock of its own; messages are delayed, lost and reordered.
type world struct {
	rng    *rand.Rand
	now    clock.Milli
	seq    int
	events queue
	nodes  []*node
	plat   fakePlatform
	hosts  map[netip.AddrPort]*host
	byData map[netip.AddrPort]*node
	cutDC  map[[2]schema.DataCentreID]bool
	// loss is the probability that a message between daemons is lost.
	loss float64
	// decide replaces Machine.Decide in baselines.
	decide func(*node, clock.Milli, *geneve.Packet) Verdict
	opts   []Option
	tune   func(*Machine)
	stats  stats
	flows  map[flow.Key]*client
	next   int
	// given is a data centre that is out: flows on its targets are given up.
	given schema.DataCentreID
	// debug keeps the path of each flow.
	debug bool
	// why holds the reasons for the first broken flows.
	why []string
}

// paths keeps the paths of flows, to explain a failure.
var paths = flag.Bool("paths", false, "keep the paths of flows")

type stats struct {
	opened, broken, refused, wrongPool int
	relayed, packets                   int
	peerBytes                          int
}

type node struct {
	w       *world
	m       *Machine
	member  schema.Member
	offset  clock.Milli
	dead    bool
	left    bool
	frozen  bool
	cutOff  bool // from the platform
	deaf    bool // to its peers' messages, not to packets
	deadAt  clock.Milli
	inbox   []func()
	inForce map[schema.Version]clock.Milli
}

// host is a target.
type host struct {
	target schema.Target
	vni    schema.VNI
	dead   bool
	boot   uint64
	state  peer.TargetState
	lies   peer.TargetState // what the health endpoint says instead
	flows  map[flow.Key]bool
	opens  []clock.Milli
	// packets counts what arrived.
	packets int
}

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

type event struct {
	at  clock.Milli
	seq int
	f   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

type fakePlatform struct {
	revision schema.Version
	objects  map[object.ID]object.Object
	down     bool
	delay    clock.Milli
	lose     int // answers of writes
	calls    int
}

var (
	zones = []schema.DataCentreID{"dc-a", "dc-b", "dc-c"}
	desk  = schema.Route{Name: "desk", Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.TCP}
	proof = schema.Route{Name: "proof", Address: netip.MustParseAddr("198.51.100.2"), Port: 443, Protocol: schema.TCP}
)

func newWorld(seed uint64, daemons int, opts ...Option) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, 7)),
		hosts:  make(map[netip.AddrPort]*host),
		byData: make(map[netip.AddrPort]*node),
		cutDC:  make(map[[2]schema.DataCentreID]bool),
		flows:  make(map[flow.Key]*client),
		opts:   opts,
		debug:  *paths,
		plat:   fakePlatform{objects: make(map[object.ID]object.Object)},
	}
	w.decide = func(n *node, now clock.Milli, p *geneve.Packet) Verdict { return n.m.Decide(now, p) }
	for i := range daemons {
		w.join(fmt.Sprintf("vm-%d", i+1), zones[i%len(zones)])
	}
	return w
}

func addr(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(i >> 8), byte(i)}), uint16(6000+kind))
}

// join starts a daemon; one with a known name replaces the one before.
func (w *world) join(name string, dc schema.DataCentreID) *node {
	i := len(w.nodes) + 1
	n := &node{w: w, offset: clock.Milli(1 + w.rng.IntN(1000000)), inForce: make(map[schema.Version]clock.Milli)}
	n.member = schema.Member{ID: schema.VMID(name), DataCentre: dc, Data: addr(1, i), Peer: addr(2, i), Admin: addr(3, i)}
	n.m = New(n.time(), n.member, w.rng.Uint64(), w.opts...)
	if w.tune != nil {
		w.tune(n.m)
	}
	w.nodes = append(w.nodes, n)
	w.byData[n.member.Data] = n
	w.store(object.Member, name, n.member)
	w.at(clock.Milli(w.rng.IntN(700)), n.tick) // the daemons are out of phase
	return n
}

func (n *node) time() clock.Milli { return n.w.now + n.offset }

func (w *world) at(delay clock.Milli, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + delay, seq: w.seq, f: f})
}

// run advances model time.
func (w *world) run(d clock.Milli) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
}

// to runs f at a node, or later if it is frozen.
func (n *node) to(f func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.inbox = append(n.inbox, f)
	default:
		f()
	}
}

func (n *node) tick() {
	if n.dead {
		return
	}
	n.to(func() { n.handle(n.m.Tick(n.time())) })
	if _, ok := n.inForce[n.m.view.Revision()]; !ok {
		n.inForce[n.m.view.Revision()] = n.w.now
	}
	n.w.at(50, n.tick)
}

func (n *node) freeze(d clock.Milli) {
	n.frozen = true
	n.w.at(d, func() {
		n.frozen = false
		inbox := n.inbox
		n.inbox = nil
		for _, f := range inbox {
			f()
		}
	})
}

func (n *node) kill() {
	n.dead, n.deadAt = true, n.w.now
}

// leave stops a daemon gracefully, as serve does.
func (n *node) leave() {
	n.m.Leave()
	n.left = true
	n.deadAt = n.w.now
	n.w.remove(object.Member, string(n.member.ID))
	n.w.at(3*clock.Second, func() { n.dead = true })
}

func (w *world) delay() clock.Milli { return clock.Milli(w.rng.IntN(4)) }

func (w *world) cut(a, b schema.DataCentreID) bool {
	return w.cutDC[[2]schema.DataCentreID{a, b}]
}

// partition cuts a data centre from all others, or joins it again.
func (w *world) partition(dc schema.DataCentreID, cut bool) {
	for _, z := range zones {
		if z != dc {
			w.cutDC[[2]schema.DataCentreID{z, dc}] = cut
			w.cutDC[[2]schema.DataCentreID{dc, z}] = cut
		}
	}
}

func (n *node) handle(out Output) {
	w := n.w
	for _, s := range out.Sends {
		n.send(s)
	}
	for _, r := range out.Reads {
		n.read(r)
	}
	for _, wr := range out.Writes {
		n.write(wr)
	}
	for _, p := range out.Probes {
		w.at(w.delay(), func() { n.probe(p) })
	}
}

func (n *node) send(s Send) {
	w := n.w
	data, err := peer.Encode(&s.Message)
	if err != nil {
		panic(err)
	}
	w.stats.peerBytes += len(data)
	if s.Datagram && w.rng.Float64() < w.loss {
		return
	}
	for _, to := range w.nodes {
		if to.member.Peer != s.To.Peer || to.deaf || w.cut(n.member.DataCentre, to.member.DataCentre) {
			continue
		}
		w.at(1+w.delay(), func() {
			to.to(func() {
				msg, err := peer.Decode(data)
				if err != nil {
					panic(err)
				}
				to.handle(to.m.Peer(to.time(), msg))
			})
		})
	}
}

func (n *node) read(r Read) {
	w := n.w
	began := n.time()
	w.at(w.delay(), func() {
		w.plat.calls++
		var l *object.List
		if !w.plat.down && !n.cutOff {
			l = &object.List{Revision: w.plat.revision}
			for _, o := range w.plat.objects {
				if o.Version > r.Since {
					l.Objects = append(l.Objects, o)
				}
			}
		}
		w.at(w.plat.delay+w.delay(), func() {
			n.to(func() { n.handle(n.m.ReadDone(n.time(), began, r.Since, l)) })
		})
	})
}

func (n *node) write(wr Write) {
	w := n.w
	w.at(w.delay(), func() {
		w.plat.calls++
		if !w.plat.down && !n.cutOff && w.plat.objects[wr.ID].Version == wr.Expect {
			w.put(object.Object{Kind: wr.ID.Kind, Name: wr.ID.Name, Data: wr.Data})
		}
		if w.plat.lose > 0 {
			w.plat.lose--
			return
		}
		w.at(w.plat.delay+w.delay(), func() { n.to(n.m.Written) })
	})
}

func (w *world) put(o object.Object) {
	w.plat.revision++
	o.Version = w.plat.revision
	w.plat.objects[o.ID()] = o
}

func (w *world) store(k object.Kind, name string, v any) schema.Version {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.put(object.Object{Kind: k, Name: name, Data: data})
	return w.plat.revision
}

func (w *world) remove(k object.Kind, name string) {
	w.put(object.Object{Kind: k, Name: name, Deleted: true})
}

func (n *node) probe(p Probe) {
	w := n.w
	h := w.hosts[p.Target.Address]
	r := health.Result{Target: p.Handle}
	if h != nil && !h.dead && !w.cut(n.member.DataCentre, h.target.DataCentre) {
		r.OK, r.State, r.Incarnation, r.Open = true, h.state, h.boot, uint32(len(h.flows))
		if h.lies != 0 {
			r.State = h.lies
		}
	}
	n.to(func() { n.m.ProbeDone(n.time(), r) })
}

// pool makes the targets of a pool and stores it.
func (w *world) pool(r schema.Route, vni schema.VNI, n int) *schema.Pool {
	p := &schema.Pool{Name: r.Name, VNI: vni}
	for range n {
		w.addTarget(p)
	}
	w.store(object.Route, string(r.Name), &r)
	w.store(object.Pool, string(p.Name), p)
	return p
}

// addTarget adds a target to a pool without storing it.
func (w *world) addTarget(p *schema.Pool) *host {
	w.next++
	t := schema.Target{
		ID:         schema.TargetID(fmt.Sprintf("%s-%d", p.Name, w.next)),
		Address:    addr(4, w.next),
		Health:     addr(5, w.next),
		DataCentre: zones[w.next%len(zones)],
	}
	p.Targets = append(p.Targets, t)
	h := &host{target: t, vni: p.VNI, boot: w.rng.Uint64(), state: peer.Ready, flows: make(map[flow.Key]bool)}
	w.hosts[t.Address] = h
	return h
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
			v.Action, v.Relay.Step, v.Reason, v.Noted, n.m.set.Fresh(n.time(), n.m.view.Revision()), n.m.view.Revision())
		c.step("   %s", n.homesOf(p.Key))
	}
	for _, to := range v.Notes[:v.NoteCount] {
		note := geneve.Packet{Key: p.Key, Relay: geneve.Relay{Step: geneve.Note, From: n.m.set.Num(), Target: v.Noted}}
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
	text := fmt.Sprintf("list %d quorum %t", n.m.homes.Version(), n.m.quorum(n.time()))
	for _, num := range pair.Num[:pair.N] {
		if p := n.m.set.ByNum(num); p != nil {
			text += fmt.Sprintf(" %s alive %t near %t", p.Member.ID, p.Alive(n.time()), p.Near(n.time()))
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

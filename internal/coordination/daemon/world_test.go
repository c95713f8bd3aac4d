package daemon

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"

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
			w.put(object.Object{Kind: wr.ID.Kind, Name: wr.ID.Name, Data: wr.Data, Deleted: wr.Data == nil})
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

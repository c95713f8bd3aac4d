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

// simulation connects several machines by an in-memory network in simulated
// time. Every daemon has its own clock; messages are delayed, lost and
// reordered.
type simulation struct {
	rng         *rand.Rand
	now         clock.Milli
	seq         int
	events      eventQueue
	nodes       []*node
	platform    fakePlatform
	hosts       map[netip.AddrPort]*host
	nodeByAddr  map[netip.AddrPort]*node
	partitioned map[[2]schema.DataCentreID]bool
	// lossRate is the probability that a datagram or packet between daemons
	// is lost.
	lossRate float64
	// decide replaces Machine.Decide in the strategies that the benchmarks
	// compare.
	decide      func(*node, clock.Milli, *geneve.Packet) Verdict
	opts        []Option
	configure   func(*Machine)
	stats       stats
	flows       map[flow.Key]*client
	targetCount int
	// evacuated is a data centre that is out. Flows on its targets are not
	// counted when they end.
	evacuated schema.DataCentreID
	// keepPaths is set to record the path of each flow.
	keepPaths bool
	// failures describes the first failures: flows that broke and packets
	// delivered to the wrong pool.
	failures []string
}

// paths is the flag for recording the paths of flows, to explain a failure.
var paths = flag.Bool("paths", false, "keep the paths of flows")

type stats struct {
	opened, broken, refused, wrongPool int
	relayed, packets                   int
	peerBytes                          int
}

// node is a daemon of the simulation.
type node struct {
	w           *simulation
	m           *Machine
	member      schema.Member
	clockOffset clock.Milli
	dead        bool
	left        bool
	frozen      bool
	cutOff      bool // from the platform
	deaf        bool // to its peers' messages, not to packets
	stoppedAt   clock.Milli
	pending     []func()
	reachedAt   map[schema.Version]clock.Milli
}

// host is the simulated server of a target.
type host struct {
	target        schema.Target
	vni           schema.VNI
	dead          bool
	incarnation   uint64
	state         peer.TargetState
	reportedState peer.TargetState // reported by the health endpoint instead of state, if set
	flows         map[flow.Key]bool
	openedAt      []clock.Milli
	// packets is the number of packets received.
	packets int
}

type event struct {
	at  clock.Milli
	seq int
	f   func()
}

// eventQueue is a heap of events ordered by time, then by the order in which
// they were added.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// fakePlatform is an in-memory platform that can be slow, down or lose
// answers.
type fakePlatform struct {
	revision         schema.Version
	objects          map[object.ID]object.Object
	down             bool
	answerDelay      clock.Milli
	lostWriteAnswers int // how many answers to writes are still to be lost
	calls            int
}

var (
	dataCentres = []schema.DataCentreID{"dc-a", "dc-b", "dc-c"}
	desk        = schema.Route{Name: "desk", Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.TCP}
	proof       = schema.Route{Name: "proof", Address: netip.MustParseAddr("198.51.100.2"), Port: 443, Protocol: schema.TCP}
)

func newSimulation(seed uint64, daemons int, opts ...Option) *simulation {
	w := &simulation{
		rng:         rand.New(rand.NewPCG(seed, 7)),
		hosts:       make(map[netip.AddrPort]*host),
		nodeByAddr:  make(map[netip.AddrPort]*node),
		partitioned: make(map[[2]schema.DataCentreID]bool),
		flows:       make(map[flow.Key]*client),
		opts:        opts,
		keepPaths:   *paths,
		platform:    fakePlatform{objects: make(map[object.ID]object.Object)},
	}
	w.decide = func(n *node, now clock.Milli, p *geneve.Packet) Verdict { return n.m.Decide(now, p) }
	for i := range daemons {
		w.addDaemon(fmt.Sprintf("vm-%d", i+1), dataCentres[i%len(dataCentres)])
	}
	return w
}

func addr(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(kind), byte(i >> 8), byte(i)}), uint16(6000+kind))
}

// addDaemon starts a daemon and stores its registration. A daemon with a
// known name replaces the previous one.
func (w *simulation) addDaemon(name string, dc schema.DataCentreID) *node {
	i := len(w.nodes) + 1
	n := &node{w: w, clockOffset: clock.Milli(1 + w.rng.IntN(1000000)), reachedAt: make(map[schema.Version]clock.Milli)}
	n.member = schema.Member{ID: schema.VMID(name), DataCentre: dc, Data: addr(1, i), Peer: addr(2, i), Admin: addr(3, i)}
	n.m = New(n.time(), n.member, w.rng.Uint64(), w.opts...)
	if w.configure != nil {
		w.configure(n.m)
	}
	w.nodes = append(w.nodes, n)
	w.nodeByAddr[n.member.Data] = n
	w.storeObject(object.Member, name, n.member)
	w.after(clock.Milli(w.rng.IntN(700)), n.tick) // daemons do not tick at the same time
	return n
}

func (n *node) time() clock.Milli { return n.w.now + n.clockOffset }

// after schedules f to run after a delay.
func (w *simulation) after(delay clock.Milli, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now + delay, seq: w.seq, f: f})
}

// run advances simulated time by d.
func (w *simulation) run(d clock.Milli) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f()
	}
	w.now = end
}

// whenRunning calls f, or queues it until the node is no longer frozen.
func (n *node) whenRunning(f func()) {
	switch {
	case n.dead:
	case n.frozen:
		n.pending = append(n.pending, f)
	default:
		f()
	}
}

// tickInterval is the time between two ticks of a daemon.
const tickInterval = 50 * clock.Milli(1)

func (n *node) tick() {
	if n.dead {
		return
	}
	n.whenRunning(func() { n.handle(n.m.Tick(n.time())) })
	if _, ok := n.reachedAt[n.m.view.Revision()]; !ok {
		n.reachedAt[n.m.view.Revision()] = n.w.now
	}
	n.w.after(tickInterval, n.tick)
}

// freeze pauses the node's process for d. What arrives in the meantime is
// handled at the end.
func (n *node) freeze(d clock.Milli) {
	n.frozen = true
	n.w.after(d, func() {
		n.frozen = false
		inbox := n.pending
		n.pending = nil
		for _, f := range inbox {
			f()
		}
	})
}

func (n *node) kill() {
	n.dead, n.stoppedAt = true, n.w.now
}

// leave stops a daemon gracefully, as package serve does.
func (n *node) leave() {
	n.m.Leave()
	n.left = true
	n.stoppedAt = n.w.now
	n.w.removeObject(object.Member, string(n.member.ID))
	n.w.after(3*clock.Second, func() { n.dead = true })
}

func (w *simulation) delay() clock.Milli { return clock.Milli(w.rng.IntN(4)) }

func (w *simulation) isCut(a, b schema.DataCentreID) bool {
	return w.partitioned[[2]schema.DataCentreID{a, b}]
}

// partition cuts a data centre off from all others, or reconnects it.
func (w *simulation) partition(dc schema.DataCentreID, cut bool) {
	for _, z := range dataCentres {
		if z != dc {
			w.partitioned[[2]schema.DataCentreID{z, dc}] = cut
			w.partitioned[[2]schema.DataCentreID{dc, z}] = cut
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
		w.after(w.delay(), func() { n.probe(p) })
	}
}

func (n *node) send(s Send) {
	w := n.w
	data, err := peer.Encode(&s.Message)
	if err != nil {
		panic(err)
	}
	w.stats.peerBytes += len(data)
	if s.Datagram && w.rng.Float64() < w.lossRate {
		return
	}
	for _, to := range w.nodes {
		if to.member.Peer != s.To.Peer || to.deaf || w.isCut(n.member.DataCentre, to.member.DataCentre) {
			continue
		}
		w.after(1+w.delay(), func() {
			to.whenRunning(func() {
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
	w.after(w.delay(), func() {
		w.platform.calls++
		var l *object.List
		if !w.platform.down && !n.cutOff {
			l = &object.List{Revision: w.platform.revision}
			for _, o := range w.platform.objects {
				if o.Version > r.Since {
					l.Objects = append(l.Objects, o)
				}
			}
		}
		w.after(w.platform.answerDelay+w.delay(), func() {
			n.whenRunning(func() { n.handle(n.m.ReadDone(n.time(), began, r.Since, l)) })
		})
	})
}

func (n *node) write(wr Write) {
	w := n.w
	w.after(w.delay(), func() {
		w.platform.calls++
		if !w.platform.down && !n.cutOff && w.platform.objects[wr.ID].Version == wr.Expect {
			w.putObject(object.Object{Kind: wr.ID.Kind, Name: wr.ID.Name, Data: wr.Data, Deleted: wr.Data == nil})
		}
		if w.platform.lostWriteAnswers > 0 {
			w.platform.lostWriteAnswers--
			return
		}
		w.after(w.platform.answerDelay+w.delay(), func() { n.whenRunning(n.m.WriteDone) })
	})
}

func (w *simulation) putObject(o object.Object) {
	w.platform.revision++
	o.Version = w.platform.revision
	w.platform.objects[o.ID()] = o
}

func (w *simulation) storeObject(k object.Kind, name string, v any) schema.Version {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.putObject(object.Object{Kind: k, Name: name, Data: data})
	return w.platform.revision
}

func (w *simulation) removeObject(k object.Kind, name string) {
	w.putObject(object.Object{Kind: k, Name: name, Deleted: true})
}

func (n *node) probe(p Probe) {
	w := n.w
	h := w.hosts[p.Target.Address]
	r := health.Result{Target: p.Handle}
	if h != nil && !h.dead && !w.isCut(n.member.DataCentre, h.target.DataCentre) {
		r.OK, r.State, r.Incarnation, r.OpenFlows = true, h.state, h.incarnation, uint32(len(h.flows))
		if h.reportedState != 0 {
			r.State = h.reportedState
		}
	}
	n.whenRunning(func() { n.m.ProbeDone(n.time(), r) })
}

// addPool stores a route and a pool with n new targets.
func (w *simulation) addPool(r schema.Route, vni schema.VNI, n int) *schema.Pool {
	p := &schema.Pool{Name: r.Name, VNI: vni}
	for range n {
		w.addTarget(p)
	}
	w.storeObject(object.Route, string(r.Name), &r)
	w.storeObject(object.Pool, string(p.Name), p)
	return p
}

// addTarget adds a target to a pool without storing the pool.
func (w *simulation) addTarget(p *schema.Pool) *host {
	w.targetCount++
	t := schema.Target{
		ID:         schema.TargetID(fmt.Sprintf("%s-%d", p.Name, w.targetCount)),
		Address:    addr(4, w.targetCount),
		Health:     addr(5, w.targetCount),
		DataCentre: dataCentres[w.targetCount%len(dataCentres)],
	}
	p.Targets = append(p.Targets, t)
	h := &host{target: t, vni: p.VNI, incarnation: w.rng.Uint64(), state: peer.Ready, flows: make(map[flow.Key]bool)}
	w.hosts[t.Address] = h
	return h
}

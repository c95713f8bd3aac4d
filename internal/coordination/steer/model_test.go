package steer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// host is a target of the model, as it really is.
type host struct {
	entry fleet.Target
	// lives is set while its process runs, slow while it acknowledges requests and does
	// not answer them yet; darkAt is when it last acknowledged nothing.
	lives  bool
	slow   bool
	dark   bool
	darkAt clock.Milli
	holds  map[flow.Tuple]bool
}

// node is a daemon of the model.
type node struct {
	core *Core
	// stalled is set while its process does not run, cut while what it sends on is
	// lost.
	stalled bool
	cut     bool
}

// talk is a client's flow.
type talk struct {
	tuple    flow.Tuple
	cookie   uint32
	seq, ack uint32
	// at is the host that holds it, with the start that accepted it.
	at    *host
	start fleet.Code
	// asked is set while a request has no answer.
	asked bool
	over  bool
}

// model is a deployment in which daemons, targets, the store and the fabric take random
// steps.
type model struct {
	t     *rapid.T
	now   clock.Milli
	rev   schema.Version
	hosts []*host
	outs  map[schema.DataCentreID]schema.Version
	nodes []*node
	talks []*talk
	ports uint16
	seeds uint64
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: start, rev: 1000, outs: make(map[schema.DataCentreID]schema.Version)}
	for i := range 3 {
		x := target(i+1, schema.DataCentreID([]string{"a", "a", "b"}[i]))
		m.hosts = append(m.hosts, &host{entry: x, lives: true, darkAt: clock.Never, holds: make(map[flow.Tuple]bool)})
		m.nodes = append(m.nodes, &node{})
	}
	for i := range m.nodes {
		m.restart(i)
		m.news(i)
	}
	return m
}

// restart gives a daemon a new process, which knows nothing.
func (m *model) restart(i int) {
	m.seeds++
	m.nodes[i].core = New(schema.DataCentreID([]string{"a", "a", "b"}[i]), m.seeds)
}

// news has a daemon learn all that the store holds.
func (m *model) news(i int) {
	c := m.nodes[i].core
	c.Apply(m.now, &fleet.Update{Topic: fleet.Config, Full: true, Rev: m.rev, Table: table()})
	outs := fleet.Update{Topic: fleet.Outs, Full: true, Rev: m.rev}
	for dc, rev := range m.outs {
		outs.Outs = append(outs.Outs, fleet.Out{DataCentre: dc, Rev: rev})
	}
	c.Apply(m.now, &outs)
	list := fleet.Update{Topic: fleet.Targets, Full: true, Rev: m.rev}
	for _, h := range m.hosts {
		if h.lives {
			list.Targets = append(list.Targets, h.entry)
		}
	}
	c.Apply(m.now, &list)
}

// changed gives a host's entry the store's next revision.
func (m *model) changed(h *host) {
	m.rev++
	h.entry.Rev = m.rev
}

// send hands a packet to a daemon and checks what it does with it.
func (m *model) send(i int, x *talk, s flow.Segment) {
	n := m.nodes[i]
	if n.stalled {
		return
	}
	s.Tuple, s.Seq, s.Cookie = x.tuple, x.seq, x.cookie
	if !s.Open {
		s.Ack = x.ack
	}
	v := n.core.Decide(m.now, &s, true)
	switch v.Action {
	case Deliver:
		m.checkDelivered(n, &s, &v)
		if h := m.hosts[v.Target.Num-1]; !n.cut && h.lives && !h.dark && h.entry.Code() == v.Target.Code {
			m.arrives(h, x, &s)
		}
	case Reset:
		m.checkReset(x, v.Reason)
		x.over = true
	}
}

// checkDelivered checks a packet against the package's first two invariants.
func (m *model) checkDelivered(n *node, s *flow.Segment, v *Verdict) {
	if !s.Open {
		require.Equal(m.t, s.Cookie, uint32(v.Target.Code), "a packet goes to the start that its cookie names")
		return
	}
	if v.Reason != Opened {
		return
	}
	out, _ := n.core.deployment.Out(v.Target.DataCentre)
	require.False(m.t, v.Target.gone || v.Target.Draining || out, "a new flow goes to a target that may take it")
	require.True(m.t, slices.ContainsFunc(v.Route.Pools, func(p fleet.Share) bool { return p.Pool == v.Target.Pool }))
}

// checkReset checks the end of a flow against the third invariant.
func (m *model) checkReset(x *talk, why Reason) {
	h := x.at
	if h == nil {
		return
	}
	served := h.lives && h.entry.Code() == x.start && !h.dark && m.now-h.darkAt > probeReasonTTL
	require.False(m.t, served, "a flow of %s, which serves, is reset: %s", h.entry.ID, why)
}

// arrives is what a target does with a packet.
func (m *model) arrives(h *host, x *talk, s *flow.Segment) {
	switch {
	case s.Open && x.at == nil:
		x.at, x.start = h, h.entry.Code()
		h.holds[x.tuple] = true
	case s.Open || x.at != h || !h.holds[x.tuple]:
	case s.Len > 0 && s.Seq == x.seq && x.asked && !h.slow:
		x.asked = false
		x.seq += uint32(s.Len)
		x.ack += 600
	}
}

// pass lets time pass for all daemons that run.
func (m *model) pass(d clock.Milli) {
	for end := m.now + d; m.now < end; {
		m.now += 25
		for i, n := range m.nodes {
			if n.stalled {
				continue
			}
			n.core.Tick(m.now)
			for _, e := range n.core.Ended() {
				for _, x := range m.talks {
					if x.tuple == e.Tuple {
						m.checkReset(x, e.Reason)
						x.over = true
					}
				}
			}
			m.probe(i)
			if m.now%250 == 0 {
				m.tell(i)
			}
		}
	}
	for _, h := range m.hosts {
		if h.dark {
			h.darkAt = m.now
		}
	}
}

// probe answers the probes of a daemon.
func (m *model) probe(i int) {
	n := m.nodes[i]
	for _, p := range n.core.Probes(m.now) {
		h := m.hosts[p.Address.Addr().As4()[3]-1]
		o := Accepted
		switch {
		case n.cut || h.dark:
			o = Silent
		case !h.lives:
			o = Refused
		}
		n.core.Probed(m.now, p, o)
	}
}

// tell has a daemon tell the others, unless nothing of it gets out.
func (m *model) tell(i int) {
	n := m.nodes[i]
	if n.cut {
		return
	}
	loads, suspects := n.core.Loads(m.now, false), n.core.Suspects(m.now)
	for k, o := range m.nodes {
		if k != i && !o.stalled {
			o.core.TakeLoads(m.now, schema.VMID(fmt.Sprint(i)), n.core.localDC, loads, false)
			o.core.TakeSuspects(m.now, suspects)
		}
	}
}

// open starts a flow through a daemon.
func (m *model) open(i int) {
	m.ports++
	to := []netip.AddrPort{desk, again}[m.ports%2]
	x := &talk{seq: 1000, ack: 5000, tuple: flow.Tuple{
		Client: [4]byte{100, 64, 0, 1}, ClientPort: m.ports, Address: to.Addr().As4(), Port: to.Port(),
	}}
	m.talks = append(m.talks, x)
	m.send(i, x, flow.Segment{Open: true})
	if x.at != nil {
		x.cookie = uint32(x.start)
		x.seq++
		m.send(i, x, flow.Segment{})
	}
}

// goOn sends what a flow's client sends next.
func (m *model) goOn(i int, x *talk) {
	switch {
	case x.over || x.at == nil || x.asked && x.at.slow && !x.at.dark:
	case x.asked:
		m.send(i, x, flow.Segment{Len: 200})
	default:
		x.asked = true
		m.send(i, x, flow.Segment{Len: 200})
		if !x.asked && !x.over {
			m.send(i, x, flow.Segment{})
		}
	}
}

// step is one random step.
func (m *model) step() {
	i := rapid.IntRange(0, 2).Draw(m.t, "daemon")
	h := m.hosts[rapid.IntRange(0, 2).Draw(m.t, "target")]
	n := m.nodes[i]
	switch rapid.IntRange(0, 16).Draw(m.t, "step") {
	case 0:
		if h.lives {
			h.entry.Draining = true
			m.changed(h)
		}
	case 1: // its process ends, and the store drops the entry
		h.lives, h.holds = false, make(map[flow.Tuple]bool)
		m.rev++
	case 2: // another start under the same id
		h.lives, h.dark, h.slow, h.entry.Draining, h.holds = true, false, false, false, make(map[flow.Tuple]bool)
		h.entry.Born++
		m.changed(h)
	case 3:
		h.dark = !h.dark
		h.darkAt = m.now
	case 4:
		n.stalled = !n.stalled
	case 5:
		n.cut = !n.cut
	case 6:
		if !n.stalled {
			m.restart(i)
			m.news(i)
		}
	case 7:
		dc := h.entry.DataCentre
		m.rev++
		if _, out := m.outs[dc]; out {
			delete(m.outs, dc)
		} else {
			m.outs[dc] = m.rev
		}
	case 8, 9:
		if !n.stalled {
			m.news(i)
		}
	case 10, 11:
		m.open(i)
	case 12:
		h.slow = !h.slow
	default:
		for range 4 {
			for _, x := range m.talks {
				m.goOn(int(x.tuple.ClientPort)%3, x)
			}
			m.pass(200)
		}
	}
	m.pass(clock.Milli(rapid.SampledFrom([]int{25, 100, 400, 1000, 3000}).Draw(m.t, "then")))
}

// TestModel checks the package's invariants in short random sequences of steps of
// daemons, targets, the store and the fabric.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			m.step()
		}
	})
}

package soak

import (
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// requestSize is the size of a request in bytes; the first idSize bytes are its
// ID.
const requestSize = 64

// idSize is the size of a request's ID in bytes. An answer consists of the ID
// alone.
const idSize = 8

// resetWindow is the greatest distance of a reset's sequence number from the one
// that the client expects next, in bytes. A reset outside of it is stale.
const resetWindow = 76800

// Delays before the first retransmission of a packet and the greatest delay
// between two.
const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
)

// lastingRequests is the number of requests of a flow that its client keeps open until
// its target is gone or the test ends.
const lastingRequests = 10000

// Bounds of the pauses between the requests of a flow that its client keeps open.
const (
	minPause = 500 * time.Millisecond
	maxPause = 6 * time.Second
)

// client is a client host with several flows.
type client struct {
	sys        *System
	addr       netip.Addr
	dataCentre *dataCentre
	conn       *net.UDPConn
	mu         sync.Mutex
	port       uint16
	flows      map[flow.Tuple]*clientFlow
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	system   *System
	client   *client
	tuple    flow.Tuple
	route    *route
	target   *target // the target that accepted the flow
	received chan platform.ReceivedPacket
	seq      uint32
	ack      uint32
	cookie   uint32
	// via is the daemon that gets all packets of the flow; nil if the fabric chooses.
	via *daemon
	// resetBy is the daemon that sent the last reset.
	resetBy atomic.Pointer[daemon]
	// refused is set if a daemon refused the flow.
	refused bool
}

func newClient(s *System, n int, dc *dataCentre) (*client, error) {
	addr := s.opts.host(roleClient, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{sys: s, addr: addr, dataCentre: dc, conn: conn, port: 1024, flows: make(map[flow.Tuple]*clientFlow)}
	s.wg.Go(c.receive)
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p platform.ReceivedPacket
		if !platform.DecodeForClient(buf[:n], &p) {
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		c.mu.Lock()
		f := c.flows[p.Segment.Tuple]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if p.Accept && f.target == nil {
			f.target = c.sys.targetAt(from)
		}
		if p.Segment.Reset && p.FromDaemon {
			f.resetBy.Store(c.sys.daemonAt(from.Addr()))
		}
		select {
		case f.received <- p:
		default: // the queue is full: the packet is lost
		}
	}
}

// run opens flows one after another until stop closes. During packet disorder a
// flow reuses the addresses and ports of the one before it.
func (c *client) run(stop <-chan struct{}) {
	var last *clientFlow
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c.sys.packetDisorder.Load() {
			c.sys.sleepBetween(1, 5)
		} else {
			last = nil
			c.sys.sleepBetween(20, 100)
		}
		last = c.session(last, stop)
	}
}

// keepOpen opens flows one after another until stop closes, each until its target has
// gone, with long pauses between the requests.
func (c *client) keepOpen(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			c.keepFlow(stop)
			c.sys.sleepBetween(20, 100)
		}
	}
}

// keepFlow opens a flow and sends requests on it with long pauses until one fails.
func (c *client) keepFlow(stop <-chan struct{}) {
	f := c.newFlow(c.sys.permanentRoute(), nil)
	defer c.forget(f)
	c.sys.checker.increment(&c.sys.checker.flows)
	if !f.open() {
		c.sys.checker.increment(&c.sys.checker.rejected)
		return
	}
	for f.request() {
		select {
		case <-stop:
			f.send(&flow.Segment{Close: true}, nil)
			return
		case <-time.After(minPause + c.sys.randomDelay(uint64((maxPause - minPause).Milliseconds()))):
		}
	}
	c.sys.checker.increment(&c.sys.checker.lost)
	f.send(&flow.Segment{Close: true}, nil)
}

// newFlow returns a flow to a route on a new port, or with the route, addresses and
// ports of last if that is not nil.
func (c *client) newFlow(r *route, last *clientFlow) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &clientFlow{system: c.sys, client: c, received: make(chan platform.ReceivedPacket, 64), seq: uint32(c.sys.rand())}
	if last != nil {
		f.route, f.tuple = last.route, last.tuple
	} else {
		c.port++
		f.route = r
		f.tuple = flow.Tuple{Client: c.addr.As4(), ClientPort: c.port, ServiceAddress: f.route.addr.Addr().As4(), ServicePort: f.route.addr.Port()}
	}
	c.flows[f.tuple] = f
	return f
}

// forget drops the packets that still arrive for a flow.
func (c *client) forget(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.tuple)
}

// session opens a flow, sends requests on it, closes it and returns it.
func (c *client) session(last *clientFlow, stop <-chan struct{}) *clientFlow {
	f := c.newFlow(c.sys.permanentRoute(), last)
	defer c.forget(f)
	c.sys.checker.increment(&c.sys.checker.flows)
	if !f.open() {
		c.sys.checker.increment(&c.sys.checker.rejected)
		return f
	}
	requests := 5 + c.sys.rand()%40
	if c.sys.rand()%8 == 0 {
		requests = lastingRequests
	}
	for range requests {
		select {
		case <-stop:
		default:
			if f.request() {
				c.sys.sleepBetween(20, 250)
				continue
			}
			c.sys.checker.increment(&c.sys.checker.lost)
		}
		break
	}
	f.send(&flow.Segment{Close: true}, nil)
	return f
}

// send passes a packet to the fabric, which delays or duplicates some of them
// during packet disorder.
func (f *clientFlow) send(s *flow.Segment, data []byte) {
	s.Tuple, s.Seq, s.Cookie = f.tuple, f.seq, f.cookie
	if !s.Open {
		s.Ack = f.ack
	}
	var b [platform.MaxPacketSize]byte
	packet := platform.EncodePacket(b[:], s, false, false, data)
	if !f.system.packetDisorder.Load() {
		f.forward(packet)
		return
	}
	packet = slices.Clone(packet)
	switch f.system.rand() % 5 {
	case 0:
		f.system.after(f.system.randomDelay(300), func() { f.forward(packet) })
	case 1:
		f.forward(packet)
		f.system.after(f.system.randomDelay(uint64(maxPacketDelay.Milliseconds())), func() { f.forward(packet) })
	default:
		f.forward(packet)
	}
}

// forward sends a packet to the daemon that the fabric chooses.
func (f *clientFlow) forward(packet []byte) {
	d := f.via
	if d == nil {
		d = f.system.chooseDaemon(f.client.dataCentre, &f.tuple)
	}
	if d != nil {
		_, _ = f.client.conn.WriteToUDPAddrPort(packet, d.dataAddr) // a failed write is a lost packet
	}
}

// open sends the first packet, with two retransmissions, until the flow is
// accepted. It reports false if the flow is refused or not answered.
func (f *clientFlow) open() bool {
	waits := []time.Duration{firstRetransmit, 2 * firstRetransmit, 4 * firstRetransmit}
	for n, wait := range waits {
		f.send(&flow.Segment{Open: true, Retransmissions: uint32(n)}, nil)
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-timer:
				waiting = false
			case p := <-f.received:
				if p.Segment.Reset {
					if p.FromDaemon && p.Segment.Seq == 0 { // otherwise it belongs to an earlier flow
						f.refused = true
						f.system.checker.recordRefused(openKey{f.tuple, f.seq})
					}
					return false
				}
				if p.Accept && p.Segment.Ack == f.seq+1 { // otherwise it belongs to an earlier flow
					f.seq++
					f.ack, f.cookie = p.Segment.Seq+1, p.Segment.Cookie
					f.send(&flow.Segment{}, nil)
					return true
				}
			}
		}
	}
	return false
}

// request sends one request and retransmits it with exponential delay until it
// is answered. It reports false if the flow is reset or requestTimeout passes.
func (f *clientFlow) request() bool {
	id := f.system.nextRequestID()
	f.system.checker.recordRequest(id, f.route.nonIdempotent)
	data := make([]byte, requestSize)
	binary.BigEndian.PutUint64(data, id)
	started := time.Now()
	deadline := time.After(requestTimeout)
	wait := firstRetransmit
	for {
		f.send(&flow.Segment{Len: requestSize}, data)
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-deadline:
				f.system.checker.recordGone(f, started, time.Now(), true)
				return false
			case <-timer:
				waiting = false
			case p := <-f.received:
				if done, ok := f.handleReceived(&p, id); done {
					if !ok {
						f.system.checker.recordGone(f, started, time.Now(), false)
					}
					return ok
				}
			}
		}
		wait = min(2*wait, maxRetransmit)
	}
}

// handleReceived handles a packet that arrives while a request waits for its
// answer. It reports done when the wait is over, ok if the request was answered.
func (f *clientFlow) handleReceived(p *platform.ReceivedPacket, id uint64) (done, ok bool) {
	if p.Segment.Reset {
		if distance := int32(p.Segment.Seq - f.ack); distance > resetWindow || distance < -resetWindow {
			return false, false // stale: belongs to an earlier flow
		}
		if p.FromDaemon {
			f.system.checker.checkReset(f, time.Now())
		}
		return true, false
	}
	if len(p.Data) == 0 || p.Segment.Seq != f.ack {
		return false, false // a duplicate acceptance, an earlier answer or an earlier flow's
	}
	f.cookie = p.Segment.Cookie
	got := uint64(0)
	if len(p.Data) >= idSize {
		got = binary.BigEndian.Uint64(p.Data)
	}
	f.system.checker.checkAnswer(id, got, len(p.Data) == idSize)
	f.seq += requestSize
	f.ack += uint32(len(p.Data))
	f.send(&flow.Segment{}, nil)
	return true, true
}

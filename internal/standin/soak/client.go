package soak

import (
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// requestSize is the size of a request in bytes; its first eight are its id.
const requestSize = 64

// resetWindow is how far from what the client expects a reset of an open flow may be.
const resetWindow = 76800

// client is one client host with many flows.
type client struct {
	sys   *System
	addr  netip.Addr
	zone  *zone
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[flow.Tuple]*clientFlow
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	system *System
	client *client
	tuple  flow.Tuple
	route  *route
	target *target // the one that accepted the flow
	in     chan platform.Answer
	seq    uint32
	ack    uint32
	cookie uint32
}

func newClient(s *System, n int, z *zone) (*client, error) {
	addr := s.opts.host(0, n)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{sys: s, addr: addr, zone: z, conn: conn, port: 1024, flows: make(map[flow.Tuple]*clientFlow)}
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
		var a platform.Answer
		if !platform.Unpack(buf[:n], &a) {
			continue
		}
		a.Data = append([]byte(nil), a.Data...)
		c.mu.Lock()
		f := c.flows[a.Segment.Tuple]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if a.Accept && f.target == nil {
			f.target = c.sys.targetAt(from)
		}
		select {
		case f.in <- a:
		default: // lost, as on a full link
		}
	}
}

// run keeps a flow open, and opens another when it ends, until stop closes. While
// the fabric is unruly, the next flow has the addresses and ports of the last one.
func (c *client) run(stop <-chan struct{}) {
	var last *clientFlow
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c.sys.unruly.Load() {
			c.sys.sleep(1, 5)
		} else {
			last = nil
			c.sys.sleep(20, 100)
		}
		last = c.session(last, stop)
	}
}

// newFlow returns a flow on a new port, or again on those of the last one.
func (c *client) newFlow(last *clientFlow) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &clientFlow{system: c.sys, client: c, in: make(chan platform.Answer, 64), seq: uint32(c.sys.rand())}
	if last != nil {
		f.route, f.tuple = last.route, last.tuple
	} else {
		c.port++
		f.route = c.sys.someRoute()
		f.tuple = flow.Tuple{Client: c.addr.As4(), ClientPort: c.port, Address: f.route.addr.Addr().As4(), Port: f.route.addr.Port()}
	}
	c.flows[f.tuple] = f
	return f
}

// session opens a flow, sends requests on it and returns it once it ended.
func (c *client) session(last *clientFlow, stop <-chan struct{}) *clientFlow {
	f := c.newFlow(last)
	defer func() {
		c.mu.Lock()
		delete(c.flows, f.tuple)
		c.mu.Unlock()
	}()
	c.sys.judge.count(&c.sys.judge.flows)
	if !f.open() {
		c.sys.judge.count(&c.sys.judge.refused)
		return f
	}
	for range 5 + c.sys.rand()%40 {
		select {
		case <-stop:
		default:
			if f.request() {
				c.sys.sleep(20, 250)
				continue
			}
			c.sys.judge.count(&c.sys.judge.lost)
		}
		break
	}
	f.send(&flow.Segment{Close: true}, nil)
	return f
}

// send hands a packet to the fabric.
func (f *clientFlow) send(s *flow.Segment, data []byte) {
	s.Tuple, s.Seq, s.Cookie = f.tuple, f.seq, f.cookie
	if !s.Open {
		s.Ack = f.ack
	}
	var b [platform.MaxPacket]byte
	packet := platform.Pack(b[:], s, false, false, data)
	if !f.system.unruly.Load() {
		f.pass(packet)
		return
	}
	// Some packets are late, some come twice, the second time much later.
	packet = slices.Clone(packet)
	switch f.system.rand() % 5 {
	case 0:
		f.system.after(f.system.upTo(300), func() { f.pass(packet) })
	case 1:
		f.pass(packet)
		f.system.after(f.system.upTo(2500), func() { f.pass(packet) })
	default:
		f.pass(packet)
	}
}

// pass hands a packet to the daemon that the fabric chooses.
func (f *clientFlow) pass(packet []byte) {
	if d := f.system.choose(f.client.zone, &f.tuple); d != nil {
		_, _ = f.client.conn.WriteToUDPAddrPort(packet, d.data) // a lost packet
	}
}

// open sends the first packet and its copies.
func (f *clientFlow) open() bool {
	waits := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	for n, wait := range waits {
		f.send(&flow.Segment{Open: true, Copy: uint32(n)}, nil)
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-timer:
				waiting = false
			case a := <-f.in:
				if a.Segment.Reset {
					return false
				}
				if a.Accept && a.Segment.Ack == f.seq+1 { // else it is of an earlier flow
					f.seq++
					f.ack, f.cookie = a.Segment.Seq+1, a.Segment.Cookie
					f.send(&flow.Segment{}, nil)
					return true
				}
			}
		}
	}
	return false
}

// request sends one request, again and again, until it is answered. It
// reports false if the flow can't go on.
func (f *clientFlow) request() bool {
	id := f.system.nextID()
	f.system.judge.asked(id, f.route.once)
	data := make([]byte, requestSize)
	binary.BigEndian.PutUint64(data, id)
	deadline := time.After(flowTimeout)
	wait := 200 * time.Millisecond
	for {
		f.send(&flow.Segment{Len: requestSize}, data)
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-deadline:
				return false
			case <-timer:
				waiting = false
			case a := <-f.in:
				if done, ok := f.take(&a, id); done {
					return ok
				}
			}
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

// take handles a packet while a request waits for its answer.
func (f *clientFlow) take(a *platform.Answer, id uint64) (done, ok bool) {
	if a.Segment.Reset {
		if off := int32(a.Segment.Seq - f.ack); off > resetWindow || off < -resetWindow {
			return false, false // of an earlier flow
		}
		if a.System {
			f.system.judge.reset(f, time.Now())
		}
		return true, false
	}
	f.cookie = a.Segment.Cookie
	if len(a.Data) == 0 || a.Segment.Seq != f.ack {
		return false, false // an acceptance again, or an answer of before
	}
	got := uint64(0)
	if len(a.Data) >= 8 {
		got = binary.BigEndian.Uint64(a.Data)
	}
	f.system.judge.answered(id, got, len(a.Data) == 8)
	f.seq += requestSize
	f.ack += uint32(len(a.Data))
	f.send(&flow.Segment{}, nil)
	return true, true
}

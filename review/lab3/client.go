//go:build review

package main

import (
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// clients opens a flow for each request, as the table of a deployment states.
type clients struct {
	lab   *lab
	hosts []*clientHost
	// perS is the number of requests a second.
	perS                        atomic.Int64
	sent, answered, reset, lost atomic.Int64
}

// clientHost is the address of some clients.
type clientHost struct {
	addr netip.Addr
	zone string
	conn *net.UDPConn
	mu   sync.Mutex
	// flows are the open flows by port.
	flows map[uint16]*clientFlow
	port  uint16
}

type clientFlow struct {
	in chan packet
}

// receive hands the packets of a host to its flows.
func (h *clientHost) receive() {
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p packet
		if !p.decode(append([]byte(nil), buf[:n]...)) {
			continue
		}
		h.mu.Lock()
		f := h.flows[p.dst.port]
		h.mu.Unlock()
		if f != nil {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// run starts requests at the rate until stop is closed.
func (c *clients) run(stop chan struct{}) {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	owed, last := 0.0, time.Now()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			owed += now.Sub(last).Seconds() * float64(c.perS.Load())
			last = now
			for ; owed >= 1; owed-- {
				go c.flow(c.hosts[rand.IntN(len(c.hosts))])
			}
		}
	}
}

// flow opens a flow and sends a request on it.
func (c *clients) flow(h *clientHost) {
	f := &clientFlow{in: make(chan packet, 32)}
	h.mu.Lock()
	for h.port++; h.flows[h.port] != nil || h.port < 1024; h.port++ {
	}
	port := h.port
	h.flows[port] = f
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.flows, port)
		h.mu.Unlock()
	}()
	src := end{addr: h.addr.As4(), port: port}
	c.sent.Add(1)
	c.lab.noteSent(src)
	p := packet{flags: flagSyn, sum: keySum, seq: rand.Uint32(), src: src, dst: routeEnd}
	accept, ok := c.open(h, f, &p)
	if !ok {
		return
	}
	p.flags, p.echo, p.seq, p.ack = flagAck, accept.echo, p.seq+1, accept.seq+1
	reset, ok := c.request(h, f, &p)
	switch {
	case reset:
		c.reset.Add(1)
		return
	case !ok:
		c.lost.Add(1)
		return
	}
	c.answered.Add(1)
	p.flags, p.data = flagAck|flagFin, nil
	c.forward(h, &p)
}

// open sends the first packet of a flow and its copies. It reports false without an
// acceptance.
func (c *clients) open(h *clientHost, f *clientFlow, syn *packet) (packet, bool) {
	for try, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		syn.ack = uint32(try)
		c.forward(h, syn)
		p, ok := f.await(wait, func(p *packet) bool { return p.flags&flagRst != 0 || p.flags&(flagSyn|flagAck) == flagSyn|flagAck })
		switch {
		case ok && p.flags&flagRst != 0:
			c.reset.Add(1)
			return p, false
		case ok:
			return p, true
		}
	}
	c.lost.Add(1)
	return packet{}, false
}

// request sends a request on an open flow and acknowledges its answer. It reports whether a
// reset ended the flow, and whether there was an answer. p becomes the packet that
// acknowledges the answer.
func (c *clients) request(h *clientHost, f *clientFlow, p *packet) (reset, ok bool) {
	p.data = make([]byte, requestSize)
	after := p.seq + requestSize
	deadline := time.Now().Add(routeTimeout)
	wait := 200 * time.Millisecond
	acked := false
	for time.Now().Before(deadline) {
		if !acked {
			c.forward(h, p)
		}
		r, ok := f.await(wait, func(r *packet) bool {
			return r.flags&flagRst != 0 || len(r.data) > 0 && r.seq == p.ack || len(r.data) == 0 && r.ack == after
		})
		switch {
		case !ok:
			wait = min(2*wait, 1600*time.Millisecond)
		case r.flags&flagRst != 0:
			return true, false
		case len(r.data) > 0:
			p.echo, p.seq, p.ack, p.data = r.echo, after, r.seq+uint32(len(r.data)), nil
			c.forward(h, p)
			return false, true
		default:
			acked = true
		}
	}
	return false, false
}

// await returns the next packet that matches, within the time.
func (f *clientFlow) await(d time.Duration, match func(*packet) bool) (packet, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case p := <-f.in:
			if match(&p) {
				return p, true
			}
		case <-t.C:
			return packet{}, false
		}
	}
}

// forward sends a packet as the platform's routers do: to a daemon of the client's zone,
// by a hash of the four addresses and ports over those in rotation.
func (c *clients) forward(h *clientHost, p *packet) {
	list := c.lab.rotation(h.zone)
	if len(list) == 0 {
		return
	}
	hash := fnv.New32a()
	_, _ = hash.Write(p.src.addr[:])
	_, _ = hash.Write([]byte{byte(p.src.port >> 8), byte(p.src.port)})
	_, _ = hash.Write(p.dst.addr[:])
	_, _ = hash.Write([]byte{byte(p.dst.port >> 8), byte(p.dst.port)})
	_, _ = h.conn.WriteToUDPAddrPort(p.encode(), list[hash.Sum32()%uint32(len(list))].data)
}

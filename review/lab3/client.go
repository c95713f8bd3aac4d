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
				go c.request(c.hosts[rand.IntN(len(c.hosts))])
			}
		}
	}
}

// request sends one request on a flow of its own.
func (c *clients) request(h *clientHost) {
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
	first := rand.Uint32()
	syn := packet{flags: flagSyn, sum: keySum, seq: first, src: src, dst: routeEnd}
	var accept packet
	opened := false
	for try, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		syn.ack = uint32(try)
		c.forward(h, &syn)
		p, ok := f.await(wait, func(p *packet) bool { return p.flags&flagRst != 0 || p.flags&(flagSyn|flagAck) == flagSyn|flagAck })
		if ok && p.flags&flagRst != 0 {
			c.reset.Add(1)
			return
		}
		if ok {
			accept, opened = p, true
			break
		}
	}
	if !opened {
		c.lost.Add(1)
		return
	}
	request := packet{flags: flagAck, sum: keySum, echo: accept.echo, seq: first + 1, ack: accept.seq + 1, src: src, dst: routeEnd, data: make([]byte, requestSize)}
	deadline := time.Now().Add(routeTimeout)
	wait := 200 * time.Millisecond
	acked := false
	for time.Now().Before(deadline) {
		if !acked {
			c.forward(h, &request)
		}
		p, ok := f.await(wait, func(p *packet) bool { return p.flags&flagRst != 0 || len(p.data) > 0 || p.ack == first+1+requestSize })
		switch {
		case !ok:
			wait = min(2*wait, 1600*time.Millisecond)
		case p.flags&flagRst != 0:
			c.reset.Add(1)
			return
		case len(p.data) > 0:
			fin := packet{flags: flagAck | flagFin, sum: keySum, echo: p.echo, seq: first + 1 + requestSize, ack: p.seq + uint32(len(p.data)), src: src, dst: routeEnd}
			c.forward(h, &fin)
			c.answered.Add(1)
			return
		default:
			acked = true
		}
	}
	c.lost.Add(1)
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

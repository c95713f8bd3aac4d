// Package fault is a small fault-injecting proxy for UDP: it loses, delays,
// duplicates and cuts packets, in each direction on its own.
package fault

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const maxPacket = 65536

// Fault is what happens to the packets of one direction.
type Fault struct {
	// Cut loses all packets.
	Cut bool
	// Loss and Duplicate are probabilities.
	Loss, Duplicate float64
	// Delay holds each packet back, up to twice as long at random.
	Delay time.Duration
}

// Proxy stands before one UDP server.
type Proxy struct {
	front   *net.UDPConn
	server  netip.AddrPort
	mu      sync.Mutex
	rng     *rand.Rand
	to      Fault
	from    Fault
	clients map[netip.AddrPort]*net.UDPConn
	wg      sync.WaitGroup
	closed  bool
}

// Listen opens a proxy on a free loopback port before a server.
func Listen(server netip.AddrPort, seed uint64) (*Proxy, error) {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		front:   front,
		server:  server,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		clients: make(map[netip.AddrPort]*net.UDPConn),
	}
	p.wg.Go(p.serve)
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() netip.AddrPort {
	return p.front.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Set replaces the faults of packets to and from the server.
func (p *Proxy) Set(to, from Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to, p.from = to, from
}

// Close ends the proxy and waits for it.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	err := p.front.Close()
	for _, c := range p.clients {
		err = errors.Join(err, c.Close())
	}
	p.mu.Unlock()
	p.wg.Wait()
	return err
}

func (p *Proxy) serve() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := p.front.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if back := p.client(from); back != nil {
			p.pass(p.fault(true), buf[:n], func(data []byte) { _, _ = back.Write(data) })
		}
	}
}

// client returns the socket that stands for a client before the server.
func (p *Proxy) client(from netip.AddrPort) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[from]; c != nil || p.closed {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.server))
	if err != nil {
		return nil
	}
	p.clients[from] = c
	p.wg.Go(func() { p.answers(c, from) })
	return c
}

func (p *Proxy) answers(c *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxPacket)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the server is not there at the moment
		}
		p.pass(p.fault(false), buf[:n], func(data []byte) { _, _ = p.front.WriteToUDPAddrPort(data, to) })
	}
}

func (p *Proxy) fault(to bool) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to {
		return p.to
	}
	return p.from
}

// pass sends a packet on as the fault allows.
func (p *Proxy) pass(f Fault, data []byte, send func([]byte)) {
	p.mu.Lock()
	lost := f.Cut || p.rng.Float64() < f.Loss
	copies := 1
	if p.rng.Float64() < f.Duplicate {
		copies = 2
	}
	delay := f.Delay
	if delay > 0 {
		delay += time.Duration(p.rng.Int64N(int64(delay)))
	}
	p.mu.Unlock()
	if lost {
		return
	}
	for range copies {
		if delay == 0 {
			send(data)
			continue
		}
		held := append([]byte(nil), data...)
		time.AfterFunc(delay, func() { send(held) })
	}
}

// Package fault provides a UDP proxy that injects faults: it drops, delays and
// duplicates packets, with separate settings for each direction.
package fault

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxPacket is the greatest size of a UDP packet in bytes.
const maxPacket = 65536

// Fault describes the faults of one direction.
type Fault struct {
	// Cut drops all packets.
	Cut bool
	// Loss and Duplicate are the probabilities that a packet is dropped or sent
	// twice.
	Loss, Duplicate float64
	// Delay is the least delay of a packet; a random part of up to the same length
	// is added.
	Delay time.Duration
}

// Proxy forwards packets between clients and one UDP server.
type Proxy struct {
	listener   *net.UDPConn
	server     netip.AddrPort
	mu         sync.Mutex
	rng        *rand.Rand
	toServer   Fault
	fromServer Fault
	// clients holds the socket to the server of each client.
	clients map[netip.AddrPort]*net.UDPConn
	wg      sync.WaitGroup
	closed  bool
}

// Listen opens a proxy for a server on a free loopback port. The seed determines
// the random faults.
func Listen(server netip.AddrPort, seed uint64) (*Proxy, error) {
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: listener,
		server:   server,
		rng:      rand.New(rand.NewPCG(seed, seed)),
		clients:  make(map[netip.AddrPort]*net.UDPConn),
	}
	p.wg.Go(p.serve)
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() netip.AddrPort {
	return p.listener.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Set replaces the faults of the packets to and from the server.
func (p *Proxy) Set(toServer, fromServer Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toServer, p.fromServer = toServer, fromServer
}

// Close closes all sockets and waits for the proxy's goroutines.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	err := p.listener.Close()
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
		n, from, err := p.listener.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if conn := p.clientSocket(from); conn != nil {
			p.forward(p.faultOf(true), buf[:n], func(data []byte) { _, _ = conn.Write(data) })
		}
	}
}

// clientSocket returns the socket that carries a client's packets to the server.
// It opens one for a new client, unless the proxy is closed.
func (p *Proxy) clientSocket(from netip.AddrPort) *net.UDPConn {
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
	p.wg.Go(func() { p.relayAnswers(c, from) })
	return c
}

// relayAnswers forwards the server's packets to a client until the socket is
// closed.
func (p *Proxy) relayAnswers(c *net.UDPConn, to netip.AddrPort) {
	buf := make([]byte, maxPacket)
	for {
		n, err := c.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // for example, the server's port is closed at the moment
		}
		p.forward(p.faultOf(false), buf[:n], func(data []byte) { _, _ = p.listener.WriteToUDPAddrPort(data, to) })
	}
}

func (p *Proxy) faultOf(toServer bool) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toServer {
		return p.toServer
	}
	return p.fromServer
}

// forward sends a packet, subject to a fault.
func (p *Proxy) forward(f Fault, data []byte, send func([]byte)) {
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
		delayed := append([]byte(nil), data...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
}

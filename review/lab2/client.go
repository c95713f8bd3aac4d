//go:build review

package main

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 1600 * time.Millisecond
	openTimeout   = 1400 * time.Millisecond
	// resetWindow is by how much the sequence number of a daemon's reset may differ from
	// the client's last acknowledgement.
	resetWindow = 76800
)

// client is a host with one address and many flows.
type client struct {
	lab  *lab
	zone string
	ip   [4]byte
	conn *net.UDPConn

	mu       sync.Mutex
	nextPort uint16
	flows    map[flowKey]*clientFlow
}

// clientFlow is a client's side of a flow.
type clientFlow struct {
	c    *client
	key  flowKey
	in   chan packet
	seq  uint32
	ack  uint32
	echo uint32
	open bool
}

func newClient(l *lab, zone string, ip [4]byte) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(ip), l.port)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(1 << 20)
	c := &client{lab: l, zone: zone, ip: ip, conn: conn, nextPort: 1024, flows: make(map[flowKey]*clientFlow)}
	go c.receive()
	return c, nil
}

func (c *client) receive() {
	buf := make([]byte, maxPacket+1)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		k := flowKey{client: p.dst, clientPort: p.dport, service: p.src, servicePort: p.sport}
		c.mu.Lock()
		f := c.flows[k]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.in <- p:
		default: // as if the packet were lost
		}
	}
}

// newFlow returns a flow to a service from a new port.
func (c *client) newFlow(service netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	k := flowKey{client: c.ip, clientPort: c.nextPort, service: service.Addr().As4(), servicePort: service.Port()}
	f := &clientFlow{c: c, key: k, in: make(chan packet, 32), seq: randomSeq()}
	c.flows[k] = f
	return f
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key)
}

// send sends a packet through the routers.
func (f *clientFlow) send(p *packet) {
	p.src, p.sport, p.dst, p.dport = f.key.client, f.key.clientPort, f.key.service, f.key.servicePort
	if p.flags&flagSyn == 0 {
		p.echo = f.echo
	}
	to, ok := f.c.lab.daemonFor(f.c.zone, f.key)
	if ok {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), to) // a lost packet is sent again
	}
}

// outcome is how a step of a flow ended.
type outcome string

// The outcomes.
const (
	done          outcome = "done"
	timedOut      outcome = "timed out"
	resetBySystem outcome = "reset by the system"
	resetByOther  outcome = "reset by a backend"
)

// resetBy returns the outcome that a reset means.
func resetBy(p *packet) outcome {
	if p.sum == 0 {
		return resetBySystem
	}
	return resetByOther
}

// connect opens the flow.
func (f *clientFlow) connect() outcome {
	began := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	sent := 0
	for {
		for sent < len(copies) && time.Since(began) >= copies[sent] {
			f.c.lab.recordSyn(f.key, uint32(sent))
			f.send(&packet{flags: flagSyn, seq: f.seq, ack: uint32(sent)})
			sent++
		}
		if time.Since(began) >= openTimeout {
			return timedOut
		}
		wait := openTimeout
		if sent < len(copies) {
			wait = copies[sent]
		}
		select {
		case p := <-f.in:
			switch {
			case p.flags&flagRst != 0:
				return resetBy(&p)
			case p.flags&(flagSyn|flagAck) == flagSyn|flagAck:
				f.seq++
				f.ack, f.echo, f.open = p.seq+1, p.echo, true
				f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return done
			}
		case <-time.After(time.Until(began.Add(wait))):
		}
	}
}

// request sends a request on the open flow and awaits its answer.
func (f *clientFlow) request(method string, limit time.Duration) outcome {
	id := f.c.lab.newRequest(f.key)
	data := fmt.Appendf(nil, "%s /step HTTP/1.1\r\nHost: desk\r\nRequest-Id: %d\r\n\r\n", method, id)
	end := time.Now().Add(limit)
	interval := minRetransmit
	f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data})
	next := time.Now().Add(interval)
	acked := false
	for {
		now := time.Now()
		if now.After(end) {
			return timedOut
		}
		if !acked && !now.Before(next) {
			f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data})
			interval = min(maxRetransmit, 2*interval)
			next = now.Add(interval)
		}
		wake := end
		if !acked && next.Before(wake) {
			wake = next
		}
		select {
		case p := <-f.in:
			if p.flags&flagRst != 0 {
				if d := int32(p.seq - f.ack); d >= -resetWindow && d <= resetWindow {
					return resetBy(&p)
				}
				continue
			}
			f.echo = p.echo
			acked = acked || p.ack == f.seq+uint32(len(data))
			if len(p.data) > 0 && p.seq == f.ack {
				f.ack += uint32(len(p.data))
				f.seq += uint32(len(data))
				f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
				f.c.lab.answered(id, strings.Contains(string(p.data), fmt.Sprintf("answer %d of ", id)))
				return done
			}
		case <-time.After(time.Until(wake)):
		}
	}
}

// idle waits with no request, and reports a reset that comes meanwhile.
func (f *clientFlow) idle(d time.Duration) outcome {
	end := time.After(d)
	for {
		select {
		case p := <-f.in:
			if p.flags&flagRst != 0 {
				if d := int32(p.seq - f.ack); d >= -resetWindow && d <= resetWindow {
					return resetBy(&p)
				}
			}
			if p.flags&flagRst == 0 {
				f.echo = p.echo
			}
		case <-end:
			return done
		}
	}
}

// finish closes the flow.
func (f *clientFlow) finish() {
	f.send(&packet{flags: flagFin | flagAck, seq: f.seq, ack: f.ack})
	f.forget()
}

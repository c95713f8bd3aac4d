//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two check-ins of a backend.
const heartbeat = 1200 * time.Millisecond

// backend is a stand-in of a backend. A process of it can end and start again under its
// id.
type backend struct {
	lab     *lab
	id      string
	number  uint64
	service string
	zone    string
	addr    netip.AddrPort
	workMs  int
	// maxFlows is the number of flows that the backend holds, 0 if there is no limit.
	maxFlows int

	mu     sync.Mutex
	conn   *net.UDPConn
	health net.Listener
	flows  map[flowKey]*backendFlow
	born   int64
	// The process is cold from coldFrom until coldUntil.
	coldFrom  time.Time
	coldUntil time.Time
	stop      chan struct{}
	// opened are the opening packets that the running process took.
	opened []opening
}

// opening is an opening packet that a backend took.
type opening struct {
	sent, arrived time.Time
	port          uint16
	by            netip.Addr
}

// backendFlow is a backend's state of a flow.
type backendFlow struct {
	firstSeq    uint32
	nextSend    uint32
	nextReceive uint32
	open        bool
	echo        uint32
	lastAnswer  *packet
}

// entry is what a backend says of itself in the store.
type entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Concurrency  int    `json:"concurrency"`
	State        string `json:"state"`
	WarmupLeftMs int64  `json:"warmupLeftMs"`
	Seq          int    `json:"seq"`
	Born         int64  `json:"born"`
}

// start starts a process of the backend that is cold for a time.
func (b *backend) start(cold time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr))
	if err != nil {
		return err
	}
	health, err := net.Listen("tcp4", b.addr.String())
	if err != nil {
		return err
	}
	_ = conn.SetReadBuffer(1 << 20)
	b.mu.Lock()
	b.conn, b.health, b.flows, b.stop, b.opened = conn, health, make(map[flowKey]*backendFlow), make(chan struct{}), nil
	b.coldFrom = time.Now()
	b.coldUntil = b.coldFrom.Add(cold)
	b.born = b.coldFrom.UnixMilli()
	b.mu.Unlock()
	go acceptAll(health)
	go b.receive(conn)
	go b.beat(b.stop)
	return nil
}

// acceptAll accepts the connections of probes and closes them.
func acceptAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

// crash ends the process without a word.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != nil {
		close(b.stop)
		_ = b.conn.Close()
		_ = b.health.Close()
		b.conn = nil
	}
}

// describe returns the entry of the running process.
func (b *backend) describe() entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := max(0, time.Until(b.coldUntil)).Milliseconds()
	return entry{Service: b.service, Address: b.addr.String(), Zone: b.zone, Version: "v1", Concurrency: 4, State: "ready", WarmupLeftMs: left, Born: b.born}
}

// beat writes the entry at the start and then each heartbeat. The store takes none while
// it is down.
func (b *backend) beat(stop chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		b.lab.store.mu.Lock()
		down := b.lab.store.down
		b.lab.store.mu.Unlock()
		if !down {
			b.lab.store.put("servers", b.id, b.describe())
		}
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

func (b *backend) receive(conn *net.UDPConn) {
	buf := make([]byte, prefixSize+maxPacket+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		number := binary.BigEndian.Uint64(buf)
		p, ok := decode(buf[prefixSize:n])
		if !ok || number != 0 && number != b.number {
			continue
		}
		b.handle(conn, &p, from.Addr().Unmap())
	}
}

// handle takes a packet that is meant for this backend, through the daemon by.
func (b *backend) handle(conn *net.UDPConn, p *packet, by netip.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != conn {
		return
	}
	k := flowKey{client: p.src, service: p.dst, clientPort: p.sport, servicePort: p.dport}
	f := b.flows[k]
	switch {
	case p.flags&(flagSyn|flagAck) == flagSyn:
		if f == nil || f.nextReceive != p.seq+1 {
			if b.maxFlows > 0 && len(b.flows) >= b.maxFlows {
				return // full
			}
			f = &backendFlow{firstSeq: randomSeq(), nextReceive: p.seq + 1}
			f.nextSend = f.firstSeq + 1
			b.flows[k] = f
			b.opened = append(b.opened, opening{sent: b.lab.synSentAt(k, p.ack), arrived: time.Now(), port: p.dport, by: by})
		}
		f.echo = p.echo
		b.send(conn, k, &packet{flags: flagSyn | flagAck, seq: f.firstSeq, ack: f.nextReceive, echo: f.echo})
		return
	case f == nil:
		if p.flags&flagRst == 0 {
			b.send(conn, k, &packet{flags: flagRst, seq: p.ack, echo: p.echo})
		}
		return
	case p.flags&flagRst != 0:
		delete(b.flows, k)
		return
	}
	f.echo = p.echo
	if !f.open {
		if p.ack != f.nextSend {
			return // another backend's flow
		}
		f.open = true
	}
	if len(p.data) > 0 {
		b.handleData(conn, k, f, p)
	}
	if p.flags&flagFin != 0 && p.seq+uint32(len(p.data)) == f.nextReceive {
		f.nextReceive++
		b.send(conn, k, &packet{flags: flagFin | flagAck, seq: f.nextSend, ack: f.nextReceive, echo: f.echo})
		delete(b.flows, k)
	}
}

// handleData takes a request, which is one packet, acknowledges it at once and answers it
// later. The caller holds b.mu.
func (b *backend) handleData(conn *net.UDPConn, k flowKey, f *backendFlow, p *packet) {
	switch {
	case p.seq == f.nextReceive:
		f.nextReceive += uint32(len(p.data))
		f.lastAnswer = nil
		id := requestID(p.data)
		b.lab.ran(id, b)
		time.AfterFunc(time.Duration(b.workMs)*time.Millisecond, func() { b.respond(conn, k, f, id) })
	case f.lastAnswer != nil:
		f.lastAnswer.echo = f.echo
		b.send(conn, k, f.lastAnswer)
		return
	}
	b.send(conn, k, &packet{flags: flagAck, seq: f.nextSend, ack: f.nextReceive, echo: f.echo})
}

// respond sends the answer to a request, and sends it again until the client has it.
func (b *backend) respond(conn *net.UDPConn, k flowKey, f *backendFlow, id int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != conn || b.flows[k] != f {
		return
	}
	body := fmt.Sprintf("answer %d of %s", id, b.id)
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", b.id, len(body), body)
	f.lastAnswer = &packet{flags: flagAck, seq: f.nextSend, ack: f.nextReceive, echo: f.echo, data: []byte(data)}
	f.nextSend += uint32(len(data))
	b.send(conn, k, f.lastAnswer)
}

// send sends a packet to a client. The caller holds b.mu.
func (b *backend) send(conn *net.UDPConn, k flowKey, p *packet) {
	p.src, p.sport, p.dst, p.dport = k.service, k.servicePort, k.client, k.clientPort
	_, _ = conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(netip.AddrFrom4(k.client), b.lab.port)) // a lost packet is sent again
}

// requestID returns the number in the Request-Id of a request, 0 if there is none.
func requestID(data []byte) int {
	_, rest, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	n, _ := strconv.Atoi(id)
	return n
}

// coldOpenings returns the opening packets that the running process took while it was
// last cold.
func (b *backend) coldOpenings() []opening {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []opening
	for _, o := range b.opened {
		if !o.arrived.Before(b.coldFrom) && o.arrived.Before(b.coldUntil) {
			list = append(list, o)
		}
	}
	return list
}

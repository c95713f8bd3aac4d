//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// open is an opening packet that a backend took.
type open struct {
	sent, arrived time.Time
	client        end
}

// backend serves flows at one address. It may start again under its id.
type backend struct {
	lab    *lab
	id     string
	number uint64
	zone   string
	addr   netip.AddrPort

	mu sync.Mutex
	// conn and health are the sockets of the present start, nil while it is down.
	conn   *net.UDPConn
	health net.Listener
	born   time.Time
	// cold is set for a start during traffic.
	cold  bool
	flows map[end]*backendFlow
	// opens are the opening packets that the present start took.
	opens []open
	slots chan struct{}
	// draining is set once the backend is about to leave, drainAcked is when the store
	// accepted that report.
	draining   bool
	drainAcked time.Time
	// registered is when the store first accepted the entry of this start.
	registered time.Time
}

type backendFlow struct {
	seq     uint32
	next    uint32
	peerSeq uint32
	echo    uint32
	service end
}

func newBackend(l *lab, n int, zone string, addr netip.AddrPort) *backend {
	number := uint64(0x7f3a0000 + n)
	return &backend{lab: l, id: fmt.Sprintf("i-%08x", number), number: number, zone: zone, addr: addr}
}

// start opens the backend's sockets as a new start with a new born, and registers it.
func (b *backend) start(cold bool) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr))
	if err != nil {
		return err
	}
	health, err := net.Listen("tcp4", b.addr.String())
	if err != nil {
		_ = conn.Close()
		return err
	}
	b.mu.Lock()
	b.conn, b.health, b.born, b.cold = conn, health, time.Now(), cold
	b.flows, b.opens, b.registered = make(map[end]*backendFlow), nil, time.Time{}
	b.slots = make(chan struct{}, concurrency)
	b.mu.Unlock()
	go b.accept(health)
	go b.serve(conn)
	b.register()
	return nil
}

// crash ends the present start without a word.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn == nil {
		return
	}
	_, _ = b.conn.Close(), b.health.Close()
	b.conn, b.health, b.flows = nil, nil, nil
}

// loseHost ends the present start as a loss of power does: nothing refuses its packets and
// connections. It returns the function that ends the silence of the address.
func (b *backend) loseHost() (func(), error) {
	b.crash()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(b.addr.Port()), Addr: b.addr.Addr().As4()}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	// Once its queue is full, further connections have no answer.
	var queued []net.Conn
	for range 2 {
		if c, err := net.DialTimeout("tcp4", b.addr.String(), 50*time.Millisecond); err == nil {
			queued = append(queued, c)
		}
	}
	return func() {
		for _, c := range queued {
			_ = c.Close()
		}
		_ = syscall.Close(fd)
	}, nil
}

// warmupLeft returns how much longer the present start is cold. The caller holds b.mu.
func (b *backend) warmupLeft(now time.Time) time.Duration {
	if !b.cold {
		return 0
	}
	return max(0, b.lab.warmup-now.Sub(b.born))
}

// register writes the backend's entry, if it changed in more than seq.
func (b *backend) register() {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := !b.registered.IsZero() && b.warmupLeft(time.Now()) == 0 && b.draining == !b.drainAcked.IsZero()
	if b.conn == nil || told {
		return
	}
	state := "ready"
	if b.draining {
		state = "draining"
	}
	spec := map[string]any{
		"service": service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "concurrency": concurrency,
		"state": state, "warmupLeftMs": b.warmupLeft(time.Now()).Milliseconds(), "seq": 1, "born": b.born.UnixMilli(),
	}
	if _, ok := b.lab.store.put("servers", b.id, spec); !ok {
		return
	}
	if b.draining && b.drainAcked.IsZero() {
		b.drainAcked = time.Now()
		b.lab.record("backend %s: the store has accepted that it is draining", b.id)
	}
	if b.registered.IsZero() {
		b.registered = time.Now()
		if b.cold {
			b.lab.record("backend %s: the store has its entry, born=%d", b.id, b.born.UnixMilli())
		}
	}
}

// accept answers health requests.
func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(time.Second))
			buf := make([]byte, 4096)
			if n, _ := c.Read(buf); n > 0 {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", b.id)
			}
		}()
	}
}

func (b *backend) serve(conn *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p packet
		if n < prefixSize || !p.decode(buf[prefixSize:n]) {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != b.number {
			continue // it is for another backend
		}
		b.handle(conn, &p)
	}
}

// handle handles a packet of a client.
func (b *backend) handle(conn *net.UDPConn, p *packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != conn {
		return
	}
	f := b.flows[p.src]
	switch {
	case p.flags&flagSyn != 0:
		if f == nil {
			f = &backendFlow{seq: rand.Uint32(), peerSeq: p.seq + 1, service: p.dst}
			f.next = f.seq + 1
			b.flows[p.src] = f
			b.opens = append(b.opens, open{sent: b.lab.sentAt(p.src), arrived: time.Now(), client: p.src})
		}
		f.echo = p.echo
		b.send(conn, p.src, f, flagSyn|flagAck, f.seq, nil)
	case f == nil:
		if p.flags&flagRst == 0 && p.flags&flagFin == 0 {
			r := &packet{flags: flagRst, sum: keySum, seq: p.ack, src: p.dst, dst: p.src, echo: p.echo}
			b.write(conn, r)
		}
	case p.flags&flagRst != 0:
		delete(b.flows, p.src)
	case p.flags&flagFin != 0:
		f.echo = p.echo
		f.peerSeq = p.seq + uint32(len(p.data)) + 1
		b.send(conn, p.src, f, flagAck|flagFin, f.next, nil)
		delete(b.flows, p.src)
	case len(p.data) > 0:
		f.echo = p.echo
		if p.seq != f.peerSeq { // a copy of the request
			b.send(conn, p.src, f, flagAck, f.next, nil)
			return
		}
		f.peerSeq += uint32(len(p.data))
		b.send(conn, p.src, f, flagAck, f.next, nil)
		go b.run(conn, p.src, f, b.slots)
	}
}

// run runs a request and answers it.
func (b *backend) run(conn *net.UDPConn, client end, f *backendFlow, slots chan struct{}) {
	slots <- struct{}{}
	time.Sleep(b.lab.work)
	<-slots
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != conn || b.flows[client] != f {
		return
	}
	seq := f.next
	f.next += responseSize
	b.send(conn, client, f, flagAck, seq, make([]byte, responseSize))
}

// send sends a packet of a flow to its client. The caller holds b.mu.
func (b *backend) send(conn *net.UDPConn, client end, f *backendFlow, flags byte, seq uint32, data []byte) {
	b.write(conn, &packet{flags: flags, sum: keySum, echo: f.echo, seq: seq, ack: f.peerSeq, src: f.service, dst: client, data: data})
}

func (b *backend) write(conn *net.UDPConn, p *packet) {
	_, _ = conn.WriteToUDPAddrPort(p.encode(), addrPort(p.dst.addr, b.lab.dataPort))
}

// most returns the most opening packets that were sent and arrived within one second of the
// present start's cold time, and when that second began.
func (b *backend) most() (int, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, at := 0, time.Time{}
	for i, o := range b.opens {
		begin := o.sent
		n := 0
		for _, x := range b.opens[i:] {
			if !x.sent.Before(begin) && x.arrived.Sub(begin) < time.Second && x.arrived.Sub(b.born) < b.lab.warmup {
				n++
			}
		}
		if n > best {
			best, at = n, begin
		}
	}
	return best, at
}

// drain makes the backend report that it is draining.
func (b *backend) drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.register()
}

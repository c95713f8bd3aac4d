//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// Sizes of requests and answers, which fit in one packet each.
const (
	requestSize = 16 // the request's number and the work in microseconds
	answerSize  = 17 // the request's number, the backend's, the status
)

// Statuses of an answer.
const (
	statusDone   = 0
	statusNotRun = 1
)

// backend is a server as the pages describe it.
type backend struct {
	lab      *lab
	id       string
	number   uint64
	service  string
	zone     string
	addr     netip.AddrPort
	maxConns int
	slots    int
	queueMax int
	born     int64
	started  time.Time
	// coldFor is how long the backend is cold after its start.
	coldFor time.Duration
	conn    *net.UDPConn
	health  *http.Server

	mu       sync.Mutex
	flows    map[flow.Tuple]*serverFlow
	ended    map[flow.Tuple]time.Time
	running  int
	queue    []func()
	seq      int
	lastBeat time.Time
	silent   int // first packets left without an answer because the backend is full
	opens    []openEvent
	ran      int
	foreign  int // requests of routes that don't lead to the backend's service
	draining bool
	stopped  bool
}

// openEvent is a flow's first packet that the backend took: when the client sent
// the first copy, and when it arrived.
type openEvent struct {
	sent, arrived time.Time
	cold          bool
	daemon        netip.Addr
}

// serverFlow is the backend's end of a flow.
type serverFlow struct {
	open     bool
	took     time.Time
	openedAt time.Time
	lastSeen time.Time
	start    uint32 // own first sequence number
	next     uint32 // next byte to send
	recv     uint32 // next byte to receive
	cookie   uint32
	event    openEvent
	answer   []byte // the last answer, until it is acknowledged
	answerAt time.Time
	busy     bool
}

func (l *lab) addBackend(svc string, zone string, slots, maxConns int, coldFor time.Duration) (*backend, error) {
	l.mu.Lock()
	n := len(l.backends)
	l.mu.Unlock()
	b := &backend{
		lab: l, number: 0x7f3a0000 + uint64(n), service: svc, zone: zone, slots: slots, queueMax: 16, maxConns: maxConns,
		addr: netip.AddrPortFrom(l.host(roleBackend, n), l.backend), born: time.Now().UnixMilli(), started: time.Now(), coldFor: coldFor,
		flows: make(map[flow.Tuple]*serverFlow), ended: make(map[flow.Tuple]time.Time),
	}
	b.id = fmt.Sprintf("i-%08x", b.number)
	var err error
	if b.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.addr)); err != nil {
		return nil, err
	}
	_ = b.conn.SetReadBuffer(4 << 20)
	t, err := net.Listen("tcp4", b.addr.String())
	if err != nil {
		return nil, err
	}
	b.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", b.id)
	})}
	go func() { _ = b.health.Serve(t) }()
	l.mu.Lock()
	l.backends = append(l.backends, b)
	l.mu.Unlock()
	l.rec.logf("backend %s: starts for %s in %s at %s, cold for %s", b.id, svc, zone, b.addr, coldFor)
	b.beat()
	go b.serve()
	go b.keepTime()
	return b, nil
}

// coldLeft returns how long the backend stays cold.
func (b *backend) coldLeft() time.Duration { return max(0, b.coldFor-time.Since(b.started)) }

// beat writes the backend's entry.
func (b *backend) beat() {
	b.mu.Lock()
	state, seq, stopped := "ready", b.seq, b.stopped
	if b.draining {
		state = "draining"
	}
	b.seq++
	b.lastBeat = time.Now()
	b.mu.Unlock()
	if stopped {
		return
	}
	left := b.coldLeft().Milliseconds()
	_ = seq // the entry changes when more than seq changes, so seq is left out of the comparison
	b.lab.store.Put(kindServers, b.id, map[string]any{
		"service": b.service, "address": b.addr.String(), "zone": b.zone, "version": "v1", "concurrency": b.slots, "state": state,
		"warmupLeftMs": left, "seq": 0, "born": b.born,
	})
	if b.coldFor > 0 && seq < 5 {
		b.lab.rec.logf("backend %s: entry written, warmupLeftMs %d", b.id, left)
	}
}

// drain reports that the backend is draining and returns when the store accepted
// that. The backend keeps its flows, and still accepts first packets.
func (b *backend) drain() time.Time {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.beat()
	return time.Now()
}

// keepTime writes the entry every heartbeat and repeats answers.
func (b *backend) keepTime() {
	beat := time.NewTicker(heartbeat)
	repeat := time.NewTicker(100 * time.Millisecond)
	defer beat.Stop()
	defer repeat.Stop()
	for {
		select {
		case <-b.lab.stop:
			return
		case <-beat.C:
			b.mu.Lock()
			due := time.Since(b.lastBeat) > heartbeat*9/10 // not soon after a restart
			b.mu.Unlock()
			if due {
				b.beat()
			}
		case <-repeat.C:
			b.mu.Lock()
			now := time.Now()
			for t, f := range b.flows {
				switch {
				case !f.open && now.Sub(f.took) > 2*time.Second:
					delete(b.flows, t)
				case f.open && now.Sub(f.lastSeen) > idleTimeout:
					delete(b.flows, t)
				case f.answer != nil && now.Sub(f.answerAt) > 200*time.Millisecond:
					f.answerAt = now
					b.send(t, f, false, f.answer)
				}
			}
			for t, at := range b.ended {
				if now.Sub(at) > 5*time.Second {
					delete(b.ended, t)
				}
			}
			b.mu.Unlock()
		}
	}
}

func (b *backend) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		number, packet, ok := platform.SplitPrefix(buf[:n])
		var s flow.Segment
		if ok && (number == 0 || number == b.number) && platform.Decode(packet, &s) {
			b.handle(from.Addr(), &s, packet[len(packet)-int(s.Len):])
		}
	}
}

// handle handles a packet of a flow.
func (b *backend) handle(from netip.Addr, s *flow.Segment, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	f := b.flows[s.Tuple]
	if s.Open {
		if f == nil {
			if len(b.flows) >= b.maxConns {
				b.silent++
				return // full: sends nothing
			}
			f = &serverFlow{took: now, start: randomSeq(), recv: s.Seq + 1}
			f.next = f.start + 1
			f.event = openEvent{sent: now.Add(-s.Age().Duration()), arrived: now, cold: b.coldLeft() > 0, daemon: from.Unmap()}
			b.flows[s.Tuple] = f
		}
		f.cookie = s.Cookie
		b.sendAt(s.Tuple, f, f.start, true, nil)
		return
	}
	if f == nil {
		_, ended := b.ended[s.Tuple]
		if !s.Reset && (s.Len > 0 || !ended) {
			b.reset(s)
		}
		return
	}
	f.cookie, f.lastSeen = s.Cookie, now
	if s.Reset {
		delete(b.flows, s.Tuple)
		return
	}
	if !f.open {
		if s.Ack != f.start+1 {
			return
		}
		f.open, f.openedAt = true, now
		b.opens = append(b.opens, f.event)
	}
	if f.answer != nil && s.Ack == f.next {
		f.answer = nil
	}
	switch {
	case s.Len == requestSize && s.Seq == f.recv && !f.busy:
		f.recv += requestSize
		f.busy = true
		b.send(s.Tuple, f, false, nil) // acknowledges the data at once
		b.take(s.Tuple, f, binary.BigEndian.Uint64(data), time.Duration(binary.BigEndian.Uint64(data[8:]))*time.Microsecond)
	case s.Len > 0:
		b.send(s.Tuple, f, false, f.answer)
	}
	if s.Close {
		f.recv++
		b.send(s.Tuple, f, false, nil)
		delete(b.flows, s.Tuple)
		b.ended[s.Tuple] = now
	}
}

// take runs a request in a free slot, queues it, or answers that it was not run.
// The caller holds b.mu.
func (b *backend) take(t flow.Tuple, f *serverFlow, id uint64, work time.Duration) {
	run := func() {
		b.running++
		b.ran++
		b.checkRoute(t, id)
		time.AfterFunc(work, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.running--
			b.answer(t, f, id, statusDone)
			if len(b.queue) > 0 {
				next := b.queue[0]
				b.queue = b.queue[1:]
				next()
			}
		})
	}
	switch {
	case b.running < b.slots:
		run()
	case len(b.queue) < b.queueMax:
		b.queue = append(b.queue, run)
	default:
		b.answer(t, f, id, statusNotRun)
	}
}

// checkRoute counts a request whose route doesn't lead to the backend's service.
// The caller holds b.mu.
func (b *backend) checkRoute(t flow.Tuple, id uint64) {
	for _, r := range b.lab.routes {
		if r.addr == t.Service() && r.service != b.service {
			if b.foreign++; b.foreign <= 5 {
				b.lab.rec.logf("ROUTE: backend %s of %s runs request %d of client %s to %s, whose route leads to %s", b.id, b.service, id, t.Source(), t.Service(), r.service)
			}
		}
	}
}

// answer sends an answer. The caller holds b.mu.
func (b *backend) answer(t flow.Tuple, f *serverFlow, id uint64, status byte) {
	if b.flows[t] != f {
		return
	}
	data := binary.BigEndian.AppendUint64(nil, id)
	data = binary.BigEndian.AppendUint64(data, b.number)
	f.busy, f.answer, f.answerAt = false, append(data, status), time.Now()
	f.next += answerSize
	b.send(t, f, false, f.answer)
}

// send sends a packet of a flow, with data that ends before f.next.
func (b *backend) send(t flow.Tuple, f *serverFlow, accept bool, data []byte) {
	b.sendAt(t, f, f.next-uint32(len(data)), accept, data)
}

func (b *backend) sendAt(t flow.Tuple, f *serverFlow, seq uint32, accept bool, data []byte) {
	var buf [platform.MaxPacketSize]byte
	s := flow.Segment{Tuple: t, Cookie: f.cookie, Seq: seq, Ack: f.recv}
	_, _ = b.conn.WriteToUDPAddrPort(platform.EncodePacket(buf[:], &s, accept, true, data), platform.ClientAddress(&t, b.lab.data))
}

// reset answers a packet of a flow that the backend doesn't hold.
func (b *backend) reset(s *flow.Segment) {
	var buf [platform.MaxPacketSize]byte
	r := flow.Segment{Tuple: s.Tuple, Cookie: s.Cookie, Seq: s.Ack, Reset: true}
	_, _ = b.conn.WriteToUDPAddrPort(platform.EncodePacket(buf[:], &r, false, true, nil), platform.ClientAddress(&s.Tuple, b.lab.data))
}

// holds reports whether the backend holds an open flow that may not be discarded yet.
func (b *backend) holds(t flow.Tuple) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[t]
	return f != nil && f.open && !b.stopped && time.Since(f.openedAt) < flowTTL && time.Since(f.lastSeen) < idleTimeout
}

// counts returns the numbers of open flows, of first packets left without an
// answer and of requests that ran.
func (b *backend) counts() (open, silent, ran int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range b.flows {
		if f.open {
			open++
		}
	}
	return open, b.silent, b.ran
}

//go:build review

package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// resetWindow is the distance from the last acknowledgement within which a reset
// of an open flow counts.
const resetWindow = 76800

// clientHost is an address of clients.
type clientHost struct {
	lab  *lab
	addr netip.Addr
	zone string
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flow.Tuple]*clientFlow
	stats clientStats
}

// clientStats counts what the clients of a host saw.
type clientStats struct {
	opens, opened, refused, silent int
	requests, answered, notRun     int
	lateOrLost                     int
	wrong                          int
	// daemonResets counts the resets of open flows that a daemon sent, living those
	// of them whose backend lived and held the flow, busy those of the latter that
	// had a request without an answer.
	daemonResets, living, busy int
	backendResets              int
	// again counts the users who asked again with success after a pause, shutOut
	// those who found their flow reset and could not come back.
	again, shutOut int
}

// clientFlow is a client's end of a flow.
type clientFlow struct {
	host    *clientHost
	tuple   flow.Tuple
	in      chan platform.ReceivedPacket
	seq     uint32
	ack     uint32
	cookie  uint32
	open    bool
	asking  bool
	ended   bool
	server  *backend
	openAt  time.Time
	lastAny time.Time
}

func (l *lab) addHost(zone string) (*clientHost, error) {
	l.mu.Lock()
	n := len(l.hosts)
	l.mu.Unlock()
	h := &clientHost{lab: l, addr: l.host(roleClient, n), zone: zone, port: 10000, flows: make(map[flow.Tuple]*clientFlow)}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.addr, l.data))); err != nil {
		return nil, err
	}
	_ = h.conn.SetReadBuffer(4 << 20)
	l.mu.Lock()
	l.hosts = append(l.hosts, h)
	l.mu.Unlock()
	go h.receive()
	return h, nil
}

// receive passes packets to the flows, and judges resets.
func (h *clientHost) receive() {
	buf := make([]byte, 2048)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		var p platform.ReceivedPacket
		if !platform.DecodeForClient(buf[:n], &p) {
			continue
		}
		p.Data = append([]byte(nil), p.Data...)
		h.mu.Lock()
		f := h.flows[p.Segment.Tuple]
		if f == nil {
			h.mu.Unlock()
			continue
		}
		if p.Segment.Reset && f.open && !f.ended {
			if d := int32(p.Segment.Seq - f.ack); d >= -resetWindow && d <= resetWindow {
				f.ended = true
				h.judgeReset(f, &p, from.Addr().Unmap())
			}
		}
		if p.Accept && f.server == nil {
			f.server = h.lab.backendAt(from.Addr().Unmap())
		}
		h.mu.Unlock()
		select {
		case f.in <- p:
		default:
		}
	}
}

// judgeReset counts a reset of an open flow. The caller holds h.mu.
func (h *clientHost) judgeReset(f *clientFlow, p *platform.ReceivedPacket, from netip.Addr) {
	if !p.FromDaemon {
		h.stats.backendResets++
		return
	}
	h.stats.daemonResets++
	if f.server != nil && f.server.holds(f.tuple) {
		h.stats.living++
		if f.asking {
			h.stats.busy++
		}
		if h.stats.living <= 5 {
			h.lab.rec.logf("FLOW: client %s: daemon %s reset the flow, open for %d ms, silent for %d ms, request without answer: %t; backend %s lives and holds it",
				f.tuple.Source(), from, time.Since(f.openAt).Milliseconds(), time.Since(f.lastAny).Milliseconds(), f.asking, f.server.id)
		}
	}
}

func (h *clientHost) count(f func(*clientStats)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.stats)
}

// newFlow returns a flow from a new port.
func (h *clientHost) newFlow(r *route) *clientFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port++
	f := &clientFlow{host: h, in: make(chan platform.ReceivedPacket, 16), seq: randomSeq()}
	f.tuple = flow.Tuple{Client: h.addr.As4(), ClientPort: h.port, ServiceAddress: r.addr.Addr().As4(), ServicePort: r.addr.Port()}
	h.flows[f.tuple] = f
	return f
}

// forget ends the client's end of a flow.
func (f *clientFlow) forget() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	delete(f.host.flows, f.tuple)
}

func (f *clientFlow) send(s *flow.Segment, data []byte) {
	s.Tuple, s.Seq, s.Cookie = f.tuple, f.seq, f.cookie
	if !s.Open {
		s.Ack = f.ack
	}
	f.lastAny = time.Now()
	d := f.host.lab.daemonFor(f.host.zone, &f.tuple)
	if d == nil {
		return
	}
	var b [platform.MaxPacketSize]byte
	_, _ = f.host.conn.WriteToUDPAddrPort(platform.EncodePacket(b[:], s, false, false, data), netip.AddrPortFrom(d.host, f.host.lab.data))
}

// connect opens the flow as the pages say: copies after 200 and 600 ms, an end
// after 1.4 s.
func (f *clientFlow) connect() bool {
	f.host.count(func(s *clientStats) { s.opens++ })
	for n, wait := range []time.Duration{200, 400, 800} {
		f.send(&flow.Segment{Open: true, Retransmissions: uint32(n)}, nil)
		timer := time.NewTimer(wait * time.Millisecond)
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case p := <-f.in:
				if p.Segment.Reset {
					timer.Stop()
					f.host.count(func(s *clientStats) { s.refused++ })
					return false
				}
				if p.Accept && p.Segment.Ack == f.seq+1 {
					timer.Stop()
					f.seq++
					f.host.mu.Lock()
					f.ack, f.cookie, f.open, f.openAt = p.Segment.Seq+1, p.Segment.Cookie, true, time.Now()
					f.host.stats.opened++
					f.host.mu.Unlock()
					f.send(&flow.Segment{}, nil)
					return true
				}
			}
		}
	}
	f.host.count(func(s *clientStats) { s.silent++ })
	return false
}

// ask sends a request and repeats it until its answer comes, the flow is reset or
// the client's time limit passes. It reports whether an answer came.
func (f *clientFlow) ask(work time.Duration, limit time.Duration) bool {
	id := f.host.lab.newID()
	f.host.count(func(s *clientStats) { s.requests++; f.asking = true })
	defer f.host.count(func(*clientStats) { f.asking = false })
	data := binary.BigEndian.AppendUint64(nil, id)
	data = binary.BigEndian.AppendUint64(data, uint64(work.Microseconds()))
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	wait := 200 * time.Millisecond
	acked := false
	for {
		if !acked {
			f.send(&flow.Segment{Len: requestSize}, data)
		}
		timer := time.NewTimer(wait)
		for waiting := true; waiting; {
			select {
			case <-deadline.C:
				timer.Stop()
				f.host.count(func(s *clientStats) { s.lateOrLost++ })
				return false
			case <-timer.C:
				waiting = false
			case p := <-f.in:
				if p.Segment.Reset && f.isEnded() {
					timer.Stop()
					f.host.count(func(s *clientStats) { s.lateOrLost++ })
					return false
				}
				if p.Segment.Reset {
					continue
				}
				if p.Segment.Ack == f.seq+requestSize {
					acked = true
				}
				if len(p.Data) != answerSize || p.Segment.Seq != f.ack {
					continue
				}
				timer.Stop()
				f.host.mu.Lock()
				f.seq += requestSize
				f.ack += answerSize
				f.cookie = p.Segment.Cookie
				switch {
				case binary.BigEndian.Uint64(p.Data) != id:
					f.host.stats.wrong++
				case p.Data[16] == statusNotRun:
					f.host.stats.notRun++
				default:
					f.host.stats.answered++
				}
				f.host.mu.Unlock()
				f.send(&flow.Segment{}, nil)
				return true
			}
		}
		wait = min(2*wait, 1600*time.Millisecond)
	}
}

func (f *clientFlow) isEnded() bool {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	return f.ended
}

// finish closes the flow.
func (f *clientFlow) finish() {
	f.host.mu.Lock()
	ended := f.ended
	f.ended = true
	f.host.mu.Unlock()
	if !ended {
		f.send(&flow.Segment{Close: true}, nil)
		f.seq++
	}
	f.forget()
}

// total sums up what all clients saw.
func (l *lab) total() clientStats {
	l.mu.Lock()
	hosts := append([]*clientHost(nil), l.hosts...)
	l.mu.Unlock()
	var t clientStats
	for _, h := range hosts {
		h.mu.Lock()
		s := h.stats
		h.mu.Unlock()
		t.opens += s.opens
		t.opened += s.opened
		t.refused += s.refused
		t.silent += s.silent
		t.requests += s.requests
		t.answered += s.answered
		t.notRun += s.notRun
		t.lateOrLost += s.lateOrLost
		t.wrong += s.wrong
		t.daemonResets += s.daemonResets
		t.living += s.living
		t.busy += s.busy
		t.backendResets += s.backendResets
		t.again += s.again
		t.shutOut += s.shutOut
	}
	return t
}

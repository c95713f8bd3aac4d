package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// lingers is how long a target that drains still serves.
const lingers = drainBound + 9*time.Second

// zone is a data centre.
type zone struct {
	name string
	mu   sync.Mutex
	out  time.Time
}

func (z *zone) setOut(at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.out = at
}

func (z *zone) outSince() time.Time {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.out
}

// target is one target: it accepts flows, runs requests and answers clients
// directly.
type target struct {
	id   string
	num  uint64
	pool string
	zone *zone
	sys  *System
	conn *net.UDPConn
	addr netip.AddrPort
	calm calm

	mu    sync.Mutex
	born  int64
	drain time.Time
	dark  bool
	gone  bool
	flows map[flow.Tuple]*targetFlow
	// health takes the connections of health checks; nil while nothing listens.
	health net.Listener
}

// targetFlow is a flow at its target.
type targetFlow struct {
	// seq is the number of the packet that accepted the flow, out that of the
	// next byte to send, next that of the next byte to come.
	seq    uint32
	out    uint32
	next   uint32
	answer []byte
}

func newTarget(s *System, n int, pool string, z *zone) (*target, error) {
	addr := netip.AddrPortFrom(s.opts.host(2, n), targetPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	t := &target{
		id: fmt.Sprintf("i-%08x", 0x5eed0000+n), num: uint64(0x5eed0000 + n), pool: pool, zone: z, sys: s,
		conn: conn, addr: addr, born: time.Now().UnixMilli(), flows: make(map[flow.Tuple]*targetFlow),
	}
	if err := t.listen(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.wg.Go(t.serve)
	return t, nil
}

// listen opens the TCP port of the target's health checks. It accepts connections
// and closes them.
func (t *target) listen() error {
	l, err := net.Listen("tcp4", t.addr.String())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.gone {
		return l.Close()
	}
	t.health = l
	t.sys.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	})
	return nil
}

// refuse closes the TCP port, as the end of the target's process does.
func (t *target) refuse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.health != nil {
		_ = t.health.Close()
		t.health = nil
	}
}

// close ends the use of the target's sockets.
func (t *target) close() {
	_ = t.conn.Close()
	t.refuse()
}

func (t *target) leaving() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drain
}

func (t *target) holds(f flow.Tuple) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.gone && t.flows[f] != nil
}

// restart forgets all flows, as a crash does; the target starts again under
// its id.
func (t *target) restart() {
	t.mu.Lock()
	t.flows = make(map[flow.Tuple]*targetFlow)
	t.born = time.Now().UnixMilli()
	t.mu.Unlock()
	t.beat()
}

// setDark has the target answer nobody. Of every two targets one refuses
// connections then, the other still accepts them.
func (t *target) setDark() {
	t.mu.Lock()
	t.dark = true
	t.mu.Unlock()
	if t.num%2 == 0 {
		t.refuse()
	}
}

// setBright ends that.
func (t *target) setBright() error {
	t.mu.Lock()
	refuses := t.health == nil
	t.mu.Unlock()
	if refuses {
		if err := t.listen(); err != nil {
			return err
		}
	}
	t.mu.Lock()
	t.dark = false
	t.mu.Unlock()
	t.beat()
	return nil
}

// beat writes the target's entry, if the store takes it.
func (t *target) beat() {
	t.mu.Lock()
	dark := t.dark || t.gone
	spec := platform.TargetEntry(t.pool, t.addr.String(), t.zone.name, 2, !t.drain.IsZero(), t.born)
	t.mu.Unlock()
	if !dark && !t.sys.storeDown() {
		t.sys.store.Put(targetsKind, t.id, spec)
	}
}

// leave drains the target and ends it.
func (t *target) leave() {
	t.mu.Lock()
	t.drain = time.Now()
	t.mu.Unlock()
	t.beat()
	t.sys.after(lingers, func() {
		t.mu.Lock()
		t.gone = true
		t.flows = nil
		t.mu.Unlock()
		t.sys.store.Drop(targetsKind, t.id)
		t.close()
	})
}

func (t *target) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		num, packet, ok := platform.SplitPrefix(buf[:n])
		var s flow.Segment
		if ok && (num == 0 || num == t.num) && platform.Decode(packet, &s) {
			t.handle(from.Addr(), &s, packet[len(packet)-int(s.Len):])
		}
	}
}

func (t *target) handle(from netip.Addr, s *flow.Segment, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dark || t.gone {
		return
	}
	f := t.flows[s.Tuple]
	reply := flow.Segment{Tuple: s.Tuple, Cookie: s.Cookie}
	switch {
	case s.Open:
		if f == nil {
			f = &targetFlow{next: s.Seq + 1}
			f.seq = uint32(t.sys.rand())
			f.out = f.seq + 1
			t.flows[s.Tuple] = f
			d, r := t.sys.daemonAt(from), t.sys.routeAt(s.Tuple.Service())
			t.mu.Unlock()
			t.sys.judge.opened(t, d, r, time.Now())
			t.mu.Lock()
		}
		reply.Seq, reply.Ack = f.seq, f.next
		t.answer(&reply, true, nil)
	case f == nil:
		if !s.Reset {
			reply.Reset, reply.Seq = true, s.Ack
			t.answer(&reply, false, nil)
		}
	case int32(s.Ack-f.seq) <= 0 || int32(s.Ack-f.out) > 0:
		// It acknowledges what another flow, or another target, sent.
	case s.Close || s.Reset:
		delete(t.flows, s.Tuple)
	case s.Len == requestSize && s.Seq == f.next:
		id := binary.BigEndian.Uint64(data)
		t.sys.judge.run(id, t)
		f.next += requestSize
		f.answer = binary.BigEndian.AppendUint64(nil, id)
		reply.Seq, reply.Ack = f.out, f.next
		f.out += uint32(len(f.answer))
		t.answer(&reply, false, f.answer)
	case s.Len > 0 && s.Seq+requestSize == f.next:
		reply.Seq, reply.Ack = f.out-uint32(len(f.answer)), f.next // sent again: the answer was lost
		t.answer(&reply, false, f.answer)
	}
}

// answer sends a packet straight to the client.
func (t *target) answer(s *flow.Segment, accept bool, data []byte) {
	var b [platform.MaxPacket]byte
	to := platform.ClientAddress(&s.Tuple, packetPort)
	packet := platform.Pack(b[:], s, accept, true, data)
	_, _ = t.conn.WriteToUDPAddrPort(packet, to)
	if t.sys.unruly.Load() && t.sys.rand()%5 == 0 {
		packet = slices.Clone(packet)
		t.sys.after(t.sys.upTo(2500), func() { _, _ = t.conn.WriteToUDPAddrPort(packet, to) })
	}
}

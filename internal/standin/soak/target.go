package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// firstTargetID is the numeric part of the first target's ID.
const firstTargetID = 0x5eed0000

// A draining target still serves its open flows for minDrainServeTime beyond the bound,
// and up to drainServeSpread longer.
const (
	minDrainServeTime = 7 * time.Second
	drainServeSpread  = 20 * time.Second
)

// dataCentre is a data centre of the simulated deployment.
type dataCentre struct {
	name string
	mu   sync.Mutex
	// out is when the data centre was marked out; zero if it is not.
	out time.Time
}

func (dc *dataCentre) setOut(at time.Time) {
	dc.mu.Lock()
	defer dc.mu.Unlock()
	dc.out = at
}

func (dc *dataCentre) outSince() time.Time {
	dc.mu.Lock()
	defer dc.mu.Unlock()
	return dc.out
}

// target accepts flows, runs requests and sends the answers directly to the
// clients.
type target struct {
	id string
	// packetID is the numeric part of id, which packets carry in a prefix.
	packetID   uint64
	pool       string
	dataCentre *dataCentre
	sys        *System
	conn       *net.UDPConn
	addr       netip.AddrPort
	faults     faultTracker

	mu         sync.Mutex
	startedAt  int64
	drainStart time.Time
	// drainAcked is when the store had acknowledged the draining entry.
	drainAcked time.Time
	// cutOff is set while the target does not reach the store.
	cutOff       bool
	unresponsive bool
	stopped      bool
	// goneAt is when the target's process ended.
	goneAt time.Time
	flows  map[flow.Tuple]*targetFlow
	// coldUntil is until when the target is cold, coldOpens when it got new flows in the
	// last second of that.
	coldUntil time.Time
	coldOpens []time.Time
	// health accepts the connections of health checks; it is nil while the port is
	// closed.
	health net.Listener
}

// targetFlow is the target's state of a flow.
type targetFlow struct {
	// initialSeq is the sequence number of the packet that accepted the flow.
	initialSeq uint32
	// nextSend and nextReceive are the sequence numbers of the next bytes to send
	// and to receive.
	nextSend    uint32
	nextReceive uint32
	// lastAnswer is kept for retransmissions.
	lastAnswer []byte
}

func newTarget(s *System, n int, pool string, dc *dataCentre, addr netip.AddrPort) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	t := &target{
		id: fmt.Sprintf("i-%08x", firstTargetID+n), packetID: uint64(firstTargetID + n), pool: pool, dataCentre: dc, sys: s,
		conn: conn, addr: addr, startedAt: time.Now().UnixMilli(), flows: make(map[flow.Tuple]*targetFlow),
	}
	if err := t.listen(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.wg.Go(t.serve)
	return t, nil
}

// listen opens the TCP port for health checks, which closes each connection
// after accepting it.
func (t *target) listen() error {
	l, err := net.Listen("tcp4", t.addr.String())
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
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

// closeHealth closes the health port, as the exit of the target's process would.
func (t *target) closeHealth() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.health != nil {
		_ = t.health.Close()
		t.health = nil
	}
}

// close closes the target's sockets.
func (t *target) close() {
	_ = t.conn.Close()
	t.closeHealth()
}

func (t *target) drainingSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainStart
}

// drainAckedSince returns when the store had acknowledged that the target drains.
func (t *target) drainAckedSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainAcked
}

// goneSince returns when the target's process ended; zero if it runs.
func (t *target) goneSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.goneAt
}

// describe returns the target's state and whether the store has its entry.
func (t *target) describe() string {
	state, entry := "ready", "in the store"
	if since := t.drainAckedSince(); !since.IsZero() {
		state = fmt.Sprintf("draining for %s", time.Since(since).Round(time.Millisecond))
	}
	if !slices.Contains(t.sys.store.Names(targetsKind), t.id) {
		entry = "not in the store"
	}
	return state + ", " + entry
}

func (t *target) hasFlow(f flow.Tuple) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.stopped && t.flows[f] != nil
}

// restart drops all flows, as a crash does. The target continues under the same
// ID with a new start time.
func (t *target) restart() {
	t.mu.Lock()
	t.flows = make(map[flow.Tuple]*targetFlow)
	t.startedAt = time.Now().UnixMilli()
	t.mu.Unlock()
	t.writeHeartbeat()
}

// setUnresponsive stops the target from answering. Targets with an even ID also
// refuse health checks; the others still accept their connections.
func (t *target) setUnresponsive() {
	t.mu.Lock()
	t.unresponsive = true
	t.mu.Unlock()
	if t.packetID%2 == 0 {
		t.closeHealth()
	}
}

// setResponsive reverts setUnresponsive.
func (t *target) setResponsive() error {
	t.mu.Lock()
	closed := t.health == nil
	t.mu.Unlock()
	if closed {
		if err := t.listen(); err != nil {
			return err
		}
	}
	t.mu.Lock()
	t.unresponsive = false
	t.mu.Unlock()
	t.writeHeartbeat()
	return nil
}

// writeHeartbeat writes the target's entry to the store.
func (t *target) writeHeartbeat() {
	t.mu.Lock()
	silent := t.unresponsive || t.stopped || t.cutOff
	draining := !t.drainStart.IsZero()
	spec := platform.NewTargetSpec(t.pool, t.addr.String(), t.dataCentre.name, 2, draining, t.startedAt)
	*spec.WarmupLeftMs = float64(t.warmupLeft(time.Now()).Milliseconds())
	t.mu.Unlock()
	if !silent && !t.sys.heartbeatsAreBlocked() && t.sys.store.Write(targetsKind, t.id, spec) && draining {
		t.beginLeaving()
	}
}

// setCutOff sets whether the target reaches the store.
func (t *target) setCutOff(cutOff bool) {
	t.mu.Lock()
	t.cutOff = cutOff
	t.mu.Unlock()
}

// drainAndStop drains the target and stops it once it has served its flows.
func (t *target) drainAndStop() {
	t.mu.Lock()
	t.drainStart = time.Now()
	t.mu.Unlock()
	t.writeHeartbeat()
}

// beginLeaving stops the target once it has served its flows, from the
// acknowledgement that it drains.
func (t *target) beginLeaving() {
	t.mu.Lock()
	first := t.drainAcked.IsZero()
	if first {
		t.drainAcked = time.Now()
	}
	t.mu.Unlock()
	if !first {
		return
	}
	serve := t.sys.opts.Bound + minDrainServeTime + t.sys.randomDelay(uint64(drainServeSpread.Milliseconds()))
	t.sys.after(serve, func() {
		t.end()
		t.sys.store.Drop(targetsKind, t.id)
		t.close()
	})
}

// kill ends the target's process without a word. By its ID it refuses packets and
// health checks, as a lost process does, refuses health checks alone, or leaves both
// without an answer, as a lost VM does.
func (t *target) kill() {
	t.crash()
	switch t.packetID % 3 {
	case 0:
		t.close()
	case 1:
		t.closeHealth()
	default:
		if err := t.silenceHealth(); err != nil {
			t.sys.recordSoakError(t.id, "target %s cannot silence its health port: %s", t.id, err)
		}
	}
}

// killForGood ends the target's process and frees its address.
func (t *target) killForGood() {
	t.crash()
	t.close()
}

// crash drops all flows and answers nothing any more.
func (t *target) crash() {
	t.faults.begin() // never ends
	t.end()
}

// silenceHealth replaces the health port by one whose queue of connections is full, so
// that further attempts have no answer.
func (t *target) silenceHealth() error {
	t.closeHealth()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	t.sys.wg.Go(func() {
		<-t.sys.ctx.Done()
		_ = syscall.Close(fd)
	})
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(t.addr.Port()), Addr: t.addr.Addr().As4()}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 2 { // the second one has no answer
		if c, err := net.DialTimeout("tcp4", t.addr.String(), 50*time.Millisecond); err == nil {
			context.AfterFunc(t.sys.ctx, func() { _ = c.Close() })
		}
	}
	return nil
}

// end drops all flows: the target answers nothing any more.
func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped, t.flows, t.goneAt = true, nil, time.Now()
}

func (t *target) serve() {
	buf := make([]byte, 2048)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		id, packet, ok := platform.SplitPrefix(buf[:n])
		var s flow.Segment
		if ok && (id == 0 || id == t.packetID) && platform.Decode(packet, &s) {
			t.handle(from.Addr(), &s, packet[len(packet)-int(s.Len):])
		}
	}
}

func (t *target) handle(from netip.Addr, s *flow.Segment, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unresponsive || t.stopped {
		return
	}
	f := t.flows[s.Tuple]
	reply := flow.Segment{Tuple: s.Tuple, Cookie: s.Cookie}
	switch {
	case s.Open:
		if f == nil {
			f = &targetFlow{nextReceive: s.Seq + 1}
			f.initialSeq = uint32(t.sys.rand())
			f.nextSend = f.initialSeq + 1
			t.flows[s.Tuple] = f
			d, r := t.sys.daemonAt(from), t.sys.routeAt(s.Tuple.Service())
			cold := t.recordColdOpen(time.Now())
			t.mu.Unlock()
			t.sys.checker.checkCold(t, d, cold, t.sys.mayDeliverLate())
			t.sys.checker.checkOpen(t, d, r, time.Now())
			t.sys.checker.recordTaken(t, openKey{s.Tuple, s.Seq}, t.sys.mayDeliverLate())
			t.mu.Lock()
		}
		reply.Seq, reply.Ack = f.initialSeq, f.nextReceive
		t.send(&reply, true, nil)
	case f == nil:
		if !s.Reset {
			reply.Reset, reply.Seq = true, s.Ack
			t.send(&reply, false, nil)
		}
	case int32(s.Ack-f.initialSeq) <= 0 || int32(s.Ack-f.nextSend) > 0:
		// It acknowledges data of an earlier flow or of another target.
	case s.Close || s.Reset:
		delete(t.flows, s.Tuple)
	case s.Len == requestSize && s.Seq == f.nextReceive:
		id := binary.BigEndian.Uint64(data)
		t.sys.checker.checkRun(id, t)
		f.nextReceive += requestSize
		f.lastAnswer = binary.BigEndian.AppendUint64(nil, id)
		reply.Seq, reply.Ack = f.nextSend, f.nextReceive
		f.nextSend += uint32(len(f.lastAnswer))
		t.send(&reply, false, f.lastAnswer)
	case s.Len > 0 && s.Seq+requestSize == f.nextReceive:
		reply.Seq, reply.Ack = f.nextSend-uint32(len(f.lastAnswer)), f.nextReceive // a retransmitted request: its answer was lost
		t.send(&reply, false, f.lastAnswer)
	}
}

// send sends a packet directly to the client. During packet disorder it repeats
// some packets later.
func (t *target) send(s *flow.Segment, accept bool, data []byte) {
	var b [platform.MaxPacketSize]byte
	to := platform.ClientAddress(&s.Tuple, packetPort)
	packet := platform.EncodePacket(b[:], s, accept, true, data)
	_, _ = t.conn.WriteToUDPAddrPort(packet, to)
	if t.sys.packetDisorder.Load() && t.sys.rand()%5 == 0 {
		packet = slices.Clone(packet)
		t.sys.after(t.sys.randomDelay(uint64(maxPacketDelay.Milliseconds())), func() { _, _ = t.conn.WriteToUDPAddrPort(packet, to) })
	}
}

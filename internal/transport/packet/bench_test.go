package packet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// targets is the number of targets of the service under test.
const targets = 14

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// newMachine returns a ready daemon core whose view has one service with 14
// targets, all on the sink's port, and no moving buckets.
func newMachine(tb testing.TB, c *clock.Clock, sink netip.AddrPort) *daemon.Machine {
	r := schema.Route{Name: "desk", Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.QUIC}
	pool := schema.Pool{Name: "desk", VNI: 101}
	p := schema.Placement{Service: r.Service(), Moving: make([]bool, schema.Buckets)}
	for i := range targets {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), sink.Port())
		t := schema.Target{ID: schema.TargetID(fmt.Sprintf("desk-%d", i)), Address: a, DataCentre: "dc"}
		pool.Targets = append(pool.Targets, t)
		p.Slots = append(p.Slots, schema.Slot{ID: t.ID, Handle: flow.HandleOf(&t)})
	}
	for b := range schema.Buckets {
		p.Base = append(p.Base, uint16(b%targets))
		p.Current = append(p.Current, uint16(b%targets))
	}
	l := object.List{Revision: 3}
	for i, v := range []any{&r, &pool, &p} {
		data, err := json.Marshal(v)
		require.NoError(tb, err)
		kind := []object.Kind{object.Route, object.Pool, object.Placement}[i]
		l.Objects = append(l.Objects, object.Object{Kind: kind, Name: "desk", Version: schema.Version(i + 1), Data: data})
	}
	self := schema.Member{ID: "vm-1", DataCentre: "dc", Data: loopback, Peer: loopback}
	start := c.Now() - 10*clock.Second
	m := daemon.New(start, self, 1)
	m.ReadDone(start, start, 0, &l)
	m.Tick(c.Now() - 5*clock.Second)
	m.Tick(c.Now())
	require.True(tb, m.Ready(c.Now()))
	return m
}

// flowPackets returns a packet with size bytes of payload for each of n
// established flows.
func flowPackets(tb testing.TB, n, size int) [][]byte {
	dst := schema.Service{Address: netip.MustParseAddr("198.51.100.1"), Port: 443}
	var list [][]byte
	for i := range n {
		src := schema.Service{Address: netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), Port: uint16(2000 + i)}
		data, err := geneve.Wrap(src, dst, 0, make([]byte, size))
		require.NoError(tb, err)
		list = append(list, data)
	}
	return list
}

const (
	benchFlows = 4096
	benchSize  = 400 // bytes of payload
	batch      = 64  // packets that are sent before they are handled
)

// openSockets returns a socket that stands for all targets and one to send from.
func openSockets(b *testing.B) (sink, sender *net.UDPConn) {
	sink, err := net.ListenUDP("udp", &net.UDPAddr{})
	require.NoError(b, err)
	sender, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	require.NoError(b, err)
	b.Cleanup(func() {
		_ = sink.Close()
		_ = sender.Close()
	})
	return sink, sender
}

// measure sends batches to a socket and times only the calls of handleOne, which
// handles one packet.
func measure(b *testing.B, sender *net.UDPConn, to netip.AddrPort, handleOne func() error) {
	data := flowPackets(b, benchFlows, benchSize)
	var spent time.Duration
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		for range batch {
			if _, err := sender.WriteToUDPAddrPort(data[n%benchFlows], to); err != nil {
				b.Fatal(err)
			}
			n++
		}
		begin := time.Now()
		for range batch {
			if err := handleOne(); err != nil {
				b.Fatal(err)
			}
		}
		spent += time.Since(begin)
	}
	b.ReportMetric(float64(n)/spent.Seconds(), "packets/s")
}

// BenchmarkForward measures receiving, deciding and sending a packet on one CPU
// core, with a daemon's metrics.
func BenchmarkForward(b *testing.B) {
	sink, sender := openSockets(b)
	c := clock.New()
	m := newMachine(b, c, sink.LocalAddr().(*net.UDPAddr).AddrPort())
	count := metrics.NewSet().NewCounter("bench_packets")
	sizes := metrics.NewSet().NewHistogram("bench_bytes")
	fresh := c.Now()
	p, err := Listen(loopback, func(pkt *geneve.Packet) (daemon.Verdict, geneve.Relay) {
		now := c.Now()
		if now-fresh > clock.Second { // the platform confirms the view
			fresh = now
			m.ReadDone(now, now, 3, &object.List{Revision: 3})
		}
		return m.Decide(now, pkt), geneve.Relay{}
	}, Counters{
		Fault: func(f geneve.Fault) { b.Fatal(f) },
		Verdict: func(v *daemon.Verdict, n int) {
			if v.Action != daemon.Deliver {
				b.Fatal(v.Reason)
			}
			count.Inc()
			sizes.Update(float64(n))
		},
		Unsent: func() {},
	})
	require.NoError(b, err)
	b.Cleanup(func() { _ = p.Close() })
	m.ReadDone(c.Now(), c.Now(), 3, &object.List{Revision: 3})
	measure(b, sender, p.conn.LocalAddr().(*net.UDPAddr).AddrPort(), func() error { return p.receiveOne() })
}

// BenchmarkBareForward is the baseline of BenchmarkForward: the same sockets and
// system calls without a decision.
func BenchmarkBareForward(b *testing.B) {
	sink, sender := openSockets(b)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadBuffer(socketBuffer)
	buf := make([]byte, geneve.Headroom+maxPacket)
	port := sink.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	i := 0
	measure(b, sender, conn.LocalAddr().(*net.UDPAddr).AddrPort(), func() error {
		n, _, err := conn.ReadFromUDPAddrPort(buf[geneve.Headroom:])
		if err != nil {
			return err
		}
		to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i%targets)}), port)
		i++
		_, err = conn.WriteToUDPAddrPort(buf[geneve.Headroom:geneve.Headroom+n], to)
		return err
	})
}

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

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// machine returns a daemon whose view has one service with 14 targets, all at
// one sink, at rest.
func machine(tb testing.TB, c *clock.Clock, sink netip.AddrPort) *daemon.Machine {
	r := schema.Route{Name: "desk", Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.QUIC}
	pool := schema.Pool{Name: "desk", VNI: 101}
	p := schema.Placement{Service: r.Service(), Moving: make([]bool, schema.Buckets)}
	for i := range 14 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), sink.Port())
		t := schema.Target{ID: schema.TargetID(fmt.Sprintf("desk-%d", i)), Address: a, DataCentre: "dc"}
		pool.Targets = append(pool.Targets, t)
		p.Slots = append(p.Slots, schema.Slot{ID: t.ID, Handle: flow.HandleOf(&t)})
	}
	for b := range schema.Buckets {
		p.Base = append(p.Base, uint16(b%14))
		p.Current = append(p.Current, uint16(b%14))
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

// packets returns packets of n established flows, and their inner size.
func packets(tb testing.TB, n, size int) [][]byte {
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
	benchSize  = 400
	batch      = 64
)

// sockets returns the plane's address to send to and a sink.
func sockets(b *testing.B) (sink, sender *net.UDPConn) {
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

// run sends batches to a socket and times only the work of one on them.
func run(b *testing.B, sender *net.UDPConn, to netip.AddrPort, one func() error) {
	list := packets(b, benchFlows, benchSize)
	var spent time.Duration
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		for range batch {
			if _, err := sender.WriteToUDPAddrPort(list[n%benchFlows], to); err != nil {
				b.Fatal(err)
			}
			n++
		}
		begin := time.Now()
		for range batch {
			if err := one(); err != nil {
				b.Fatal(err)
			}
		}
		spent += time.Since(begin)
	}
	b.ReportMetric(float64(n)/spent.Seconds(), "packets/s")
}

// BenchmarkForward measures a packet in, its decision, and the packet out, on
// one core, with the metrics of a daemon.
func BenchmarkForward(b *testing.B) {
	sink, sender := sockets(b)
	c := clock.New()
	m := machine(b, c, sink.LocalAddr().(*net.UDPAddr).AddrPort())
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
	run(b, sender, p.conn.LocalAddr().(*net.UDPAddr).AddrPort(), func() error { return p.one() })
}

// BenchmarkBareForward measures the same sockets and calls without a
// decision.
func BenchmarkBareForward(b *testing.B) {
	sink, sender := sockets(b)
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadBuffer(socketBuffer)
	buf := make([]byte, geneve.Headroom+maxPacket)
	port := sink.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	i := 0
	run(b, sender, conn.LocalAddr().(*net.UDPAddr).AddrPort(), func() error {
		n, _, err := conn.ReadFromUDPAddrPort(buf[geneve.Headroom:])
		if err != nil {
			return err
		}
		to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(1 + i%14)}), port)
		i++
		_, err = conn.WriteToUDPAddrPort(buf[geneve.Headroom:geneve.Headroom+n], to)
		return err
	})
}

package edge

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/transport/sock"
	"coltsfootdock/platform"
)

const (
	payload   = 400 // bytes
	headerLen = 36  // bytes of a packet's headers in the baseline
)

func listen(b *testing.B) *sock.UDP {
	s, err := sock.Listen("udp4", netip.MustParseAddrPort("127.0.0.1:0"), 1<<20)
	require.NoError(b, err)
	b.Cleanup(func() { _ = s.Close() })
	return s
}

func addrOf(s *sock.UDP) netip.AddrPort { return s.LocalAddr().(*net.UDPAddr).AddrPort() }

// measure sends one packet per iteration and handles it with handleOne.
func measure(b *testing.B, sender *sock.UDP, to netip.AddrPort, data []byte, handleOne func() error) {
	b.ReportAllocs()
	for b.Loop() {
		_, err := sender.WriteToUDPAddrPort(data, to)
		require.NoError(b, err)
		if err := handleOne(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkForward measures a packet of an established flow: it is received,
// steered by its cookie and forwarded.
func BenchmarkForward(b *testing.B) {
	sink, sender := listen(b), listen(b)
	core := steer.New("a", 1)
	target := fleet.Target{ID: "i-01", Number: 1, Pool: "p", Address: addrOf(sink), DataCentre: "a", Slots: 4, Rev: 3}
	route := fleet.Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:80"), Pools: []fleet.Share{{Pool: "p", Weight: 1}}}
	core.Apply(1, &fleet.Update{Topic: fleet.Config, Full: true, Rev: 5, Table: &fleet.Table{Rev: 4, Routes: []fleet.Route{route}}})
	core.Apply(1, &fleet.Update{Topic: fleet.Outs, Full: true, Rev: 5})
	core.Apply(1, &fleet.Update{Topic: fleet.Targets, Full: true, Rev: 5, Targets: []fleet.Target{target}})
	c := clock.New()
	var p *Plane
	p, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Format{
		Prefix: platform.PrefixSize, MaxPacket: platform.MaxPacketSize, Decode: platform.Decode, WriteHeader: platform.WriteTargetHeader,
	}, func(data []byte, s *flow.Segment) {
		v := core.Decide(c.Now(), s, true)
		if v.Action == steer.Deliver {
			p.Deliver(data, v.Target.Address, v.Target.Number, uint32(v.Target.Code))
		}
	}, Counters{Malformed: func() { b.Fatal("malformed") }, Unsent: func() {}})
	require.NoError(b, err)
	b.Cleanup(func() { _ = p.Close() })
	s := flow.Segment{Cookie: uint32(target.Code()), Seq: 7, Ack: 9, Tuple: flow.Tuple{
		Client: [4]byte{100, 64, 0, 1}, ClientPort: 1025, ServiceAddress: route.Address.Addr().As4(), ServicePort: 80,
	}}
	data := platform.EncodePacket(make([]byte, platform.MaxPacketSize), &s, false, false, make([]byte, payload))
	measure(b, sender, addrOf(p.conn), data, p.receiveOne)
}

// BenchmarkBareForward is the baseline of BenchmarkForward: the same sockets and
// system calls without a decision.
func BenchmarkBareForward(b *testing.B) {
	sink, sender, loop := listen(b), listen(b), listen(b)
	buf := make([]byte, platform.PrefixSize+platform.MaxPacketSize)
	to := addrOf(sink)
	data := make([]byte, payload+headerLen)
	measure(b, sender, addrOf(loop), data, func() error {
		n, err := loop.Read(buf[platform.PrefixSize:])
		if err != nil {
			return err
		}
		_, err = loop.WriteToUDPAddrPort(buf[:platform.PrefixSize+n], to)
		return err
	})
}

package geneve

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket/layers"
	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

var (
	testSource  = schema.Service{Address: netip.MustParseAddr("10.1.2.3"), Port: 4321}
	testService = schema.Service{Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.QUIC}
)

// withHeadroom returns a buffer with Headroom bytes before the packet.
func withHeadroom(data []byte) []byte {
	return append(make([]byte, Headroom), data...)
}

// wrappedUDP returns a buffer with an encapsulated UDP packet.
func wrappedUDP(tb testing.TB, payload string) []byte {
	data, err := Wrap(testSource, testService, 7, []byte(payload))
	require.NoError(tb, err)
	return withHeadroom(data)
}

func TestDecode(t *testing.T) {
	good := wrappedUDP(t, "\xc0\x00\x00\x00\x01rest")
	withByte := func(at int, v byte) []byte {
		b := bytes.Clone(good)
		b[Headroom+at] = v
		return b
	}
	const ip = 8 // offset of the inner packet
	tests := []struct {
		name  string
		buf   []byte
		fault Fault
		open  bool
	}{
		{"QUIC version 1 Initial", good, OK, true},
		{"QUIC version 2 Initial", wrappedUDP(t, "\xd0\x6b\x33\x43\xcfrest"), OK, true},
		{"QUIC Handshake", wrappedUDP(t, "\xe0\x00\x00\x00\x01rest"), OK, false},
		{"QUIC short header", wrappedUDP(t, "\x40rest"), OK, false},
		{"empty datagram", wrappedUDP(t, ""), OK, false},
		{"empty packet", withHeadroom(nil), BadGeneve, false},
		{"short header", good[:Headroom+7], BadGeneve, false},
		{"other version", withByte(0, 0x40), BadGeneve, false},
		{"options longer than the packet", withByte(0, 0x3f), BadGeneve, false},
		{"other protocol", withByte(3, 0x06), OtherProtocol, false},
		{"truncated inner packet", good[:Headroom+ip+10], BadIP, false},
		{"fragment", withByte(ip+6, 0x20), Fragment, false},
		{"other transport", withByte(ip+9, 47), OtherProtocol, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d Decoder
			var p Packet
			_, fault := d.Decode(tt.buf, &p)
			require.Equal(t, tt.fault.String(), fault.String())
			require.Equal(t, tt.open, p.Open)
		})
	}
}

func TestRelayRoundTrip(t *testing.T) {
	var d Decoder
	var p, decoded Packet
	f, fault := d.Decode(wrappedUDP(t, "payload"), &p)
	require.Equal(t, OK, fault)
	r := Relay{Step: Store, Hops: 3, From: 11, Asker: 22, Target: 33}
	sent := withHeadroom(NewEncoder().Forward(f, r))
	f, fault = d.Decode(sent, &decoded)
	require.Equal(t, OK, fault)
	require.Equal(t, r, decoded.Relay)
	require.Equal(t, p.Key, decoded.Key)
	require.Equal(t, "payload", string(d.Payload()))
	f, fault = d.Decode(withHeadroom(NewEncoder().Deliver(f, 99)), &decoded)
	require.Equal(t, OK, fault)
	require.Equal(t, schema.VNI(99), f.VNI)
	require.Equal(t, FromFabric, decoded.Relay.Step, "packets to targets have no Relay header")
	note := withHeadroom(NewEncoder().Note(&p.Key, Relay{Step: Note, From: 1, Target: 5}))
	_, fault = d.Decode(note, &decoded)
	require.Equal(t, OK, fault)
	require.Equal(t, p.Key, decoded.Key)
	require.Equal(t, schema.Handle(5), decoded.Relay.Target)
}

func TestReset(t *testing.T) {
	k := flow.Key{SourcePort: 4321, Port: 443, Protocol: flow.ProtocolTCP}
	k.Source, k.Destination = testSource.Address.As16(), testService.Address.As16()
	data, err := Reset(&k, 7, 1000)
	require.NoError(t, err)
	var d Decoder
	var p Packet
	_, fault := d.Decode(withHeadroom(data), &p)
	require.Equal(t, OK, fault)
	require.True(t, d.tcp.RST)
	require.Equal(t, uint32(1001), d.tcp.Ack)
	require.Equal(t, layers.TCPPort(4321), d.tcp.DstPort)
}

// FuzzPacket checks that arbitrary packets cause no panic, and that a packet
// that can be decoded can be encoded and decoded again.
func FuzzPacket(f *testing.F) {
	f.Add(wrappedUDP(f, "payload")[Headroom:])
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0})
	f.Add(append([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0}, make([]byte, 300)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		var p, decoded Packet
		frame, fault := d.Decode(withHeadroom(data), &p)
		if fault != OK || p.Relay.Step == Note {
			return
		}
		sent := withHeadroom(NewEncoder().Forward(frame, Relay{Step: Ask, From: 1}))
		if _, fault := d.Decode(sent, &decoded); fault != OK {
			t.Fatalf("a forwarded packet can't be decoded: %s", fault)
		}
		require.Equal(t, p.Key, decoded.Key)
	})
}

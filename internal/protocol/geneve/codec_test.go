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
	from = schema.Service{Address: netip.MustParseAddr("10.1.2.3"), Port: 4321}
	dest = schema.Service{Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.QUIC}
)

// framed returns a packet with headroom before it.
func framed(data []byte) []byte {
	return append(make([]byte, Headroom), data...)
}

func wrapped(tb testing.TB, payload string) []byte {
	data, err := Wrap(from, dest, 7, []byte(payload))
	require.NoError(tb, err)
	return framed(data)
}

func TestDecode(t *testing.T) {
	good := wrapped(t, "\xc0\x00\x00\x00\x01rest")
	change := func(at int, v byte) []byte {
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
		{"QUIC version 2 Initial", wrapped(t, "\xd0\x6b\x33\x43\xcfrest"), OK, true},
		{"QUIC Handshake", wrapped(t, "\xe0\x00\x00\x00\x01rest"), OK, false},
		{"QUIC short header", wrapped(t, "\x40rest"), OK, false},
		{"empty datagram", wrapped(t, ""), OK, false},
		{"empty packet", framed(nil), BadGeneve, false},
		{"short header", good[:Headroom+7], BadGeneve, false},
		{"other version", change(0, 0x40), BadGeneve, false},
		{"options longer than the packet", change(0, 0x3f), BadGeneve, false},
		{"other protocol", change(3, 0x06), OtherProtocol, false},
		{"inner packet cut", good[:Headroom+ip+10], BadIP, false},
		{"fragment", change(ip+6, 0x20), Fragment, false},
		{"other transport", change(ip+9, 47), OtherProtocol, false},
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
	var p, again Packet
	f, fault := d.Decode(wrapped(t, "payload"), &p)
	require.Equal(t, OK, fault)
	r := Relay{Step: Store, Hops: 3, From: 11, Asker: 22, Target: 33}
	sent := framed(NewEncoder().Forward(f, r))
	f, fault = d.Decode(sent, &again)
	require.Equal(t, OK, fault)
	require.Equal(t, r, again.Relay)
	require.Equal(t, p.Key, again.Key)
	require.Equal(t, "payload", string(d.Payload()))
	f, fault = d.Decode(framed(NewEncoder().Deliver(f, 99)), &again)
	require.Equal(t, OK, fault)
	require.Equal(t, schema.VNI(99), f.VNI)
	require.Equal(t, FromFabric, again.Relay.Step, "a target gets no relay header")
	note := framed(NewEncoder().Note(&p.Key, Relay{Step: Note, From: 1, Target: 5}))
	_, fault = d.Decode(note, &again)
	require.Equal(t, OK, fault)
	require.Equal(t, p.Key, again.Key)
	require.Equal(t, schema.Handle(5), again.Relay.Target)
}

func TestReset(t *testing.T) {
	k := flow.Key{SourcePort: 4321, Port: 443, Protocol: flow.ProtocolTCP}
	k.Source, k.Destination = from.Address.As16(), dest.Address.As16()
	data, err := Reset(&k, 7, 1000)
	require.NoError(t, err)
	var d Decoder
	var p Packet
	_, fault := d.Decode(framed(data), &p)
	require.Equal(t, OK, fault)
	require.True(t, d.tcp.RST)
	require.Equal(t, uint32(1001), d.tcp.Ack)
	require.Equal(t, layers.TCPPort(4321), d.tcp.DstPort)
}

// FuzzPacket feeds hostile packets: none may stop a daemon, and whatever
// decodes can be encoded and decoded again.
func FuzzPacket(f *testing.F) {
	f.Add(wrapped(f, "payload")[Headroom:])
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0})
	f.Add(append([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0}, make([]byte, 300)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		var p, again Packet
		frame, fault := d.Decode(framed(data), &p)
		if fault != OK || p.Relay.Step == Note {
			return
		}
		sent := framed(NewEncoder().Forward(frame, Relay{Step: Ask, From: 1}))
		if _, fault := d.Decode(sent, &again); fault != OK {
			t.Fatalf("decoded once, then %s", fault)
		}
		require.Equal(t, p.Key, again.Key)
	})
}

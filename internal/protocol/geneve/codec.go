package geneve

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Fault is the reason why a packet can't be decoded.
type Fault uint8

// Faults.
const (
	OK Fault = iota
	BadGeneve
	BadOptions
	BadRelay
	BadIP
	BadTransport
	Fragment
	OtherProtocol

	// Faults is the number of Fault values.
	Faults
)

var faultNames = [Faults]string{
	"ok", "bad_geneve", "bad_options", "bad_relay", "bad_ip", "bad_transport", "fragment", "other_protocol",
}

// String returns the name used in metrics.
func (f Fault) String() string {
	return faultNames[f]
}

// Headroom is the space in bytes that a buffer reserves before a received
// packet. It is enough for the longest header that an Encoder writes.
const Headroom = 96

// Frame is a received packet in its buffer. Inner is the offset of the inner IP
// packet in Buf; VNI is that of the received header.
type Frame struct {
	Buf   []byte
	Inner int
	VNI   schema.VNI
}

// Decoder decodes packets without allocating. It is not safe for concurrent
// use.
type Decoder struct {
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
}

// Decode decodes the packet that starts at offset Headroom of buf into p. For a
// Note, which has no inner packet, the flow's key comes from the option.
func (d *Decoder) Decode(buf []byte, p *Packet) (Frame, Fault) {
	*p = Packet{}
	data := buf[Headroom:]
	if err := d.geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return Frame{}, BadGeneve
	}
	if d.geneve.Version != 0 || d.geneve.OAMPacket {
		return Frame{}, BadGeneve
	}
	if d.geneve.OptionsLength > maxOptionsLength {
		return Frame{}, BadOptions
	}
	f := Frame{Buf: buf, Inner: len(buf) - len(d.geneve.Payload), VNI: schema.VNI(d.geneve.VNI)}
	if fault := d.decodeOptions(p); fault != OK {
		return f, fault
	}
	if p.Relay.Step == Note {
		return f, OK
	}
	return f, d.decodeInner(p)
}

// decodeOptions decodes the Relay header, if there is one. Other options are
// ignored.
func (d *Decoder) decodeOptions(p *Packet) Fault {
	for _, o := range d.geneve.Options {
		if o.Class != optionClass || o.Type != optionTypeRelay {
			continue
		}
		var ok bool
		if p.Relay, ok = decodeRelay(o.Data); !ok {
			return BadRelay
		}
		if p.Relay.Step != Note {
			continue
		}
		if p.Key, ok = flow.DecodeKey(o.Data[relaySize:]); !ok {
			return BadRelay
		}
	}
	return OK
}

// decodeInner decodes the headers of the inner packet.
func (d *Decoder) decodeInner(p *Packet) Fault {
	var transport []byte
	var protocol layers.IPProtocol
	switch d.geneve.Protocol {
	case layers.EthernetTypeIPv4:
		if err := d.ip4.DecodeFromBytes(d.geneve.Payload, gopacket.NilDecodeFeedback); err != nil || d.ip4.Version != 4 {
			return BadIP
		}
		if d.ip4.FragOffset != 0 || d.ip4.Flags&layers.IPv4MoreFragments != 0 {
			return Fragment
		}
		p.Key.Source, p.Key.Destination = mapIPv4(d.ip4.SrcIP), mapIPv4(d.ip4.DstIP)
		transport, protocol = d.ip4.Payload, d.ip4.Protocol
	case layers.EthernetTypeIPv6:
		if err := d.ip6.DecodeFromBytes(d.geneve.Payload, gopacket.NilDecodeFeedback); err != nil || d.ip6.Version != 6 {
			return BadIP
		}
		copy(p.Key.Source[:], d.ip6.SrcIP)
		copy(p.Key.Destination[:], d.ip6.DstIP)
		transport, protocol = d.ip6.Payload, d.ip6.NextHeader
	default:
		return OtherProtocol
	}
	return d.decodeTransport(p, protocol, transport)
}

// mapIPv4 returns the IPv4-mapped IPv6 form of a 4-byte address.
func mapIPv4(ip []byte) [16]byte {
	a := [16]byte{10: 0xff, 11: 0xff}
	copy(a[12:], ip)
	return a
}

func (d *Decoder) decodeTransport(p *Packet, protocol layers.IPProtocol, data []byte) Fault {
	p.Key.Protocol = uint8(protocol)
	switch protocol {
	case layers.IPProtocolTCP:
		if err := d.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return BadTransport
		}
		p.Key.SourcePort, p.Key.Port = uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort)
		p.Open = d.tcp.SYN && !d.tcp.ACK
		p.HasPayload = len(d.tcp.Payload) > 0
	case layers.IPProtocolUDP:
		if err := d.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return BadTransport
		}
		p.Key.SourcePort, p.Key.Port = uint16(d.udp.SrcPort), uint16(d.udp.DstPort)
		p.Open = isQUICInitial(d.udp.Payload)
		p.HasPayload = true
	default:
		return OtherProtocol
	}
	return OK
}

const (
	quicVersion1 = 0x00000001
	quicVersion2 = 0x6b3343cf

	// Initial packet types of the two versions.
	quicInitial1 = 0
	quicInitial2 = 1

	// quicLongHeader has the header form and fixed bits, both set in the first
	// byte of a long header.
	quicLongHeader = 0xc0
	// quicMinSize covers the first byte and the version.
	quicMinSize = 5
)

// isQUICInitial reports whether a datagram starts with a QUIC Initial packet.
// It checks the long header, version and packet type (RFC 9000, 17.2.2; RFC
// 9369, 3.2).
func isQUICInitial(b []byte) bool {
	if len(b) < quicMinSize || b[0]&quicLongHeader != quicLongHeader {
		return false
	}
	packetType := b[0] >> 4 & 3
	switch binary.BigEndian.Uint32(b[1:]) {
	case quicVersion1:
		return packetType == quicInitial1
	case quicVersion2:
		return packetType == quicInitial2
	}
	return false
}

// Sequence returns the sequence number of the last decoded TCP packet.
func (d *Decoder) Sequence() uint32 {
	return d.tcp.Seq
}

// Encoder encodes headers without allocating. It is not safe for concurrent
// use.
type Encoder struct {
	geneve layers.Geneve
	option layers.GeneveOption
	opts   [1]*layers.GeneveOption
	data   [noteSize]byte
	buf    gopacket.SerializeBuffer
}

// NewEncoder returns an encoder.
func NewEncoder() *Encoder {
	e := &Encoder{buf: gopacket.NewSerializeBufferExpectedSize(Headroom, 0)}
	e.option = layers.GeneveOption{Class: optionClass, Type: optionTypeRelay}
	e.opts[0] = &e.option
	return e
}

// Deliver returns the frame's packet, encapsulated for a target. It overwrites
// the bytes before the inner packet in the frame's buffer.
func (e *Encoder) Deliver(f Frame, vni schema.VNI) []byte {
	e.geneve.Options = nil
	return e.encapsulate(f, vni)
}

// Forward returns the frame's packet, encapsulated for another daemon with a
// Relay header. It overwrites the bytes before the inner packet in the frame's
// buffer.
func (e *Encoder) Forward(f Frame, r Relay) []byte {
	e.option.Data = r.appendTo(e.data[:0])
	e.geneve.Options = e.opts[:]
	return e.encapsulate(f, f.VNI)
}

// encapsulate writes the Geneve header before the inner packet.
func (e *Encoder) encapsulate(f Frame, vni schema.VNI) []byte {
	e.geneve.VNI = uint32(vni)
	e.geneve.Protocol = layers.EthernetTypeIPv4
	if f.Buf[f.Inner]>>4 == 6 {
		e.geneve.Protocol = layers.EthernetTypeIPv6
	}
	h := e.serializeHeader()
	start := f.Inner - len(h)
	copy(f.Buf[start:], h)
	return f.Buf[start:]
}

func (e *Encoder) serializeHeader() []byte {
	// Clear and SerializeTo fail only for a VNI of more than 24 bits. Pool.Check
	// rejects those, and received VNIs have 24 bits.
	_ = e.buf.Clear()
	_ = e.geneve.SerializeTo(e.buf, gopacket.SerializeOptions{FixLengths: true})
	return e.buf.Bytes()
}

// Note returns a packet that announces the record of a flow. It is valid until
// the next call of a method of e.
func (e *Encoder) Note(k *flow.Key, r Relay) []byte {
	e.option.Data = k.Append(r.appendTo(e.data[:0]))
	e.geneve.Options = e.opts[:]
	e.geneve.VNI = 0
	e.geneve.Protocol = layers.EthernetTypeIPv4
	return e.serializeHeader()
}

// innerTTL is the time to live of the IP packets that Wrap and Reset make.
const innerTTL = 64

// Wrap returns a UDP packet over IPv4 with the given payload, encapsulated in
// Geneve, as fabrics and targets send it.
func Wrap(src, dst schema.Service, vni schema.VNI, payload []byte) ([]byte, error) {
	udp := &layers.UDP{SrcPort: layers.UDPPort(src.Port), DstPort: layers.UDPPort(dst.Port)}
	ip := &layers.IPv4{
		Version:  4,
		TTL:      innerTTL,
		Protocol: layers.IPProtocolUDP,
		SrcIP:    src.Address.AsSlice(),
		DstIP:    dst.Address.AsSlice(),
	}
	if err := udp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	return serializePacket(vni, ip, udp, gopacket.Payload(payload))
}

// Reset returns a TCP reset in response to a SYN with sequence number seq,
// encapsulated in Geneve. The flow's addresses must be IPv4.
func Reset(k *flow.Key, vni schema.VNI, seq uint32) ([]byte, error) {
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(k.Port),
		DstPort: layers.TCPPort(k.SourcePort),
		Ack:     seq + 1,
		RST:     true,
		ACK:     true,
	}
	ip := &layers.IPv4{
		Version:  4,
		TTL:      innerTTL,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    k.Destination[12:],
		DstIP:    k.Source[12:],
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, err
	}
	return serializePacket(vni, ip, tcp)
}

func serializePacket(vni schema.VNI, inner ...gopacket.SerializableLayer) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	gn := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, VNI: uint32(vni)}
	all := append([]gopacket.SerializableLayer{gn}, inner...)
	if err := gopacket.SerializeLayers(buf, opts, all...); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// Payload returns the payload of the last decoded UDP packet.
func (d *Decoder) Payload() []byte {
	return d.udp.Payload
}

//go:build review

package main

import (
	"encoding/binary"
	"net/netip"
)

const (
	headerSize = 36
	prefixSize = 8

	flagFin = 1
	flagSyn = 4
	flagRst = 8
	flagAck = 32
)

// end is one end of a flow.
type end struct {
	addr [4]byte
	port uint16
}

// packet is a packet of a flow, in the form of PROTOCOL.md.
type packet struct {
	flags    byte
	sum      uint32
	echo     uint32
	seq      uint32
	ack      uint32
	src, dst end
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint16(b[0:], uint16(len(p.data)))
	b[2] = p.flags
	binary.BigEndian.PutUint32(b[8:], p.sum)
	binary.BigEndian.PutUint32(b[12:], p.echo)
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	binary.BigEndian.PutUint16(b[24:], p.src.port)
	copy(b[26:], p.src.addr[:])
	binary.BigEndian.PutUint16(b[30:], p.dst.port)
	copy(b[32:], p.dst.addr[:])
	return append(b, p.data...)
}

// decode reports false if b is not a packet.
func (p *packet) decode(b []byte) bool {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b)) != len(b)-headerSize {
		return false
	}
	p.flags = b[2]
	p.sum = binary.BigEndian.Uint32(b[8:])
	p.echo = binary.BigEndian.Uint32(b[12:])
	p.seq = binary.BigEndian.Uint32(b[16:])
	p.ack = binary.BigEndian.Uint32(b[20:])
	p.src.port = binary.BigEndian.Uint16(b[24:])
	copy(p.src.addr[:], b[26:])
	p.dst.port = binary.BigEndian.Uint16(b[30:])
	copy(p.dst.addr[:], b[32:])
	p.data = b[headerSize:]
	return true
}

// keySum is the sum that the two ends write. Any value but zero, that of a reset of the
// system's own, does for stand-ins.
const keySum = 0x5ca1ab1e

func addrPort(a [4]byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(a), port)
}

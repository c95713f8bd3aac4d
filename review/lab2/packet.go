//go:build review

package main

import (
	"encoding/binary"
	"math/rand/v2"
)

// Flags of a packet.
const (
	flagFin = 1
	flagSyn = 4
	flagRst = 8
	flagAck = 32
)

const (
	headSize   = 36
	prefixSize = 8
	maxPacket  = headSize + 1200
	// standInSum is the sum of all packets of the stand-ins. Zero marks a reset by a
	// daemon.
	standInSum = 0x5a5a5a5a
)

// packet is a packet of a flow.
type packet struct {
	flags    byte
	sum      uint32
	echo     uint32
	seq, ack uint32
	src, dst [4]byte
	sport    uint16
	dport    uint16
	data     []byte
}

// decode decodes a packet and reports whether it is one.
func decode(b []byte) (packet, bool) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b)) != len(b)-headSize {
		return packet{}, false
	}
	p := packet{
		flags: b[2], sum: binary.BigEndian.Uint32(b[8:]), echo: binary.BigEndian.Uint32(b[12:]),
		seq: binary.BigEndian.Uint32(b[16:]), ack: binary.BigEndian.Uint32(b[20:]),
		sport: binary.BigEndian.Uint16(b[24:]), dport: binary.BigEndian.Uint16(b[30:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	copy(p.src[:], b[26:])
	copy(p.dst[:], b[32:])
	return p, true
}

// encode returns the wire form of a packet.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	b[2] = p.flags
	binary.BigEndian.PutUint32(b[8:], standInSum)
	binary.BigEndian.PutUint32(b[12:], p.echo)
	binary.BigEndian.PutUint32(b[16:], p.seq)
	binary.BigEndian.PutUint32(b[20:], p.ack)
	binary.BigEndian.PutUint16(b[24:], p.sport)
	copy(b[26:], p.src[:])
	binary.BigEndian.PutUint16(b[30:], p.dport)
	copy(b[32:], p.dst[:])
	return append(b, p.data...)
}

// flowKey is the client's side of a flow and the address that it calls.
type flowKey struct {
	client, service         [4]byte
	clientPort, servicePort uint16
}

// randomSeq returns a first sequence number away from zero.
func randomSeq() uint32 { return 1<<20 + rand.Uint32N(1<<31) }

package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Tuple identifies a flow over IPv4 by its two ends, the client's first.
type Tuple struct {
	Client     [4]byte
	ClientPort uint16
	Port       uint16
	Address    [4]byte
}

// Service returns the address that the flow was sent to.
func (t *Tuple) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Address), t.Port)
}

// Source returns the client's end.
func (t *Tuple) Source() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Client), t.ClientPort)
}

// Hash returns the hash of the flow.
func (t *Tuple) Hash() uint64 {
	var buf [12]byte
	copy(buf[:], t.Client[:])
	copy(buf[4:], t.Address[:])
	binary.BigEndian.PutUint16(buf[8:], t.ClientPort)
	binary.BigEndian.PutUint16(buf[10:], t.Port)
	return xxhash.Sum64(buf[:])
}

// Segment is what a daemon reads of a client's packet.
type Segment struct {
	Tuple Tuple
	// Open marks the first packet of a flow and its copies, Copy counts them.
	Open bool
	Copy uint32
	// Close and Reset mark the end of a flow.
	Close bool
	Reset bool
	// Cookie is what the flow's packets carry of the system's own; it comes
	// back with each packet of the client.
	Cookie uint32
	// Seq numbers the first byte of data, Ack the next byte that the client
	// expects, Len is the length of the data.
	Seq uint32
	Ack uint32
	Len uint16
}

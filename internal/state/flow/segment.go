package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
)

// Tuple identifies an IPv4 flow by the addresses and ports of the client and of
// the service.
type Tuple struct {
	Client         [4]byte
	ClientPort     uint16
	ServicePort    uint16
	ServiceAddress [4]byte
}

// Service returns the address and port that the flow is sent to.
func (t *Tuple) Service() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.ServiceAddress), t.ServicePort)
}

// Source returns the client's address and port.
func (t *Tuple) Source() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(t.Client), t.ClientPort)
}

// Hash returns the hash of the tuple.
func (t *Tuple) Hash() uint64 {
	var buf [12]byte
	copy(buf[:], t.Client[:])
	copy(buf[4:], t.ServiceAddress[:])
	binary.BigEndian.PutUint16(buf[8:], t.ClientPort)
	binary.BigEndian.PutUint16(buf[10:], t.ServicePort)
	return xxhash.Sum64(buf[:])
}

// Segment holds the fields that a daemon parses from a client's packet.
type Segment struct {
	Tuple Tuple
	// Open is set on the first packet of a flow and on its retransmissions.
	// Retransmissions is the number of them so far.
	Open            bool
	Retransmissions uint32
	// Close and Reset are set on a packet that ends the flow.
	Close bool
	Reset bool
	// Cookie is the system's own value in the packets of a flow. The client
	// returns it in each of its packets.
	Cookie uint32
	// Seq is the sequence number of the first byte of data, Ack that of the next
	// byte that the client expects, and Len the length of the data.
	Seq uint32
	Ack uint32
	Len uint16
}

// firstRetransmission is the time after which clients retransmit a first packet. It
// doubles with each retransmission.
const firstRetransmission = 200 * clock.Milli(1)

// Age returns the time since the client sent the first copy of the packet, as far as
// its count of retransmissions tells.
func (s *Segment) Age() clock.Milli {
	return firstRetransmission<<min(s.Retransmissions, 8) - firstRetransmission
}

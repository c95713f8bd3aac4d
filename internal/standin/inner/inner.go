// Package inner provides the UDP socket over which the stand-ins exchange inner
// packets, encapsulated in Geneve.
//
// Socket does not embed net.UDPConn: a QUIC library could use the other methods of
// that type and so send packets without encapsulation.
package inner

import (
	"net"
	"net/netip"
	"time"

	"coltsfootdock/internal/protocol/geneve"
)

const (
	maxPacket    = 9216    // bytes
	socketBuffer = 4 << 20 // bytes
)

// Socket receives and sends Geneve packets. One goroutine may read at a time.
type Socket struct {
	udp     *net.UDPConn
	buf     []byte
	decoder geneve.Decoder
}

// Listen opens a socket on a UDP address.
func Listen(addr netip.AddrPort) (*Socket, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = c.SetReadBuffer(socketBuffer) // the kernel may limit the size
	return &Socket{udp: c, buf: make([]byte, geneve.Headroom+maxPacket)}, nil
}

// Addr returns the socket's address.
func (s *Socket) Addr() netip.AddrPort {
	return s.udp.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Receive returns the next valid packet, its frame and its UDP payload. The
// payload is valid until the next call. Packets that can't be decoded are skipped.
func (s *Socket) Receive() (geneve.Packet, geneve.Frame, []byte, error) {
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(s.buf[geneve.Headroom:])
		if err != nil {
			return geneve.Packet{}, geneve.Frame{}, nil, err
		}
		var p geneve.Packet
		if f, fault := s.decoder.Decode(s.buf[:geneve.Headroom+n], &p); fault == geneve.OK {
			return p, f, s.decoder.Payload(), nil
		}
	}
}

// Send sends an encapsulated packet to an outer address.
func (s *Socket) Send(data []byte, to netip.AddrPort) error {
	_, err := s.udp.WriteToUDPAddrPort(data, to)
	return err
}

// Close implements net.PacketConn.
func (s *Socket) Close() error { return s.udp.Close() }

// LocalAddr implements net.PacketConn.
func (s *Socket) LocalAddr() net.Addr { return s.udp.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (s *Socket) SetDeadline(t time.Time) error { return s.udp.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (s *Socket) SetReadDeadline(t time.Time) error { return s.udp.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (s *Socket) SetWriteDeadline(t time.Time) error { return s.udp.SetWriteDeadline(t) }

// SetReadBuffer sets the size of the kernel's receive buffer.
func (s *Socket) SetReadBuffer(n int) error { return s.udp.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the kernel's send buffer.
func (s *Socket) SetWriteBuffer(n int) error { return s.udp.SetWriteBuffer(n) }

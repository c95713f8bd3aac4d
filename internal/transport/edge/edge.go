// Package edge receives the packets of flows that carry a cookie, has them
// decided and sends them on.
package edge

import (
	"context"
	"net/netip"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/transport/sock"
)

const socketBuffer = 1 << 20

// Wire is the form of the packets.
type Wire struct {
	// Prefix is the room that stands before a packet for a target, MaxPacket
	// the largest packet, in bytes.
	Prefix    int
	MaxPacket int
	// Decode reads a client's packet and reports whether it is one.
	Decode func(b []byte, s *flow.Segment) bool
	// Address writes the number of the target and the cookie into a packet
	// that stands at Prefix.
	Address func(b []byte, num uint64, cookie uint32)
	// Reset writes the packet that ends a client's flow into b.
	Reset func(b []byte, t *flow.Tuple, ack uint32) []byte
	// Client returns where packets for a client go; port is the daemons' own.
	Client func(t *flow.Tuple, port uint16) netip.AddrPort
}

// Handler decides one packet, which stands at Wire.Prefix in b, and sends it
// on. It must not keep b.
type Handler func(b []byte, s *flow.Segment)

// Counters count what the plane does besides.
type Counters struct {
	Malformed func()
	Unsent    func()
}

// Plane is the packet path of one daemon.
type Plane struct {
	wire     Wire
	conn     *sock.UDP
	port     uint16
	handle   Handler
	counters Counters
	buf      []byte
	segment  flow.Segment
}

// Listen opens the packet path on a UDP address.
func Listen(addr netip.AddrPort, w Wire, h Handler, c Counters) (*Plane, error) {
	conn, err := sock.Listen("udp4", addr, socketBuffer)
	if err != nil {
		return nil, err
	}
	return &Plane{
		wire: w, conn: conn, port: addr.Port(), handle: h, counters: c,
		buf: make([]byte, w.Prefix+w.MaxPacket+1), // one byte more, to tell a packet that is too long
	}, nil
}

// Close closes the socket and waits for Serve.
func (p *Plane) Close() error { return p.conn.Close() }

// Serve handles packets until ctx ends or the socket is closed.
func (p *Plane) Serve(ctx context.Context) error { return p.conn.Serve(ctx, p.one) }

// one receives and handles one packet.
func (p *Plane) one() error {
	n, err := p.conn.Read(p.buf[p.wire.Prefix:])
	if err != nil {
		return err
	}
	b := p.buf[:p.wire.Prefix+n]
	if !p.wire.Decode(b[p.wire.Prefix:], &p.segment) {
		p.counters.Malformed()
		return nil
	}
	p.handle(b, &p.segment)
	return nil
}

// Deliver sends a packet, which stands at Wire.Prefix in b, to a target.
func (p *Plane) Deliver(b []byte, to netip.AddrPort, num uint64, cookie uint32) {
	p.wire.Address(b, num, cookie)
	p.send(b, to)
}

// Reset ends a flow of a client that last acknowledged ack.
func (p *Plane) Reset(t *flow.Tuple, ack uint32) {
	var b [64]byte
	p.send(p.wire.Reset(b[:], t, ack), p.wire.Client(t, p.port))
}

func (p *Plane) send(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.counters.Unsent()
	}
}

// Package edge is the packet path of a daemon for flows whose packets carry a
// cookie that identifies the target: it receives packets, passes them to a
// handler that decides them and sends what the handler asks for.
package edge

import (
	"context"
	"net/netip"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/transport/sock"
)

const (
	socketBuffer = 1 << 20 // bytes
	maxReset     = 64      // bytes
)

// Format holds the functions and sizes of a packet format.
type Format struct {
	// Prefix is the size of the header that is prepended to a packet for a
	// target, MaxPacket the size of the largest packet, both in bytes.
	Prefix    int
	MaxPacket int
	// Decode decodes a client's packet and reports whether it is valid.
	Decode func(b []byte, s *flow.Segment) bool
	// WriteHeader writes the target's number and the cookie into the header of a
	// packet that begins at Prefix.
	WriteHeader func(b []byte, number uint64, cookie uint32)
	// Reset writes a packet that resets a client's flow into b and returns it.
	Reset func(b []byte, t *flow.Tuple, ack uint32) []byte
	// Client returns the address for packets to a client; port is the port of
	// the daemons' packet path.
	Client func(t *flow.Tuple, port uint16) netip.AddrPort
}

// Handler decides one packet, which begins at Format.Prefix in b, and forwards it.
// It must not retain b.
type Handler func(b []byte, s *flow.Segment)

// Counters holds the callbacks that count packets that were not handled or not
// sent.
type Counters struct {
	// Malformed counts packets that Format.Decode rejected.
	Malformed func()
	// Unsent counts packets that the socket did not accept.
	Unsent func()
}

// Plane is the packet path of one daemon.
type Plane struct {
	format   Format
	conn     *sock.UDP
	port     uint16
	handle   Handler
	counters Counters
	buf      []byte
	segment  flow.Segment
}

// Listen opens the packet path on a UDP address.
func Listen(addr netip.AddrPort, f Format, h Handler, c Counters) (*Plane, error) {
	conn, err := sock.Listen("udp4", addr, socketBuffer)
	if err != nil {
		return nil, err
	}
	return &Plane{
		format: f, conn: conn, port: addr.Port(), handle: h, counters: c,
		buf: make([]byte, f.Prefix+f.MaxPacket+1), // one more byte makes an oversized packet detectable
	}, nil
}

// Close closes the socket and waits for Serve.
func (p *Plane) Close() error { return p.conn.Close() }

// Serve handles packets until ctx ends or the socket is closed.
func (p *Plane) Serve(ctx context.Context) error { return p.conn.Serve(ctx, p.receiveOne) }

// receiveOne receives and handles one packet.
func (p *Plane) receiveOne() error {
	n, err := p.conn.Read(p.buf[p.format.Prefix:])
	if err != nil {
		return err
	}
	b := p.buf[:p.format.Prefix+n]
	if !p.format.Decode(b[p.format.Prefix:], &p.segment) {
		p.counters.Malformed()
		return nil
	}
	p.handle(b, &p.segment)
	return nil
}

// Deliver sends a packet, which begins at Format.Prefix in b, to a target.
func (p *Plane) Deliver(b []byte, to netip.AddrPort, number uint64, cookie uint32) {
	p.format.WriteHeader(b, number, cookie)
	p.send(b, to)
}

// Reset sends a reset to the client of a flow; ack is the client's last
// acknowledgement number.
func (p *Plane) Reset(t *flow.Tuple, ack uint32) {
	var b [maxReset]byte
	p.send(p.format.Reset(b[:], t, ack), p.format.Client(t, p.port))
}

func (p *Plane) send(b []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.counters.Unsent()
	}
}

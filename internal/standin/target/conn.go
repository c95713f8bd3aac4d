package target

import (
	"net"
	"net/netip"
	"sync"

	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/standin/inner"
	"coltsfootdock/pkg/schema"
)

// conn replaces the Geneve device of a target's kernel: it decapsulates packets with
// the pool's VNI and sends answers directly to the client.
type conn struct {
	*inner.Socket
	vni schema.VNI
	mu  sync.Mutex
	// services holds the service address that each client uses.
	services map[netip.AddrPort]schema.Service
	// foreignPackets counts the packets with the VNI of another pool.
	foreignPackets int
}

func listen(addr netip.AddrPort, vni schema.VNI) (*conn, error) {
	s, err := inner.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &conn{Socket: s, vni: vni, services: make(map[netip.AddrPort]schema.Service)}, nil
}

// ReadFrom returns the payload of the next inner UDP packet and its source.
func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		p, f, payload, err := c.Receive()
		if err != nil {
			return 0, nil, err
		}
		from := netip.AddrPortFrom(netip.AddrFrom16(p.Key.Source).Unmap(), p.Key.SourcePort)
		if !c.accept(f.VNI, from, p.Key.Service()) {
			continue
		}
		return copy(b, payload), net.UDPAddrFromAddrPort(from), nil
	}
}

// accept records the service address that a client uses. It counts and rejects
// packets of another pool.
func (c *conn) accept(vni schema.VNI, from netip.AddrPort, s schema.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if vni != c.vni {
		c.foreignPackets++
		return false
	}
	c.services[from] = s
	return true
}

// foreignCount returns the number of packets of another pool.
func (c *conn) foreignCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.foreignPackets
}

// WriteTo sends a payload to a client. The source is the service address that the
// client uses.
func (c *conn) WriteTo(b []byte, to net.Addr) (int, error) {
	addr := to.(*net.UDPAddr).AddrPort()
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	c.mu.Lock()
	src := c.services[addr]
	c.mu.Unlock()
	dst := schema.Service{Address: addr.Addr(), Port: addr.Port()}
	data, err := geneve.Wrap(src, dst, c.vni, b)
	if err != nil {
		return 0, err
	}
	return len(b), c.Send(data, addr)
}

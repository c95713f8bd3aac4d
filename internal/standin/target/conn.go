package target

import (
	"net"
	"net/netip"
	"sync"

	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/standin/inner"
	"coltsfootdock/pkg/schema"
)

// conn is the kernel's Geneve device of a target: it unwraps packets of the
// pool's VNI and sends answers straight to the client.
type conn struct {
	*inner.Socket
	vni     schema.VNI
	mu      sync.Mutex
	service map[netip.AddrPort]schema.Service
	foreign int
}

func listen(addr netip.AddrPort, vni schema.VNI) (*conn, error) {
	s, err := inner.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &conn{Socket: s, vni: vni, service: make(map[netip.AddrPort]schema.Service)}, nil
}

// ReadFrom returns the payload of the next inner UDP packet and its sender.
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

// accept notes the service address that a client used, and counts packets of
// another pool.
func (c *conn) accept(vni schema.VNI, from netip.AddrPort, s schema.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if vni != c.vni {
		c.foreign++
		return false
	}
	c.service[from] = s
	return true
}

// Foreign returns the number of packets of another pool.
func (c *conn) Foreign() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.foreign
}

// WriteTo sends a payload to a client, from the address that it used.
func (c *conn) WriteTo(b []byte, to net.Addr) (int, error) {
	addr := to.(*net.UDPAddr).AddrPort()
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	c.mu.Lock()
	src := c.service[addr]
	c.mu.Unlock()
	dst := schema.Service{Address: addr.Addr(), Port: addr.Port()}
	data, err := geneve.Wrap(src, dst, c.vni, b)
	if err != nil {
		return 0, err
	}
	return len(b), c.Send(data, addr)
}

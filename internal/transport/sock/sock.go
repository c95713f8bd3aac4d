// Package sock holds a UDP socket that one duty reads.
package sock

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// lastReads is how long a reader that ends still takes packets that had arrived.
const lastReads = 20 * time.Millisecond

// UDP is a UDP socket with one reader.
type UDP struct {
	*net.UDPConn
	mu sync.Mutex // held while Serve runs
}

// Listen opens a socket whose buffers hold size bytes, or what the kernel
// grants.
func Listen(network string, addr netip.AddrPort, size int) (*UDP, error) {
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(size)
	_ = conn.SetWriteBuffer(size)
	return &UDP{UDPConn: conn}, nil
}

// Close closes the socket and waits for Serve.
func (u *UDP) Close() error {
	err := u.UDPConn.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Serve calls one, which reads and handles a packet, until ctx ends or the
// socket is closed. Once ctx ends it handles the packets that had arrived, for
// 20 ms at most, and closes the socket. Other errors pass, such as an ICMP answer
// to an earlier packet.
func (u *UDP) Serve(ctx context.Context, one func() error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = u.SetReadDeadline(time.Now()) })
	defer stop()
	last := false
	for {
		err := one()
		switch {
		case errors.Is(err, net.ErrClosed):
			return context.Cause(ctx)
		case errors.Is(err, os.ErrDeadlineExceeded) && last:
			_ = u.UDPConn.Close()
			return context.Cause(ctx)
		case errors.Is(err, os.ErrDeadlineExceeded):
			last = true
			_ = u.SetReadDeadline(time.Now().Add(lastReads))
		}
	}
}

// Package sock provides a UDP socket with a single reader that drains received
// packets before it stops.
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

// drainTimeout limits how long Serve still reads after its context ends.
const drainTimeout = 20 * time.Millisecond

// UDP is a UDP socket with one reader, Serve.
type UDP struct {
	*net.UDPConn
	mu sync.Mutex // held while Serve runs
}

// Listen opens a socket and requests size bytes for each of its kernel buffers;
// the kernel may grant less.
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

// Serve calls handleOne, which reads and handles one packet, until ctx ends or
// the socket is closed. When ctx ends it reads on for drainTimeout, to handle the
// packets that have arrived, and closes the socket. It ignores other errors, such
// as an ICMP error that an earlier packet caused.
func (u *UDP) Serve(ctx context.Context, handleOne func() error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = u.SetReadDeadline(time.Now()) })
	defer stop()
	draining := false
	for {
		err := handleOne()
		switch {
		case errors.Is(err, net.ErrClosed):
			return context.Cause(ctx)
		case errors.Is(err, os.ErrDeadlineExceeded) && draining:
			_ = u.UDPConn.Close()
			return context.Cause(ctx)
		case errors.Is(err, os.ErrDeadlineExceeded):
			draining = true
			_ = u.SetReadDeadline(time.Now().Add(drainTimeout))
		}
	}
}

// Package reach checks whether a TCP address accepts connections.
package reach

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Outcome is the outcome of an attempt to connect.
type Outcome uint8

const (
	// Open means that the connection was accepted; it was closed at once.
	Open Outcome = iota
	// Refused means that the peer refused the connection: nothing listens.
	Refused
	// Silent means that no attempt got an answer, or a local error occurred.
	Silent
)

// Several attempts overlap, since a single packet may be lost.
const (
	attempts        = 3
	attemptInterval = 50 * time.Millisecond
	timeout         = 160 * time.Millisecond // of all attempts together
)

// Check connects to an address over TCP and returns the first outcome that is not
// Silent, within 160 ms. It cancels the other attempts then.
func Check(ctx context.Context, to netip.AddrPort) Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcomes := make(chan Outcome, attempts)
	for i := range attempts {
		go func() { outcomes <- attempt(ctx, to, time.Duration(i)*attemptInterval) }()
	}
	outcome := Silent
	for range attempts {
		if o := <-outcomes; o != Silent && outcome == Silent {
			outcome = o
			cancel()
		}
	}
	return outcome
}

// attempt connects once, after a delay.
func attempt(ctx context.Context, to netip.AddrPort, delay time.Duration) Outcome {
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return Silent
	case <-t.C:
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", to.String())
	switch {
	case err == nil:
		_ = conn.Close() // no data was sent; an error changes nothing
		return Open
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Silent
	}
}

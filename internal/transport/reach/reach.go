// Package reach finds out whether anything listens at an address.
package reach

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// End tells how an attempt to connect ended.
type End uint8

// The ends.
const (
	// Open means that the connection was accepted, and closed at once.
	Open End = iota
	// Refused means that nothing listens.
	Refused
	// Silent means that no attempt had an answer, or this side failed.
	Silent
)

// Attempts start one after the other, as a single packet may be lost.
const (
	attempts = 3
	apart    = 50 * time.Millisecond
	limit    = 160 * time.Millisecond
)

// Try connects to an address over TCP and returns how that ended, after 160 ms
// at most.
func Try(ctx context.Context, to netip.AddrPort) End {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ends := make(chan End, attempts)
	for i := range attempts {
		go func() { ends <- attempt(ctx, to, time.Duration(i)*apart) }()
	}
	end := Silent
	for range attempts {
		if e := <-ends; e != Silent && end == Silent {
			end = e
			cancel()
		}
	}
	return end
}

// attempt connects once, after a wait.
func attempt(ctx context.Context, to netip.AddrPort, wait time.Duration) End {
	t := time.NewTimer(wait)
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
		_ = conn.Close() // nothing was sent
		return Open
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Silent
	}
}

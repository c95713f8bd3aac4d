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
	// Silent means that no attempt got an answer in time.
	Silent
	// Failed means that a local error prevented an attempt, so that nothing is known.
	Failed
)

// Several attempts overlap, since a single packet may be lost.
const (
	attempts        = 3
	attemptInterval = 50 * time.Millisecond
	timeout         = 160 * time.Millisecond // of all attempts together
)

// CheckBeside checks an address as Check does. If it is silent, linked reports whether
// the control address answered within the same time to an attempt that began after the
// first one to the address, so that this host's own connection works. An invalid control
// address is not tried, nor is one that is not needed.
func CheckBeside(ctx context.Context, to, control netip.AddrPort) (o Outcome, linked bool) {
	if !control.IsValid() {
		return Check(ctx, to), false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan bool, 1)
	go func() {
		c := attempt(ctx, control, attemptInterval)
		answers <- c == Open || c == Refused
	}()
	if o = Check(ctx, to); o != Silent {
		return o, false
	}
	select {
	case linked = <-answers:
	default: // as late as the answer that is missing
	}
	return o, linked
}

// Check connects to an address over TCP and returns the first answer, within 160 ms. It
// cancels the other attempts then. Without an answer it returns Failed if any attempt
// did, else Silent.
func Check(ctx context.Context, to netip.AddrPort) Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	outcomes := make(chan Outcome, attempts)
	for i := range attempts {
		go func() { outcomes <- attempt(ctx, to, time.Duration(i)*attemptInterval) }()
	}
	outcome := Silent
	for range attempts {
		o := <-outcomes
		if o == Silent || outcome == Open || outcome == Refused {
			continue
		}
		outcome = o
		if o != Failed {
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
	case isUnanswered(err):
		return Silent
	default:
		return Failed
	}
}

// isUnanswered reports whether the error of an attempt means that the peer did not
// answer, or that the network says that it can't be reached.
func isUnanswered(err error) bool {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	for _, e := range []syscall.Errno{syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNRESET, syscall.ETIMEDOUT} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

package soak

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/standin/plat"
)

// TestKilledTargetsRefuseOrAreSilent guards the soak's picture of death: a health check
// of a killed target is refused, or has no answer as of a lost VM.
func TestKilledTargetsRefuseOrAreSilent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newSystem(ctx, Options{Slot: 39})
	s.store = plat.New()
	defer func() {
		cancel()
		s.close()
	}()
	for n := range 3 {
		addr := netip.AddrPortFrom(s.opts.host(roleTarget, n), targetPort)
		x, err := newTarget(s, n, "desk", &dataCentre{}, addr)
		require.NoError(t, err)
		s.targets = append(s.targets, x)
		x.kill()
		_, err = net.DialTimeout("tcp4", addr.String(), 200*time.Millisecond)
		var failed net.Error
		require.ErrorAs(t, err, &failed)
		silent := x.packetID%3 == 2
		require.Equal(t, silent, failed.Timeout(), "target %s: %s", x.id, err)
		require.Equal(t, !silent, errors.Is(err, syscall.ECONNREFUSED), "target %s: %s", x.id, err)
	}
	require.Empty(t, s.checker.violations)
}

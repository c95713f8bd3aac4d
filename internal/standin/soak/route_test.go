package soak

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/standin/plat"
)

// TestRouteMovesOnce guards against a check that forgets a route's first pool and takes
// its use within the bound for a use of the wrong pool.
func TestRouteMovesOnce(t *testing.T) {
	s := newSystem(t.Context(), Options{})
	s.store = plat.New()
	r := s.addRoute("desk")
	s.moveRoute(r, "proof")
	s.moveRoute(r, "proof")
	ended, _, ok := r.handling("desk")
	require.True(t, ok)
	require.Equal(t, 2.0, ended.version)
	_, _, ok = r.handling("proof")
	require.True(t, ok)
	_, _, ok = r.handling("other")
	require.False(t, ok)
}

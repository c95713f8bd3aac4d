package reach

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTry(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	to := l.Addr().(*net.TCPAddr).AddrPort()
	require.Equal(t, Open, Try(t.Context(), to))
	require.NoError(t, l.Close())
	require.Equal(t, Refused, Try(t.Context(), to))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, Silent, Try(cancelled, to))
}

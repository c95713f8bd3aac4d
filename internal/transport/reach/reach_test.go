package reach

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	to := l.Addr().(*net.TCPAddr).AddrPort()
	require.Equal(t, Open, Check(t.Context(), to))
	require.NoError(t, l.Close())
	require.Equal(t, Refused, Check(t.Context(), to))
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, Silent, Check(cancelled, to))
}

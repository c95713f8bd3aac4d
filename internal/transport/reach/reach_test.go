package reach

import (
	"context"
	"net"
	"net/netip"
	"syscall"
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

// TestLocalErrorIsNotSilence guards against live targets that count as silent because
// this process has no file descriptor left to ask them.
func TestLocalErrorIsNotSilence(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	to := l.Addr().(*net.TCPAddr).AddrPort()
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	none := limit
	none.Cur = 3 // standard input, output and error; what is open stays open
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none))
	o := Check(t.Context(), to)
	require.NoError(t, syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit))
	require.NotEqual(t, Silent, o)
}

// TestControlTellsWhetherTheLinkWorks guards against silence of this host's own link that
// counts as the target's.
func TestControlTellsWhetherTheLinkWorks(t *testing.T) {
	open, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, open.Close()) }()
	answers := open.Addr().(*net.TCPAddr).AddrPort()
	silent := fullListener(t)
	for _, tt := range []struct {
		to, control netip.AddrPort
		want        Outcome
		linked      bool
	}{
		{silent, answers, Silent, true},
		{silent, silent, Silent, false},
		{silent, netip.AddrPort{}, Silent, false},
		{answers, silent, Open, false},
	} {
		o, linked := CheckBeside(t.Context(), tt.to, tt.control)
		require.Equal(t, tt.want, o)
		require.Equal(t, tt.linked, linked)
	}
}

// fullListener returns the address of a listener whose queue of connections is full, so
// that further ones are not answered.
func fullListener(t *testing.T) netip.AddrPort {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, syscall.Close(fd)) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	conn, err := net.Dial("tcp4", to.String())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, conn.Close()) })
	return to
}

package sock

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: a reader is stopped while packets wait in its socket.
func TestPacketsThatArrivedAreReadBeforeTheEnd(t *testing.T) {
	const packets = 50
	u, err := Listen("udp4", netip.MustParseAddrPort("127.0.0.1:0"), 1<<20)
	require.NoError(t, err)
	from, err := net.DialUDP("udp4", nil, u.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	defer from.Close()
	ctx, cancel := context.WithCancel(t.Context())
	first, goOn := make(chan struct{}), make(chan struct{})
	read := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = u.Serve(ctx, func() error {
			var b [16]byte
			if _, err := u.Read(b[:]); err != nil {
				return err
			}
			if read++; read == 1 {
				close(first)
				<-goOn
			}
			return nil
		})
	}()
	for range packets {
		_, err := from.Write([]byte("x"))
		require.NoError(t, err)
	}
	<-first
	cancel()
	time.Sleep(50 * time.Millisecond) // the end of the context is known
	close(goOn)
	<-done
	require.Equal(t, packets, read)
	require.NoError(t, u.Close())
}

// Load: nobody sends anything; the socket is closed, or the context ends.
func TestServeEnds(t *testing.T) {
	for _, closes := range []bool{true, false} {
		u, err := Listen("udp4", netip.MustParseAddrPort("127.0.0.1:0"), 1<<16)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		done := make(chan error)
		go func() {
			done <- u.Serve(ctx, func() error {
				var b [16]byte
				_, err := u.Read(b[:])
				return err
			})
		}()
		if closes {
			require.NoError(t, u.Close())
			require.NoError(t, <-done)
		} else {
			cancel()
			require.ErrorIs(t, <-done, context.Canceled)
		}
		require.NoError(t, u.Close())
		cancel()
	}
}

package sock

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against losing packets at a stop: the context ends while the reader
// handles the first packet and the others wait in the socket's buffer.
func TestServeDrainsReceivedPackets(t *testing.T) {
	const packets = 50
	u, err := Listen("udp4", netip.MustParseAddrPort("127.0.0.1:0"), 1<<20)
	require.NoError(t, err)
	sender, err := net.DialUDP("udp4", nil, u.LocalAddr().(*net.UDPAddr))
	require.NoError(t, err)
	defer sender.Close()
	ctx, cancel := context.WithCancel(t.Context())
	firstRead, resume := make(chan struct{}), make(chan struct{})
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
				close(firstRead)
				<-resume
			}
			return nil
		})
	}()
	for range packets {
		_, err := sender.Write([]byte("x"))
		require.NoError(t, err)
	}
	<-firstRead
	cancel()
	time.Sleep(50 * time.Millisecond) // lets Serve set its read deadline
	close(resume)
	<-done
	require.Equal(t, packets, read)
	require.NoError(t, u.Close())
}

// Guards against a reader that blocks forever: no packet arrives, and the socket
// is closed or the context ends.
func TestServeEndsWithoutPackets(t *testing.T) {
	for _, closeSocket := range []bool{true, false} {
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
		if closeSocket {
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

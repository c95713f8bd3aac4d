package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// newTestFlow returns a client's flow in a system with one daemon, whose packets the
// test receives on the returned socket.
func newTestFlow(t *testing.T) (*clientFlow, *net.UDPConn) {
	listen := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	daemonConn := listen()
	dc := &dataCentre{name: "a"}
	s := &System{checker: newChecker(time.Second), dataCentres: []*dataCentre{dc}}
	s.daemons = []*daemon{{dataCentre: dc, dataAddr: daemonConn.LocalAddr().(*net.UDPAddr).AddrPort()}}
	c := &client{sys: s, dataCentre: dc, conn: listen()}
	return &clientFlow{
		system: s, client: c, seq: 1000, ack: 5000, cookie: 1, route: &route{},
		tuple:    flow.Tuple{Client: [4]byte{127, 0, 0, 1}, ClientPort: 1025},
		received: make(chan platform.ReceivedPacket, 1),
	}, daemonConn
}

// A late packet of an earlier flow on the same addresses and ports doesn't change the
// cookie: the flow's next packets would name the earlier flow's target.
func TestLatePacketLeavesCookie(t *testing.T) {
	f, _ := newTestFlow(t)
	earlier := platform.ReceivedPacket{Segment: flow.Segment{Cookie: 2, Seq: 70}, Data: make([]byte, idSize)}
	done, _ := f.handleReceived(&earlier, 1)
	require.False(t, done)
	require.EqualValues(t, 1, f.cookie)
}

// A daemon that resets a flow after it forwarded its first packet says falsely that
// nothing has run.
func TestRefusalOfForwardedFlowIsFound(t *testing.T) {
	for _, c := range []struct {
		name      string
		forwarded bool
	}{{"forwarded", true}, {"not forwarded", false}} {
		t.Run(c.name, func(t *testing.T) {
			f, daemonConn := newTestFlow(t)
			x := &target{id: "i-01"}
			opened := make(chan bool)
			go func() { opened <- f.open() }()
			buf := make([]byte, 2048)
			n, _, err := daemonConn.ReadFromUDPAddrPort(buf)
			require.NoError(t, err)
			var s flow.Segment
			require.True(t, platform.Decode(buf[:n], &s))
			if c.forwarded {
				f.system.checker.recordTaken(x, openKey{s.Tuple, s.Seq}, false)
			}
			reset := platform.Reset(buf[:platform.MaxPacketSize], &s.Tuple, s.Ack)
			var p platform.ReceivedPacket
			require.True(t, platform.DecodeForClient(reset, &p))
			f.received <- p
			require.False(t, <-opened)
			require.Equal(t, c.forwarded, len(f.system.checker.violations) == 1)
			require.True(t, x.faults.stableAt(time.Now()))
		})
	}
}

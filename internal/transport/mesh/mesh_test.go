package mesh

import (
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/standin/issuer"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/pkg/schema"
)

// issue returns the files of a daemon's certificate.
func issue(t *testing.T, a *issuer.Issuer, name string, notAfter time.Time) certs.Files {
	f, err := a.Issue(name, notAfter)
	require.NoError(t, err)
	return f
}

func newIssuer(t *testing.T) *issuer.Issuer {
	a, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	return a
}

// openMesh opens a mesh and returns it, its registration and a channel that
// gets the sender of each received message.
func openMesh(t *testing.T, f certs.Files) (*Mesh, schema.Member, chan schema.VMID) {
	received := make(chan schema.VMID, 16)
	ignore := func() {}
	m, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), f, func(m *peer.Message) { received <- m.From }, Counters{
		Sent: func(int) {}, Received: func(int) {}, Dropped: ignore, Bad: ignore,
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.Close() })
	addr := m.transport.Conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return m, schema.Member{ID: "vm", DataCentre: "dc", Data: addr, Peer: addr}, received
}

// Guards against accepting messages over connections without a valid certificate
// of the configured authority.
func TestMutualTLS(t *testing.T) {
	a := newIssuer(t)
	valid := time.Now().Add(time.Hour)
	_, to, received := openMesh(t, issue(t, a, "one", valid))
	good, _, _ := openMesh(t, issue(t, a, "two", valid))
	foreign, _, _ := openMesh(t, issue(t, newIssuer(t), "stranger", valid))
	expired, _, _ := openMesh(t, issue(t, a, "old", time.Now().Add(-time.Hour)))
	plain, _, _ := openMesh(t, certs.Files{})
	bad := map[schema.VMID]*Mesh{"stranger": foreign, "expired": expired, "plain": plain}
	for from, m := range bad {
		m.Send(to, peer.Message{From: from, Pull: &peer.Pull{Since: 1}}, false)
	}
	good.Send(to, peer.Message{From: "good", Pull: &peer.Pull{Since: 1}}, false)
	require.Equal(t, schema.VMID("good"), <-received)
	for _, m := range bad {
		require.NoError(t, m.Close())
	}
	require.Empty(t, received, "only messages of the daemon with a valid certificate of the same authority are received")
}

func TestListenNamesMissingFile(t *testing.T) {
	files := issue(t, newIssuer(t), "one", time.Now().Add(time.Hour))
	files.Key = filepath.Join(t.TempDir(), "missing.key")
	_, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), files, nil, Counters{})
	require.ErrorContains(t, err, "missing.key")
}

package mesh

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/pkg/schema"
)

// authority signs certificates of daemons.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, a.key = a.sign("authority", a.cert, nil, nil)
	return a
}

// sign writes NAME.pem and NAME.key; a nil parent signs itself.
func (a *authority) sign(name string, template, parent *x509.Certificate, by *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	if parent == nil {
		parent, by = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, by)
	require.NoError(a.t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", private)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return cert, key
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	require.NoError(a.t, os.WriteFile(filepath.Join(a.dir, name), data, 0o600))
}

// files issues a daemon's certificate.
func (a *authority) files(name string) certs.Files {
	a.sign(name, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"coltsfootdock"},
	}, a.cert, a.key)
	return certs.Files{
		Certificate: filepath.Join(a.dir, name+".pem"),
		Key:         filepath.Join(a.dir, name+".key"),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

// open opens a mesh that passes the senders it hears to a channel.
func open(t *testing.T, f certs.Files) (*Mesh, schema.Member, chan schema.VMID) {
	heard := make(chan schema.VMID, 16)
	nothing := func() {}
	m, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), f, func(m *peer.Message) { heard <- m.From }, Counters{
		Sent: func(int) {}, Received: func(int) {}, Dropped: nothing, Bad: nothing,
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.Close() })
	addr := m.transport.Conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return m, schema.Member{ID: "vm", DataCentre: "dc", Data: addr, Peer: addr}, heard
}

func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	_, to, heard := open(t, a.files("one"))
	good, _, _ := open(t, a.files("two"))
	other, _, _ := open(t, newAuthority(t).files("stranger"))
	plain, _, _ := open(t, certs.Files{})
	for from, m := range map[schema.VMID]*Mesh{"stranger": other, "plain": plain} {
		m.Send(to, peer.Message{From: from, Pull: &peer.Pull{Since: 1}}, false)
	}
	good.Send(to, peer.Message{From: "good", Pull: &peer.Pull{Since: 1}}, false)
	require.Equal(t, schema.VMID("good"), <-heard)
	require.NoError(t, other.Close())
	require.NoError(t, plain.Close())
	require.Empty(t, heard, "only the daemon of the same authority is heard")
}

func TestBadFilesAreNamed(t *testing.T) {
	files := newAuthority(t).files("one")
	files.Key = filepath.Join(t.TempDir(), "missing.key")
	_, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), files, nil, Counters{})
	require.ErrorContains(t, err, "missing.key")
}

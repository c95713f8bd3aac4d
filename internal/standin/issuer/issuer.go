// Package issuer is a stand-in for a certificate authority: it issues files of
// certificates that are valid, expired or of another authority.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"coltsfootdock/internal/transport/certs"
)

// authorityName is the name of the authority's own files.
const authorityName = "authority"

// Issuer is an authority that keeps its files in a directory.
type Issuer struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New makes an authority with a key of its own.
func New(dir string) (*Issuer, error) {
	a := &Issuer{dir: dir}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-24 * time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	a.cert, a.key, err = a.sign(authorityName, template)
	return a, err
}

// Issue writes a certificate that ends at a time, with its key, and returns
// the files.
func (a *Issuer) Issue(name string, ends time.Time) (certs.Files, error) {
	_, _, err := a.sign(name, &x509.Certificate{
		NotBefore: time.Now().Add(-12 * time.Hour), NotAfter: ends,
		DNSNames: []string{"coltsfootdock"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	})
	return certs.Files{Certificate: a.file(name, "pem"), Key: a.file(name, "key"), Authority: a.file(authorityName, "pem")}, err
}

func (a *Issuer) file(name, kind string) string { return filepath.Join(a.dir, name+"."+kind) }

// sign writes a certificate and its key. The first one signs itself.
func (a *Issuer) sign(name string, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	parent, by := a.cert, a.key
	if parent == nil {
		parent, by = template, key
	}
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, by)
	if err != nil {
		return nil, nil, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	err = errors.Join(write(a.file(name, "pem"), "CERTIFICATE", der), write(a.file(name, "key"), "PRIVATE KEY", private))
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func write(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}

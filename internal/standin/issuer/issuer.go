// Package issuer is a stand-in for a certificate authority. Tests use it to issue
// certificate files that are valid, expired or signed by another authority.
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

// authorityName is the base name of the authority's own files.
const authorityName = "authority"

// Issuer is a certificate authority that writes its files to a directory.
type Issuer struct {
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// New creates an authority with a new key.
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

// Issue writes a certificate that expires at notAfter and its key, and returns the
// paths of the files.
func (a *Issuer) Issue(name string, notAfter time.Time) (certs.Files, error) {
	_, _, err := a.sign(name, &x509.Certificate{
		NotBefore: time.Now().Add(-12 * time.Hour), NotAfter: notAfter,
		DNSNames: []string{"coltsfootdock"}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	})
	return certs.Files{Certificate: a.file(name, "pem"), Key: a.file(name, "key"), Authority: a.file(authorityName, "pem")}, err
}

func (a *Issuer) file(name, extension string) string { return filepath.Join(a.dir, name+"."+extension) }

// sign writes a new key and its certificate. The first certificate is self-signed,
// the others are signed by the authority.
func (a *Issuer) sign(name string, template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	parent, signer := a.cert, a.key
	if parent == nil {
		parent, signer = template, key
	}
	a.serial++
	template.SerialNumber = big.NewInt(a.serial)
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
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

// write writes a PEM file.
func write(path, blockType string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600)
}

// Package certs makes TLS settings for connections between daemons and for
// stand-ins: from files, reloaded when they change, or self-signed.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("certs")
	// BadFile is the type of errors about a certificate or key file.
	BadFile = namespace.NewType("bad_file")
)

// SelfSigned returns a certificate of its own making that is valid for a
// year. It encrypts but proves nothing.
func SelfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, BadFile.Wrap(err, "key can't be made")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.AddDate(1, 0, 0),
		DNSNames:     []string{"coltsfootdock"},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, BadFile.Wrap(err, "certificate can't be made")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Files names a certificate, its key and the authority that peers must have.
type Files struct {
	Certificate, Key, Authority string
}

// Set reports whether files are named.
func (f Files) Set() bool {
	return f.Certificate != ""
}

// Pair is a certificate and key that is read again when a file changes.
type Pair struct {
	files Files
	mu    sync.Mutex
	stamp time.Time
	pair  *tls.Certificate
}

// Load reads the files once, so that a wrong file is found at start.
func Load(f Files) (*Pair, error) {
	p := &Pair{files: f}
	_, err := p.get()
	return p, err
}

func (p *Pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stamp, err := newest(p.files.Certificate, p.files.Key)
	if err == nil && p.pair != nil && stamp.Equal(p.stamp) {
		return p.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil && p.pair != nil {
		return p.pair, nil // a file is being replaced; the old pair still serves
	}
	if err != nil {
		return nil, BadFile.Wrap(err, "certificate %q with key %q", p.files.Certificate, p.files.Key)
	}
	p.pair, p.stamp = &pair, stamp
	return p.pair, nil
}

func newest(paths ...string) (time.Time, error) {
	var t time.Time
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return t, BadFile.Wrap(err, "file %q", path)
		}
		if info.ModTime().After(t) {
			t = info.ModTime()
		}
	}
	return t, nil
}

// Mutual returns server and client settings that demand a certificate of the
// authority on both sides.
func Mutual(f Files, protocol string) (server, client *tls.Config, err error) {
	p, err := Load(f)
	if err != nil {
		return nil, nil, err
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, BadFile.Wrap(err, "authority %q", f.Authority)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, BadFile.New("authority %q holds no certificate", f.Authority)
	}
	server = &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
		ClientCAs:      pool,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		NextProtos:     []string{protocol},
	}
	client = &tls.Config{
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return p.get() },
		RootCAs:              pool,
		ServerName:           "coltsfootdock",
		NextProtos:           []string{protocol},
	}
	return server, client, nil
}

// Plain returns server and client settings with a self-signed certificate
// that no side verifies.
func Plain(protocol string) (server, client *tls.Config, err error) {
	cert, err := SelfSigned()
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{protocol}}
	client = &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}}
	return server, client, nil
}

// Server returns settings of an HTTPS server.
func Server(f Files) (*tls.Config, error) {
	p, err := Load(f)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.get() },
		MinVersion:     tls.VersionTLS12,
	}, nil
}

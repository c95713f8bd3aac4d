// Package certs builds TLS configurations for connections between daemons, for
// the administration API and for stand-ins. Certificates come from files, which
// are reloaded when they change, or are self-signed.
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

// serverName is the DNS name that certificates of daemons carry.
const serverName = "coltsfootdock"

// SelfSigned returns a new self-signed certificate that is valid for a year. It
// allows encryption but doesn't authenticate the daemon.
func SelfSigned() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, BadFile.Wrap(err, "generating the key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.AddDate(1, 0, 0),
		DNSNames:     []string{serverName},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return tls.Certificate{}, BadFile.Wrap(err, "creating the certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// Files holds the paths of a certificate, its key and the authority that must
// have issued the peers' certificates.
type Files struct {
	Certificate, Key, Authority string
}

// Set reports whether a certificate file is set.
func (f Files) Set() bool {
	return f.Certificate != ""
}

// Pair is a certificate and its key, which are reloaded when a file changes.
type Pair struct {
	files Files
	mu    sync.Mutex
	// modified is the latest modification time of the files that pair is from.
	modified time.Time
	pair     *tls.Certificate
}

// Load reads the certificate and key, so that an invalid file is reported at
// startup.
func Load(f Files) (*Pair, error) {
	p := &Pair{files: f}
	_, err := p.get()
	return p, err
}

// get returns the current pair, reloaded if a file has changed.
func (p *Pair) get() (*tls.Certificate, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	modified, err := lastModified(p.files.Certificate, p.files.Key)
	if err == nil && p.pair != nil && modified.Equal(p.modified) {
		return p.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil && p.pair != nil {
		return p.pair, nil // the files may be half replaced: the old pair stays in use
	}
	if err != nil {
		return nil, BadFile.Wrap(err, "certificate %q with key %q", p.files.Certificate, p.files.Key)
	}
	p.pair, p.modified = &pair, modified
	return p.pair, nil
}

// lastModified returns the latest modification time of the files.
func lastModified(paths ...string) (time.Time, error) {
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

// Mutual returns server and client configurations for mutual TLS: both sides
// verify that the authority issued the peer's certificate.
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
		ServerName:           serverName,
		NextProtos:           []string{protocol},
	}
	return server, client, nil
}

// Unverified returns server and client configurations with a self-signed certificate
// that neither side verifies.
func Unverified(protocol string) (server, client *tls.Config, err error) {
	cert, err := SelfSigned()
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{protocol}}
	client = &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}}
	return server, client, nil
}

// Server returns the configuration of an HTTPS server.
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

package certs_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/standin/issuer"
	"coltsfootdock/internal/transport/certs"
)

// newClient returns an HTTPS client that trusts the authority in a file, or none
// if the path is empty.
func newClient(t *testing.T, authority string) *http.Client {
	pool := x509.NewCertPool()
	if authority != "" {
		pem, err := os.ReadFile(authority)
		require.NoError(t, err)
		require.True(t, pool.AppendCertsFromPEM(pem))
	}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
}

// serve runs an HTTPS server with the configuration that the administration API
// uses, and returns its URL.
func serve(t *testing.T, f certs.Files) string {
	cfg, err := certs.Server(f)
	require.NoError(t, err)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{TLSConfig: cfg, ReadHeaderTimeout: time.Second, ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.ServeTLS(l, "", "") // returns after Close
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return "https://" + l.Addr().String()
}

func TestServerCertificates(t *testing.T) {
	trusted, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	foreign, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	valid := time.Now().Add(time.Hour)
	good, err := trusted.Issue("good", valid)
	require.NoError(t, err)
	expired, err := trusted.Issue("expired", time.Now().Add(-time.Minute))
	require.NoError(t, err)
	stranger, err := foreign.Issue("stranger", valid)
	require.NoError(t, err)
	tests := []struct {
		name      string
		files     certs.Files
		authority string
		want      string
	}{
		{"valid", good, good.Authority, ""},
		{"expired", expired, good.Authority, "expired"},
		{"issued by another authority", stranger, good.Authority, "unknown authority"},
		{"client trusts no authority", good, "", "unknown authority"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := newClient(t, tt.authority).Get(serve(t, tt.files))
			if tt.want != "" {
				require.ErrorContains(t, err, tt.want)
				return
			}
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusNoContent, resp.StatusCode)
		})
	}
}

func TestServerNamesMissingFile(t *testing.T) {
	a, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	f, err := a.Issue("one", time.Now().Add(time.Hour))
	require.NoError(t, err)
	f.Certificate += ".none"
	_, err = certs.Server(f)
	require.ErrorContains(t, err, "one.pem.none")
}

// Guards against a server that keeps an outdated certificate or fails on an
// invalid one: the file is replaced while the server runs, first by a valid and
// then by an invalid certificate.
func TestServerReloadsCertificate(t *testing.T) {
	a, err := issuer.New(t.TempDir())
	require.NoError(t, err)
	f, err := a.Issue("one", time.Now().Add(time.Hour))
	require.NoError(t, err)
	url, c := serve(t, f), newClient(t, f.Authority)
	serial := func() string {
		resp, err := c.Get(url)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.TLS.PeerCertificates[0].SerialNumber.String()
	}
	first := serial()
	_, err = a.Issue("one", time.Now().Add(2*time.Hour))
	require.NoError(t, err)
	later := time.Now().Add(time.Minute) // the file system's timestamps may be coarse
	require.NoError(t, os.Chtimes(f.Certificate, later, later))
	second := serial()
	require.NotEqual(t, first, second)
	require.NoError(t, os.WriteFile(f.Certificate, []byte("broken"), 0o600))
	require.Equal(t, second, serial())
}

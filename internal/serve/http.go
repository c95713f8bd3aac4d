package serve

import (
	"context"
	"net/http"

	"coltsfootdock/internal/transport/certs"
)

// serveHTTP serves the administration API until ctx ends. It then waits up to
// stopTimeout for open requests.
func (d *Daemon) serveHTTP(ctx context.Context, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: stopTimeout}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(stopCtx)
	})
	defer stop()
	err := d.acceptHTTP(server)
	if ctx.Err() != nil {
		<-done
		return ctx.Err()
	}
	return err
}

// acceptHTTP serves on the API's listener, with TLS if it is configured.
func (d *Daemon) acceptHTTP(server *http.Server) error {
	if !d.cfg.AdminTLS.Set() {
		return server.Serve(d.api)
	}
	tlsConfig, err := certs.Server(d.cfg.AdminTLS)
	if err != nil {
		return err
	}
	server.TLSConfig = tlsConfig
	return server.ServeTLS(d.api, "", "")
}

package serve

import (
	"context"
	"net/http"

	"coltsfootdock/internal/transport/certs"
)

func (d *Daemon) serveHTTP(ctx context.Context, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: stopTimeout}
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		c, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = server.Shutdown(c)
	})
	defer stop()
	err := d.listenHTTP(server)
	if ctx.Err() != nil {
		<-done
		return ctx.Err()
	}
	return err
}

func (d *Daemon) listenHTTP(server *http.Server) error {
	if !d.cfg.AdminTLS.Set() {
		return server.Serve(d.admin)
	}
	tlsConfig, err := certs.Server(d.cfg.AdminTLS)
	if err != nil {
		return err
	}
	server.TLSConfig = tlsConfig
	return server.ServeTLS(d.admin, "", "")
}

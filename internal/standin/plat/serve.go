package plat

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// Server serves a platform on a TCP address.
type Server struct {
	*Platform
	listener net.Listener
}

// Listen opens a server with an empty platform on an address.
func Listen(addr string) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{Platform: New(), listener: l}, nil
}

// URL returns the base URL of the API.
func (s *Server) URL() string {
	return "http://" + s.listener.Addr().String()
}

// Serve answers calls until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	return ServeHTTP(ctx, s.listener, s.Platform)
}

// ServeHTTP answers calls on l until ctx ends.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

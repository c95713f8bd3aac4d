// Package duty provides the kinds of services that a process runs under a
// supervisor: periodic functions, queue consumers and HTTP servers.
package duty

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Duty is a named service for a suture supervisor.
type Duty struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (d Duty) Serve(ctx context.Context) error { return d.Run(ctx) }

// String implements fmt.Stringer.
func (d Duty) String() string { return d.Name }

// Every calls f once per interval, first after one interval, until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			f()
		}
	}
}

// Consume calls f for each value received from queue until ctx ends. Values that
// are still queued then are not handled.
func Consume[T any](ctx context.Context, queue chan T, f func(T)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-queue:
			f(v)
		}
	}
}

const (
	headerTimeout = time.Second
	idleTimeout   = 30 * time.Second
)

// HTTP returns a function for Duty.Run that serves h on l until ctx ends. It
// then closes the listener and all connections without waiting for requests.
func HTTP(l net.Listener, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.Serve(l)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
}

// CloseAll closes every element of list and joins the errors. net.ErrClosed,
// from an element that was closed already, is not an error.
func CloseAll(closers ...interface{ Close() error }) error {
	var errs error
	for _, c := range closers {
		if err := c.Close(); !errors.Is(err, net.ErrClosed) {
			errs = errors.Join(errs, err)
		}
	}
	return errs
}

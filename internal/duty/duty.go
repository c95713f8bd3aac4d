// Package duty holds the forms of a process's supervised duties.
package duty

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Duty is a supervised service with a name.
type Duty struct {
	Name string
	Run  func(context.Context) error
}

// Serve implements suture.Service.
func (d Duty) Serve(ctx context.Context) error { return d.Run(ctx) }

// String implements fmt.Stringer.
func (d Duty) String() string { return d.Name }

// Every calls f at each interval until ctx ends.
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

// Drain calls f for each value of a ring until ctx ends.
func Drain[T any](ctx context.Context, ring chan T, f func(T)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-ring:
			f(v)
		}
	}
}

const (
	headerTimeout = time.Second
	idleTimeout   = 30 * time.Second
)

// HTTP returns a run that serves a handler on a listener until ctx ends.
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

// CloseAll closes what is given and joins the errors; what is closed already
// is none.
func CloseAll(list ...interface{ Close() error }) error {
	var all error
	for _, c := range list {
		if err := c.Close(); !errors.Is(err, net.ErrClosed) {
			all = errors.Join(all, err)
		}
	}
	return all
}

// Package serve runs a daemon: it connects the decision core to sockets, the
// platform, the other daemons and the administration API.
//
// Packets, timer ticks, platform calls, probes, messages to daemons and the
// administration API are services under one supervisor. The core is a single
// state machine behind a mutex that is held for one event at a time. The core's
// requests go to the services through bounded queues. A request for a full queue
// is dropped and counted: reads, probes and heartbeats are repeated, and a lost
// write is planned again.
package serve

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/transport/admin"
	"coltsfootdock/internal/transport/mesh"
	"coltsfootdock/internal/transport/packet"
)

const (
	tickInterval   = 50 * time.Millisecond
	queueSize      = 256 // requests per queue
	probeWorkers   = 8
	stopTimeout    = 5 * time.Second // for open HTTP requests at a stop, and for reading request headers
	tokensInterval = 2 * time.Second // between checks of the tokens file
)

// Daemon is a running entry daemon.
type Daemon struct {
	cfg      setup.Settings
	log      *logrus.Entry
	clock    *clock.Clock
	mu       sync.Mutex // guards core
	core     *daemon.Machine
	platform *object.Client
	mesh     *mesh.Mesh
	data     *packet.Plane
	api      net.Listener
	metrics  *Metrics
	reads    chan daemon.Read
	writes   chan daemon.Write
	probes   chan daemon.Probe
	sends    chan daemon.Send
	leaving  chan struct{}
	// leaveOnce closes leaving, which starts a graceful stop.
	leaveOnce sync.Once
}

// Option configures a daemon.
type Option func(*Daemon)

// WithLogger replaces the logger that the settings describe.
func WithLogger(l *logrus.Logger) Option {
	return func(d *Daemon) { d.log = logrus.NewEntry(l) }
}

// New returns a daemon with its sockets open. Serve runs it.
func New(cfg setup.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		cfg:      cfg,
		log:      logrus.NewEntry(NewLogger(cfg.Log)),
		clock:    clock.New(),
		platform: object.NewClient(cfg.Platform),
		reads:    make(chan daemon.Read, queueSize),
		writes:   make(chan daemon.Write, queueSize),
		probes:   make(chan daemon.Probe, queueSize),
		sends:    make(chan daemon.Send, queueSize),
		leaving:  make(chan struct{}),
	}
	for _, o := range opts {
		o(d)
	}
	d.log = d.log.WithField("vm", string(cfg.ID))
	d.metrics = NewMetrics(d)
	d.core = daemon.New(d.clock.Now(), cfg.Member(), uint64(time.Now().UnixNano()),
		daemon.WithIdle(cfg.Idle()), daemon.WithRecords(cfg.MaxRecords), daemon.WithPeers(cfg.Members()))
	if err := d.open(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// NewLogger returns a logger with the given settings, which must be valid.
func NewLogger(cfg setup.Log) *logrus.Logger {
	l := logrus.New()
	if level, err := logrus.ParseLevel(cfg.Level); err == nil {
		l.SetLevel(level)
	}
	if cfg.Format == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l
}

// open opens the sockets. After an error the opened ones stay open for Close.
func (d *Daemon) open() error {
	var err error
	if d.data, err = packet.Listen(d.cfg.Data, d.decide, d.metrics.Packets()); err != nil {
		return err
	}
	if d.mesh, err = mesh.Listen(d.cfg.Peer, d.cfg.PeerTLS, d.onPeer, d.metrics.Mesh()); err != nil {
		return err
	}
	d.api, err = net.Listen("tcp", d.cfg.Admin.String())
	return err
}

// Close closes the sockets and waits for the goroutines that use them.
func (d *Daemon) Close() error {
	var err error
	if d.data != nil {
		err = errors.Join(err, d.data.Close())
	}
	if d.mesh != nil {
		err = errors.Join(err, d.mesh.Close())
	}
	if d.api != nil {
		if e := d.api.Close(); !errors.Is(e, net.ErrClosed) {
			err = errors.Join(err, e)
		}
	}
	d.platform.Close()
	return err
}

// Leave starts a graceful stop. Serve returns LeaveSeconds after the attempt to
// remove the registration; in this time the daemon hands over its records and the
// fabric removes the daemon from its list.
func (d *Daemon) Leave() {
	d.leaveOnce.Do(func() { close(d.leaving) })
}

// Serve runs the daemon until ctx ends or a graceful stop is done.
func (d *Daemon) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	api := admin.New(admin.Core{
		With:     d.With,
		Platform: d.platform,
		Now:      d.clock.Now,
		Metrics:  d.metrics.Write,
		PProf:    d.cfg.PProf,
	})
	if d.cfg.TokensFile != "" {
		if err := api.LoadTokens(d.cfg.TokensFile); err != nil {
			return errors.Join(err, d.Close())
		}
	}
	reloadTokens := func() {
		changed, err := api.ReloadTokens()
		switch {
		case err != nil:
			d.log.Warnf("admin: tokens file not reloaded, the current tokens stay in use: %s", err)
		case changed:
			d.log.Info("admin: tokens file reloaded")
		}
	}
	sup := suture.New("daemon", suture.Spec{EventHook: func(e suture.Event) {
		d.log.Warnf("supervisor: %s", e)
	}})
	sup.Add(duty.Duty{Name: "packets", Run: d.data.Serve})
	sup.Add(duty.Duty{Name: "time", Run: d.runTicks})
	sup.Add(duty.Duty{Name: "reader", Run: d.runReads})
	sup.Add(duty.Duty{Name: "writer", Run: d.runWrites})
	sup.Add(duty.Duty{Name: "register", Run: d.register})
	sup.Add(duty.Duty{Name: "sender", Run: d.runSends})
	for range probeWorkers {
		sup.Add(duty.Duty{Name: "probes", Run: d.runProbes})
	}
	sup.Add(duty.Duty{Name: "tokens", Run: func(ctx context.Context) error { return duty.Every(ctx, tokensInterval, reloadTokens) }})
	sup.Add(duty.Duty{Name: "admin", Run: func(ctx context.Context) error { return d.serveHTTP(ctx, api) }})
	go d.awaitLeave(ctx, cancel)
	d.log.Infof("daemon: serves packets on %s", d.cfg.Data)
	err := sup.Serve(ctx)
	err = errors.Join(err, d.Close())
	d.log.Info("daemon: stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Package serve runs a daemon: it joins the decision core to sockets, the
// platform, the other daemons and the operators.
//
// Each duty is a service under one supervisor: packets, time, platform calls,
// probes, the mesh and the administration API. The core is a
// single state machine behind one lock that is held for one event at a time;
// what it asks for goes to the duties through bounded rings. A full ring
// drops the request and counts it: reads, probes and heartbeats repeat, and
// a write that is lost is planned again.
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
	tickEvery    = 50 * time.Millisecond
	ringSize     = 256
	probeWorkers = 8
	stopTimeout  = 5 * time.Second
	// tokensEvery is the time between two looks at the tokens file.
	tokensEvery = 2 * time.Second
)

// Daemon is a running entry daemon.
type Daemon struct {
	cfg      setup.Settings
	log      *logrus.Entry
	clock    *clock.Clock
	mu       sync.Mutex
	core     *daemon.Machine
	platform *object.Client
	mesh     *mesh.Mesh
	data     *packet.Plane
	admin    net.Listener
	metrics  *Metrics
	reads    chan daemon.Read
	writes   chan daemon.Write
	probes   chan daemon.Probe
	sends    chan daemon.Send
	leaving  chan struct{}
	once     sync.Once
}

// Option changes how a daemon runs.
type Option func(*Daemon)

// WithLogger sets the logger.
func WithLogger(l *logrus.Logger) Option {
	return func(d *Daemon) { d.log = logrus.NewEntry(l) }
}

// New opens the daemon's sockets. The daemon runs once Serve is called.
func New(cfg setup.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{
		cfg:      cfg,
		log:      logrus.NewEntry(NewLogger(cfg.Log)),
		clock:    clock.New(),
		platform: object.NewClient(cfg.Platform),
		reads:    make(chan daemon.Read, ringSize),
		writes:   make(chan daemon.Write, ringSize),
		probes:   make(chan daemon.Probe, ringSize),
		sends:    make(chan daemon.Send, ringSize),
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

// NewLogger returns a logger with the given settings, which are valid.
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

func (d *Daemon) open() error {
	var err error
	if d.data, err = packet.Listen(d.cfg.Data, d.decide, d.metrics.Packets()); err != nil {
		return err
	}
	if d.mesh, err = mesh.Listen(d.cfg.Peer, d.cfg.PeerTLS, d.onPeer, d.metrics.Mesh()); err != nil {
		return err
	}
	d.admin, err = net.Listen("tcp", d.cfg.Admin.String())
	return err
}

// Close frees the sockets and waits for their users.
func (d *Daemon) Close() error {
	var err error
	if d.data != nil {
		err = errors.Join(err, d.data.Close())
	}
	if d.mesh != nil {
		err = errors.Join(err, d.mesh.Close())
	}
	if d.admin != nil {
		if e := d.admin.Close(); !errors.Is(e, net.ErrClosed) {
			err = errors.Join(err, e)
		}
	}
	d.platform.Close()
	return err
}

// Leave starts a graceful stop. Serve returns when the daemon has handed over
// its records and the fabric had time to take it off its list.
func (d *Daemon) Leave() {
	d.once.Do(func() { close(d.leaving) })
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
	watchTokens := func() {
		changed, err := api.ReloadTokens()
		switch {
		case err != nil:
			d.log.Warnf("admin: tokens kept as they were: %s", err)
		case changed:
			d.log.Info("admin: tokens read again")
		}
	}
	sup := suture.New("daemon", suture.Spec{EventHook: func(e suture.Event) {
		d.log.Warnf("supervisor: %s", e)
	}})
	sup.Add(duty.Duty{Name: "packets", Run: d.data.Serve})
	sup.Add(duty.Duty{Name: "time", Run: d.tick})
	sup.Add(duty.Duty{Name: "reader", Run: d.readLoop})
	sup.Add(duty.Duty{Name: "writer", Run: d.writeLoop})
	sup.Add(duty.Duty{Name: "register", Run: d.register})
	sup.Add(duty.Duty{Name: "sender", Run: d.sendLoop})
	for range probeWorkers {
		sup.Add(duty.Duty{Name: "probes", Run: d.probeLoop})
	}
	sup.Add(duty.Duty{Name: "tokens", Run: func(ctx context.Context) error { return duty.Every(ctx, tokensEvery, watchTokens) }})
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

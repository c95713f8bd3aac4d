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
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/transport/admin"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/internal/transport/mesh"
	"coltsfootdock/internal/transport/packet"
	"coltsfootdock/internal/transport/probe"
	"coltsfootdock/pkg/schema"
)

const (
	tickEvery    = 50 * time.Millisecond
	ringSize     = 256
	probeWorkers = 8
	stopTimeout  = 5 * time.Second
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
	sup := suture.New("daemon", suture.Spec{EventHook: func(e suture.Event) {
		d.log.Warnf("supervisor: %s", e)
	}})
	sup.Add(service{"packets", d.data.Serve})
	sup.Add(service{"time", d.tick})
	sup.Add(service{"reader", d.readLoop})
	sup.Add(service{"writer", d.writeLoop})
	sup.Add(service{"register", d.register})
	sup.Add(service{"sender", d.sendLoop})
	for range probeWorkers {
		sup.Add(service{"probes", d.probeLoop})
	}
	sup.Add(service{"admin", func(ctx context.Context) error { return d.serveHTTP(ctx, api) }})
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

// service gives a duty a name in the supervisor's log.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String implements fmt.Stringer.
func (s service) String() string { return s.name }

// With runs f with the core locked.
func (d *Daemon) With(f func(now clock.Milli, m *daemon.Machine)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.clock.Now(), d.core)
}

// event runs one event of the core and passes on what it asks for.
func (d *Daemon) event(f func(now clock.Milli, m *daemon.Machine) daemon.Output) {
	d.mu.Lock()
	out := f(d.clock.Now(), d.core)
	d.mu.Unlock()
	for _, r := range out.Reads {
		push(d, d.reads, r, "reads")
	}
	for _, w := range out.Writes {
		push(d, d.writes, w, "writes")
	}
	for _, p := range out.Probes {
		push(d, d.probes, p, "probes")
	}
	for _, s := range out.Sends {
		push(d, d.sends, s, "sends")
	}
}

func push[T any](d *Daemon, ring chan T, v T, name string) {
	select {
	case ring <- v:
	default:
		d.metrics.RingFull(name)
	}
}

func (d *Daemon) tick(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output { return m.Tick(now) })
		}
	}
}

func (d *Daemon) onPeer(msg *peer.Message) {
	d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output { return m.Peer(now, msg) })
}

// drain calls f for each value of a ring until ctx ends.
func drain[T any](ctx context.Context, ring chan T, f func(T)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case v := <-ring:
			f(v)
		}
	}
}

func (d *Daemon) sendLoop(ctx context.Context) error {
	return drain(ctx, d.sends, func(s daemon.Send) {
		d.mesh.Send(s.To, s.Message, s.Datagram)
	})
}

func (d *Daemon) readLoop(ctx context.Context) error {
	return drain(ctx, d.reads, func(r daemon.Read) {
		began := d.clock.Now()
		l, err := d.platform.Changes(ctx, r.Since)
		d.metrics.PlatformCall("read", err)
		list := &l
		if err != nil {
			d.log.Debugf("platform: read failed: %s", err)
			list = nil
		}
		d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output {
			return m.ReadDone(now, began, r.Since, list)
		})
	})
}

func (d *Daemon) writeLoop(ctx context.Context) error {
	return drain(ctx, d.writes, func(w daemon.Write) {
		v, err := d.write(ctx, w)
		d.metrics.PlatformCall("write", err)
		if err != nil {
			d.log.Infof("planner: %s %s not written: %s", w.ID.Kind, w.ID.Name, err)
		} else {
			d.log.Infof("planner: %s %s is version %d", w.ID.Kind, w.ID.Name, v)
		}
		d.event(func(_ clock.Milli, m *daemon.Machine) daemon.Output {
			m.Written()
			return daemon.Output{}
		})
	})
}

func (d *Daemon) write(ctx context.Context, w daemon.Write) (schema.Version, error) {
	if w.Data == nil {
		return d.platform.Delete(ctx, w.ID, w.Expect)
	}
	return d.platform.Put(ctx, w.ID, w.Expect, w.Data)
}

func (d *Daemon) probeLoop(ctx context.Context) error {
	p := probe.New()
	defer p.Close()
	return drain(ctx, d.probes, func(q daemon.Probe) {
		r := p.Probe(ctx, q.Handle, q.Target)
		d.event(func(now clock.Milli, m *daemon.Machine) daemon.Output {
			m.ProbeDone(now, r)
			return daemon.Output{}
		})
	})
}

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

// awaitLeave ends the daemon when a graceful stop is done.
func (d *Daemon) awaitLeave(ctx context.Context, stop func()) {
	defer stop()
	select {
	case <-ctx.Done():
		return
	case <-d.leaving:
	}
	d.log.Info("daemon: leaves")
	d.With(func(_ clock.Milli, m *daemon.Machine) { m.Leave() })
	d.unregister(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(d.cfg.LeaveSeconds) * time.Second):
	}
}

const (
	registerEvery = time.Second
	registerTries = 3
)

// register keeps the daemon's registration on the platform.
func (d *Daemon) register(ctx context.Context) error {
	t := time.NewTicker(registerEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.leaving:
			<-ctx.Done()
			return ctx.Err()
		case <-t.C:
		}
		if d.registered() {
			continue
		}
		if err := d.putMember(ctx); err != nil {
			d.log.Debugf("platform: not registered: %s", err)
		}
	}
}

// registered reports whether the view shows this daemon's registration.
func (d *Daemon) registered() bool {
	found := false
	d.With(func(_ clock.Milli, m *daemon.Machine) {
		for _, p := range m.View().Members() {
			found = found || *p == d.cfg.Member()
		}
	})
	return found
}

func (d *Daemon) memberID() object.ID {
	return object.ID{Kind: object.Member, Name: string(d.cfg.ID)}
}

func (d *Daemon) putMember(ctx context.Context) error {
	o, err := d.platform.Get(ctx, d.memberID())
	if err != nil {
		return err
	}
	member := d.cfg.Member()
	if old, err := schema.Decode[schema.Member](o.Data); o.Version != 0 && err == nil && *old == member {
		return nil
	}
	_, err = d.platform.Put(ctx, d.memberID(), o.Version, mustJSON(member))
	return err
}

// unregister removes the registration, so that the fabric stops sending. The
// stop goes on if the platform does not answer: the list is only a hint.
func (d *Daemon) unregister(ctx context.Context) {
	for range registerTries {
		o, err := d.platform.Get(ctx, d.memberID())
		if err == nil && o.Version != 0 {
			_, err = d.platform.Delete(ctx, d.memberID(), o.Version)
		}
		if err == nil {
			return
		}
		d.log.Debugf("platform: registration not removed: %s", err)
	}
}

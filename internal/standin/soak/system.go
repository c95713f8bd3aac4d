// Package soak plays a deployment on the loopback interface for a while: the
// daemons are real processes, the store, the targets, the clients and the
// fabric are stand-ins of this process that speak the users' forms. Faults
// strike at random from a seed, and a judge checks the promises while they do.
//
// Clients, daemons and targets have addresses of their own in 127.0.0.0/8, so
// that all use the same ports, as on the users' platform.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

const (
	packetPort = 8172
	targetPort = 8080
	peerPort   = 7720
	readyPort  = 8167
	beatEvery  = 1200 * time.Millisecond
	probeEvery = 500 * time.Millisecond
)

var targetsKind, configKind, outsKind = platform.KindName(int(fleet.Targets)), platform.KindName(int(fleet.Config)), platform.KindName(int(fleet.Outs))

// Options are the settings of a soak.
type Options struct {
	// Daemon is the program to run, Dir a directory for settings and logs.
	Daemon string
	Dir    string
	Seed   uint64
	// For is how long faults strike; the soak goes on a little longer.
	For     time.Duration
	Daemons int
	Targets int
	Clients int
	// Slot tells soaks apart that run beside each other: 0 to 40.
	Slot int
}

// host returns the n-th address of a role: clients 0, daemons 1, targets 2.
func (o *Options) host(role, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + 3*o.Slot + role), byte(n / 250), byte(n%250 + 1)})
}

// route is a service address.
type route struct {
	name string
	addr netip.AddrPort
	pool string
	once bool
	mu   sync.Mutex
	off  time.Time
}

func (r *route) removed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.off
}

func (r *route) gone() bool { return !r.removed().IsZero() }

// daemon is one process of the system.
type daemon struct {
	id    string
	n     int
	zone  *zone
	host  netip.Addr
	data  netip.AddrPort
	store *turnstile
	calm  calm
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	ready bool
	miss  int
	loss  float64
	log   *os.File
}

// manner is how the store treats a daemon.
type manner int32

const (
	serves manner = iota
	refuses
	keepsSilent
	resets
)

// turnstile is the store as one daemon sees it.
type turnstile struct {
	listener net.Listener
	manner   atomic.Int32
}

func (t *turnstile) set(m manner) { t.manner.Store(int32(m)) }

// pass reports whether a call goes on to the store, or treats it badly.
func (t *turnstile) pass(w http.ResponseWriter, r *http.Request) bool {
	switch manner(t.manner.Load()) {
	case refuses:
		http.Error(w, "turned away", http.StatusServiceUnavailable)
	case keepsSilent:
		<-r.Context().Done()
	case resets:
		panic(http.ErrAbortHandler) // the server's way to break a connection off
	default:
		return true
	}
	return false
}

// System is a running soak.
type System struct {
	opts    Options
	judge   *judge
	store   *plat.Platform
	wg      sync.WaitGroup
	mu      sync.Mutex
	rngMu   sync.Mutex
	rng     *rand.Rand
	zones   []*zone
	daemons []*daemon
	targets []*target
	clients []*client
	routes  []*route
	version float64
	ids     atomic.Uint64
	down    atomic.Bool
	// unruly is set while the fabric repeats, delays and reorders packets, targets
	// answer a second time late, and clients use ports again at once.
	unruly   atomic.Bool
	injected map[string]int
	timers   sync.WaitGroup
	ctx      context.Context
}

// rand returns a random number. It has a lock of its own, as callers hold
// those of targets, which are taken after the system's.
func (s *System) rand() uint64 {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.Uint64()
}

// sleep waits for a random number of milliseconds.
func (s *System) sleep(low, high uint64) {
	time.Sleep(time.Duration(low+s.rand()%(high-low)) * time.Millisecond)
}

// upTo returns a random time of up to n milliseconds.
func (s *System) upTo(n uint64) time.Duration {
	return time.Duration(s.rand()%n) * time.Millisecond
}

func (s *System) nextID() uint64 { return s.ids.Add(1) }

func (s *System) storeDown() bool { return s.down.Load() }

// after runs f later, unless the soak ends before.
func (s *System) after(d time.Duration, f func()) {
	s.timers.Go(func() {
		select {
		case <-time.After(d):
		case <-s.ctx.Done():
		}
		f()
	})
}

func (s *System) daemonAt(a netip.Addr) *daemon {
	for _, d := range s.daemons {
		if d.host == a.Unmap() {
			return d
		}
	}
	return nil
}

func (s *System) targetAt(a netip.AddrPort) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.addr.Addr() == a.Addr().Unmap() {
			return t
		}
	}
	return nil
}

func (s *System) routeAt(a netip.AddrPort) *route {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routes {
		if r.addr == a {
			return r
		}
	}
	return nil
}

// someRoute returns one of the routes that stay.
func (s *System) someRoute() *route { return s.routes[s.rand()%3] }

// choose returns the daemon that the fabric hands a packet to: by the flow's
// hash, of those of the zone that are in rotation, else of all.
func (s *System) choose(z *zone, t *flow.Tuple) *daemon {
	var in, all []*daemon
	for _, d := range s.daemons {
		if d.zone == z {
			all = append(all, d)
			if d.inRotation() {
				in = append(in, d)
			}
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	d := in[t.Hash()%uint64(len(in))]
	d.mu.Lock()
	loss := d.loss
	d.mu.Unlock()
	if loss > 0 && float64(s.rand()%1000)/1000 < loss {
		return nil
	}
	return d
}

func (d *daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// build makes the stand-ins and starts the daemons.
func (s *System) build() error {
	for i := range 3 {
		s.zones = append(s.zones, &zone{name: fmt.Sprintf("dc-%c", 'a'+i)})
	}
	s.store = plat.New()
	s.store.Expire(targetsKind, 3*beatEvery)
	for i, r := range []struct {
		name, pool string
		once       bool
	}{{"edit", "desk", true}, {"watch", "desk", false}, {"sheet", "proof", false}} {
		s.routes = append(s.routes, &route{name: r.name, pool: r.pool, once: r.once, addr: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.1:%d", 8000+i))})
	}
	s.writeTable()
	for i := range s.opts.Targets {
		if err := s.addTarget(i); err != nil {
			return err
		}
	}
	for i := range s.opts.Clients {
		c, err := newClient(s, i, s.zones[i%3])
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	for i := range s.opts.Daemons {
		if err := s.addDaemon(i); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) addTarget(n int) error {
	pool := "desk"
	if n%4 == 3 {
		pool = "proof"
	}
	t, err := newTarget(s, n, pool, s.zones[n%3])
	if err != nil {
		return err
	}
	t.calm.last = time.Now()
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	t.beat()
	return nil
}

// writeTable writes the configuration, as an operator does.
func (s *System) writeTable() {
	s.mu.Lock()
	s.version++
	table := platform.TableSpec{Version: s.version}
	for _, r := range s.routes {
		if !r.gone() {
			port := fmt.Sprint(r.addr.Port())
			table.Routes = append(table.Routes, platform.RouteEntry(r.name, r.addr.Addr().String(), port, r.pool, !r.once))
		}
	}
	table.Services = []platform.ServiceSpec{{Name: "desk", MaxConns: 2000}, {Name: "proof", MaxConns: 2000}}
	s.mu.Unlock()
	s.store.Put(configKind, "main", table)
}

func (s *System) addDaemon(n int) error {
	host := s.opts.host(1, n)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d := &daemon{
		id: fmt.Sprintf("vm-%d", n), n: n, zone: s.zones[n%3], host: host,
		data: netip.AddrPortFrom(host, packetPort), store: &turnstile{listener: l},
	}
	d.log, err = os.Create(filepath.Join(s.opts.Dir, d.id+".log"))
	if err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	s.wg.Go(func() {
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.store.pass(w, r) {
				s.store.ServeHTTP(w, r)
			}
		})}
		stop := context.AfterFunc(s.ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(l)
	})
	return nil
}

// settings returns the settings of a daemon. One of its seeds is stale.
func (s *System) settings(d *daemon) *setup.Entry {
	return &setup.Entry{
		ID:         schema.VMID(d.id),
		DataCentre: schema.DataCentreID(d.zone.name),
		Data:       d.data,
		Ready:      netip.AddrPortFrom(d.host, readyPort),
		Peer:       netip.AddrPortFrom(d.host, peerPort),
		Store:      d.store.listener.Addr().(*net.TCPAddr).AddrPort(),
		Seeds:      []netip.Addr{s.opts.host(1, 0), s.opts.host(1, 1), s.opts.host(1, 99)},
		Bounds: setup.Bounds{
			Apply:    clock.FromDuration(applyBound),
			Drain:    clock.FromDuration(drainBound),
			Out:      clock.FromDuration(outBound),
			Grace:    6 * clock.Second,
			FlowLife: clock.Minute,
		},
	}
}

// start runs a daemon's process.
func (s *System) start(d *daemon) error {
	path := filepath.Join(s.opts.Dir, d.id+".toml")
	text, err := platform.PackSettings(s.settings(d))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(s.opts.Daemon, "entry", "--config", path)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if d.n%2 == 1 { // a small VM
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOMEMLIMIT=32MiB")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	s.wg.Go(func() {
		_ = cmd.Wait() // how it ended is seen by who ended it
		close(ended)
	})
	return nil
}

// signal sends a signal to a daemon's process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(sig) // it may have ended
	}
}

// stop ends a daemon's process with a signal and waits for it.
func (d *daemon) stop(sig syscall.Signal) {
	d.signal(sig)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(8 * time.Second):
		d.signal(syscall.SIGKILL)
		<-ended
	}
}

// probe asks the daemons' ready endpoints, as the platform does.
func (s *System) probe(stop <-chan struct{}) {
	c := &http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, d := range s.daemons {
			s.timers.Go(func() {
				resp, err := c.Get(fmt.Sprintf("http://%s:%d%s", d.host, readyPort, platform.ReadyPath))
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if ok {
					d.ready, d.miss = true, 0
				} else if d.miss++; d.miss >= 2 {
					d.ready = false
				}
			})
		}
		select {
		case <-stop:
			return
		case <-time.After(probeEvery):
		}
	}
}

// beats writes the targets' heartbeats and removes entries that expired.
func (s *System) beats(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		list := append([]*target(nil), s.targets...)
		s.mu.Unlock()
		for _, t := range list {
			t.beat()
		}
		s.store.Sweep()
		select {
		case <-stop:
			return
		case <-time.After(beatEvery):
		}
	}
}

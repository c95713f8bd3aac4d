// Package soak runs a simulated deployment on the loopback interface. The daemons
// are real processes; the store, the targets, the clients and the fabric are
// stand-ins in this process that use the real wire formats. Faults are injected
// at random from a seed while a checker verifies the system's guarantees.
//
// Clients, daemons and targets have their own addresses in 127.0.0.0/8, so that
// all of them use the same ports as on the platform.
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
	"slices"
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
	packetPort        = 8172
	targetPort        = 8080
	peerPort          = 7720
	readyPort         = 8167
	heartbeatInterval = 1200 * time.Millisecond
	probeInterval     = 500 * time.Millisecond
	// maxMissedProbes is the number of failed probes in a row that take a daemon
	// out of rotation.
	maxMissedProbes = 2
	// stopTimeout is how long a daemon may take to exit after a signal.
	stopTimeout = 8 * time.Second

	dataCentreCount = 3
	// permanentRoutes is the number of routes that are never removed. They are the
	// first of the system's routes.
	permanentRoutes = 3
	// staleSeed is an index beyond all daemons.
	staleSeed = 99
)

var targetsKind, configKind, outsKind = platform.TopicKind(int(fleet.Targets)), platform.TopicKind(int(fleet.Config)), platform.TopicKind(int(fleet.Outs))

// Options are the settings of a soak test.
type Options struct {
	// Daemon is the path of the daemon program.
	Daemon string
	// Dir is the directory for the daemons' settings and logs.
	Dir string
	// Seed determines the random faults.
	Seed uint64
	// For is how long faults are injected. Fault-free periods before and after
	// come in addition.
	For time.Duration
	// Bound is the time within which drains and versions must be in force; zero if the
	// seed selects it.
	Bound   time.Duration
	Daemons int
	Targets int
	Clients int
	// KeptFlows is the number of flows that each client keeps open until their targets
	// have gone, with pauses of seconds.
	KeptFlows int
	// Faults are parts of the names of the faults to inject; all if it is empty.
	Faults []string
	// WithoutOutages leaves out the faults that strike inside an outage of the store, if
	// Faults is empty, so that a seed draws what it did before there were any.
	WithoutOutages bool
	// Slot selects the address range, so that soak tests can run concurrently: 0
	// to 40.
	Slot int
	// Reading is the index in readings of what the store does where its protocol
	// leaves it open; negative if the seed selects it.
	Reading int
}

// Roles of hosts, part of their addresses.
const (
	roleClient = iota
	roleDaemon
	roleTarget
	roles // number of roles
)

// host returns the n-th address of a role.
func (o *Options) host(role, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(1 + roles*o.Slot + role), byte(n / 250), byte(n%250 + 1)})
}

// daemon is a daemon process.
type daemon struct {
	id         string
	index      int
	dataCentre *dataCentre
	host       netip.Addr
	dataAddr   netip.AddrPort
	storeProxy *storeProxy
	faults     faultTracker
	// cuts are the times in which packets to the daemon are lost.
	cuts faultTracker
	mu   sync.Mutex
	cmd  *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// ready is the result of the readiness probes, missedProbes the number of
	// probes that failed since the last success.
	ready        bool
	missedProbes int
	// packetLoss is the probability that a packet to the daemon is lost.
	packetLoss float64
	// effects are the versions of the configuration whose effects targets saw
	// through the current process.
	effects []effect
	log     *os.File
}

// System is a running soak test.
type System struct {
	opts    Options
	checker *checker
	store   *plat.Platform
	wg      sync.WaitGroup
	mu      sync.Mutex
	rngMu   sync.Mutex
	rng     *rand.Rand
	// faultRNG selects the faults.
	faultRNG      *rand.Rand
	dataCentres   []*dataCentre
	daemons       []*daemon
	targets       []*target
	clients       []*client
	routes        []*route
	version       float64
	lastRequestID atomic.Uint64
	// heartbeatsBlocked is set while the store is unavailable, so that targets
	// write no heartbeats.
	heartbeatsBlocked atomic.Bool
	// tableMu is held while the configuration is written, so that its versions
	// follow each other in the store.
	tableMu sync.Mutex
	// packetDisorder is set while the fabric duplicates, delays and reorders
	// packets, targets repeat answers late, and clients reuse ports immediately.
	packetDisorder atomic.Bool
	// disorderEnded is when that last ended, in Unix milliseconds.
	disorderEnded atomic.Int64
	injected      map[string]int
	timers        sync.WaitGroup
	ctx           context.Context
}

// rand returns a random number. It has its own lock because callers may hold a
// target's lock, which is taken after the system's.
func (s *System) rand() uint64 {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.Uint64()
}

// sleepBetween waits for a random time of at least low and below high
// milliseconds.
func (s *System) sleepBetween(low, high uint64) {
	time.Sleep(time.Duration(low+s.rand()%(high-low)) * time.Millisecond)
}

// randomDelay returns a random duration below limit milliseconds.
func (s *System) randomDelay(limit uint64) time.Duration {
	return time.Duration(s.rand()%limit) * time.Millisecond
}

func (s *System) nextRequestID() uint64 { return s.lastRequestID.Add(1) }

func (s *System) heartbeatsAreBlocked() bool { return s.heartbeatsBlocked.Load() }

// after runs f after d, or as soon as the soak test ends.
func (s *System) after(d time.Duration, f func()) {
	s.timers.Go(func() {
		select {
		case <-time.After(d):
		case <-s.ctx.Done():
		}
		f()
	})
}

// maxPacketDelay is how long packets are delayed at most during packet disorder.
const maxPacketDelay = 2500 * time.Millisecond

// mayDeliverLate reports whether a packet that arrives now may be a delayed copy.
func (s *System) mayDeliverLate() bool {
	return s.packetDisorder.Load() || time.Since(time.UnixMilli(s.disorderEnded.Load())) <= maxPacketDelay+boundTolerance
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
	for _, t := range slices.Backward(s.targets) { // the last one at an address is there now
		if t.addr.Addr() == a.Addr().Unmap() {
			return t
		}
	}
	return nil
}

// chooseDaemon returns the daemon to which the fabric sends a packet, or nil if
// the packet is lost. It selects by the flow's hash among the data centre's daemons
// in rotation, or among all of its daemons if fewer than half are in rotation.
func (s *System) chooseDaemon(dc *dataCentre, t *flow.Tuple) *daemon {
	var in, all []*daemon
	for _, d := range s.daemons {
		if d.dataCentre == dc {
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
	loss := d.packetLoss
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

// build creates the stand-ins and starts the daemons.
func (s *System) build() error {
	for i := range dataCentreCount {
		s.dataCentres = append(s.dataCentres, &dataCentre{name: fmt.Sprintf("dc-%c", 'a'+i)})
	}
	s.store = plat.New()
	s.store.SetReading(readings[s.opts.Reading].reading)
	s.store.Expire(targetsKind, 3*heartbeatInterval)
	for i, r := range []struct {
		name, pool    string
		nonIdempotent bool
	}{{"edit", "desk", true}, {"watch", "desk", false}, {"sheet", "proof", false}} {
		s.routes = append(s.routes, &route{name: r.name, pool: r.pool, nonIdempotent: r.nonIdempotent, addr: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.1:%d", 8000+i))})
	}
	s.writeTable(nil, nil, nil)
	for i := range s.opts.Targets {
		if err := s.addTarget(i); err != nil {
			return err
		}
	}
	for i := range s.opts.Clients {
		c, err := newClient(s, i, s.dataCentres[i%dataCentreCount])
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

// addTarget starts the n-th target at its own address.
func (s *System) addTarget(n int) error {
	pool := "desk"
	if n%4 == 3 {
		pool = "proof"
	}
	return s.addTargetAt(n, pool, netip.AddrPortFrom(s.opts.host(roleTarget, n), targetPort))
}

// addTargetAt starts the n-th target at an address that may have been another target's.
func (s *System) addTargetAt(n int, pool string, addr netip.AddrPort) error {
	t, err := newTarget(s, n, pool, s.dataCentres[n%dataCentreCount], addr)
	if err != nil {
		return err
	}
	t.faults.lastEnd = time.Now()
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.mu.Unlock()
	t.writeHeartbeat()
	return nil
}

func (s *System) addDaemon(n int) error {
	host := s.opts.host(roleDaemon, n)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d := &daemon{
		id: fmt.Sprintf("vm-%d", n), index: n, dataCentre: s.dataCentres[n%dataCentreCount], host: host,
		dataAddr: netip.AddrPortFrom(host, packetPort), storeProxy: &storeProxy{listener: l},
	}
	d.log, err = os.Create(filepath.Join(s.opts.Dir, d.id+".log"))
	if err != nil {
		return err
	}
	s.daemons = append(s.daemons, d)
	s.wg.Go(func() {
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.storeProxy.forward(w, r) {
				s.store.ServeHTTP(w, r)
			}
		})}
		stop := context.AfterFunc(s.ctx, func() { _ = server.Close() })
		defer stop()
		_ = server.Serve(l)
	})
	return nil
}

// settings returns the settings of a daemon. One of its seeds is stale: no daemon
// has that address.
func (s *System) settings(d *daemon) *setup.Entry {
	return &setup.Entry{
		ID:         schema.VMID(d.id),
		DataCentre: schema.DataCentreID(d.dataCentre.name),
		Data:       d.dataAddr,
		Ready:      netip.AddrPortFrom(d.host, readyPort),
		Peer:       netip.AddrPortFrom(d.host, peerPort),
		Store:      d.storeProxy.listener.Addr().(*net.TCPAddr).AddrPort(),
		Seeds:      []netip.Addr{s.opts.host(roleDaemon, 0), s.opts.host(roleDaemon, 1), s.opts.host(roleDaemon, staleSeed)},
		Bounds: setup.Bounds{
			Apply:    clock.FromDuration(s.opts.Bound),
			Drain:    clock.FromDuration(s.opts.Bound),
			Out:      clock.FromDuration(outBound),
			Grace:    6 * clock.Second,
			FlowLife: clock.Minute,
		},
	}
}

// start starts a daemon's process.
func (s *System) start(d *daemon) error {
	path := filepath.Join(s.opts.Dir, d.id+".toml")
	text, err := platform.MarshalSettings(s.settings(d))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(s.opts.Daemon, "entry", "--config", path)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if d.index%2 == 1 { // simulates a small VM
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOMEMLIMIT=32MiB")
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.effects = cmd, exited, nil
	d.mu.Unlock()
	s.wg.Go(func() {
		_ = cmd.Wait() // faults end the process with a signal, so the status says nothing
		close(exited)
	})
	return nil
}

// signal sends a signal to a daemon's process.
func (d *daemon) signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(sig) // the process may have exited
	}
}

// stop sends a signal to a daemon's process and waits until it exits. It kills
// the process if that takes longer than stopTimeout.
func (d *daemon) stop(sig syscall.Signal) {
	d.signal(sig)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		d.signal(syscall.SIGKILL)
		<-exited
	}
}

// probeReadiness probes the daemons' ready endpoints as the platform does: a
// daemon leaves rotation after maxMissedProbes failures in a row.
func (s *System) probeReadiness(stop <-chan struct{}) {
	c := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
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
					d.ready, d.missedProbes = true, 0
				} else if d.missedProbes++; d.missedProbes >= maxMissedProbes {
					d.ready = false
				}
			})
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// writeHeartbeats writes the targets' heartbeats and removes expired entries from
// the store.
func (s *System) writeHeartbeats(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		list := append([]*target(nil), s.targets...)
		s.mu.Unlock()
		for _, t := range list {
			t.writeHeartbeat()
		}
		s.store.Sweep()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

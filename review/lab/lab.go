//go:build review

// Command lab runs the cases of the review. It starts entry daemons as separate
// processes with the command of the deploy file, and plays the platform's store,
// routers, clients and backends on loopback addresses.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// Kinds of the platform's store.
const (
	kindServers = "servers"
	kindConfig  = "config"
)

// Times of the platform's pages.
const (
	heartbeat     = 1200 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	stableWindow  = 4 * time.Second
	flowTTL       = 60 * time.Second
	idleTimeout   = 15 * time.Second
	graceTime     = 6 * time.Second
)

// Roles of loopback addresses, the third byte.
const (
	roleStore = iota
	roleDaemon
	roleBackend
	roleClient
)

// route is a route of the manifest.
type route struct {
	name, service string
	kind          string
	addr          netip.AddrPort
}

// service is a service of the manifest.
type service struct {
	name       string
	maxConns   int
	warmup     time.Duration
	warmupPerS float64
}

// lab is one run of a case.
type lab struct {
	rec     *recorder
	dir     string
	net     byte
	data    uint16
	ready   uint16
	control uint16
	peer    uint16
	backend uint16

	store     *plat.Platform
	storeAddr netip.AddrPort
	rawValue  []byte
	seedFrom  int
	zones     []string
	daemons   []*daemon
	services  []service
	routes    []*route

	mu       sync.Mutex
	backends []*backend
	hosts    []*clientHost
	nextID   uint64
	stop     chan struct{}
	cancel   context.CancelFunc
}

// daemon is one entry daemon and what the router knows of it.
type daemon struct {
	host     netip.Addr
	zone     string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}

	mu     sync.Mutex
	ready  bool
	misses int
	since  time.Time
}

func (l *lab) host(role, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.net, byte(role), byte(n + 1)})
}

// freePort returns a port that is free for TCP and UDP on a loopback address.
func freePort(a netip.Addr) (uint16, error) {
	for range 50 {
		t, err := net.Listen("tcp4", netip.AddrPortFrom(a, 0).String())
		if err != nil {
			return 0, err
		}
		port := uint16(t.Addr().(*net.TCPAddr).Port)
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, port)))
		_ = t.Close()
		if err == nil {
			_ = u.Close()
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

// claimNet picks a range of loopback addresses that no other run uses: the run that
// listens on the metrics port of its first address has it, until it ends.
func (l *lab) claimNet() error {
	for i := range 128 {
		l.net = byte(64 + (os.Getpid()+i)%128)
		if _, err := net.Listen("tcp4", netip.AddrPortFrom(l.host(roleStore, 0), 9464).String()); err == nil {
			return nil
		}
	}
	return errors.New("no free range of loopback addresses")
}

// newLab starts the store. It opens no daemon.
func newLab(rec *recorder, zones []string) (*lab, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l := &lab{rec: rec, dir: dir, zones: zones, stop: make(chan struct{})}
	if err := l.claimNet(); err != nil {
		return nil, err
	}
	for _, p := range []*uint16{&l.data, &l.ready, &l.control, &l.peer, &l.backend} {
		if *p, err = freePort(l.host(roleStore, 0)); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.host(roleStore, 0), 0).String())
	if err != nil {
		return nil, err
	}
	l.store = plat.New()
	l.storeAddr = listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go func() { _ = plat.ServeHTTP(ctx, listener, http.HandlerFunc(l.serveStore)) }()
	return l, nil
}

// rawMark stands in the project's store for a value that its encoder refuses.
const rawMark = `"raw value of another writer"`

// serveStore answers a call of the store, with rawValue in the place of rawMark.
func (l *lab) serveStore(w http.ResponseWriter, r *http.Request) {
	if l.rawValue == nil {
		l.store.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(bytes.ReplaceAll(answer.Body.Bytes(), []byte(rawMark), l.rawValue))
}

// writeManifest writes the manifest to the store.
func (l *lab) writeManifest(version int) {
	var routes, services []map[string]any
	for _, r := range l.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "hostname": r.addr.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.addr.Port()),
			"routeType": r.kind, "timeoutMs": 4000, "targetLatencyMs": 250, "priority": 2, "service": r.service, "maxAttempts": 2,
		})
	}
	for _, s := range l.services {
		services = append(services, map[string]any{
			"name": s.name, "healthPath": "/healthz", "maxConns": s.maxConns, "protocol": "h1", "tls": false,
			"warmupS": s.warmup.Seconds(), "warmupPerS": s.warmupPerS,
		})
	}
	l.store.Put(kindConfig, "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	})
	l.rec.logf("manifest: version %d, %d routes, %d services", version, len(routes), len(services))
}

// startDaemons starts n daemons, in turn in the zones. Seeds are the three from
// seedFrom on.
func (l *lab) startDaemons(n int) error {
	for i := range n {
		d := &daemon{host: l.host(roleDaemon, i), zone: l.zones[i%len(l.zones)]}
		d.settings = filepath.Join(l.dir, fmt.Sprintf("boot-%d.toml", i))
		var seeds []string
		for j := l.seedFrom; j < l.seedFrom+min(3, n); j++ {
			seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(l.host(roleDaemon, j), l.control).String()))
		}
		text := fmt.Sprintf(`nodeName = "front-%s-%d"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "%s"
zone = "%s"
region = "north"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = true
heartbeatMs = %d
ecmpHash = "mod"
forwardingMode = "echo"
[bindAddrs]
datagramAddr = "%s"
ready = "%s"
control = "%s"
[limits]
cpuShare = 0.4
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = %d
ackMs = 5000
catchupS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeMs = 250
maxSkewMs = 12000
warmupOverage = 1.5
warmupTolerance = 5
evacuateMs = 5000
recoveryS = 12
reorderWindowMs = 2000
flowTtlS = 60
[platform]
address = "%s"
forwardingMode = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`, d.zone, i+1, d.host, d.zone, l.peer, l.peer+1, strings.Join(seeds, ","), heartbeat.Milliseconds(),
			netip.AddrPortFrom(d.host, l.data), netip.AddrPortFrom(d.host, l.ready), netip.AddrPortFrom(d.host, l.control),
			stableWindow.Milliseconds(), l.storeAddr)
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		l.daemons = append(l.daemons, d)
		if err := l.start(d); err != nil {
			return err
		}
	}
	go l.probeReadiness()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		if l.readyCount() == n {
			l.rec.logf("daemons: %d ready", n)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%d of %d daemons are ready after 10 s", l.readyCount(), n)
}

// restartAll kills all daemons, starts them again and records how many are ready
// after recoveryS.
func (l *lab) restartAll() error {
	for _, d := range l.daemons {
		_ = d.cmd.Process.Kill()
		<-d.exited
	}
	time.Sleep(1500 * time.Millisecond) // the router notices
	l.rec.logf("all daemons are killed; %d are ready", l.readyCount())
	for _, d := range l.daemons {
		if err := l.start(d); err != nil {
			return err
		}
	}
	time.Sleep(12 * time.Second)
	l.rec.say("12 s after all daemons were killed and started again %d of %d are ready", l.readyCount(), len(l.daemons))
	return nil
}

func (l *lab) readyCount() int {
	n := 0
	for _, d := range l.daemons {
		d.mu.Lock()
		if d.ready {
			n++
		}
		d.mu.Unlock()
	}
	return n
}

// start runs the command of the deploy file.
func (l *lab) start(d *daemon) error {
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/coltsfootdock", "entry", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), platform.SettingsVariable + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.exited, d.since = cmd, exited, time.Now()
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the status is in the log
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// probeReadiness plays the platform's probes: two misses put a daemon out of
// rotation.
func (l *lab) probeReadiness() {
	c := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, d := range l.daemons {
			go func() {
				ok := false
				if resp, err := c.Get("http://" + netip.AddrPortFrom(d.host, l.ready).String() + platform.ReadyPath); err == nil {
					ok = resp.StatusCode == http.StatusOK
					_ = resp.Body.Close()
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if ok {
					d.ready, d.misses = true, 0
				} else if d.misses++; d.misses >= 2 {
					d.ready = false
				}
			}()
		}
		select {
		case <-l.stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

// daemonFor plays the router of a zone: it hashes the flow over the daemons of the
// zone that are in rotation; over all of the zone's if fewer than half are; over
// those of all zones if none is.
func (l *lab) daemonFor(zone string, t *flow.Tuple) *daemon {
	var all, ready, elsewhere []*daemon
	for _, d := range l.daemons {
		d.mu.Lock()
		in := d.ready
		d.mu.Unlock()
		switch {
		case d.zone != zone && in:
			elsewhere = append(elsewhere, d)
		case d.zone == zone:
			all = append(all, d)
			if in {
				ready = append(ready, d)
			}
		}
	}
	list := ready
	if 2*len(ready) < len(all) {
		list = all
	}
	if len(ready) == 0 && len(elsewhere) > 0 {
		list = elsewhere
	}
	if len(list) == 0 {
		return nil
	}
	return list[t.Hash()%uint64(len(list))]
}

// close ends all processes that the run started.
func (l *lab) close() {
	close(l.stop)
	for _, d := range l.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(graceTime)
	for _, d := range l.daemons {
		select {
		case <-d.exited:
		case <-deadline:
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	l.cancel()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// daemonsAlive reports whether no daemon's process has ended.
func (l *lab) daemonsAlive() bool {
	for _, d := range l.daemons {
		select {
		case <-d.exited:
			return false
		default:
		}
	}
	return true
}

func (l *lab) newID() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	return l.nextID
}

// backendAt returns the backend with an address.
func (l *lab) backendAt(a netip.Addr) *backend {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.backends {
		if b.addr.Addr() == a {
			return b
		}
	}
	return nil
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now()}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func randomSeq() uint32 { return rand.Uint32() }

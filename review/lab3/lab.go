//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment's figures, those of a small one: 14 backends with four slots, and a flow
// for each request.
const (
	service      = "booking"
	concurrency  = 4
	requestSize  = 100
	responseSize = 600
	routeTimeout = 4 * time.Second
	heartbeat    = 1200 * time.Millisecond
	// pause is the time between the requests of a flow.
	pause       = 20 * time.Millisecond
	probePeriod = 500 * time.Millisecond
)

var (
	zones    = []string{"ee-north-a", "ee-north-b", "ee-north-c"}
	routeEnd = end{addr: [4]byte{127, 50, 0, 1}, port: 443}
	// errBroken is that of a run in which a rule was broken.
	errBroken = errors.New("the rule was broken")
)

// lab is one run of a case.
type lab struct {
	store    *store
	backends []*backend
	daemons  []*daemon
	clients  *clients
	dataPort uint16
	// warmup and warmupPerS are those of the service.
	warmup     time.Duration
	warmupPerS float64
	// work is the time that a request takes.
	work time.Duration

	dir   string
	out   *os.File
	began time.Time
	// base is the second octet of the addresses of this run.
	base byte

	mu    sync.Mutex
	sent  map[end]time.Time
	inUse map[string][]*daemon
	// ready is the number of daemons in rotation.
	ready    int
	stopping chan struct{}
	// listeners are those of the store, by kind of address.
	listeners map[int][]net.Listener
}

// daemon is a daemon's process.
type daemon struct {
	name  string
	zone  string
	ip    netip.Addr
	data  netip.AddrPort
	ready netip.AddrPort
	cmd   *exec.Cmd
	seeds string
	ports *ports
	// misses is the number of failed readiness checks in a row.
	misses int
	in     bool
}

// ports are free on all addresses of a run.
type ports struct{ data, ready, control, peer, store, backend uint16 }

// metricsPort is that of the deploy file.
const metricsPort = 9464

func runCase(run func(*lab, bool) error, out string, trouble bool) (err error) {
	f, err := os.Create(out)
	if err != nil {
		return err
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "lab3")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	l := &lab{
		store: newStore(), dir: dir, out: f, began: time.Now(),
		sent: make(map[end]time.Time), inUse: make(map[string][]*daemon), stopping: make(chan struct{}), listeners: make(map[int][]net.Listener),
	}
	defer l.stop()
	go l.endEarly()
	l.record("trouble=%t", trouble)
	err = run(l, trouble)
	l.record("result: %v", err)
	return err
}

// maxTime is the longest time that a run may take.
const maxTime = 110 * time.Second

// endEarly ends the run after a signal or maxTime.
func (l *lab) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	case <-l.stopping:
		return
	}
	l.record("ended early")
	for _, d := range l.daemons {
		_ = d.cmd.Process.Kill()
	}
	_ = os.RemoveAll(l.dir)
	os.Exit(2)
}

// record writes a line to the record.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) noteSent(client end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[client] = time.Now()
}

// sentAt returns when a client sent its first packet.
func (l *lab) sentAt(client end) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent[client]
}

// addr returns an address of this run: kind 1 for daemons, 2 for backends,
// 3 for clients, 4 and 5 for the store.
func (l *lab) addr(kind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, l.base, byte(kind), byte(n + 1)})
}

// choosePorts picks the addresses of this run and ports that are free at all of them.
func (l *lab) choosePorts(daemons, backends, hosts int) (*ports, error) {
	for range 50 {
		l.base = byte(60 + rand.IntN(60))
		first := uint16(20000 + rand.IntN(10000))
		p := &ports{first, first + 1, first + 2, first + 3, first + 5, first + 6}
		free := true
		check := func(a netip.Addr, list ...uint16) {
			for _, port := range list {
				u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a, port)))
				if err != nil {
					free = false
					return
				}
				_ = u.Close()
				t, err := net.Listen("tcp4", netip.AddrPortFrom(a, port).String())
				if err != nil {
					free = false
					return
				}
				_ = t.Close()
			}
		}
		for i := range daemons {
			check(l.addr(1, i), p.data, p.ready, p.control, p.peer, metricsPort)
			check(l.addr(4, i), p.store)
			check(l.addr(5, i), p.store)
		}
		for i := range backends {
			check(l.addr(2, i), p.backend)
		}
		for i := range hosts {
			check(l.addr(3, i), p.data)
		}
		if free {
			return p, nil
		}
	}
	return nil, errors.New("no free ports")
}

// setUp starts the store, the backends, the daemons, the routers and the clients.
func (l *lab) setUp(daemons, backends, hosts int) error {
	p, err := l.choosePorts(daemons, backends, hosts)
	if err != nil {
		return err
	}
	l.dataPort = p.data
	if err := l.openStore(4, daemons, p.store); err != nil {
		return err
	}
	l.store.put("config", "main", l.manifest())
	for i := range backends {
		b := newBackend(l, i, zones[i%len(zones)], netip.AddrPortFrom(l.addr(2, i), p.backend))
		if err := b.start(false); err != nil {
			return err
		}
		l.backends = append(l.backends, b)
	}
	go l.beat()
	var seeds []string
	for i := range min(3, daemons) {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(l.addr(1, i), p.control)))
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: l.addr(1, i)}
		d.data, d.ready = netip.AddrPortFrom(d.ip, p.data), netip.AddrPortFrom(d.ip, p.ready)
		d.seeds, d.ports = strings.Join(seeds, ","), p
		if err := l.writeSettings(d, netip.AddrPortFrom(l.addr(4, i), p.store)); err != nil {
			return err
		}
		if err := l.startDaemon(d); err != nil {
			return err
		}
		l.daemons = append(l.daemons, d)
	}
	go l.checkReady()
	c := &clients{lab: l}
	for i := range hosts {
		h := &clientHost{addr: l.addr(3, i), zone: zones[i%len(zones)], flows: make(map[uint16]*clientFlow), port: uint16(2000 + rand.IntN(30000))}
		if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.addr, p.data))); err != nil {
			return err
		}
		_ = h.conn.SetReadBuffer(1 << 20)
		go h.receive()
		c.hosts = append(c.hosts, h)
	}
	l.clients = c
	return l.awaitReady()
}

// manifest returns the operator's manifest.
func (l *lab) manifest() any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": netip.AddrFrom4(routeEnd.addr).String(), "pathPrefix": fmt.Sprintf("/%d/", routeEnd.port),
			"routeType": "idempotent", "timeoutMs": routeTimeout.Milliseconds(), "targetLatencyMs": 250, "priority": 2, "service": service, "maxAttempts": 2,
		}},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConns": 2000, "protocol": "h1", "tls": false,
			"warmupS": l.warmup.Seconds(), "warmupPerS": l.warmupPerS,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

const settings = `nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "ee-north"
internalPortRange = [%d,%d]
seeds = [%s]
bootstrap = true
failureCounted = false
discovery = "platform"
entry = "announce"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
ecmpHash = "mod"
forwardingMode = "echo"
[zones]
ee-north-a = "ee-north"
ee-north-b = "ee-north"
ee-north-c = "ee-north"
[bindAddrs]
datagramAddr = %q
ready = %q
control = %q
[limits]
cpuShare = 0.4
cpuSpeedFactor = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 4000
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
address = %q
forwardingMode = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
maxValueBytes = 1048576
minTtlMs = 1000
`

// Figures of RULES.md, as in the settings.
const (
	warmupOverage   = 1.5
	warmupTolerance = 5
	drainBound      = 3 * time.Second
)

// openStore opens the store at the addresses of a kind. It has one for each daemon, which
// tells the callers apart.
func (l *lab) openStore(kind, daemons int, port uint16) error {
	for i := range daemons {
		listener, err := net.Listen("tcp4", netip.AddrPortFrom(l.addr(kind, i), port).String())
		if err != nil {
			return err
		}
		l.listeners[kind] = append(l.listeners[kind], listener)
		go l.store.serve(listener, i)
	}
	return nil
}

// settingsFile returns the path of a daemon's settings.
func (l *lab) settingsFile(d *daemon) string { return filepath.Join(l.dir, d.name+".toml") }

// writeSettings writes a daemon's settings with an address of the store. The file is
// replaced at once, never seen in part.
func (l *lab) writeSettings(d *daemon, store netip.AddrPort) error {
	p, file := d.ports, l.settingsFile(d)
	text := fmt.Sprintf(settings, d.name, d.ip, d.zone, p.peer, p.peer+1, d.seeds, d.data, d.ready, netip.AddrPortFrom(d.ip, p.control), store)
	if err := os.WriteFile(file+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(file+".new", file)
}

// startDaemon starts a daemon with the command of the deploy file.
func (l *lab) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(l.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command("target/coltsfootdock", "entry", "--metrics-port", fmt.Sprint(metricsPort), "--policy", "deploy/policy.toml")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "COLTSFOOTDOCK_CONFIG=" + l.settingsFile(d)}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	return d.cmd.Start()
}

// kill kills the daemon's process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
	_ = d.cmd.Wait()
}

// beat writes the entries of the backends again each heartbeat.
func (l *lab) beat() {
	t := time.NewTicker(heartbeat / 2)
	defer t.Stop()
	for {
		select {
		case <-l.stopping:
			return
		case <-t.C:
			l.mu.Lock()
			list := l.backends
			l.mu.Unlock()
			for _, b := range list {
				b.register()
			}
		}
	}
}

// checkReady keeps the list of the daemons in rotation, as the platform does.
func (l *lab) checkReady() {
	client := &http.Client{Timeout: probePeriod}
	for {
		select {
		case <-l.stopping:
			return
		case <-time.After(probePeriod):
		}
		var wg sync.WaitGroup
		for _, d := range l.daemons {
			wg.Go(func() {
				resp, err := client.Get("http://" + d.ready.String() + "/coltsfootdock/readyz")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				switch {
				case ok:
					d.misses, d.in = 0, true
				default:
					if d.misses++; d.misses >= 2 {
						d.in = false
					}
				}
			})
		}
		wg.Wait()
		ready := 0
		inUse, all := make(map[string][]*daemon), make(map[string][]*daemon)
		for _, d := range l.daemons {
			all[d.zone] = append(all[d.zone], d)
			if d.in {
				ready++
				inUse[d.zone] = append(inUse[d.zone], d)
			}
		}
		for z, list := range all {
			if 2*len(inUse[z]) < len(list) {
				inUse[z] = list
			}
		}
		l.mu.Lock()
		l.inUse, l.ready = inUse, ready
		l.mu.Unlock()
	}
}

// rotation returns the daemons that get the packets of a zone's clients.
func (l *lab) rotation(zone string) []*daemon {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inUse[zone]
}

// awaitReady waits until all daemons are in rotation.
func (l *lab) awaitReady() error {
	for range 150 {
		l.mu.Lock()
		ready := l.ready
		l.mu.Unlock()
		if ready == len(l.daemons) {
			l.record("%d daemons are in rotation", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not all daemons became ready")
}

// stop ends all processes.
func (l *lab) stop() {
	close(l.stopping)
	for _, d := range l.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			d.kill()
		}
	}
}

//go:build review

package main

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	serviceName  = "huvo11a"
	otherService = "wuno96b"
	readyPath    = "/coltsfootdock/readyz"
)

var zones = []string{"tw-north-a", "tw-north-b", "tw-north-c"}

// daemon is one machine of the class front and the entry process on it.
type daemon struct {
	name  string
	zone  string
	ip    netip.Addr
	dir   string
	cmd   *exec.Cmd
	ended chan struct{}
	// inRotation and misses are the routers' state of the daemon.
	inRotation bool
	misses     int
}

// lab is a small deployment on loopback addresses.
type lab struct {
	// prefix is the second byte of all addresses.
	prefix   byte
	port     uint16
	dir      string
	store    *store
	seeds    []netip.Addr
	service  netip.AddrPort
	began    time.Time
	record   *os.File
	recordMu sync.Mutex

	mu       sync.Mutex
	daemons  []*daemon
	backends []*backend
	clients  []*client
	requests []*request
	// synSent holds when the copies of the opening packets were sent.
	synSent map[synKey]time.Time
	// maxConns holds the numbers of flows that the backends of services hold, by name.
	maxConns map[string]int
}

// synKey names a copy of a flow's opening packet.
type synKey struct {
	flow   flowKey
	copies uint32
}

// request is what became of one request.
type request struct {
	flow     flowKey
	sent     time.Time
	runs     []requestRun
	answered time.Time
	// wrong is set if the answer was that to another request.
	wrong bool
}

// requestRun is one run of a request.
type requestRun struct {
	at      time.Time
	backend string
}

// newLab returns a lab with a store and no machines.
func newLab(record string) (*lab, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab2-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		dir: dir, record: f, began: time.Now(), synSent: make(map[synKey]time.Time),
		service: netip.MustParseAddrPort("198.18.0.1:8080"),
	}
	for range 20 { // until the addresses are free
		l.prefix, l.port = byte(20+rand.IntN(200)), uint16(20000+rand.IntN(10000))
		if l.store, err = newStore(netip.AddrPortFrom(l.ip(200, 7), l.port+1).String()); err == nil {
			l.store.logf = l.logf
			return l, nil
		}
	}
	return nil, err
}

// ip returns an address of the lab.
func (l *lab) ip(c, d byte) netip.Addr { return netip.AddrFrom4([4]byte{127, l.prefix, c, d}) }

// logf writes a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.record, "%8.3f s  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, d := range l.daemons {
		l.kill(d)
	}
	for _, b := range l.backends {
		b.crash()
	}
	l.store.close()
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

// addDaemon adds a machine without starting its process.
func (l *lab) addDaemon(zone string) *daemon {
	n := len(l.daemons)
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: l.ip(1, byte(10+n))}
	d.dir = filepath.Join(l.dir, d.name)
	l.mu.Lock()
	l.daemons = append(l.daemons, d)
	l.mu.Unlock()
	return d
}

// settings returns the settings file of a daemon, with the bounds of a small deployment.
func (l *lab) settings(d *daemon) string {
	var seeds []string
	for _, s := range l.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(s, l.port+2)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName = %q\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\",\"control\"]\nip = %q\nzone = %q\nregion = \"tw-north\"\n", d.name, d.ip, d.zone)
	fmt.Fprintf(&b, "internalPortRange = [%d,%d]\nseeds = [%s]\nbootstrap = false\nfailureCounted = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeatMs = 1200\n", l.port+3, l.port+18, strings.Join(seeds, ","))
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\",\"platform\"]\necmpHash = \"mod\"\nforwardingMode = \"echo\"\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"tw-north\"\n", z)
	}
	fmt.Fprintf(&b, "[bindAddrs]\ndatagramAddr = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n", d.ip, l.port, d.ip, l.port+1, d.ip, l.port+2)
	b.WriteString("[limits]\ncpuShare = 0.4\ncpuSpeedFactor = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0\n")
	b.WriteString("[bounds]\nseedLagS = 3\naddrReuseS = 2\nstableWindowMs = 4000\nackMs = 5000\ncatchupS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\ndowngradeMs = 250\nmaxSkewMs = 12000\nwarmupOverage = 1.5\nwarmupTolerance = 5\nevacuateMs = 5000\nrecoveryS = 12\nreorderWindowMs = 2000\nflowTtlS = 60\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nforwardingMode = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nmaxValueBytes = 1048576\nminTtlMs = 1000\n", l.store.addr)
	return b.String()
}

// start starts the entry process of a machine by the command of the deploy file.
func (l *lab) start(d *daemon) error {
	if err := os.MkdirAll(d.dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(d.dir, "boot.toml")
	if err := os.WriteFile(path, []byte(l.settings(d)), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/coltsfootdock", "entry", "--metrics-port", "9464", "--policy", "deploy/policy.toml")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COLTSFOOTDOCK_CONFIG=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	d.cmd, d.ended = cmd, ended
	l.logf("daemon %s starts", d.name)
	return nil
}

// kill ends the process of a machine at once.
func (l *lab) kill(d *daemon) {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.ended
	d.cmd = nil
}

// endedAlone reports whether a process that should run has ended.
func (d *daemon) endedAlone() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// daemonLog returns the lines of a daemon's log that contain any of the texts.
func (d *daemon) daemonLog(texts ...string) []string {
	data, _ := os.ReadFile(filepath.Join(d.dir, "log.txt"))
	var list []string
	for _, line := range strings.Split(string(data), "\n") {
		for _, t := range texts {
			if strings.Contains(line, t) {
				list = append(list, line)
				break
			}
		}
	}
	return list
}

// runRouters checks the daemons twice a second, as the platform does.
func (l *lab) runRouters(stop chan struct{}) {
	c := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var wg sync.WaitGroup
		l.mu.Lock()
		list := append([]*daemon(nil), l.daemons...)
		l.mu.Unlock()
		for _, d := range list {
			wg.Go(func() {
				resp, err := c.Get(fmt.Sprintf("http://%s:%d%s", d.ip, l.port+1, readyPath))
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				l.mu.Lock()
				defer l.mu.Unlock()
				was := d.inRotation
				if ok {
					d.inRotation, d.misses = true, 0
				} else if d.misses++; d.misses >= 2 {
					d.inRotation = false
				}
				if was != d.inRotation {
					l.logf("routers: %s in rotation: %t", d.name, d.inRotation)
				}
			})
		}
		wg.Wait()
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

// daemonFor returns the daemon that gets a flow's packets now, by a hash modulo the daemons in
// rotation.
func (l *lab) daemonFor(zone string, k flowKey) (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.rotation(zone)
	for _, z := range zones {
		if len(list) == 0 {
			list = l.rotation(z)
		}
	}
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	h := fnv.New64a()
	_, _ = h.Write(k.client[:])
	_, _ = h.Write(k.service[:])
	var ports [4]byte
	binary.BigEndian.PutUint16(ports[:], k.clientPort)
	binary.BigEndian.PutUint16(ports[2:], k.servicePort)
	_, _ = h.Write(ports[:])
	return netip.AddrPortFrom(list[(h.Sum64()>>7)%uint64(len(list))].ip, l.port), true
}

// rotation returns the daemons of a zone that get packets. The caller holds l.mu.
func (l *lab) rotation(zone string) []*daemon {
	var in, all []*daemon
	for _, d := range l.daemons {
		if d.zone == zone {
			all = append(all, d)
			if d.inRotation {
				in = append(in, d)
			}
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

// readyCount returns the number of daemons in rotation.
func (l *lab) readyCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, d := range l.daemons {
		if d.inRotation {
			n++
		}
	}
	return n
}

// awaitReady waits until n daemons are in rotation.
func (l *lab) awaitReady(n int, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l.readyCount() >= n {
			return nil
		}
	}
	return errors.New("the daemons did not become ready")
}

// addBackend adds a backend and starts it.
func (l *lab) addBackend(service, zone string, workMs, maxFlows int) (*backend, error) {
	n := len(l.backends)
	number := uint64(0x7f3a9100 + n)
	b := &backend{
		lab: l, id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone,
		addr: netip.AddrPortFrom(l.ip(128, byte(10+n)), l.port+1), workMs: workMs, maxFlows: maxFlows,
	}
	l.backends = append(l.backends, b)
	return b, b.start(0)
}

// route is a route of a manifest: the address that clients call and the service.
type route struct {
	address netip.AddrPort
	service string
	class   string
}

// putConfig writes a manifest with one route.
func (l *lab) putConfig(version int, class string, warmupS, warmupPerS float64) {
	l.putManifest(version, warmupS, warmupPerS, route{l.service, serviceName, class})
}

// putRoutes writes a manifest with routes to the usual service and returns when it was
// acknowledged.
func (l *lab) putRoutes(version int, addresses ...netip.AddrPort) time.Time {
	var list []route
	for _, a := range addresses {
		list = append(list, route{a, serviceName, "idempotent"})
	}
	return l.putManifest(version, 2, 0, list...)
}

// putManifest writes a manifest and returns when it was acknowledged. The services'
// backends hold l.maxConns flows each, by name, or 2,000.
func (l *lab) putManifest(version int, warmupS, warmupPerS float64, routes ...route) time.Time {
	list := make([]map[string]any, 0, len(routes))
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-a3hw%d", r.address.Port()), "hostname": r.address.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", r.address.Port()), "routeType": r.class,
			"timeoutMs": 5000, "targetLatencyMs": 300, "priority": 1, "service": r.service, "maxAttempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{serviceName, otherService} {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": cmp.Or(l.maxConns[name], 2000), "protocol": "h1", "tls": false, "warmupS": warmupS, "warmupPerS": warmupPerS})
	}
	return l.store.put("config", "main", map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// newRequest returns the id of a new request on a flow.
func (l *lab) newRequest(k flowKey) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, &request{flow: k, sent: time.Now()})
	return len(l.requests)
}

// ran records that a backend began to work on a request.
func (l *lab) ran(id int, b *backend) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id > 0 && id <= len(l.requests) {
		r := l.requests[id-1]
		r.runs = append(r.runs, requestRun{at: time.Now(), backend: b.id})
	}
}

// answered records an answer; right tells whether it is that to the request.
func (l *lab) answered(id int, right bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id-1].answered, l.requests[id-1].wrong = time.Now(), !right
}

// recordSyn records that a copy of an opening packet is sent.
func (l *lab) recordSyn(k flowKey, copies uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.synSent[synKey{k, copies}] = time.Now()
}

// synSentAt returns when a copy of an opening packet was sent.
func (l *lab) synSentAt(k flowKey, copies uint32) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synSent[synKey{k, copies}]
}

// logRequests writes to the record what became of each request, a line each: the client's
// address and port, the port that it called, and when the request was sent, run and
// answered.
func (l *lab) logRequests() {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := func(t time.Time) float64 { return t.Sub(l.began).Seconds() }
	l.logf("requests: number client>port, sent, run@backend, answered, in seconds from the beginning")
	var b strings.Builder
	run, twice, answered, wrong := 0, 0, 0, 0
	for i, r := range l.requests {
		fmt.Fprintf(&b, "%d %d.%d:%d>%d s%.3f", i+1, r.flow.client[2], r.flow.client[3], r.flow.clientPort, r.flow.servicePort, at(r.sent))
		for _, x := range r.runs {
			fmt.Fprintf(&b, " r%.3f@%s", at(x.at), x.backend)
		}
		switch {
		case r.answered.IsZero():
			b.WriteString(" not answered\n")
		case r.wrong:
			fmt.Fprintf(&b, " a%.3f with another request's answer\n", at(r.answered))
		default:
			fmt.Fprintf(&b, " a%.3f\n", at(r.answered))
		}
		run += min(1, len(r.runs))
		twice += min(1, max(0, len(r.runs)-1))
		if !r.answered.IsZero() {
			answered++
		}
		if r.wrong {
			wrong++
		}
	}
	l.recordMu.Lock()
	_, _ = l.record.WriteString(b.String())
	l.recordMu.Unlock()
	l.logf("%d requests sent, %d run, %d run more than once, %d answered, %d of them with another request's answer", len(l.requests), run, twice, answered, wrong)
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	l.logf("calls of the store: %v", l.store.calls)
}

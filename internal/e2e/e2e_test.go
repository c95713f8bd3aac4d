// Package e2e tests the system as real processes behind fault-injecting proxies.
// Processes are killed and paused, links fail and the platform has outages.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/standin/fault"
	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/standin/target"
	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// stepTimeout is how long a step may take before the test fails. It detects hangs
// and is not a performance requirement.
const stepTimeout = 60 * time.Second

var (
	desk        = schema.Route{Name: "desk", Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.QUIC}
	proof       = schema.Route{Name: "proof", Address: netip.MustParseAddr("198.51.100.2"), Port: 443, Protocol: schema.QUIC}
	dataCentres = []schema.DataCentreID{"taipei", "taichung", "tainan"}
)

// system is a running deployment.
type system struct {
	t        *testing.T
	dir      string
	platform string
	fabric   netip.AddrPort
	daemons  []*daemon
	pools    []*schema.Pool
	api      *client.Client
}

// daemon is a daemon process, whose data and peer addresses are behind proxies.
type daemon struct {
	config string
	cmd    *exec.Cmd
	data   *fault.Proxy
	peer   *fault.Proxy
}

// Ports of the processes. They are below the kernel's ephemeral ports, so that no
// socket without a fixed port takes one of them before its process binds it.
const (
	firstPort = 10000
	portCount = 20000
)

var lastPort atomic.Uint32

// freeAddr returns an address that is free for TCP and UDP. The loopback host is
// derived from the process ID, so that concurrent test processes use different
// ones.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, byte(100 + pid%100), byte(pid / 100), byte(1 + pid/25600%250)})
	for {
		addr := netip.AddrPortFrom(host, uint16(firstPort+lastPort.Add(1)%portCount))
		l, err := net.Listen("tcp4", addr.String())
		if err != nil {
			continue
		}
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		require.NoError(t, l.Close())
		if err == nil {
			require.NoError(t, u.Close())
			return addr
		}
	}
}

// start builds the programs and starts the processes.
func start(t *testing.T, daemons, desks, proofs int) *system {
	s := &system{t: t, dir: t.TempDir()}
	build := exec.Command("go", "build", "-o", s.dir, "coltsfootdock/cmd/coltsfootdock", "coltsfootdock/cmd/standin")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	at := freeAddr(t)
	s.platform = "http://" + at.String()
	s.startProcess("standin", "platform", "--listen", at.String())
	s.await("platform", func() bool { return s.get(s.platform+"/calls", new(plat.Calls)) })
	s.pools = []*schema.Pool{s.startTargets("desk", 101, desks), s.startTargets("proof", 102, proofs)}
	var bases []string
	for i := range daemons {
		bases = append(bases, s.addDaemon(i))
	}
	s.fabric = freeAddr(t)
	s.startProcess("standin", "fabric", "--listen", s.fabric.String(), "--platform", s.platform)
	s.api = client.New(bases)
	s.configure()
	return s
}

// startProcess starts a process that is killed when the test ends. If the test
// failed, its output is logged.
func (s *system) startProcess(name string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(s.dir, name), args...)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	require.NoError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT) // the process may be paused or may have exited
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if s.t.Failed() {
			s.t.Logf("%s %v:\n%s", name, args, log.String())
		}
	})
	return cmd
}

// startTargets starts the targets of a new pool and returns the pool.
func (s *system) startTargets(name schema.Name, vni schema.VNI, n int) *schema.Pool {
	p := &schema.Pool{Name: name, VNI: vni}
	for i := range n {
		t := schema.Target{
			ID: schema.TargetID(fmt.Sprintf("%s-%d", name, i+1)), Address: freeAddr(s.t), Health: freeAddr(s.t),
			DataCentre: dataCentres[i%len(dataCentres)],
		}
		p.Targets = append(p.Targets, t)
		s.startProcess("standin", "target", "--id", string(t.ID), "--pool", string(name), "--vni", fmt.Sprint(vni),
			"--address", t.Address.String(), "--health", t.Health.String())
	}
	return p
}

// addDaemon writes a daemon's settings, starts it behind its proxies and returns the
// URL of its API.
func (s *system) addDaemon(i int) string {
	data, peer, admin := freeAddr(s.t), freeAddr(s.t), freeAddr(s.t)
	d := &daemon{config: filepath.Join(s.dir, fmt.Sprintf("vm-%d.toml", i+1))}
	var err error
	d.data, err = fault.Listen(data, uint64(2*i+1))
	require.NoError(s.t, err)
	d.peer, err = fault.Listen(peer, uint64(2*i+2))
	require.NoError(s.t, err)
	s.t.Cleanup(func() {
		_ = d.data.Close()
		_ = d.peer.Close()
	})
	text := fmt.Sprintf("ID = %q\nDataCentre = %q\nData = %q\nPeer = %q\nAdmin = %q\nPlatform = %q\nDataPublic = %q\nPeerPublic = %q\nLeaveSeconds = 2\nIdleSeconds = 60\n",
		fmt.Sprintf("vm-%d", i+1), dataCentres[i%len(dataCentres)], data, peer, admin, s.platform, d.data.Addr(), d.peer.Addr())
	require.NoError(s.t, os.WriteFile(d.config, []byte(text), 0o600))
	s.daemons = append(s.daemons, d)
	s.startDaemon(d)
	return "http://" + admin.String()
}

func (s *system) startDaemon(d *daemon) {
	d.cmd = s.startProcess("coltsfootdock", "serve", "--config", d.config)
}

func (s *system) await(what string, ready func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(stepTimeout); !ready(); time.Sleep(50 * time.Millisecond) {
		require.True(s.t, time.Now().Before(deadline), "waited for %s", what)
	}
}

// get decodes the JSON answer of a URL and reports whether that succeeded.
func (s *system) get(url string, v any) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v) == nil
}

func (s *system) setFault(f plat.Fault) {
	body, err := json.Marshal(f)
	require.NoError(s.t, err)
	resp, err := http.Post(s.platform+"/fault", "application/json", bytes.NewReader(body))
	require.NoError(s.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	require.NoError(s.t, resp.Body.Close())
}

// readyDaemons returns the number of daemons that are alive and ready.
func (s *system) readyDaemons() int {
	st, err := s.api.Status(context.Background())
	if err != nil {
		return 0
	}
	n := 0
	for _, d := range st.Daemons {
		if d.Alive && d.Ready {
			n++
		}
	}
	return n
}

// configure writes the routes and pools and waits until sessions can be opened.
func (s *system) configure() {
	ctx := context.Background()
	for _, r := range []schema.Route{desk, proof} {
		_, err := client.Put(ctx, s.api, r.Name, r, client.Edit{})
		require.NoError(s.t, err)
	}
	for _, p := range s.pools {
		_, err := client.Put(ctx, s.api, p.Name, *p, client.Edit{})
		require.NoError(s.t, err)
	}
	s.await("daemons and placements", func() bool {
		st, err := s.api.Status(ctx)
		if err != nil || len(st.Services) != 2 || s.readyDaemons() != len(s.daemons) {
			return false
		}
		return st.Services[0].Placement != 0 && st.Services[1].Placement != 0
	})
	time.Sleep(2500 * time.Millisecond) // covers the placements' grace period and the fabric's lag
}

// drainDesk drains a target of the desk pool.
func (s *system) drainDesk(i int) {
	s.pools[0].Targets[i].Drain = true
	_, err := client.Put(context.Background(), s.api, "desk", *s.pools[0], client.Edit{})
	require.NoError(s.t, err)
}

// startLoad starts a client process for each route. The returned function waits for
// them and returns their output.
func (s *system) startLoad(d time.Duration) func() []string {
	var wg sync.WaitGroup
	lines := make([]string, 2)
	for i, r := range []schema.Route{desk, proof} {
		cmd := exec.Command(filepath.Join(s.dir, "standin"), "client", "--fabric", s.fabric.String(),
			"--service", netip.AddrPortFrom(r.Address, r.Port).String(), "--pool", string(r.Name),
			"--sessions", "40", "--for", d.String(), "--prefix", string(r.Name))
		wg.Go(func() {
			out, err := cmd.CombinedOutput()
			lines[i] = string(out)
			if err != nil {
				lines[i] += err.Error()
			}
		})
	}
	return func() []string {
		wg.Wait()
		return lines
	}
}

// checkResults checks the clients' closing lines and the targets' counters: all
// sessions finished, no target received a request of another pool, and each edit
// was executed once.
func (s *system) checkResults(lines []string) {
	for _, l := range lines {
		require.Contains(s.t, l, "opened 40 finished 40 broken 0 refused 0", strings.Join(lines, "\n"))
	}
	edits := 0
	for _, p := range s.pools {
		for _, t := range p.Targets {
			var r target.Report
			if !s.get("http://"+t.Health.String()+"/report", &r) {
				continue
			}
			require.Zero(s.t, r.WrongPool, t.ID)
			for id, n := range r.Edits {
				require.Equal(s.t, 1, n, "edit %s on %s", id, t.ID)
				edits++
			}
		}
	}
	require.Positive(s.t, edits)
}

// TestSessionsSurvive checks that no session breaks while a target drains and
// daemons are killed, paused, restarted or cut off from their peers, or the platform
// fails.
func TestSessionsSurvive(t *testing.T) {
	tests := []struct {
		name   string
		inject func(*system)
	}{
		{"drain with a daemon killed and replaced", func(s *system) {
			s.drainDesk(1)
			time.Sleep(500 * time.Millisecond)
			require.NoError(s.t, s.daemons[2].cmd.Process.Kill())
			time.Sleep(3 * time.Second)
			s.startDaemon(s.daemons[2])
		}},
		{"drain with a daemon frozen and the platform down", func(s *system) {
			require.NoError(s.t, s.daemons[1].cmd.Process.Signal(syscall.SIGSTOP))
			s.drainDesk(1)
			s.setFault(plat.Fault{Down: true})
			time.Sleep(3 * time.Second)
			require.NoError(s.t, s.daemons[1].cmd.Process.Signal(syscall.SIGCONT))
			time.Sleep(2 * time.Second)
			s.setFault(plat.Fault{})
		}},
		{"drain with a deaf daemon, lossy links and lost answers", func(s *system) {
			for _, d := range s.daemons {
				d.data.Set(fault.Fault{Loss: 0.02, Duplicate: 0.05}, fault.Fault{})
				d.peer.Set(fault.Fault{Loss: 0.05, Duplicate: 0.05, Delay: 5 * time.Millisecond}, fault.Fault{})
			}
			s.daemons[3].peer.Set(fault.Fault{Cut: true}, fault.Fault{})
			s.setFault(plat.Fault{LoseAnswers: 2, DelayMilliseconds: 50})
			s.drainDesk(1)
			time.Sleep(4 * time.Second)
			s.setFault(plat.Fault{})
		}},
		{"daemon restarted gracefully during a drain", func(s *system) {
			s.drainDesk(1)
			require.NoError(s.t, s.daemons[0].cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(s.t, s.daemons[0].cmd.Wait())
			s.startDaemon(s.daemons[0])
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := start(t, 4, 5, 2)
			wait := s.startLoad(12 * time.Second)
			time.Sleep(2 * time.Second)
			tt.inject(s)
			s.checkResults(wait())
		})
	}
}

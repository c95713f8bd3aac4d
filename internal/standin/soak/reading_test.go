package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/standin/plat"
)

// buildDaemon builds the daemon program and returns its path.
func buildDaemon(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "coltsfootdock")
	out, err := exec.Command("go", "build", "-o", program, "coltsfootdock/cmd/coltsfootdock").CombinedOutput()
	require.NoError(t, err, string(out))
	return program
}

// settleTime is how long a scenario is watched after its last change: the bounds of
// all changes and of the daemons' restarts have passed by then.
const settleTime = 10 * time.Second

// killAll kills all daemons at once and starts them again.
func killAll(s *System) {
	var heals []func()
	for _, d := range s.daemons {
		heals = append(heals, d.faults.begin())
		d.signal(syscall.SIGKILL)
	}
	for i, d := range s.daemons {
		d.stop(syscall.SIGKILL)
		s.restart(d)
		heals[i]()
	}
}

// changeEverything adds, moves and removes routes, drains a target and takes a data
// centre out.
func changeEverything(s *System) {
	added, moved, removed := s.addRoute("desk"), s.recentRoute(), s.routes[permanentRoutes]
	s.moveRoute(moved, "proof")
	s.removeRoute(removed)
	s.addRoute("desk")
	s.moveRoute(added, "proof")
	s.randomTarget().drainAndStop()
	s.store.Put(outsKind, s.dataCentres[2].name, struct{}{})
	s.dataCentres[2].setOut(time.Now())
}

// TestChangesAreInForceUnderEveryReading guards against daemons that hold an old
// configuration, target list or evacuation for current (CONFIG, DRAIN, EVAC).
func TestChangesAreInForceUnderEveryReading(t *testing.T) {
	program := buildDaemon(t)
	changeAndKill := func(s *System) {
		changeEverything(s)
		killAll(s)
	}
	changeUnheard := func(s *System) {
		done := s.checker.storeFaults.begin()
		s.store.HushWatches(hushTime)
		changeEverything(s)
		time.Sleep(hushTime)
		done()
	}
	changeInOneAnswer := func(s *System) {
		for range stormVersions {
			changeEverything(s)
		}
	}
	changes := map[string]func(s *System){
		"old items beside the current revision": changeAndKill,
		"stale lists":                           changeAndKill,
		"watches pass what they do not tell":    changeUnheard,
		"events newest first":                   changeInOneAnswer,
		"watches know their kind alone":         changeEverything,
		"removed objects as last written":       changeEverything,
		"all at once":                           changeUnheard,
	}
	for i, x := range readings {
		if change := changes[x.name]; change != nil {
			t.Run(x.name, func(t *testing.T) {
				t.Parallel()
				runScenario(t, Options{
					Daemon: program, Dir: t.TempDir(), Seed: 34, Bound: 3 * time.Second, Daemons: 3, Targets: 12, Clients: 2, Slot: 30 + i, Reading: i,
				}, change)
			})
		}
	}
}

// TestDrainIsKnownThoughTheFirstDaemonsAreLost guards against daemons that use a draining
// target for seconds: no watch told of it, and the daemons that knew that they may have
// missed something were lost (DRAIN, incident 38).
func TestDrainIsKnownThoughTheFirstDaemonsAreLost(t *testing.T) {
	for slot, bound := range map[int]time.Duration{37: 5 * time.Second, 38: 6 * time.Second} {
		t.Run(bound.String(), func(t *testing.T) {
			t.Parallel()
			runScenario(t, Options{
				Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: 38, Bound: bound, Daemons: 18, Targets: 12, Clients: 2, Slot: slot,
				Reading: slices.IndexFunc(readings, func(r namedReading) bool { return r.reading.HushedPassesChanges }),
			}, func(s *System) {
				done := s.checker.storeFaults.begin()
				s.store.HushWatches(hushTime)
				for range 3 {
					s.randomTarget().drainAndStop()
				}
				time.Sleep(hushTime * 9 / 10)
				s.loseFirst(3) // for the rest of the test
				time.Sleep(hushTime)
				done()
			})
		})
	}
}

// TestOpenFlowsSurviveLostWrites guards against daemons that reset open flows of targets
// that serve, ready or draining, as the store takes no writes and their entries lapse
// (FLOW, incident 41).
func TestOpenFlowsSurviveLostWrites(t *testing.T) {
	runScenario(t, Options{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: 41, Bound: 3 * time.Second, Daemons: 18, Targets: 45, Clients: 6, KeptFlows: 20, Slot: 36,
	}, func(s *System) {
		time.Sleep(maxPause / 2)
		for range 4 {
			s.randomTarget().drainAndStop()
		}
		s.failWrites(plat.WritesSilent, 1)
		time.Sleep(3*heartbeatInterval + 6*time.Second)
		s.failWrites(plat.WritesServed, 0)
	})
}

// runScenario starts a system without faults, makes changes and checks what targets
// and clients see until settleTime after them.
func runScenario(t *testing.T, opts Options, change func(s *System)) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newSystem(ctx, opts)
	defer func() {
		cancel()
		s.close()
	}()
	require.NoError(t, s.build())
	stop := make(chan struct{})
	s.wg.Go(func() { s.probeReadiness(stop) })
	s.wg.Go(func() { s.writeHeartbeats(stop) })
	time.Sleep(warmupTime)
	s.addRoute("desk")
	s.addRoute("desk")
	time.Sleep(opts.Bound)
	for _, c := range s.clients {
		s.wg.Go(func() { c.run(stop) })
		s.wg.Go(func() { s.openDirectly(c, stop) })
		for range opts.KeptFlows {
			s.wg.Go(func() { c.keepOpen(stop) })
		}
	}
	change(s)
	time.Sleep(settleTime)
	close(stop)
	r := s.result()
	require.Positive(t, r.Served)
	for _, b := range r.Broken[:min(len(r.Broken), 5)] {
		t.Logf("%s: %s: %s\n%s", b.At.Round(time.Millisecond), b.Promise, b.Detail, strings.Join(b.Lines, "\n"))
	}
	require.Zero(t, len(r.Broken), "violated guarantees")
}

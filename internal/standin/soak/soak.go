package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Result is the outcome of a soak test.
type Result struct {
	Seed uint64
	// Reading is what the store did where its protocol leaves it open.
	Reading string
	Bound   time.Duration
	// Injected counts the injected faults by name.
	Injected map[string]int
	// Flows counts the flows that clients tried to open, Refused those of them that
	// were not accepted.
	Flows int
	// Served and Lost count requests.
	Served  int
	Lost    int
	Refused int
	Checks  int
	// Gone counts the requests on flows of targets that had gone, GoneTimeouts those of
	// them that no reset ended. GoneMedian and GoneMax are how long their callers waited.
	Gone         int
	GoneTimeouts int
	GoneMedian   time.Duration
	GoneMax      time.Duration
	Broken       []Violation
}

// Fault-free periods before and after the faults.
const (
	warmupTime   = 5 * time.Second
	recoveryTime = 9 * time.Second
)

// bounds are those of the deployments, of which a seed selects one.
var bounds = []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second}

func newSystem(ctx context.Context, opts Options) *System {
	if opts.Reading < 0 || opts.Reading >= len(readings) {
		opts.Reading = int(opts.Seed % uint64(len(readings)))
	}
	if opts.Bound == 0 {
		opts.Bound = bounds[opts.Seed/uint64(len(readings))%uint64(len(bounds))]
	}
	return &System{
		opts: opts, checker: newChecker(opts.Bound), rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), faultRNG: rand.New(rand.NewPCG(opts.Seed, opts.Seed+1)), injected: make(map[string]int), ctx: ctx,
	}
}

// Run runs one soak test and ends every process that it started.
func Run(ctx context.Context, opts Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := newSystem(ctx, opts)
	defer func() {
		cancel()
		s.close()
	}()
	if len(opts.kinds()) == 0 {
		return nil, fmt.Errorf("no fault has a name with any of %q", opts.Faults)
	}
	if err := s.build(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	s.wg.Go(func() { s.probeReadiness(stop) })
	s.wg.Go(func() { s.writeHeartbeats(stop) })
	time.Sleep(warmupTime)
	s.checker.started = time.Now()
	for _, c := range s.clients {
		for range 2 {
			s.wg.Go(func() { c.run(stop) })
		}
		for range opts.KeptFlows {
			s.wg.Go(func() { c.keepOpen(stop) })
		}
	}
	s.wg.Go(func() { s.openDirectly(s.clients[0], stop) })
	s.injectFaults()
	s.checker.mu.Lock()
	s.checker.faultsEnded = time.Now()
	s.checker.mu.Unlock()
	select {
	case <-time.After(recoveryTime):
	case <-ctx.Done():
	}
	close(stop)
	s.checker.checkRecovery()
	return s.result(), ctx.Err()
}

func (s *System) result() *Result {
	c := s.checker
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.violations {
		c.violations[i].Lines = s.logLinesAbout(c.violations[i].About)
	}
	r := &Result{
		Seed: s.opts.Seed, Reading: readings[s.opts.Reading].name, Bound: s.opts.Bound, Injected: s.injected, Flows: c.flows, Served: c.served, Lost: c.lost, Refused: c.rejected,
		Checks: c.checks, Gone: len(c.gone.times), GoneTimeouts: c.gone.timeouts, Broken: c.violations,
	}
	if r.Gone > 0 {
		slices.Sort(c.gone.times)
		r.GoneMedian, r.GoneMax = c.gone.times[r.Gone/2], c.gone.times[r.Gone-1]
	}
	return r
}

// maxLogLines bounds the log lines that are reported with a violation.
const maxLogLines = 20

// logLinesAbout returns the last lines of the daemons' logs that contain a text.
func (s *System) logLinesAbout(text string) []string {
	if text == "" {
		return nil
	}
	var list []string
	for _, d := range s.daemons {
		log, err := os.ReadFile(d.log.Name())
		if err != nil {
			list = append(list, err.Error())
			continue
		}
		for line := range strings.Lines(string(log)) {
			if strings.Contains(line, text) {
				list = append(list, strings.TrimSpace(line))
			}
		}
	}
	slices.Sort(list) // each line begins with its timestamp
	return list[max(0, len(list)-maxLogLines):]
}

// close kills the daemons, closes all sockets and waits for their goroutines.
func (s *System) close() {
	for _, d := range s.daemons {
		d.mu.Lock()
		started := d.cmd != nil
		d.mu.Unlock()
		if started {
			d.stop(syscall.SIGKILL)
		}
	}
	for _, c := range s.clients {
		_ = c.conn.Close()
	}
	s.timers.Wait()
	s.mu.Lock()
	targets := s.targets
	s.mu.Unlock()
	for _, t := range targets {
		t.close()
	}
	s.wg.Wait()
	for _, d := range s.daemons {
		_ = d.log.Close()
	}
}

// Print writes the result as text.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "store: %s; bound %s\n", r.Reading, r.Bound)
	fmt.Fprintf(w, "seed %d: %d flows, %d requests served, %d lost, %d flows refused, %d checks, %d broken\n",
		r.Seed, r.Flows, r.Served, r.Lost, r.Refused, r.Checks, len(r.Broken))
	fmt.Fprintf(w, "requests at targets that had gone: %d, %d of them timed out; waits: median %s, longest %s\n",
		r.Gone, r.GoneTimeouts, r.GoneMedian.Round(time.Millisecond), r.GoneMax.Round(time.Millisecond))
	for _, k := range faultKinds {
		if n := r.Injected[k.name]; n > 0 {
			fmt.Fprintf(w, "  %-32s %d\n", k.name, n)
		}
	}
	for _, b := range r.Broken {
		fmt.Fprintf(w, "BROKEN at %s: %s: %s\n", b.At.Round(time.Millisecond), b.Promise, b.Detail)
		for _, l := range b.Lines {
			fmt.Fprintf(w, "  %s\n", l)
		}
	}
}

// PrintLine writes the result as one line that counts the violations of each
// guarantee.
func (r *Result) PrintLine(w io.Writer) {
	counts := make(map[string]int)
	for _, b := range r.Broken {
		counts[b.Promise]++
	}
	var broken strings.Builder
	for _, promise := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&broken, ", %s: %d", promise, counts[promise])
	}
	fmt.Fprintf(w, "seed %d: %d flows, %d served, %d lost, %d refused; %d at targets that had gone, %d timed out, waits %s, longest %s; %d broken%s\n",
		r.Seed, r.Flows, r.Served, r.Lost, r.Refused, r.Gone, r.GoneTimeouts, r.GoneMedian.Round(time.Millisecond), r.GoneMax.Round(time.Millisecond), len(r.Broken), &broken)
}

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Result is what a soak found.
type Result struct {
	Seed     uint64
	Injected map[string]int
	Flows    int
	Served   int
	Lost     int
	Refused  int
	Checks   int
	Broken   []Broken
}

// calmBefore and calmAfter are the times without faults.
const (
	calmBefore = 5 * time.Second
	calmAfter  = 9 * time.Second
)

// Run plays one soak. It ends every process that it started.
func Run(ctx context.Context, opts Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &System{
		opts: opts, judge: newJudge(), rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), injected: make(map[string]int), ctx: ctx,
	}
	defer func() {
		cancel()
		s.close()
	}()
	if err := s.build(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	s.wg.Go(func() { s.probe(stop) })
	s.wg.Go(func() { s.beats(stop) })
	time.Sleep(calmBefore)
	s.judge.began = time.Now()
	for _, c := range s.clients {
		for range 2 {
			s.wg.Go(func() { c.run(stop) })
		}
	}
	s.strike()
	s.judge.mu.Lock()
	s.judge.healed = time.Now()
	s.judge.mu.Unlock()
	select {
	case <-time.After(calmAfter):
	case <-ctx.Done():
	}
	close(stop)
	s.judge.recovered()
	return s.result(), ctx.Err()
}

func (s *System) result() *Result {
	j := s.judge
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.broken {
		j.broken[i].Lines = s.linesAbout(j.broken[i].About)
	}
	return &Result{
		Seed: s.opts.Seed, Injected: s.injected, Flows: j.flows, Served: j.served, Lost: j.lost, Refused: j.refused,
		Checks: j.checks, Broken: j.broken,
	}
}

// maxLines bounds the log lines that are told with a broken promise.
const maxLines = 20

// linesAbout returns the last lines of the daemons' logs that name something.
func (s *System) linesAbout(what string) []string {
	if what == "" {
		return nil
	}
	var list []string
	for _, d := range s.daemons {
		text, err := os.ReadFile(d.log.Name())
		if err != nil {
			list = append(list, err.Error())
			continue
		}
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, what) {
				list = append(list, strings.TrimSpace(line))
			}
		}
	}
	slices.Sort(list) // a line begins with its time
	return list[max(0, len(list)-maxLines):]
}

// close ends the processes and waits for all users of the sockets.
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

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d flows, %d requests served, %d lost, %d flows refused, %d checks, %d broken\n",
		r.Seed, r.Flows, r.Served, r.Lost, r.Refused, r.Checks, len(r.Broken))
	for _, k := range kinds {
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

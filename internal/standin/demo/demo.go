package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"coltsfootdock/internal/standin/client"
	api "coltsfootdock/pkg/client"
)

const (
	settle       = 2500 * time.Millisecond // placements come into force
	deskSessions = 120
	proofLoads   = 30
	spread       = 5 * time.Second
	interval     = 400 * time.Millisecond
	deskBytes    = 2000
	proofBytes   = 200000
	beforeDrain  = 3 * time.Second
	beforeStop   = 3 * time.Second
	afterRestart = 5 * time.Second
	stopWait     = (leaveLimit + 2) * time.Second
	restarted    = 2 // index of the daemon that is restarted
	drained      = 3 // index of the target that is drained
)

// Summary is what a demonstration counted.
type Summary struct {
	Opened, Finished, Broken, Refused int64
	EditsTwice, WrongPool             int
}

// String returns the closing line.
func (s Summary) String() string {
	return fmt.Sprintf("opened %d finished %d broken %d refused %d edits-twice %d wrong-pool %d",
		s.Opened, s.Finished, s.Broken, s.Refused, s.EditsTwice, s.WrongPool)
}

// Good reports whether sessions ran and no promise was broken.
func (s Summary) Good() bool {
	return s.Opened > 0 && s.Broken == 0 && s.EditsTwice == 0 && s.WrongPool == 0
}

// Run runs a deployment with real sessions, drains a target and restarts a
// daemon on the way.
func Run(ctx context.Context, d Deployment, out io.Writer, log *logrus.Logger) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := start(ctx, d, log)
	if err != nil {
		return Summary{}, err
	}
	step := func(format string, args ...any) { fmt.Fprintf(out, "demo: "+format+"\n", args...) }
	step("%s: %d daemons, %d desk and %d proof targets", d.Name, d.Daemons, d.Desk, d.Proof)
	if err := s.configure(); err != nil {
		return Summary{}, err
	}
	pause(ctx, settle)
	var res client.Result
	var wg sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, l := range s.loads() {
		wg.Go(func() { l.Run(loadCtx, &res) })
	}
	step("%d sessions open", deskSessions+proofLoads)
	pause(ctx, beforeDrain)
	err = s.disturb(ctx, step)
	stopLoad()
	wg.Wait()
	for _, e := range res.Errors {
		step("session: %s", e)
	}
	return s.summary(&res), err
}

func (s *system) loads() []client.Load {
	return []client.Load{
		{Fabric: s.fabric.Addr(), Service: deskRoute.Service(), Pool: deskName, Sessions: deskSessions,
			Spread: spread, Interval: interval, Bytes: deskBytes, Prefix: deskName},
		{Fabric: s.fabric.Addr(), Service: proofRoute.Service(), Pool: proofName, Sessions: proofLoads,
			Spread: spread, Interval: interval, Bytes: proofBytes, Prefix: proofName},
	}
}

// disturb drains a target, then restarts a daemon.
func (s *system) disturb(ctx context.Context, step func(string, ...any)) error {
	desk := s.pools[0]
	desk.Targets[drained].Drain = true
	change, err := api.Put(ctx, s.api, desk.Name, desk, api.Edit{})
	if err != nil {
		return err
	}
	step("drain of %s is version %d, in force on %d daemons", desk.Targets[drained].ID, change.Version, len(change.InForce))
	pause(ctx, beforeStop)
	step("daemon %s restarts", s.settings[restarted].ID)
	s.daemons[restarted].Leave()
	pause(ctx, stopWait)
	if err := s.startDaemon(restarted); err != nil {
		return err
	}
	pause(ctx, afterRestart)
	return nil
}

func (s *system) summary(res *client.Result) Summary {
	sum := Summary{
		Opened:   res.Opened.Load(),
		Finished: res.Finished.Load(),
		Broken:   res.Broken.Load(),
		Refused:  res.Refused.Load(),
	}
	runs := make(map[string]int)
	for _, t := range s.targets {
		r := t.Report()
		sum.WrongPool += r.WrongPool
		for id, n := range r.Edits {
			runs[id] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			sum.EditsTwice++
		}
	}
	return sum
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

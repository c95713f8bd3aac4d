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
	settleTime      = 2500 * time.Millisecond // until the placements are in force
	deskSessions    = 120
	proofSessions   = 30
	spread          = 5 * time.Second
	interval        = 400 * time.Millisecond
	deskBytes       = 2000
	proofBytes      = 200000
	beforeDrain     = 3 * time.Second
	beforeStop      = 3 * time.Second
	afterRestart    = 5 * time.Second
	stopTime        = (leaveSeconds + 2) * time.Second
	restartedDaemon = 2 // index of the daemon that is restarted
	drainedTarget   = 3 // index of the target that is drained
)

// Summary holds the counters of a demonstration.
type Summary struct {
	Opened, Finished, Broken, Refused int64
	// EditsTwice counts the edits that were executed more than once.
	EditsTwice, WrongPool int
}

// String returns the closing line.
func (s Summary) String() string {
	return fmt.Sprintf("opened %d finished %d broken %d refused %d edits-twice %d wrong-pool %d",
		s.Opened, s.Finished, s.Broken, s.Refused, s.EditsTwice, s.WrongPool)
}

// Good reports whether sessions ran and no guarantee was violated.
func (s Summary) Good() bool {
	return s.Opened > 0 && s.Broken == 0 && s.EditsTwice == 0 && s.WrongPool == 0
}

// Run runs a deployment with real sessions. Meanwhile it drains a target and
// restarts a daemon.
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
	pause(ctx, settleTime)
	var res client.Result
	var wg sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, l := range s.loads() {
		wg.Go(func() { l.Run(loadCtx, &res) })
	}
	step("%d sessions open", deskSessions+proofSessions)
	pause(ctx, beforeDrain)
	err = s.drainAndRestart(ctx, step)
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
		{Fabric: s.fabric.Addr(), Service: proofRoute.Service(), Pool: proofName, Sessions: proofSessions,
			Spread: spread, Interval: interval, Bytes: proofBytes, Prefix: proofName},
	}
}

// drainAndRestart drains a target, then restarts a daemon.
func (s *system) drainAndRestart(ctx context.Context, step func(string, ...any)) error {
	desk := s.pools[0]
	desk.Targets[drainedTarget].Drain = true
	change, err := api.Put(ctx, s.api, desk.Name, desk, api.Edit{})
	if err != nil {
		return err
	}
	step("drain of %s is version %d, in force on %d daemons", desk.Targets[drainedTarget].ID, change.Version, len(change.InForce))
	pause(ctx, beforeStop)
	step("daemon %s restarts", s.settings[restartedDaemon].ID)
	s.daemons[restartedDaemon].Leave()
	pause(ctx, stopTime)
	if err := s.startDaemon(restartedDaemon); err != nil {
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

package entry

import (
	"fmt"
	"math"
	"strings"

	"coltsfootdock/internal/clock"
)

// startupLogTimeout is how long after its start a daemon logs the steps that are done,
// if no packet was forwarded before: no client may send any.
const startupLogTimeout = 10 * clock.Second

// startupStep is a step from the start of the process to the first packet forwarded.
type startupStep uint8

const (
	// stepMain ends when the entry command runs, stepSettings when its settings are
	// read, stepSockets when the sockets are open.
	stepMain startupStep = iota
	stepSettings
	stepSockets
	// stepSource ends with the first update from the store or a peer, stepView when the
	// deployment is known, stepReady when the fabric may send packets.
	stepSource
	stepView
	stepReady
	// stepPacket ends when the first packet was forwarded. That of an open flow may
	// come before stepView.
	stepPacket
	startupSteps
)

// String implements fmt.Stringer.
func (s startupStep) String() string {
	return [startupSteps]string{"main", "settings", "sockets", "source", "view", "ready", "packet"}[s]
}

// ProcessStart states when the steps before New ended, as clock.SinceProcessStart has it.
type ProcessStart struct {
	Main     clock.Milli
	Settings clock.Milli
}

// startup is the progress of a daemon's start.
type startup struct {
	// began is when the process started, at when each step ended, Never before.
	began clock.Milli
	at    [startupSteps]clock.Milli
	// from is the source of the first update: the store or a peer.
	from   string
	logged bool
}

func newStartup(now clock.Milli) startup {
	s := startup{began: now}
	for i := range s.at {
		s.at[i] = clock.Never
	}
	return s
}

// recordProcess records the steps before New. It moves the beginning to the start of the
// process, sinceStart before now.
func (s *startup) recordProcess(now, sinceStart clock.Milli, p ProcessStart) {
	s.began = now - sinceStart
	s.at[stepMain], s.at[stepSettings] = s.began+p.Main, s.began+p.Settings
}

// end records the end of a step, if it is the first.
func (s *startup) end(step startupStep, now clock.Milli) {
	if s.at[step] == clock.Never {
		s.at[step] = now
	}
}

// sinceBegan returns the time from the start of the process to the end of a step, negative
// if the step has not ended.
func (s *startup) sinceBegan(step startupStep) clock.Milli {
	if s.at[step] == clock.Never {
		return -1
	}
	return s.at[step] - s.began
}

// seconds returns the value of a step's gauge: not a number before the step has ended.
func (s *startup) seconds(step startupStep) float64 {
	if s.at[step] == clock.Never {
		return math.NaN()
	}
	return float64(s.sinceBegan(step)) / float64(clock.Second)
}

// due reports whether to log the steps: once, when the first packet was forwarded or the
// time for it has passed.
func (s *startup) due(now clock.Milli) bool {
	return !s.logged && (s.at[stepPacket] != clock.Never || now-s.began >= startupLogTimeout)
}

// String implements fmt.Stringer.
func (s *startup) String() string {
	var b strings.Builder
	for step := range startupSteps {
		fmt.Fprintf(&b, " %s=%d", step, s.sinceBegan(step))
	}
	return fmt.Sprintf("ms since the process started:%s; first view from=%s", b.String(), s.from)
}

// logStartup logs the steps of the start once. The caller holds d.mu.
func (d *Daemon) logStartup(now clock.Milli) {
	if d.startup.due(now) {
		d.startup.logged = true
		d.log.infof("startup: %s", &d.startup)
	}
}

// noteLearned records an update from the store or a peer. The caller holds d.mu.
func (d *Daemon) noteLearned(now clock.Milli, from string) {
	if d.startup.at[stepSource] == clock.Never {
		d.startup.from = from
	}
	d.startup.end(stepSource, now)
	if d.core.KnowsDeployment() {
		d.startup.end(stepView, now)
	}
}

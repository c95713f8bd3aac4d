package entry

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
)

// openReset returns the reset of an open flow on the fixture's target.
func (f *fixture) openReset(t *testing.T) steer.FlowReset {
	f.deploy()
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	s := flow.Segment{Open: true, Tuple: flow.Tuple{Client: [4]byte{100, 64, 0, 1}, ClientPort: 7, ServiceAddress: [4]byte{198, 18, 0, 1}, ServicePort: 80}}
	v := f.daemon.core.Decide(f.daemon.clock.Now(), &s, true)
	require.NotNil(t, v.Target)
	return steer.FlowReset{Tuple: s.Tuple, Target: v.Target, Reason: steer.TargetGone, Acked: clock.Never}
}

// resetLines returns the lines on resets of open flows that were logged.
func (f *fixture) resetLines() []string {
	f.daemon.log.close()
	var lines []string
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, `"reset: `) {
			lines = append(lines, line)
		}
	}
	return lines
}

// A target with 1,000 flows is lost: its first reset is logged at once, the others are
// summed up.
func TestResetsOfOpenFlowsAreSummedUp(t *testing.T) {
	f := newFixture(t)
	e := f.openReset(t)
	d := f.daemon
	now := d.clock.Now()
	v := steer.Verdict{Action: steer.Reset, Reason: e.Reason, Target: e.Target, Acked: e.Acked}
	d.recordResetVerdict(now, &flow.Segment{Tuple: e.Tuple}, &v)
	for range 1000 {
		d.recordReset(now, &e, "silent")
	}
	d.flushResets(now)
	e.Reason = steer.TargetUnresponsive
	for range 5 {
		d.recordReset(now, &e, "silent")
	}
	d.flushResets(now)
	d.flushResets(now + resetLineInterval - 1)
	d.flushResets(now + resetLineInterval)
	require.Len(t, d.resets, 1, "a cause without resets since its line is forgotten")
	d.flushResets(now + 2*resetLineInterval)
	require.Empty(t, d.resets)
	lines := f.resetLines()
	require.Len(t, lines, 3)
	require.Contains(t, lines[0], "target=i-01 address=127.0.0.1:9")
	require.Contains(t, lines[0], "reason=target_gone proof=none resets=1 over=0ms client=100.64.0.1:7 service=198.18.0.1:80 while=packet entry=present")
	require.Contains(t, lines[1], "reason=target_dark proof=none resets=5 over=0ms")
	require.Contains(t, lines[2], "reason=target_gone proof=none resets=1000 over=1000ms client=100.64.0.1:7 service=198.18.0.1:80 while=silent")
	require.EqualValues(t, 1006, d.metrics.openFlowsReset[steer.Unproved].Get())
}

// TestResetIsLoggedOnceTheLogTakesLines guards that resets are not left out while the
// output stalls.
func TestResetIsLoggedOnceTheLogTakesLines(t *testing.T) {
	f := newFixture(t)
	e := f.openReset(t)
	d := f.daemon
	taken := d.log
	r, w := io.Pipe()
	d.log = newAsyncLog(NewLogger(w), "vm-1", d.metrics)
	require.True(t, d.log.infof("line"))
	_, err := r.Read(make([]byte, 1)) // the output stalls within this line
	require.NoError(t, err)
	for d.log.infof("line") {
	}
	now := d.clock.Now()
	d.recordReset(now, &e, "silent")
	d.flushResets(now)
	go func() { _, _ = io.Copy(io.Discard, r) }()
	d.log.close()
	d.log = taken
	d.flushResets(now + resetLineInterval)
	lines := f.resetLines()
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], "resets=1 over=1000ms")
}

// Many targets are lost at once: the lines of one tick are bounded.
func TestResetLinesOfATickAreBounded(t *testing.T) {
	f := newFixture(t)
	e := f.openReset(t)
	d := f.daemon
	now := d.clock.Now()
	for range 2 * maxResetLines {
		lost := *e.Target
		e.Target = &lost
		d.recordReset(now, &e, "silent")
	}
	d.flushResets(now)
	d.flushResets(now + 25)
	require.Len(t, f.resetLines(), 2*maxResetLines)
}

// A verdict on a packet of an open flow is logged with its proof, that on a first
// packet is not.
func TestVerdictsThatResetOpenFlowsAreLogged(t *testing.T) {
	f := newFixture(t)
	e := f.openReset(t)
	d := f.daemon
	s := flow.Segment{Tuple: e.Tuple}
	d.execute(d.clock.Now(), nil, &s, steer.Verdict{Action: steer.Reset, Reason: steer.NoRoute})
	d.execute(d.clock.Now(), nil, &s, steer.Verdict{Action: steer.Reset, Reason: steer.RouteGone, Target: e.Target, Acked: clock.Never})
	lines := f.resetLines()
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], "reason=route_gone proof=route")
	t.Log(lines[0])
}

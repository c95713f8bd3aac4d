package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// restartWarmup is the warm-up of the targets of these tests.
const restartWarmup = 5 * clock.Second

// newRestartHarness returns a daemon whose store confirms the targets until now, and the
// target that the tests lose.
func newRestartHarness(t *testing.T) (*harness, *Target) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	tab := table()
	tab.Rev, tab.Pools[0].ColdRate, tab.Pools[0].Warmup = 2000, coldRate, restartWarmup
	h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
	h.rev = 2000
	h.core.SetTargetsConfirmed(h.now)
	return h, h.core.byID["i-000001"]
}

// coldLeft returns how much longer a target counts as cold.
func (h *harness) coldLeft(t *Target) clock.Milli { return max(0, h.core.coldLeft(h.now, t)) }

// refuseOnce has a connection to a target be refused, and later ones accepted.
func (h *harness) refuseOnce(x *Target) {
	h.core.requestProbe(x, h.now, false)
	h.runProbes(Refused, 5)
	h.advance(probeInterval)
	h.runProbes(Accepted, 5)
}

// TestRefusingTargetComesBackCold guards against a target that refused connections, so that
// its process had ended, and is taken for warm when it answers again before the store tells
// of the new start (FAILBACK).
func TestRefusingTargetComesBackCold(t *testing.T) {
	h, x := newRestartHarness(t)
	require.Zero(t, h.coldLeft(x))
	h.refuseOnce(x)
	require.InDelta(t, float64(restartWarmup), float64(h.coldLeft(x)), 100)
	require.Len(t, h.core.Restarts(), 1)
	h.core.SetTargetsConfirmed(h.now)
	h.advance(goneGrace)
	h.core.SetTargetsConfirmed(h.now)
	h.advance(25)
	require.Positive(t, h.coldLeft(x), "the store may lack the entry of the new start")
	fresh := x.Target
	fresh.StartedAt, fresh.ColdLeft = 9, clock.Second
	h.updateTarget(fresh)
	require.Equal(t, clock.Second, h.coldLeft(h.core.byID[x.ID]), "the entry tells")
	h.advance(25)
	require.Empty(t, h.core.lost)
}

// TestCopiesDontGoToANewStart guards against copies of first packets that were sent to a
// target just before it crashed and all go to its new start, beside the rate for cold
// targets (FAILBACK).
func TestCopiesDontGoToANewStart(t *testing.T) {
	h, x := newRestartHarness(t)
	var clients []*client
	for len(clients) < 20 {
		if c := h.open(idempotentAddress); c.target == x {
			clients = append(clients, c)
		} else {
			c.accept()
		}
	}
	h.advance(50)
	h.refuseOnce(x)
	h.core.recordAnswer(h.now, x) // of a flow that a peer opened
	require.Positive(t, h.coldLeft(x))
	copies := 0
	for _, c := range clients {
		if v := c.retransmitOpen(2); v.Action == Deliver && v.Target == x {
			copies++
		}
	}
	require.LessOrEqual(t, copies, 1, "a token's worth")
}

// TestLossEndsWithTheWarmUp guards against targets that count as cold for good because of
// one lost connection.
func TestLossEndsWithTheWarmUp(t *testing.T) {
	h, x := newRestartHarness(t)
	h.refuseOnce(x)
	h.advance(restartWarmup)
	require.Zero(t, h.coldLeft(x))
	require.Empty(t, h.core.lost)
}

// TestHealedCutLeavesTargetsWarm guards against targets that were silent behind a cut and
// count as cold for their whole warm-up although the store shows that they did not start
// again.
func TestHealedCutLeavesTargetsWarm(t *testing.T) {
	h, x := newRestartHarness(t)
	h.core.ApplyDeadTargets(h.now, []fleet.DeadTarget{{Code: x.Code}})
	require.Equal(t, restartWarmup, h.coldLeft(x), "it may start again at any time")
	for range 16 {
		h.advance(250)
		h.core.SetTargetsConfirmed(h.now)
		h.core.recordAnswer(h.now, x)
	}
	require.Zero(t, h.coldLeft(x))
	require.Empty(t, h.core.lost)
}

// TestReportedLossOutlastsAnOutage guards against a store that returns before the new start
// has written its entry, so that the old one seems to be confirmed (FAILBACK).
func TestReportedLossOutlastsAnOutage(t *testing.T) {
	h, x := newRestartHarness(t)
	h.advance(clock.Second)
	h.core.ApplyDeadTargets(h.now, []fleet.DeadTarget{{Code: x.Code}})
	h.advance(clock.Second)
	h.core.recordAnswer(h.now, x)
	h.advance(3 * clock.Second)
	h.core.SetTargetsConfirmed(h.now)
	h.advance(25)
	require.Positive(t, h.coldLeft(x), "the store has just returned")
	require.Equal(t, []Restart{{ID: schema.TargetID("i-000001"), Away: clock.Second + 25, Cold: restartWarmup}}, h.core.Restarts())
}

package steer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// runProbes runs the requested probes with a duration and an outcome, and returns
// their targets.
func (h *harness) runProbes(o Outcome, took clock.Milli) []schema.TargetID {
	var ids []schema.TargetID
	list := h.core.Probes(h.now)
	h.advance(took)
	for _, p := range list {
		ids = append(ids, p.ID)
		h.core.ProbeDone(h.now, p, o)
	}
	h.advance(25)
	return ids
}

// roundTrip sends a request and acknowledges its answer at once.
func (c *client) roundTrip() {
	c.request()
	c.ackAnswer()
}

// A target crashes. Its host resets the flows on which clients send something, so
// nothing is ever retransmitted. Without a probe, idle flows would fail one by one,
// with the request that a client sends on each.
func TestIdleFlowsOfCrashedTargetAreReset(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	idle := h.openOn(nonIdempotentAddress, "i-000001")
	pending := h.openOn(idempotentAddress, "i-000001")
	healthy := h.openOn(idempotentAddress, "i-000002")
	h.advance(clock.Second)
	pending.request()
	h.advance(200)
	require.Empty(t, h.runProbes(Refused, 5), "no probe yet: most answers take that long")
	healthy.roundTrip()
	h.advance(150)
	require.Equal(t, []schema.TargetID{"i-000001"}, h.runProbes(Refused, 5))
	resets := make(map[flow.Tuple]Reason)
	for _, e := range h.core.Resets() {
		resets[e.Tuple] = e.Reason
	}
	require.Equal(t, map[flow.Tuple]Reason{idle.tuple: TargetUnresponsive, pending.tuple: TargetUnresponsive}, resets)
	require.Zero(t, h.countOpens(50)["i-000001"])
}

// A target crashes while a request that must run at most once is pending. The request
// may have run, so its flow is not reset.
func TestPendingNonIdempotentRequestIsNotReset(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	pending := h.openOn(nonIdempotentAddress, "i-000001")
	healthy := h.openOn(idempotentAddress, "i-000002")
	h.advance(clock.Second)
	pending.request()
	h.advance(350)
	healthy.roundTrip()
	h.runProbes(Refused, 5)
	for _, e := range h.core.Resets() {
		require.NotEqual(t, pending.tuple, e.Tuple)
	}
	require.Equal(t, Deliver, pending.retransmit().Action)
}

// A target is slow, or a probe has no answer for another reason. A silent probe counts
// only with a retransmitted packet, and only if packets that this daemon forwarded
// meanwhile were answered.
func TestSilentProbeAloneProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name                        string
		outcome                     Outcome
		retransmitted, othersAnswer bool
		took                        clock.Milli
		dead                        bool
	}{
		{"slow and accepting", Accepted, false, true, 5, false},
		{"accepting, a packet lost", Accepted, true, true, 5, false},
		{"slow and silent", Silent, false, true, 160, false},
		{"unresponsive", Silent, true, true, 160, true},
		{"no target answers this daemon", Silent, true, false, 160, false},
		{"the probe was delayed in this process", Silent, true, true, maxProbeTime + 1, false},
	} {
		h := newHarness(t, target(1, "a"), target(2, "a"))
		idle := h.openOn(nonIdempotentAddress, "i-000001")
		pending := h.openOn(idempotentAddress, "i-000001")
		healthy := h.openOn(idempotentAddress, "i-000002")
		h.advance(clock.Second)
		pending.request()
		healthy.roundTrip()
		if c.retransmitted {
			h.advance(200)
			pending.retransmit()
			h.advance(25)
		} else {
			h.advance(325)
		}
		probes := h.core.Probes(h.now)
		require.Len(t, probes, 1, c.name)
		for range silentProbes {
			for _, p := range probes {
				if c.othersAnswer {
					healthy.roundTrip()
				}
				h.advance(c.took)
				h.core.ProbeDone(h.now, p, c.outcome)
			}
			h.advance(50)
			probes = h.core.Probes(h.now)
		}
		resets := 0
		for _, e := range h.core.Resets() {
			if e.Tuple == idle.tuple {
				resets++
			}
		}
		require.Equal(t, c.dead, resets == 1, c.name)
	}
}

// This daemon's own link is congested for half a second while it sends a new
// configuration to many peers. Packets and probes wait there, and clients retransmit,
// while the targets serve. On day hunt-34e2-7 of lin-crest-grown, seven targets in
// three data centres counted as dead at once and the FLOW promise was broken. Days
// fresh-01d9 and hunt-4376-7 showed the same at the same second.
func TestCongestedLinkResetsNothing(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"), target(3, "b"))
	var clients []*client
	for _, id := range []schema.TargetID{"i-000001", "i-000002"} {
		h.openOn(nonIdempotentAddress, id)
		for range 3 {
			clients = append(clients, h.openOn(idempotentAddress, id))
		}
	}
	h.advance(clock.Second)
	early := h.openOn(idempotentAddress, "i-000001")
	early.request()
	h.advance(25)
	for _, c := range clients {
		c.request()
	}
	early.ackAnswer()
	h.advance(200)
	for _, c := range clients {
		c.retransmit()
	}
	for range 6 {
		h.runProbes(Silent, 150)
	}
	for _, l := range h.core.Loads(h.now, false) {
		require.Zero(t, l.ConfirmedMisses, "no confirmed misses are reported to peers")
	}
	for _, c := range clients {
		c.ackAnswer()
	}
	h.advance(clock.Second)
	require.Empty(t, h.core.Resets())
}

// newUnanswered returns a harness with an idle flow on i-000001, where another flow's
// request had no answer and was sent again, and a healthy flow on i-000002.
func newUnanswered(t *testing.T) (h *harness, idle, healthy *client) {
	h = newHarness(t, target(1, "a"), target(2, "a"))
	idle = h.openOn(nonIdempotentAddress, "i-000001")
	pending := h.openOn(idempotentAddress, "i-000001")
	healthy = h.openOn(idempotentAddress, "i-000002")
	h.advance(clock.Second)
	pending.request()
	healthy.roundTrip()
	h.advance(200)
	pending.retransmit()
	h.advance(25)
	return h, idle, healthy
}

// TestSlowLinkOfThisDaemonIsNotSilence guards against open flows that are reset because
// this daemon's own link was full for longer than a probe waits, while it sent a new
// configuration to peers: the packets that it forwarded meanwhile had their answers, but
// only after the probe had ended (FLOW, incident 41).
func TestSlowLinkOfThisDaemonIsNotSilence(t *testing.T) {
	h, idle, healthy := newUnanswered(t)
	for range 3 {
		list := h.core.Probes(h.now)
		healthy.request()
		h.advance(160)
		for _, p := range list {
			h.core.ProbeDone(h.now, p, Silent)
		}
		h.advance(25)
		healthy.ackAnswer()
		h.advance(25)
	}
	for _, e := range h.core.Resets() {
		require.NotEqual(t, idle.tuple, e.Tuple)
	}
	require.Equal(t, Deliver, idle.request().Action)
}

// TestOneSilentProbeIsNotEnough guards against open flows that are reset because the
// packets of a single probe were lost (FLOW, incident 41).
func TestOneSilentProbeIsNotEnough(t *testing.T) {
	for _, second := range []Outcome{Silent, Accepted} {
		h, idle, healthy := newUnanswered(t)
		healthy.roundTrip()
		require.Len(t, h.runProbes(Silent, 160), 1)
		require.Empty(t, h.core.Resets())
		healthy.roundTrip()
		require.Len(t, h.runProbes(second, 160), 1, "the second follows at once")
		require.Equal(t, second == Silent, slices.Contains(tuplesOf(h.core.Resets()), idle.tuple), second)
	}
}

// A target answers a peer while a probe is under way that is then refused.
func TestAnswerDuringProbeKeepsFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	h.openOn(nonIdempotentAddress, "i-000001")
	pending := h.openOn(idempotentAddress, "i-000001")
	h.advance(clock.Second)
	pending.request()
	h.advance(325)
	probes := h.core.Probes(h.now)
	require.Len(t, probes, 1)
	h.core.ApplyPeerLoads(h.now, "vm-2", "a", []fleet.Load{{Code: pending.target.Code, LastAnswerAge: 10}}, false)
	h.core.ProbeDone(h.now, probes[0], Refused)
	h.advance(clock.Second)
	require.Empty(t, h.core.Resets())
}

// Hundreds of daemons hold one or two idle flows each to a target that becomes
// unresponsive, and only one has a request on it. Its report makes the others probe,
// and no flow is reset by the report alone. On day trouble-1 of lin-crest-large,
// requests that must run at most once were sent on flows of targets that other daemons
// had known to be unresponsive for a second.
func TestReportedDeadTargetIsProbedAndForwarded(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"), target(3, "a"))
	idle := h.openOn(nonIdempotentAddress, "i-000001")
	healthy := h.openOn(idempotentAddress, "i-000002")
	h.advance(clock.Second)
	report := []fleet.DeadTarget{{Code: idle.target.Code, Age: 40}, {Code: target3Code(), Age: 40}}
	h.core.ApplyDeadTargets(h.now, report)
	require.True(t, h.core.TakeReportSoon(), "it is reported at once")
	for n := range deadReportCount {
		require.Len(t, h.core.DeadTargets(h.now), 2, "summary %d", n)
		h.core.ApplyDeadTargets(h.now, report)
	}
	require.Empty(t, h.core.DeadTargets(h.now), "reported deadReportCount times")
	require.Zero(t, h.countOpens(50)["i-000001"], "new flows go elsewhere at once")
	healthy.roundTrip()
	require.Equal(t, []schema.TargetID{"i-000001"}, h.runProbes(Accepted, 5), "no flow to the other one is recorded here")
	require.Empty(t, h.core.Resets())
	h.advance(clock.Second)
	h.core.ApplyDeadTargets(h.now+2*clock.Second, []fleet.DeadTarget{{Code: idle.target.Code, Age: 40}})
	h.advance(2 * clock.Second)
	for range silentProbes {
		healthy.roundTrip()
		h.runProbes(Silent, 160)
	}
	require.Equal(t, 1, h.resetsByTarget()["i-000001"])
}

func target3Code() fleet.Code {
	t := target(3, "a")
	return t.Code()
}

// The request for probes of a target expires if the target is not heard of again.
func TestProbeRequestsExpire(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	pending := h.openOn(idempotentAddress, "i-000001")
	h.advance(clock.Second)
	pending.request()
	h.advance(325)
	require.Len(t, h.core.Probes(h.now), 1)
	require.Empty(t, h.core.Probes(h.now), "one at a time")
	h.core.ProbeDone(h.now, Probe{Code: pending.target.Code, Began: h.now}, Silent)
	h.advance(probeReasonTTL + clock.Second)
	h.core.Probes(h.now)
	require.Empty(t, h.core.probeQueue)
	require.Zero(t, h.core.activeProbes)
}

// TestProbeThatEndsInAStallProvesNothing guards against open flows that are reset because
// this process did not run for the time of a probe, and the probe's end is handled before
// the tick that notices the stall (FLOW, incident 41).
func TestProbeThatEndsInAStallProvesNothing(t *testing.T) {
	h, idle, healthy := newUnanswered(t)
	for range silentProbes {
		list := h.core.Probes(h.now)
		require.Len(t, list, 1)
		healthy.request()
		h.now += 160
		healthy.ackAnswer()
		h.core.ProbeDone(h.now, list[0], Silent)
		h.advance(probeInterval)
	}
	h.advance(100)
	h.core.Probes(h.now)
	h.advance(25)
	require.NotContains(t, tuplesOf(h.core.Resets()), idle.tuple)
}

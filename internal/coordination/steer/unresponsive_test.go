package steer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// resetsByTarget counts the flows reset since the last call by target.
func (h *harness) resetsByTarget() map[schema.TargetID]int {
	n := make(map[schema.TargetID]int)
	for _, e := range h.core.Resets() {
		n[e.Target.ID]++
	}
	return n
}

// sendUnanswered opens flows to targets, and sends and retransmits a request on
// each that is not answered.
func (h *harness) sendUnanswered(ids ...schema.TargetID) {
	var clients []*client
	for _, id := range ids {
		for range 3 {
			c := h.openOn(idempotentAddress, id)
			clients = append(clients, c)
		}
	}
	for _, c := range clients {
		c.request()
	}
	h.advance(225)
	for _, c := range clients {
		c.retransmit()
	}
	h.advance(100)
}

// An unresponsive target's flows are reset at once: the clients would otherwise wait
// for their whole time limit.
func TestUnresponsiveTargetFlowsAreReset(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"), target(3, "a"))
	idle := h.openOn(nonIdempotentAddress, "i-000001")
	pending := h.openOn(nonIdempotentAddress, "i-000001")
	h.openOn(idempotentAddress, "i-000002").request()
	pending.request()
	h.sendUnanswered("i-000001")
	resets := h.core.Resets()
	reasons := make(map[flow.Tuple]Reason)
	for _, e := range resets {
		require.Equal(t, schema.TargetID("i-000001"), e.Target.ID)
		reasons[e.Tuple] = e.Reason
	}
	require.Equal(t, TargetUnresponsive, reasons[idle.tuple], "an idle flow is reset, so that its next request opens another")
	require.NotContains(t, reasons, pending.tuple, "a request that runs at most once may still be answered")
	require.GreaterOrEqual(t, len(reasons), 4)
}

// A data centre loses power, except for one idle target that still serves. Its flows
// must not be reset. One was on day trouble-3 of lin-crest.
func TestIdleTargetInUnresponsiveDataCentreKeepsFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "c"), target(3, "c"), target(4, "c"))
	h.updateTarget(func() fleet.Target { x := target(1, "a"); x.Draining = true; return x }())
	h.openOn(nonIdempotentAddress, "i-000004")
	h.advance(clock.Second)
	h.sendUnanswered("i-000002", "i-000003")
	resets := h.resetsByTarget()
	require.Positive(t, resets["i-000002"])
	require.Positive(t, resets["i-000003"])
	require.Zero(t, resets["i-000004"], "it has no misses")
}

// A busy target takes longer for each request than clients wait before they
// retransmit. It acknowledges the requests, so nothing is retransmitted.
func TestSlowTargetIsNotUnresponsive(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	for range 5 {
		h.openOn(idempotentAddress, "i-000001").request()
	}
	h.advance(3 * clock.Second)
	require.Empty(t, h.core.Resets())
}

// The packets of a request are reordered.
func TestReorderedPacketIsNoMiss(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	for range 5 {
		c := h.openOn(idempotentAddress, "i-000001")
		c.seq += 1200
		c.send(flow.Segment{Len: 300})
		c.seq -= 1200
		c.send(flow.Segment{Len: 1200})
	}
	require.False(t, h.core.TakeReportSoon())
	h.advance(clock.Second)
	require.Empty(t, h.core.Resets())
}

// This daemon loses all connections while its targets serve.
func TestDaemonWithoutAnswersResetsNothing(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"), target(3, "b"))
	var clients []*client
	for _, id := range []schema.TargetID{"i-000001", "i-000002"} {
		for range 3 {
			clients = append(clients, h.openOn(idempotentAddress, id))
		}
	}
	h.advance(clock.Second)
	for _, c := range clients {
		c.request()
	}
	h.advance(225)
	for _, c := range clients {
		c.retransmit()
	}
	h.advance(400)
	require.True(t, h.core.NoTargetAnswers(h.now))
	require.Empty(t, h.core.Resets())
}

// A disconnected peer reports misses of targets that are only idle here.
func TestOnePeersMissesResetNothing(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	idle := h.openOn(nonIdempotentAddress, "i-000001")
	h.openOn(nonIdempotentAddress, "i-000002")
	h.advance(2 * clock.Second)
	for range 20 {
		h.core.ApplyPeerLoads(h.now, "vm-2", "a", []fleet.Load{{Code: idle.target.Code, Flows: 9, Misses: 9, ConfirmedMisses: 9, FirstMissAge: 600, LastAnswerAge: 5000}}, false)
		h.advance(100)
	}
	require.Empty(t, h.core.Resets())
}

// A target crashes. Its host answers each first packet with a reset, which the daemon
// does not see.
func TestCrashedTargetGetsFewNewFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	lost := 0
	for range 100 {
		c := h.open(idempotentAddress)
		if c.target.ID == "i-000001" {
			lost++
		} else {
			c.accept()
		}
		h.advance(25)
	}
	require.LessOrEqual(t, lost, 10)
}

// The target of a first packet is unresponsive, so the retransmitted packet must go
// to another one.
func TestRetransmittedOpenLeavesUnresponsiveTarget(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	var clients []*client
	for len(clients) < 3 {
		c := h.open(idempotentAddress)
		if c.target.ID == "i-000001" {
			clients = append(clients, c)
		} else {
			c.accept()
		}
	}
	h.advance(200)
	for _, c := range clients {
		v := c.retransmitOpen(1)
		require.Equal(t, Deliver, v.Action)
		require.Equal(t, schema.TargetID("i-000002"), v.Target.ID)
	}
}

// A target fails just after it answered another daemon. The first unanswered packet
// was sent before that answer. It must not hide the later misses: on day targets-dark
// flows waited for their time limit although 20 misses followed.
func TestMissBeforeLastAnswerDoesNotHideLaterMisses(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	healthy := h.openOn(idempotentAddress, "i-000002")
	var clients []*client
	for range 4 {
		clients = append(clients, h.openOn(idempotentAddress, "i-000001"))
	}
	h.advance(clock.Second)
	clients[0].request()
	h.advance(25)
	lastAnswer := h.now
	h.advance(25)
	for _, c := range clients[1:] {
		c.request()
	}
	healthy.roundTrip()
	h.advance(225)
	resets := 0
	for _, c := range clients {
		if c.retransmit().Action == Reset {
			resets++
		}
	}
	healthy.roundTrip()
	h.core.ApplyPeerLoads(h.now, "vm-2", "a", []fleet.Load{{Code: clients[0].target.Code, Flows: 3, LastAnswerAge: h.now - lastAnswer}}, false)
	h.advance(100)
	require.Equal(t, 4, resets+h.resetsByTarget()["i-000001"])
}

// Only the admitter sends trial flows to an avoided target. The other daemons use the
// target again once they hear that it answered.
func TestOnlyAdmitterTriesAvoidedTarget(t *testing.T) {
	for _, isAdmitter := range []bool{true, false} {
		h := newHarness(t, target(1, "a"), target(2, "a"))
		h.core.SetAdmitter(func(fleet.Code) bool { return isAdmitter }, 7, 7)
		h.sendUnanswered("i-000001")
		unresponsive := h.core.byCode[target1Code()]
		trials := 0
		for range 120 {
			if c := h.open(idempotentAddress); c.target == unresponsive {
				trials++
			} else {
				c.accept()
			}
			h.advance(25)
		}
		if isAdmitter {
			require.Positive(t, trials)
			require.LessOrEqual(t, trials, 4)
			continue
		}
		require.Zero(t, trials)
		h.core.ApplyPeerLoads(h.now, "vm-2", "a", []fleet.Load{{Code: unresponsive.Code, Flows: 1, LastAnswerAge: 10}}, false)
		h.advance(25)
		h.openOn(idempotentAddress, "i-000001")
	}
}

func target1Code() fleet.Code {
	t := target(1, "a")
	return t.Code()
}

// A target crashes some time before its whole data centre loses power. Its old misses
// must not hide that the other targets failed together.
func TestOldMissDoesNotHideUnresponsiveDataCentre(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "c"), target(3, "c"), target(4, "c"))
	crashed := h.openOn(idempotentAddress, "i-000004")
	healthy := h.openOn(idempotentAddress, "i-000001")
	crashed.request()
	h.advance(225)
	crashed.retransmit()
	h.advance(300)
	for _, id := range []schema.TargetID{"i-000002", "i-000003"} {
		c := h.openOn(idempotentAddress, id)
		c.request()
		c.ackAnswer()
	}
	h.advance(500)
	var clients []*client
	for _, id := range []schema.TargetID{"i-000002", "i-000003"} {
		for range 2 {
			clients = append(clients, h.openOn(idempotentAddress, id))
		}
	}
	for _, c := range clients {
		c.request()
	}
	h.advance(225)
	for _, c := range clients {
		c.retransmit()
	}
	healthy.request()
	healthy.ackAnswer()
	h.advance(125)
	require.True(t, h.core.unresponsiveDCs["c"])
}

// The fabric redistributes the flows because daemons left or crashed. Flows that
// were just opened here continue through other daemons, so their second packet never
// comes here. On day scale-2 of lin-crest-grown, after half of the daemons lost
// power, idle flows of healthy targets were reset because of that.
func TestFlowsMovedToOtherDaemonsResetNothing(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"), target(3, "c"), target(4, "c"))
	for _, id := range []schema.TargetID{"i-000001", "i-000002"} {
		h.openOn(nonIdempotentAddress, id)
	}
	h.advance(5 * clock.Second)
	healthy := h.openOn(idempotentAddress, "i-000002")
	for range 3 {
		for range 8 {
			h.open(idempotentAddress)
		}
		healthy.request()
		healthy.ackAnswer()
		h.advance(300)
	}
	h.advance(clock.Second)
	require.Empty(t, h.core.Resets())
	for range 8 {
		h.open(idempotentAddress)
	}
	h.advance(clock.Second)
	require.False(t, h.core.NoTargetAnswers(h.now))
}

// This data centre is out and then cut off from the others: its own targets get no
// new flows and the others' don't receive them, while older flows continue.
func TestNoTargetAcceptsNewFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "b"))
	old := h.openOn(idempotentAddress, "i-000001")
	h.rev++
	h.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: h.rev, Outs: []fleet.Out{{DataCentre: "a", Rev: h.rev}}})
	failOpens := func() {
		var opens []*client
		for range 5 {
			opens = append(opens, h.open(idempotentAddress))
		}
		h.advance(200)
		for _, c := range opens {
			c.retransmitOpen(1)
		}
		old.request()
		old.ackAnswer()
		h.advance(400)
	}
	h.advance(clock.Second)
	failOpens()
	require.True(t, h.core.NoTargetAcceptsFlows(h.now))
	require.False(t, h.core.NoTargetAnswers(h.now), "the old flow is answered")
	h.core.ResetOpenMisses()
	require.False(t, h.core.NoTargetAcceptsFlows(h.now))
	failOpens()
	h.open(idempotentAddress).accept()
	require.False(t, h.core.NoTargetAcceptsFlows(h.now))
}

// Many daemons share a target's flows. This one has only idle flows there, and peers
// report misses. Flows are reset only with misses of this daemon's own: with those of
// three peers alone, flows of healthy targets were reset on days fresh-01d9 and
// hunt-4376-7 of lin-crest-grown.
func TestPeersMissesAloneResetNothing(t *testing.T) {
	for reporters := 1; reporters <= 4; reporters++ {
		h := newHarness(t, target(1, "a"), target(2, "a"))
		idle := h.openOn(nonIdempotentAddress, "i-000001")
		healthy := h.openOn(idempotentAddress, "i-000002")
		h.advance(5 * clock.Second)
		report := func() {
			for n := range reporters {
				id := schema.VMID(fmt.Sprintf("vm-%d", n+2))
				h.core.ApplyPeerLoads(h.now, id, "a", []fleet.Load{{Code: idle.target.Code, Flows: 2, Misses: 1, ConfirmedMisses: 1, FirstMissAge: h.now - startTime - 5*clock.Second, LastAnswerAge: 9000}}, false)
			}
			healthy.request()
			healthy.ackAnswer()
		}
		h.advance(250)
		report()
		require.Empty(t, h.core.Resets(), "too early")
		h.advance(300)
		report()
		h.advance(50)
		require.Empty(t, h.core.Resets(), "%d reporting peers", reporters)
	}
}

// Peers report misses of a target that has answered another peer since.
func TestAnswerToPeerPreventsReset(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	idle := h.openOn(nonIdempotentAddress, "i-000001")
	h.advance(5 * clock.Second)
	for range 8 {
		for n := range 4 {
			id := schema.VMID(fmt.Sprintf("vm-%d", n+2))
			h.core.ApplyPeerLoads(h.now, id, "a", []fleet.Load{{Code: idle.target.Code, Flows: 2, Misses: 1, ConfirmedMisses: 1, FirstMissAge: 900, LastAnswerAge: 9000}}, false)
		}
		h.core.ApplyPeerLoads(h.now, "vm-9", "a", []fleet.Load{{Code: idle.target.Code, Flows: 2, LastAnswerAge: 200}}, false)
		h.advance(100)
	}
	require.Empty(t, h.core.Resets())
}

// A data centre loses power, and hundreds of daemons have one or two flows each to
// its hundreds of targets, so that no target has misses of two daemons. The misses
// must add up over the data centre: otherwise its flows wait for their time limit, as
// they did with 101 and 301 machines.
func TestMissesOfManyTargetsMarkDataCentreUnresponsive(t *testing.T) {
	var list []fleet.Target
	list = append(list, target(1, "a"))
	for n := 2; n < 12; n++ {
		list = append(list, target(n, "c"))
	}
	for _, peers := range []int{1, 2, 8} {
		for _, answered := range []bool{false, true} {
			checkMisses(t, list, peers, answered)
		}
	}
}

// checkMisses gives this daemon and some peers one miss each in a data centre, with
// or without a later answer to that data centre's own daemons.
func checkMisses(t *testing.T, list []fleet.Target, peers int, answered bool) {
	h := newHarness(t, list...)
	h.updateTarget(draining(target(1, "a")))
	pending := h.openOn(idempotentAddress, "i-000002")
	idle := h.openOn(idempotentAddress, "i-000003")
	h.updateTarget(target(1, "a"))
	healthy := h.openOn(idempotentAddress, "i-000001")
	h.advance(5 * clock.Second)
	pending.request()
	healthy.roundTrip()
	h.advance(225)
	pending.retransmit()
	for n := range peers {
		missed := target(4+n, "c")
		h.core.ApplyPeerLoads(h.now, schema.VMID(fmt.Sprintf("vm-%d", n+2)), "a", []fleet.Load{
			{Code: missed.Code(), Flows: 1, Misses: 1, ConfirmedMisses: 1, FirstMissAge: 225, LastAnswerAge: 9000},
		}, false)
	}
	if answered {
		h.core.RecordDataCentreAnswer("c", h.now-50)
	}
	healthy.request()
	healthy.ackAnswer()
	h.advance(100)
	reset := make(map[flow.Tuple]bool)
	for _, e := range h.core.Resets() {
		reset[e.Tuple] = true
	}
	require.Equal(t, peers >= 2 && !answered, reset[pending.tuple], "%d peers, answered %t", peers, answered)
	require.False(t, reset[idle.tuple], "its target has no misses")
}

// Daemons report to each other when a data centre last answered. Forwarding what
// peers reported would make a failed data centre look alive.
func TestPeersAnswersAreNotForwarded(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "c"))
	require.Negative(t, h.core.SinceLocalAnswer(h.now))
	h.core.RecordDataCentreAnswer("a", h.now)
	require.Negative(t, h.core.SinceLocalAnswer(h.now))
	c := h.openOn(idempotentAddress, "i-000001")
	c.request()
	c.ackAnswer()
	h.advance(500)
	h.core.RecordDataCentreAnswer("a", h.now)
	require.Equal(t, 500*clock.Milli(1), h.core.SinceLocalAnswer(h.now))
}

// This daemon gets little processor time for a while. Packets wait in its queue, so
// that clients retransmit them before it has forwarded the first copies, and the
// answers wait behind them.
func TestStalledDaemonResetsNothing(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"), target(3, "b"))
	idle := h.openOn(nonIdempotentAddress, "i-000001")
	healthy := h.openOn(idempotentAddress, "i-000003")
	var pending []*client
	for range 4 {
		pending = append(pending, h.openOn(idempotentAddress, "i-000001"))
	}
	h.advance(5 * clock.Second)
	for _, c := range pending {
		c.request()
	}
	h.now += 250 // no tick meanwhile
	for _, c := range pending {
		c.retransmit()
	}
	healthy.request()
	healthy.ackAnswer()
	h.now += 25
	h.core.Tick(h.now)
	for _, l := range h.core.Loads(h.now, false) {
		require.Zero(t, l.ConfirmedMisses, "no confirmed misses are reported to peers")
	}
	for _, c := range pending {
		c.ackAnswer()
	}
	h.advance(2 * clock.Second)
	for _, e := range h.core.Resets() {
		require.NotEqual(t, idle.tuple, e.Tuple, "its target has always answered")
	}
	require.Empty(t, h.core.Resets())
}

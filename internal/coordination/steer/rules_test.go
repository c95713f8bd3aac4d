package steer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// countOpens opens n flows, accepts them and counts them by target.
func (h *harness) countOpens(n int) map[schema.TargetID]int {
	got := make(map[schema.TargetID]int)
	for range n {
		c := h.open(idempotentAddress).accept()
		got[c.target.ID]++
	}
	return got
}

func draining(t fleet.Target) fleet.Target {
	t.Draining = true
	return t
}

// A target drains while it has flows.
func TestDrainingTargetKeepsOnlyItsFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	c := h.openOn(nonIdempotentAddress, "i-000001")
	h.updateTarget(draining(target(1, "a")))
	require.Zero(t, h.countOpens(100)["i-000001"])
	require.Equal(t, Deliver, c.request().Action)
	require.Equal(t, schema.TargetID("i-000001"), c.request().Target.ID)
}

// TestCopyOpensNothingOnALeavingTarget guards against a first packet's copy that opens a
// flow on the target of the first one after that was found to leave, as there is no other
// target (DRAIN, EVAC, incident 38).
func TestCopyOpensNothingOnALeavingTarget(t *testing.T) {
	leave := map[string]func(h *harness){
		"draining": func(h *harness) { h.updateTarget(draining(target(1, "a"))) },
		"data centre out": func(h *harness) {
			h.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 2000, Outs: []fleet.Out{{DataCentre: "a", Rev: 2000}}})
		},
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, target(1, "a"))
			opening, opened := h.open(idempotentAddress), h.open(idempotentAddress).accept()
			f(h)
			h.advance(200)
			require.Equal(t, Drop, opening.retransmitOpen(1).Action, "not reset: the target may have accepted the first one")
			opened.seq = opening.seq // that of a first packet
			v := opened.retransmitOpen(1)
			require.Equal(t, Deliver, v.Action, "the target has the flow")
			require.Equal(t, schema.TargetID("i-000001"), v.Target.ID)
		})
	}
}

// A data centre is taken out and put back in.
func TestDataCentreOutGetsNoNewFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "b"))
	h.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 2000, Outs: []fleet.Out{{DataCentre: "a", Rev: 2000}}})
	require.Zero(t, h.countOpens(50)["i-000001"])
	h.apply(fleet.Update{Topic: fleet.Outs, Since: 2000, Rev: 2001, Gone: []fleet.Removal{{Name: "a", Rev: 2001}}})
	h.apply(fleet.Update{Topic: fleet.Outs, Full: true, Rev: 1500, Outs: []fleet.Out{{DataCentre: "a", Rev: 1400}}})
	h.advance(3 * clock.Second)
	require.Positive(t, h.countOpens(50)["i-000001"], "an older list changes nothing")
}

// TestForeignEntryKeepsItsTarget guards against an entry of another writer, with a pool that
// the configuration doesn't name, that takes the place of a living target's and ends its open
// flows (FLOW). It names no target to use until the configuration names its pool.
func TestForeignEntryKeepsItsTarget(t *testing.T) {
	for _, born := range []int64{1, 0, 9} {
		h := newHarness(t, target(1, "a"), target(2, "a"))
		c := h.openOn(nonIdempotentAddress, "i-000001")
		own, foreign := target(1, "a"), target(1, "a")
		foreign.StartedAt, foreign.Pool, foreign.Address = born, "unnamed", netip.MustParseAddrPort("10.9.9.9:81")
		for range 2 {
			h.updateTarget(foreign)
			for range 4 {
				h.advance(400)
				require.Empty(t, h.core.Resets())
				require.Equal(t, Deliver, c.request().Action)
				require.Equal(t, Deliver, c.ackAnswer().Action)
				require.Equal(t, map[schema.TargetID]int{"i-000002": 10}, h.countOpens(10))
			}
			h.updateTarget(own)
			require.Equal(t, Deliver, c.request().Action)
			require.Equal(t, Deliver, c.ackAnswer().Action)
			require.Positive(t, h.countOpens(30)["i-000001"], "its own entry is back")
		}
	}
}

// TestEntryIsUsedOnceItsPoolIsNamed guards against targets that start again in a pool that a
// later version of the configuration brings, and are taken for another writer's for good.
func TestEntryIsUsedOnceItsPoolIsNamed(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	c := h.openOn(idempotentAddress, "i-000001")
	moved := target(1, "a")
	moved.StartedAt, moved.Pool, moved.Address = 9, "late", netip.MustParseAddrPort("10.9.9.9:81")
	h.updateTarget(moved)
	h.advance(500)
	require.Equal(t, Deliver, c.request().Action)
	tab := table()
	tab.Rev, tab.Pools = h.rev+1, append(tab.Pools, fleet.Pool{Name: "late"})
	tab.Routes[0].Pools = []fleet.Share{{Pool: "late", Weight: 1}}
	h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: h.rev + 1, Table: tab})
	require.Equal(t, Reset, c.retransmit().Action, "its target was replaced")
	require.Equal(t, "10.9.9.9:81", h.open(nonIdempotentAddress).target.Address.String())
	require.Empty(t, h.core.foreign)
}

// This daemon does not know a target that other daemons use.
func TestUnknownCookieIsNeverReset(t *testing.T) {
	h := newHarness(t, target(1, "a"))
	c := h.open(idempotentAddress)
	c.cookie, c.seq = 0x12345678, c.seq+1
	v := c.request()
	require.Equal(t, Drop, v.Action)
	require.Equal(t, UnknownCookie, v.Reason)
}

// Nothing is known yet because all daemons were restarted.
func TestPacketsAreHeldUntilTheDeploymentIsKnown(t *testing.T) {
	c := New("a", 1)
	s := flow.Segment{Open: true, Tuple: flow.Tuple{ServiceAddress: nonIdempotentAddress.Addr().As4(), ServicePort: nonIdempotentAddress.Port()}}
	require.Equal(t, Hold, c.Decide(startTime, &s, true).Action)
	s.Open = false
	require.Equal(t, Hold, c.Decide(startTime, &s, true).Action)
}

// TestOnlyCookiesThatNameATargetPassEarly guards against flows that wait for the
// configuration, and against packets that go anywhere but to the start of a target that
// their cookie names while the view is incomplete.
func TestOnlyCookiesThatNameATargetPassEarly(t *testing.T) {
	c := New("a", 1)
	x := target(1, "b")
	s := flow.Segment{Cookie: uint32(x.Code()), Tuple: flow.Tuple{ServiceAddress: nonIdempotentAddress.Addr().As4(), ServicePort: nonIdempotentAddress.Port()}}
	c.Apply(startTime, &fleet.Update{Topic: fleet.Targets, Full: true, Rev: 1000, Targets: []fleet.Target{x}})
	v := c.Decide(startTime, &s, true)
	require.Equal(t, Deliver, v.Action)
	require.Equal(t, x.ID, v.Target.ID)
	s.Open = true
	require.Equal(t, Hold, c.Decide(startTime, &s, true).Action, "its target may be in a data centre that is out")
	s.Open, s.Cookie = false, s.Cookie+1
	require.Equal(t, Hold, c.Decide(startTime, &s, true).Action, "no target is named")
	s.Cookie--
	later := x
	later.Number, later.Rev = 2, 1001
	c.Apply(startTime, &fleet.Update{Topic: fleet.Targets, Full: true, Rev: 1001, Targets: []fleet.Target{later}})
	require.Equal(t, Hold, c.Decide(startTime, &s, true).Action, "the start that it names has ended")
}

// A flow's route was removed, or an address never had a route.
func TestOnlyFreshConfigurationResetsFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"))
	c := h.open(idempotentAddress).accept()
	table := table()
	table.Rev, table.Routes = 2000, table.Routes[:1]
	h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: table})
	s := flow.Segment{Tuple: c.tuple, Cookie: c.cookie, Seq: c.seq, Ack: c.ack, Len: 5}
	require.Equal(t, Deliver, h.core.Decide(h.now, &s, false).Action, "a stale configuration resets nothing")
	require.Equal(t, RouteGone, h.core.Decide(h.now, &s, true).Reason)
	first := flow.Segment{Tuple: c.tuple, Open: true}
	require.Equal(t, Drop, h.core.Decide(h.now, &first, false).Action)
	require.Equal(t, Verdict{Action: Reset, Reason: NoRoute, Changed: true}, h.core.Decide(h.now, &first, true))
}

// A target restarts with the same ID.
func TestRestartedTargetResetsOldFlows(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	c := h.openOn(nonIdempotentAddress, "i-000001")
	restarted := target(1, "a")
	restarted.StartedAt = 2
	h.updateTarget(restarted)
	v := c.request()
	require.Equal(t, Reset, v.Action)
	require.Equal(t, TargetGone, v.Reason)
	fresh := h.openOn(nonIdempotentAddress, "i-000001")
	require.NotEqual(t, c.cookie, fresh.cookie)
	require.Equal(t, Deliver, fresh.request().Action)
}

// TestFlowsOfTheNewStartLiveUnderTheOldCode guards against flows that are reset because
// they were opened on a restarted target by a view that was older than the restart (FLOW).
func TestFlowsOfTheNewStartLiveUnderTheOldCode(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	before := h.openOn(nonIdempotentAddress, "i-000001")
	h.advance(clock.Second)
	confirmed := h.now
	h.advance(5 * clock.Second) // the store is silent, the target restarts
	after := h.openOn(nonIdempotentAddress, "i-000001")
	after.roundTrip()
	restarted := target(1, "a")
	restarted.StartedAt = 2
	h.core.SetTargetsConfirmed(confirmed)
	h.updateTarget(restarted)
	h.advance(clock.Second)
	resets := h.core.Resets()
	require.Len(t, resets, 1)
	require.Equal(t, before.tuple, resets[0].Tuple, "its last answer is older than what the store confirmed")
	require.Equal(t, Deliver, after.request().Action)
	elsewhere := *after // opened at another daemon
	elsewhere.tuple.ClientPort += 100
	require.Equal(t, Deliver, elsewhere.request().Action, "the target resets it if it does not hold it")
	require.Equal(t, Deliver, elsewhere.request().Action)
}

// An older list arrives after a newer change.
func TestOlderUpdateChangesNothing(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	h.updateTarget(draining(target(1, "a")))
	h.apply(fleet.Update{Topic: fleet.Targets, Full: true, Rev: 900, Targets: []fleet.Target{target(1, "a"), target(2, "a")}})
	require.Zero(t, h.countOpens(50)["i-000001"])
}

// Two targets have the same code, until one of them has been gone for longer than a
// flow lives.
func TestCollidingCodesGetNoNewFlows(t *testing.T) {
	for _, removed := range []schema.TargetID{"i-000001", "i-000009"} {
		h := newHarness(t, target(1, "a"), target(2, "a"))
		first := h.core.byCode[target1Code()]
		c := h.openOn(idempotentAddress, "i-000001")
		second := h.core.addColliding(first.Code, first, "i-000009")
		second.Target = target(9, "a")
		second.Pool = "proof"
		h.core.fillPools()
		require.Zero(t, h.countOpens(50)["i-000001"])
		require.Equal(t, schema.TargetID("i-000001"), c.request().Target.ID, "the pool of the route decides")
		second.Pool = "desk"
		require.Nil(t, c.request().Target, "the cookie is ambiguous")
		if removed == "i-000001" {
			h.removeTarget(removed)
		} else {
			h.core.markGone(h.now, second)
		}
		h.advance(h.core.Replica().Retention() - clock.Second)
		require.Zero(t, h.countOpens(50)["i-000001"]+h.countOpens(50)["i-000009"])
		h.advance(2 * clock.Second)
		require.Empty(t, h.core.colliding)
		left := map[schema.TargetID]schema.TargetID{"i-000001": "i-000009", "i-000009": "i-000001"}[removed]
		require.Positive(t, h.countOpens(50)[left])
		require.Zero(t, h.countOpens(50)[removed])
	}
}

// Many clients open flows while there is no other load.
func TestOpensAreSpreadEvenly(t *testing.T) {
	var targets []fleet.Target
	for i := range 14 {
		targets = append(targets, target(i+1, "a"))
	}
	h := newHarness(t, targets...)
	got := h.countOpens(1400)
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 110, "at most 1.10 of the mean")
}

// Local targets are preferred until they are clearly busier.
func TestLocalTargetsFirstThenRemote(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "b"))
	require.Zero(t, h.countOpens(5)["i-000002"])
	for range 40 {
		h.open(idempotentAddress).accept().request()
	}
	require.Positive(t, h.countOpens(20)["i-000002"])
}

// Many daemons open flows on a cold target. Its rate must hold for their sum.
func TestColdTargetRateHoldsAcrossDaemons(t *testing.T) {
	const daemons = 7
	cold := target(1, "a")
	cold.ColdLeft = clock.Minute
	var harnesses []*harness
	for i := range daemons {
		h := newHarness(t, cold, target(2, "a"))
		tab := table()
		tab.Rev, tab.Pools[0].ColdRate = 2000, 4
		h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
		h.core.SetAdmitter(func(fleet.Code) bool { return i == 0 }, daemons, daemons)
		harnesses = append(harnesses, h)
	}
	var times []clock.Milli
	for range 30 * 40 {
		for _, h := range harnesses {
			if c := h.open(idempotentAddress).accept(); c.target.ID == "i-000001" {
				times = append(times, h.now)
			}
			h.advance(25)
		}
	}
	worst := 0
	for i := range times {
		n := 0
		for _, at := range times[i:] {
			if at-times[i] < clock.Second {
				n++
			}
		}
		worst = max(worst, n)
	}
	require.Positive(t, worst)
	require.LessOrEqual(t, worst, 4*3/2+5, "opens in any second, of all daemons")
}

// A pool of a weighted route has no target that accepts flows.
func TestWeightedRouteFallsBack(t *testing.T) {
	h := newHarness(t, target(1, "a"))
	tab := table()
	tab.Rev = 2000
	tab.Routes[1].Pools = []fleet.Share{{Pool: "empty", Weight: 9}, {Pool: "desk", Weight: 1}}
	h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
	require.Equal(t, 20, h.countOpens(20)["i-000001"])
	h.updateTarget(draining(target(1, "a")))
	s := flow.Segment{Open: true, Tuple: flow.Tuple{ServiceAddress: idempotentAddress.Addr().As4(), ServicePort: idempotentAddress.Port(), ClientPort: 9}}
	v := h.core.Decide(h.now, &s, true)
	require.Equal(t, Reset, v.Action, "what can't be served is rejected at once")
	require.Equal(t, NoTarget, v.Reason)
	require.Equal(t, Drop, h.core.Decide(h.now, &s, false).Action)
}

// In a large fleet, daemons report to other data centres only their targets and those
// with misses.
func TestLoadsForOtherDataCentre(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "b"), target(3, "c"))
	ids := func(list []fleet.Load) (n []fleet.Code) {
		for _, l := range list {
			n = append(n, l.Code)
		}
		return n
	}
	var all []fleet.Load
	for _, c := range h.core.targets {
		all = append(all, fleet.Load{Code: c.Code, Flows: 1})
	}
	local, remote := target(1, "a"), target(2, "b")
	require.Equal(t, []fleet.Code{remote.Code()}, ids(h.core.LoadsIn("b", all)))
	for i := range all {
		if all[i].Code == local.Code() {
			all[i].Misses = 1
		}
	}
	require.ElementsMatch(t, []fleet.Code{remote.Code(), local.Code()}, ids(h.core.LoadsIn("b", all)), "misses are reported to all")
	require.Len(t, all, 3)
}

// Many daemons open flows at once, with reported loads that are some hundred
// milliseconds old. They must not all choose the target that was the least loaded.
func TestStaleLoadsSpreadOverTargets(t *testing.T) {
	var list []fleet.Target
	for n := 1; n <= 40; n++ {
		list = append(list, target(n, "a"))
	}
	got := make(map[schema.TargetID]int)
	for seed := range uint64(20) {
		h := newHarness(t, list...)
		h.core = New("a", seed)
		h.apply(fleet.Update{Topic: fleet.Config, Full: true, Rev: 1000, Table: table()})
		h.apply(fleet.Update{Topic: fleet.Outs, Full: true, Rev: 1000})
		h.apply(fleet.Update{Topic: fleet.Targets, Full: true, Rev: 1000, Targets: list})
		var reports []fleet.Load
		for n, x := range list {
			reports = append(reports, fleet.Load{Code: x.Code(), Flows: uint16(20 + n), LastAnswerAge: 100})
		}
		h.core.ApplyPeerLoads(h.now, "vm-9", "a", reports, false)
		h.advance(100)
		for range 10 {
			got[h.open(idempotentAddress).target.ID]++
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.Less(t, most, 40, "of 200 flows, 5 a target on average")
	require.Greater(t, len(got), 15)
}

// After an outage, the targets of the smaller pool of a weighted route are full and
// refuse what they can't queue, while those of the larger pool have free slots. On day
// inc-d705 of lin-crest-large, 253 requests were refused in spite of all retries.
func TestFullPoolOfAWeightedRouteSpills(t *testing.T) {
	for _, c := range []struct {
		name         string
		small, large uint16
		spills       bool
	}{
		{"both free", 0, 0, false},
		{"busy, not full", 5, 0, false},
		{"full, the other free", 12, 0, true},
		{"both full", 12, 12, false},
	} {
		other := target(2, "a")
		other.Pool = "sheets"
		h := newHarness(t, target(1, "a"), other)
		tab := table()
		tab.Rev = 2000
		tab.Routes[1].Pools = []fleet.Share{{Pool: "desk", Weight: 1}, {Pool: "sheets", Weight: 1}}
		tab.Pools = append(tab.Pools, fleet.Pool{Name: "sheets"})
		h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
		h.core.ApplyPeerLoads(h.now, "vm-2", "a", []fleet.Load{
			{Code: h.core.byID["i-000002"].Code, Flows: 1, Busy: c.small, LastAnswerAge: 10},
			{Code: h.core.byID["i-000001"].Code, Flows: 1, Busy: c.large, LastAnswerAge: 10},
		}, false)
		h.advance(250)
		got := h.countOpens(40)["i-000002"]
		if c.spills {
			require.Less(t, got, 4, c.name)
		} else {
			require.Greater(t, got, 8, c.name)
		}
	}
}

package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// opensOn opens n flows, accepts them and counts them by target.
func (b *bed) opensOn(n int) map[schema.TargetID]int {
	got := make(map[schema.TargetID]int)
	for range n {
		c := b.open(again).accepted()
		got[c.target.ID]++
	}
	return got
}

func draining(t fleet.Target) fleet.Target {
	t.Draining = true
	return t
}

// Load: a target drains with flows on it.
func TestDrainingTargetKeepsItsFlowsOnly(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	c := b.on(desk, "i-000001")
	b.put(draining(target(1, "a")))
	require.Zero(t, b.opensOn(100)["i-000001"])
	require.Equal(t, Deliver, c.request().Action)
	require.Equal(t, schema.TargetID("i-000001"), c.request().Target.ID)
}

// Load: a data centre is taken out and comes back.
func TestDataCentreOutGetsNoNewFlows(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "b"))
	b.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 2000, Outs: []fleet.Out{{DataCentre: "a", Rev: 2000}}})
	require.Zero(t, b.opensOn(50)["i-000001"])
	b.apply(fleet.Update{Topic: fleet.Outs, Since: 2000, Rev: 2001, Gone: []fleet.Gone{{Name: "a", Rev: 2001}}})
	b.apply(fleet.Update{Topic: fleet.Outs, Full: true, Rev: 1500, Outs: []fleet.Out{{DataCentre: "a", Rev: 1400}}})
	b.run(3 * clock.Second)
	require.Positive(t, b.opensOn(50)["i-000001"], "an older list brings nothing back")
}

// Load: this daemon has not heard of a target that others use.
func TestUnknownCookieIsNeverReset(t *testing.T) {
	b := newBed(t, target(1, "a"))
	c := b.open(again)
	c.cookie, c.seq = 0x12345678, c.seq+1
	v := c.request()
	require.Equal(t, Drop, v.Action)
	require.Equal(t, UnknownCookie, v.Reason)
}

// Load: nothing is known yet, as all daemons were killed.
func TestPacketsAreHeldUntilTheDeploymentIsKnown(t *testing.T) {
	c := New("a", 1)
	s := flow.Segment{Open: true, Tuple: flow.Tuple{Address: desk.Addr().As4(), Port: desk.Port()}}
	require.Equal(t, Hold, c.Decide(start, &s, true).Action)
	s.Open = false
	require.Equal(t, Hold, c.Decide(start, &s, true).Action)
}

// Load: routes are removed, and never existed.
func TestRoutesDecideByFreshViewsOnly(t *testing.T) {
	b := newBed(t, target(1, "a"))
	c := b.open(again).accepted()
	table := table()
	table.Rev, table.Routes = 2000, table.Routes[:1]
	b.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: table})
	s := flow.Segment{Tuple: c.tuple, Cookie: c.cookie, Seq: c.seq, Ack: c.ack, Len: 5}
	require.Equal(t, Deliver, b.core.Decide(b.now, &s, false).Action, "an old view ends nothing")
	require.Equal(t, RouteGone, b.core.Decide(b.now, &s, true).Reason)
	first := flow.Segment{Tuple: c.tuple, Open: true}
	require.Equal(t, Drop, b.core.Decide(b.now, &first, false).Action)
	require.Equal(t, Verdict{Action: Reset, Reason: NoRoute, Changed: true}, b.core.Decide(b.now, &first, true))
}

// Load: a target's entry goes: it left, it fell silent, the store was down.
func TestFlowsOfGoneTargets(t *testing.T) {
	cases := map[string]struct {
		drain   bool
		trouble bool
		answers bool
		after   clock.Milli
		want    Action
	}{
		"left, at once":                    {drain: true, after: 100, want: Deliver},
		"left":                             {drain: true, after: 400, want: Reset},
		"left, store failed":               {drain: true, trouble: true, after: 400, want: Deliver},
		"vanished, may come back":          {after: 2000, want: Deliver},
		"vanished":                         {after: 2700, want: Reset},
		"vanished, store failed":           {trouble: true, after: 2400, want: Deliver},
		"vanished, but answers":            {answers: true, after: 3000, want: Deliver},
		"left, but answers after all":      {drain: true, answers: true, after: 3000, want: Deliver},
		"vanished, store failed long ago":  {trouble: true, after: 9000, want: Reset},
		"left, store failed, long ago now": {drain: true, trouble: true, after: 9000, want: Reset},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, target(1, "a"), target(2, "a"))
			c := b.on(again, "i-000001")
			other := b.on(again, "i-000001")
			b.run(50)
			if tt.drain {
				b.put(draining(target(1, "a")))
			}
			if tt.trouble {
				b.core.Trouble(b.now)
			}
			b.remove("i-000001")
			gone := b.now
			// No ticks: idle flows would end of themselves.
			if tt.answers {
				b.now += 200
				other.request()
				b.now += 300
				other.answered()
			}
			b.now = gone + tt.after
			if tt.drain && tt.answers {
				c = other
			}
			require.Equal(t, tt.want, c.request().Action)
		})
	}
}

// Load: a target starts again under its id.
func TestNewStartEndsFlowsOfTheOldOne(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	c := b.on(desk, "i-000001")
	again := target(1, "a")
	again.Born = 2
	b.put(again)
	v := c.request()
	require.Equal(t, Reset, v.Action)
	require.Equal(t, TargetGone, v.Reason)
	fresh := b.on(desk, "i-000001")
	require.NotEqual(t, c.cookie, fresh.cookie)
	require.Equal(t, Deliver, fresh.request().Action)
}

// Load: an older list arrives after a newer change.
func TestOlderNewsChangesNothing(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	b.put(draining(target(1, "a")))
	b.apply(fleet.Update{Topic: fleet.Targets, Full: true, Rev: 900, Targets: []fleet.Target{target(1, "a"), target(2, "a")}})
	require.Zero(t, b.opensOn(50)["i-000001"])
}

// Load: two targets have one code, until one of them is gone for longer than a
// flow lives.
func TestDoubledCodeTakesNoNewFlows(t *testing.T) {
	for _, goes := range []schema.TargetID{"i-000001", "i-000009"} {
		b := newBed(t, target(1, "a"), target(2, "a"))
		one := b.core.byCode[target1Code()]
		c := b.on(again, "i-000001")
		two := b.core.addColliding(one.Code, one, "i-000009")
		two.Target = target(9, "a")
		two.Pool = "proof"
		b.core.fillPools()
		require.Zero(t, b.opensOn(50)["i-000001"])
		require.Equal(t, schema.TargetID("i-000001"), c.request().Target.ID, "the route's pool tells them apart")
		two.Pool = "desk"
		require.Nil(t, c.request().Target, "nothing tells them apart")
		if goes == "i-000001" {
			b.remove(goes)
		} else {
			b.core.markGone(b.now, two)
		}
		b.run(b.core.Book().Kept() - clock.Second)
		require.Zero(t, b.opensOn(50)["i-000001"]+b.opensOn(50)["i-000009"])
		b.run(2 * clock.Second)
		require.Empty(t, b.core.colliding)
		left := map[schema.TargetID]schema.TargetID{"i-000001": "i-000009", "i-000009": "i-000001"}[goes]
		require.Positive(t, b.opensOn(50)[left])
		require.Zero(t, b.opensOn(50)[goes])
	}
}

// Load: first packets of many clients at rest.
func TestOpensAreSpreadEvenly(t *testing.T) {
	var targets []fleet.Target
	for i := range 14 {
		targets = append(targets, target(i+1, "a"))
	}
	b := newBed(t, targets...)
	got := b.opensOn(1400)
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.LessOrEqual(t, most, 110, "at most 1.10 of the mean")
}

// Load: near targets are preferred, until they are clearly busier.
func TestNearTargetsFirstThenSpill(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "b"))
	require.Zero(t, b.opensOn(5)["i-000002"])
	for range 40 {
		b.open(again).accepted().request()
	}
	require.Positive(t, b.opensOn(20)["i-000002"])
}

// Load: a cold target before many daemons, some of which join or leave.
func TestColdTargetGetsItsRateInSum(t *testing.T) {
	const daemons = 7
	cold := target(1, "a")
	cold.ColdLeft = clock.Minute
	var beds []*bed
	for i := range daemons {
		b := newBed(t, cold, target(2, "a"))
		tab := table()
		tab.Rev, tab.Pools[0].ColdRate = 2000, 4
		b.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
		b.core.SetAdmitter(func(fleet.Code) bool { return i == 0 }, daemons)
		beds = append(beds, b)
	}
	var times []clock.Milli
	for range 30 * 40 {
		for _, b := range beds {
			if c := b.open(again).accepted(); c.target.ID == "i-000001" {
				times = append(times, b.now)
			}
			b.run(25)
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

// Load: a pool of a weighted route has no target that takes flows.
func TestWeightedRouteFallsBack(t *testing.T) {
	b := newBed(t, target(1, "a"))
	tab := table()
	tab.Rev = 2000
	tab.Routes[1].Pools = []fleet.Share{{Pool: "empty", Weight: 9}, {Pool: "desk", Weight: 1}}
	b.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
	require.Equal(t, 20, b.opensOn(20)["i-000001"])
	b.put(draining(target(1, "a")))
	s := flow.Segment{Open: true, Tuple: flow.Tuple{Address: again.Addr().As4(), Port: again.Port(), ClientPort: 9}}
	v := b.core.Decide(b.now, &s, true)
	require.Equal(t, Reset, v.Action, "what can't be served is refused at once")
	require.Equal(t, NoTarget, v.Reason)
	require.Equal(t, Drop, b.core.Decide(b.now, &s, false).Action)
}

// Load: a large crowd tells loads across data centres.
func TestOtherDataCentresAreToldOfTheirTargets(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "b"), target(3, "c"))
	ids := func(list []fleet.Load) (n []fleet.Code) {
		for _, l := range list {
			n = append(n, l.Code)
		}
		return n
	}
	var all []fleet.Load
	for _, c := range b.core.targets {
		all = append(all, fleet.Load{Code: c.Code, Flows: 1})
	}
	near, far := target(1, "a"), target(2, "b")
	require.Equal(t, []fleet.Code{far.Code()}, ids(b.core.LoadsIn("b", all)))
	for i := range all {
		if all[i].Code == near.Code() {
			all[i].Missed = 1
		}
	}
	require.ElementsMatch(t, []fleet.Code{far.Code(), near.Code()}, ids(b.core.LoadsIn("b", all)), "silence concerns everyone")
	require.Len(t, all, 3)
}

// Load: many daemons open flows at once, with loads that are some hundred
// milliseconds old. They must not all take the target that was the freest.
func TestOldLoadsDrawNoCrowd(t *testing.T) {
	var list []fleet.Target
	for n := 1; n <= 40; n++ {
		list = append(list, target(n, "a"))
	}
	got := make(map[schema.TargetID]int)
	for seed := range uint64(20) {
		b := newBed(t, list...)
		b.core = New("a", seed)
		b.apply(fleet.Update{Topic: fleet.Config, Full: true, Rev: 1000, Table: table()})
		b.apply(fleet.Update{Topic: fleet.Outs, Full: true, Rev: 1000})
		b.apply(fleet.Update{Topic: fleet.Targets, Full: true, Rev: 1000, Targets: list})
		var told []fleet.Load
		for n, x := range list {
			told = append(told, fleet.Load{Code: x.Code(), Flows: uint16(20 + n), Heard: 100})
		}
		b.core.TakeLoads(b.now, "vm-9", "a", told, false)
		b.run(100)
		for range 10 {
			got[b.open(again).target.ID]++
		}
	}
	most := 0
	for _, n := range got {
		most = max(most, n)
	}
	require.Less(t, most, 40, "of 200 flows, 5 a target on average")
	require.Greater(t, len(got), 15)
}

// Load: after an outage, the targets of the smaller pool of a weighted route are full
// and refuse what they can't queue, while those of the larger pool are free. Found by
// inc-d705 of lin-crest-large: 253 requests were refused by all their retries.
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
		b := newBed(t, target(1, "a"), other)
		tab := table()
		tab.Rev = 2000
		tab.Routes[1].Pools = []fleet.Share{{Pool: "desk", Weight: 1}, {Pool: "sheets", Weight: 1}}
		tab.Pools = append(tab.Pools, fleet.Pool{Name: "sheets"})
		b.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
		b.core.TakeLoads(b.now, "vm-2", "a", []fleet.Load{
			{Code: b.core.byID["i-000002"].Code, Flows: 1, Busy: c.small, Heard: 10},
			{Code: b.core.byID["i-000001"].Code, Flows: 1, Busy: c.large, Heard: 10},
		}, false)
		b.run(250)
		got := b.opensOn(40)["i-000002"]
		if c.spills {
			require.Less(t, got, 4, c.name)
		} else {
			require.Greater(t, got, 8, c.name)
		}
	}
}

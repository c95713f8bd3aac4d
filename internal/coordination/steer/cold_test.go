package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// coldRate is the rate of the cold targets of these tests.
const coldRate = 4

// newColdHarness returns a daemon with two targets, whose pool has a cold rate.
func newColdHarness(t *testing.T) *harness {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	tab := table()
	tab.Rev, tab.Pools[0].ColdRate = 2000, coldRate
	h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
	h.rev = 2000
	return h
}

// TestHeartbeatsKeepTargetCold guards against a cold target that counts as warm from
// its second heartbeat on, as the time since the first is taken off twice (FAILBACK).
func TestHeartbeatsKeepTargetCold(t *testing.T) {
	h := newColdHarness(t)
	cold := target(1, "a")
	cold.StartedAt = 9
	const warmup, beat = 8 * clock.Second, 1200 * clock.Milli(1)
	began := h.now
	for left := warmup; left > 0; left -= beat {
		cold.ColdLeft = left
		h.updateTarget(cold)
		require.InDelta(t, float64(left), float64(h.core.coldLeft(h.now, h.core.byID[cold.ID])), 25)
		h.advance(beat)
		require.InDelta(t, float64(max(0, left-beat)), float64(max(0, h.core.coldLeft(h.now, h.core.byID[cold.ID]))), 50)
	}
	require.GreaterOrEqual(t, h.now-began, warmup)
	cold.ColdLeft = 0
	h.updateTarget(cold)
	require.LessOrEqual(t, h.core.coldLeft(h.now, h.core.byID[cold.ID]), clock.Milli(0))
}

// TestDoubtfulViewTakesAnyTargetForCold guards against first packets that waited while
// the process stood still and go to a target that was restarted meanwhile (FAILBACK).
func TestDoubtfulViewTakesAnyTargetForCold(t *testing.T) {
	h := newColdHarness(t)
	h.core.SetAdmitter(func(fleet.Code) bool { return false }, 7, 7)
	h.core.SetDoubtful(true)
	opened := 0
	for range 50 {
		s := flow.Segment{Open: true, Tuple: flow.Tuple{ServiceAddress: idempotentAddress.Addr().As4(), ServicePort: idempotentAddress.Port(), ClientPort: uint16(5000 + opened)}}
		if v := h.core.Decide(h.now, &s, true); v.Action == Deliver {
			opened++
		} else {
			require.Equal(t, ColdBudget, v.Reason)
			require.Equal(t, Drop, v.Action, "its client repeats it")
		}
	}
	require.LessOrEqual(t, opened, 2)
	h.core.SetDoubtful(false)
	require.Len(t, h.countOpens(50), 2)
}

// TestSecondColdTimeStartsWithoutTokens guards against daemons that each keep a token from
// the last time that a target was cold and all spend it when it is cold again, as after the
// second evacuation of a data centre (FAILBACK).
func TestSecondColdTimeStartsWithoutTokens(t *testing.T) {
	const daemons = 60
	const warmup = 5 * clock.Second
	var list []*harness
	for i := range daemons {
		h := newHarness(t, target(1, "a"), target(2, "b"))
		tab := table()
		tab.Rev, tab.Pools[0].ColdRate, tab.Pools[0].Warmup = 2000, coldRate, warmup
		h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
		h.core.SetAdmitter(func(fleet.Code) bool { return i == 0 }, daemons, daemons)
		list = append(list, h)
	}
	rev := schema.Version(1000)
	for range 3 {
		for _, h := range list {
			h.apply(fleet.Update{Topic: fleet.Outs, Since: rev, Rev: rev + 1, Outs: []fleet.Out{{DataCentre: "a", Rev: rev + 1}}})
			h.advance(clock.Second)
			h.apply(fleet.Update{Topic: fleet.Outs, Since: rev + 1, Rev: rev + 2, Gone: []fleet.Removal{{Name: "a", Rev: rev + 2}}})
		}
		rev += 2
		opens := 0
		for range 20 { // a second
			for _, h := range list {
				h.advance(50)
				opens += h.countOpens(1)["i-000001"]
			}
		}
		require.LessOrEqual(t, opens, coldRate*3/2+5)
		for _, h := range list {
			for range 20 * 30 { // tokens are saved up, and the target is warm again
				h.advance(50)
				h.countOpens(1)
			}
		}
	}
}

// TestUnconfirmedTargetsAreColdForTheirWarmUp guards against a store that confirms nothing
// after a start, so that warm targets count as cold for good; first packets beyond the rate
// are held, as the store may tell soon which targets are cold (FAILBACK).
func TestUnconfirmedTargetsAreColdForTheirWarmUp(t *testing.T) {
	const warmup = 3 * clock.Second
	h := newHarness(t, target(1, "a"), target(2, "a"))
	tab := table()
	tab.Rev, tab.Pools[0].ColdRate, tab.Pools[0].Warmup = 2000, coldRate, warmup
	h.apply(fleet.Update{Topic: fleet.Config, Since: 1000, Rev: 2000, Table: tab})
	h.core.SetAdmitter(func(fleet.Code) bool { return false }, 7, 7)
	h.core.SetUnconfirmed(true)
	opened, held := 0, 0
	for i := range 50 {
		s := flow.Segment{Open: true, Tuple: flow.Tuple{ServiceAddress: idempotentAddress.Addr().As4(), ServicePort: idempotentAddress.Port(), ClientPort: uint16(5000 + i)}}
		switch v := h.core.Decide(h.now, &s, true); v.Action {
		case Deliver:
			opened++
		case Hold:
			require.Equal(t, ColdBudget, v.Reason)
			held++
		}
	}
	require.LessOrEqual(t, opened, 2)
	require.Equal(t, 50, opened+held)
	h.advance(warmup + 25)
	require.Len(t, h.countOpens(50), 2)
}

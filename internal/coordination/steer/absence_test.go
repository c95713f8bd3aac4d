package steer

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
)

// absentTarget runs a harness in which target i-000001 has no entry and a connection to
// it has a given outcome.
type absentTarget struct {
	*prober
	shows Outcome
	// healthy is a flow on another target that is answered all the time, nil if no
	// packet is.
	healthy *client
}

// newAbsentTarget returns a harness with two targets.
func newAbsentTarget(t *testing.T, shows Outcome) *absentTarget {
	a := &absentTarget{shows: shows}
	a.prober = newProber(newHarness(t, target(1, "a"), target(2, "a")), func(to netip.AddrPort) Outcome {
		switch {
		case to == target(1, "a").Address:
			return a.shows
		case a.healthy == nil:
			return Silent
		}
		return Accepted
	})
	return a
}

// wait lets time pass.
func (a *absentTarget) wait(d clock.Milli) {
	for end := a.now + d; a.now < end; {
		a.advance(25)
		a.step()
		if a.healthy != nil && a.now%100 == 0 {
			a.healthy.roundTrip()
		}
	}
}

// TestAbsenceAloneResetsNothing guards against open flows that are reset because their
// target's entry is absent although the target serves: it lapsed, or was removed early
// (FLOW, incident 41). A target that is gone must not keep its flows either.
func TestAbsenceAloneResetsNothing(t *testing.T) {
	cases := map[string]struct {
		drain      bool
		outcome    Outcome
		storeFails bool
		deaf       bool
		// peerAnswers and answers are set if the target answers a peer or this daemon
		// all the time.
		peerAnswers bool
		answers     bool
		after       clock.Milli
		reset       bool
	}{
		"left, last answers are on their way":  {drain: true, outcome: Refused, after: 250},
		"left":                                 {drain: true, outcome: Refused, after: 650, reset: true},
		"left, store failed":                   {drain: true, outcome: Refused, storeFails: true, after: 650, reset: true},
		"drains, its entry lapsed":             {drain: true, outcome: Accepted, after: 20 * clock.Second},
		"crashed":                              {outcome: Refused, after: 650, reset: true},
		"lapsed":                               {outcome: Accepted, after: 20 * clock.Second},
		"lapsed, store failed long ago":        {outcome: Accepted, storeFails: true, after: 20 * clock.Second},
		"without power, may come back":         {outcome: Silent, after: 2400},
		"without power":                        {outcome: Silent, after: 3500, reset: true},
		"without power, store failed":          {outcome: Silent, storeFails: true, after: 2400},
		"without power, store failed long ago": {outcome: Silent, storeFails: true, after: 9 * clock.Second, reset: true},
		"this daemon is cut off":               {outcome: Silent, deaf: true, after: 9 * clock.Second},
		"answers a peer":                       {outcome: Silent, peerAnswers: true, after: 9 * clock.Second},
		"answers here":                         {outcome: Silent, answers: true, after: 9 * clock.Second},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			a := newAbsentTarget(t, tt.outcome)
			idle := a.openOn(nonIdempotentAddress, "i-000001")
			busy := a.openOn(idempotentAddress, "i-000001")
			if !tt.deaf {
				a.healthy = a.openOn(idempotentAddress, "i-000002")
			}
			a.wait(clock.Second)
			if tt.drain {
				a.updateTarget(draining(target(1, "a")))
			}
			if tt.storeFails {
				a.core.RecordStoreFailure(a.now)
			}
			a.removeTarget("i-000001")
			a.core.Resets()
			for began := a.now; a.now < began+tt.after; {
				a.wait(50)
				if tt.answers {
					busy.roundTrip()
				}
				if tt.peerAnswers {
					a.core.ApplyPeerLoads(a.now, "vm-9", "a", []fleet.Load{{Code: target1Code(), Flows: 1, LastAnswerAge: 20}}, false)
				}
			}
			resets := a.core.Resets()
			if !tt.reset {
				require.Empty(t, resets)
				require.Equal(t, Deliver, idle.request().Action)
				return
			}
			require.Contains(t, tuplesOf(resets), idle.tuple)
			require.Contains(t, tuplesOf(resets), busy.tuple)
			require.Equal(t, TargetGone, resets[0].Reason)
			require.Equal(t, TargetGone, idle.request().Reason, "a later packet")
		})
	}
}

func tuplesOf(list []FlowReset) []flow.Tuple {
	var tuples []flow.Tuple
	for _, e := range list {
		tuples = append(tuples, e.Tuple)
	}
	return tuples
}

// TestNewerTargetAtTheAddressShowsThatOneIsGone guards against flows of an absent target
// that wait for their time limit because another target accepts connections at its
// address.
func TestNewerTargetAtTheAddressShowsThatOneIsGone(t *testing.T) {
	for name, tt := range map[string]struct {
		startedAt int64
		want      Action
	}{
		"newer": {2, Reset},
		"older": {0, Deliver}, // its own entry has not lapsed yet
	} {
		t.Run(name, func(t *testing.T) {
			a := newAbsentTarget(t, Accepted)
			c := a.openOn(idempotentAddress, "i-000001")
			a.removeTarget("i-000001")
			a.wait(350)
			other := target(3, "a")
			other.Pool, other.Address, other.StartedAt = "proof", target(1, "a").Address, tt.startedAt
			a.updateTarget(other)
			require.Equal(t, tt.want, c.request().Action)
		})
	}
}

// TestAbsentTargetIsAskedRarely guards against probes that cost living targets and
// daemons much while many entries are absent for long.
func TestAbsentTargetIsAskedRarely(t *testing.T) {
	a := newAbsentTarget(t, Accepted)
	idle := a.openOn(idempotentAddress, "i-000001")
	a.wait(clock.Second)
	a.removeTarget("i-000001")
	a.wait(20 * clock.Second)
	require.LessOrEqual(t, a.begun, 11, "after 0.3 s, 1 s later, then each 2 s")
	require.GreaterOrEqual(t, a.begun, 9)
	asked := a.begun
	for range 20 {
		idle.roundTrip()
		a.wait(500)
	}
	require.Equal(t, asked, a.begun, "a target that answers is not asked")
	a.updateTarget(target(1, "a"))
	a.wait(10 * clock.Second)
	require.Equal(t, asked, a.begun, "nor one whose entry is back")
}

// TestGoneTargetIsFoundThoughItAnsweredWhileAbsent guards against flows that are never
// reset because their target once answered after its entry had lapsed.
func TestGoneTargetIsFoundThoughItAnsweredWhileAbsent(t *testing.T) {
	a := newAbsentTarget(t, Accepted)
	idle := a.openOn(nonIdempotentAddress, "i-000001")
	busy := a.openOn(idempotentAddress, "i-000001")
	a.removeTarget("i-000001")
	for range 30 {
		busy.roundTrip()
		a.wait(100)
	}
	require.Empty(t, a.core.Resets())
	a.shows = Refused
	a.wait(4 * clock.Second)
	require.Contains(t, tuplesOf(a.core.Resets()), idle.tuple)
}

// TestPeersHearThatAbsentTargetsAnswer guards against daemons that can't know that a
// target lives as each sees few packets of it.
func TestPeersHearThatAbsentTargetsAnswer(t *testing.T) {
	a := newAbsentTarget(t, Accepted)
	busy := a.openOn(idempotentAddress, "i-000001")
	a.removeTarget("i-000001")
	reports := func() bool {
		return slices.ContainsFunc(a.core.Loads(a.now, false), func(l fleet.Load) bool { return l.Code == target1Code() })
	}
	a.wait(500)
	require.False(t, reports(), "no answer since")
	busy.roundTrip()
	require.True(t, reports())
}

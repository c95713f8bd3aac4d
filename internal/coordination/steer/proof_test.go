package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// TestResetProof guards the proof that a reset of an open flow is logged with.
func TestResetProof(t *testing.T) {
	none := ResetProof{GoneAge: -1, StoreFailedAge: -1, HeardAge: -1, HeardAnywhereAge: -1, AckAge: -1, MissAge: -1, Probe: noProbe, ProbeAge: -1, Removal: Present}
	tests := []struct {
		name   string
		act    func(*harness)
		reason Reason
		want   func(*ResetProof)
	}{
		{"serving", func(h *harness) { h.advance(50) }, ByCookie, func(p *ResetProof) { p.Kind = Unproved }},
		{"vanished while the store failed", func(h *harness) {
			h.removeTarget("i-000001")
			h.advance(100)
			h.core.RecordStoreFailure(h.now)
			h.advance(25)
		}, TargetGone, func(p *ResetProof) {
			p.Kind, p.Removal, p.Gone, p.GoneAge, p.GoneRev, p.StoreFailedAge = Unproved, Vanished, true, 125, 1001, 25
		}},
		{"drained", func(h *harness) {
			h.updateTarget(draining(target(1, "a")))
			h.removeTarget("i-000001")
			h.advance(50)
		}, TargetGone, func(p *ResetProof) {
			p.Kind, p.Removal, p.Gone, p.GoneAge, p.GoneRev = Unproved, Drained, true, 50, 1002
		}},
		{"vanished, probe refused", func(h *harness) {
			h.removeTarget("i-000001")
			h.core.requestProbe(h.core.byID["i-000001"], h.now, false)
			h.runProbes(Refused, 25)
		}, TargetGone, func(p *ResetProof) {
			p.Kind, p.Removal, p.Gone, p.GoneAge, p.GoneRev = ByProbe, Vanished, true, 50, 1001
			p.Dead, p.Probe, p.ProbeAge, p.MissAge = true, "refused", 25, 50
		}},
		{"vanished, a newer target has its address", func(h *harness) {
			h.removeTarget("i-000001")
			other := target(3, "a")
			other.Address, other.StartedAt = target(1, "a").Address, 2
			h.updateTarget(other)
		}, TargetGone, func(p *ResetProof) {
			p.Kind, p.Removal, p.Gone, p.GoneAge, p.GoneRev = ByAddress, Vanished, true, 0, 1001
		}},
		{"replaced", func(h *harness) {
			restarted := target(1, "a")
			restarted.StartedAt = 2
			h.updateTarget(restarted)
			restarted.Draining = true
			h.updateTarget(restarted)
		}, TargetGone, func(p *ResetProof) {
			p.Kind, p.Removal, p.Gone, p.GoneAge, p.GoneRev = ByReplacement, Replaced, true, 0, 1001
		}},
		{"route removed", func(*harness) {}, RouteGone, func(p *ResetProof) { p.Kind = ByRoute }},
		{"probe refused", func(h *harness) {
			x := h.core.byID["i-000001"]
			h.core.requestProbe(x, h.now, false)
			h.runProbes(Refused, 25)
		}, TargetUnresponsive, func(p *ResetProof) {
			p.Kind, p.Dead, p.Probe, p.ProbeAge, p.MissAge = ByProbe, true, "refused", 25, 50
		}},
		{"heard here and at a peer", func(h *harness) {
			x := h.core.byID["i-000001"]
			h.core.recordAnswer(h.now, x)
			h.advance(100)
			x.answers.peers.lastAnswer = h.now
			h.now += 10
		}, ByCookie, func(p *ResetProof) { p.Kind, p.HeardAge, p.HeardAnywhereAge = Unproved, 110, 10 }},
		{"misses here and at peers", func(h *harness) {
			x := h.core.byID["i-000001"]
			x.answers.recordMiss(h.now, h.now, true)
			x.answers.peers = peerMisses{confirmed: 2, misses: 4, since: h.now + 1}
			h.now += deadAfter
		}, TargetUnresponsive, func(p *ResetProof) {
			p.Kind, p.Misses, p.PeerMisses, p.Reporters, p.MissAge = ByMisses, 1, 4, 2, deadAfter
		}},
		{"data centre", func(h *harness) {
			x := h.core.byID["i-000001"]
			x.answers.recordMiss(h.now, h.now, true)
			h.core.unresponsiveDCs["a"], h.core.silentTargets["a"] = true, 3
			h.now += deadAfter
		}, TargetUnresponsive, func(p *ResetProof) {
			p.Kind, p.Misses, p.MissAge, p.SilentTargets = ByDataCentre, 1, deadAfter, 3
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, target(1, "a"), target(2, "a"))
			x := h.core.byID["i-000001"]
			tt.act(h)
			want := none
			tt.want(&want)
			require.Equal(t, want, h.core.ResetProof(h.now, x, tt.reason, clock.Never))
			require.Equal(t, want.Kind, h.core.ProofKind(h.now, x, tt.reason))
			require.Contains(t, ProofKinds, want.Kind)
		})
	}
}

// TestResetsNameTheLastAcknowledgement guards that a reset keeps its flow's last
// acknowledgement, in a verdict and for a silent flow.
func TestResetsNameTheLastAcknowledgement(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	asking, silent := h.openOn(idempotentAddress, "i-000001"), h.openOn(idempotentAddress, "i-000001")
	asking.roundTrip()
	silent.roundTrip()
	acked := h.now
	restarted := target(1, "a")
	restarted.StartedAt = 2
	h.advance(clock.Second)
	h.updateTarget(restarted)
	v := asking.request()
	require.Equal(t, Reset, v.Action)
	require.Equal(t, acked, v.Acked)
	h.advance(scanInterval)
	found := false
	for _, e := range h.core.Resets() {
		if e.Tuple == silent.tuple {
			found = true
			require.Equal(t, acked, e.Acked)
		}
	}
	require.True(t, found)
	h.apply(fleet.Update{Topic: fleet.Config, Full: true, Rev: 1010, Table: &fleet.Table{Version: 2, Rev: 1010}})
	v = silent.request()
	require.Equal(t, RouteGone, v.Reason)
	require.Equal(t, clock.Never, v.Acked, "the flow is not recorded any more")
}

// TestBeliefNamesTheProof guards that /belief shows by what a target's flows are reset.
func TestBeliefNamesTheProof(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	require.False(t, h.belief("i-000001").Proof.Suspicious())
	h.removeTarget("i-000001")
	got := h.belief("i-000001").Proof
	require.True(t, got.Suspicious())
	require.Equal(t, Vanished, got.Removal)
}

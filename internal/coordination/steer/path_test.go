package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// newSpillHarness returns a harness with one local target and four in another data
// centre.
func newSpillHarness(t *testing.T) *harness {
	list := []fleet.Target{target(1, "a")}
	for n := 2; n <= 5; n++ {
		list = append(list, target(n, "b"))
	}
	return newHarness(t, list...)
}

// loadLocalTarget has a local peer report that the local target is busy, so that new
// flows go to the other data centre.
func (h *harness) loadLocalTarget() {
	h.core.ApplyPeerLoads(h.now, "vm-near", "a", []fleet.Load{{Code: h.core.byID["i-000001"].Code, Flows: 8, Busy: 6, LastAnswerAge: 10}}, false)
	h.advance(250)
}

// For some seconds all packets to the other data centre are lost, while packets from
// there arrive. The local target is busy, so new flows go there and get no answer,
// from one target after the other, while the daemons there hear all of them. On day
// scale-2 of tordikandja-lb-grown, 540 requests were late in the four seconds after
// half of the daemons restarted.
func TestBrokenPathIsAvoided(t *testing.T) {
	h := newSpillHarness(t)
	localTarget := target(1, "a").ID
	h.loadLocalTarget()
	require.Less(t, h.countOpens(20)[localTarget], 10, "spills")
	h.advance(3 * clock.Second)
	h.loadLocalTarget()
	lost := 0
	for range 40 {
		if c := h.open(idempotentAddress); c.target.ID != localTarget {
			lost++
		} else {
			c.accept()
		}
		h.core.ApplyPeerLoads(h.now, "vm-far", "b", []fleet.Load{{Code: h.core.byID["i-000003"].Code, Flows: 3, LastAnswerAge: 10}}, false)
		h.loadLocalTarget()
	}
	require.Less(t, lost, 12, "of 40")
	require.True(t, h.core.path("b").broken)
	for _, e := range h.core.Resets() {
		t.Fatalf("flow to %s reset: a broken path is no reason", e.Target.ID)
	}
	h.advance(missTTL + clock.Second)
	require.False(t, h.core.path("b").broken, "tried again")
}

// A daemon that has sent nothing on a broken path learns of it from local peers, not
// from those of the other data centre.
func TestLocalPeersReportBrokenPath(t *testing.T) {
	misses := func(n int) []fleet.Load {
		h := newSpillHarness(t)
		return []fleet.Load{{Code: h.core.byID[target(n, "b").ID].Code, Flows: 2, Misses: 2, FirstMissAge: 150, LastAnswerAge: 9000}}
	}
	for _, local := range []bool{true, false} {
		h := newSpillHarness(t)
		h.advance(clock.Second)
		dc := target(2, "b").DataCentre
		if local {
			dc = "a"
		}
		h.core.ApplyPeerLoads(h.now, "vm-2", dc, misses(2), false)
		h.core.ApplyPeerLoads(h.now, "vm-3", dc, misses(3), false)
		h.loadLocalTarget()
		require.Equal(t, local, h.core.path("b").broken)
		require.Equal(t, local, h.countOpens(20)["i-000001"] == 20)
	}
}

// One target of the other data centre is unresponsive, the others answer.
func TestOneUnresponsiveTargetDoesNotBreakPath(t *testing.T) {
	h := newSpillHarness(t)
	h.loadLocalTarget()
	for range 6 {
		c := h.open(idempotentAddress)
		if c.target.ID != "i-000002" {
			c.accept()
		}
		h.advance(150)
	}
	require.False(t, h.core.path("b").broken)
}

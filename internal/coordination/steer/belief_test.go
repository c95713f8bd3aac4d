package steer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// belief returns the daemon's view of the latest start of a target.
func (h *harness) belief(id schema.TargetID) TargetBelief {
	return h.core.targetBelief(h.now, h.core.byID[id])
}

func TestBeliefReasons(t *testing.T) {
	tests := []struct {
		name   string
		act    func(*harness)
		takes  bool
		reason string
	}{
		{"ready", func(*harness) {}, true, "ready by its entry of revision 11"},
		{"draining", func(h *harness) { h.updateTarget(draining(target(1, "a"))) }, false, "draining by its entry of revision 1001"},
		{"gone", func(h *harness) { h.removeTarget("i-000001") }, false, "gone for 25 ms, replaced by a newer start: false, drained before: false"},
		{"out", func(h *harness) {
			h.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 1001, Outs: []fleet.Out{{DataCentre: "a", Rev: 1001}}})
		}, false, `data centre "a" is out for 25 ms`},
		{"cold", func(h *harness) {
			x := target(1, "a")
			x.StartedAt, x.ColdLeft = 2, 2*clock.Second
			h.updateTarget(x)
		}, true, "cold for another 1975 ms"},
		{"unresponsive", func(h *harness) {
			healthy := h.openOn(idempotentAddress, "i-000002")
			h.sendUnanswered("i-000001")
			healthy.request()
			healthy.ackAnswer()
		}, false, "unresponsive: its flows are reset"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, target(1, "a"), target(2, "b"))
			tt.act(h)
			h.advance(25)
			got := h.belief("i-000001")
			require.Equal(t, tt.takes, got.Takes, got.Why)
			require.Contains(t, strings.Join(got.Why, "; "), tt.reason)
		})
	}
}

func TestFlowBelief(t *testing.T) {
	h := newHarness(t, target(1, "a"))
	c := h.open(idempotentAddress)
	h.advance(50)
	f := h.core.FlowsOf(h.now, c.tuple.Client, c.tuple.ClientPort)
	require.Len(t, f, 1)
	require.True(t, f[0].Opening)
	require.Equal(t, clock.Milli(50), f[0].Seen)
	c.accept()
	c.request()
	h.advance(100)
	f = h.core.FlowsOf(h.now, c.tuple.Client, c.tuple.ClientPort)
	require.Equal(t, clock.Milli(100), f[0].Asked)
	require.Equal(t, "delivered to the target", f[0].Next)
	require.Equal(t, schema.Name("again"), f[0].Route)
	h.removeTarget("i-000001")
	h.advance(goneGrace + 100)
	require.Empty(t, h.core.FlowsOf(h.now, [4]byte{1, 2, 3, 4}, 5))
}

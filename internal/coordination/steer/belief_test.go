package steer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// belief returns what is believed of the latest start of a target.
func (b *bed) belief(id schema.TargetID) TargetBelief {
	return b.core.targetBelief(b.now, b.core.byID[id])
}

func TestBeliefsTellWhy(t *testing.T) {
	tests := []struct {
		name  string
		act   func(*bed)
		takes bool
		why   string
	}{
		{"ready", func(*bed) {}, true, "ready by its entry of revision 11"},
		{"draining", func(b *bed) { b.put(draining(target(1, "a"))) }, false, "draining by its entry of revision 1001"},
		{"gone", func(b *bed) { b.remove("i-000001") }, false, "gone for 25 ms, replaced by a newer start: false, drained before: false"},
		{"out", func(b *bed) {
			b.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 1001, Outs: []fleet.Out{{DataCentre: "a", Rev: 1001}}})
		}, false, `data centre "a" is out for 25 ms`},
		{"cold", func(b *bed) {
			x := target(1, "a")
			x.Born, x.ColdLeft = 2, 2*clock.Second
			b.put(x)
		}, true, "cold for another 1975 ms"},
		{"dark", func(b *bed) {
			lives := b.on(again, "i-000002")
			b.silence("i-000001")
			lives.request()
			lives.answered()
		}, false, "unresponsive: its flows are reset"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBed(t, target(1, "a"), target(2, "b"))
			tt.act(b)
			b.run(25)
			got := b.belief("i-000001")
			require.Equal(t, tt.takes, got.Takes, got.Why)
			require.Contains(t, strings.Join(got.Why, "; "), tt.why)
		})
	}
}

func TestFlowBelief(t *testing.T) {
	b := newBed(t, target(1, "a"))
	c := b.open(again)
	b.run(50)
	f := b.core.FlowsOf(b.now, c.tuple.Client, c.tuple.ClientPort)
	require.Len(t, f, 1)
	require.True(t, f[0].Opening)
	require.Equal(t, clock.Milli(50), f[0].Seen)
	c.accepted()
	c.request()
	b.run(100)
	f = b.core.FlowsOf(b.now, c.tuple.Client, c.tuple.ClientPort)
	require.Equal(t, clock.Milli(100), f[0].Asked)
	require.Equal(t, "delivered to the target", f[0].Next)
	require.Equal(t, schema.Name("again"), f[0].Route)
	b.remove("i-000001")
	b.run(goneGrace + 100)
	require.Empty(t, b.core.FlowsOf(b.now, [4]byte{1, 2, 3, 4}, 5))
}

package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Load: a client uses a port again within milliseconds, and packets of the flow
// before come late or twice. Each goes to the target that its cookie names, and
// neither flow ends for it.
func TestLatePacketsOfAnOldFlowGoToItsTarget(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	old := b.on(again, "i-000001")
	old.request()
	late := flow.Segment{Tuple: old.tuple, Cookie: old.cookie, Seq: old.seq, Ack: old.ack, Len: 200}
	old.answered()
	old.send(flow.Segment{Close: true})
	b.put(draining(target(1, "a"))) // so that the next flow goes to the other
	again := &client{bed: b, tuple: old.tuple, seq: 900000, ack: 7000}
	v := again.send(flow.Segment{Open: true})
	require.Equal(t, Deliver, v.Action)
	again.target = v.Target
	require.Equal(t, schema.TargetID("i-000002"), v.Target.ID)
	again.accepted()
	for range 3 {
		b.run(200)
		v := b.core.Decide(b.now, &late, true)
		require.Equal(t, Deliver, v.Action)
		require.Equal(t, schema.TargetID("i-000001"), v.Target.ID)
		v = again.request()
		require.Equal(t, Deliver, v.Action)
		require.Equal(t, schema.TargetID("i-000002"), v.Target.ID)
		again.answered()
	}
	b.run(clock.Second)
	require.Empty(t, b.core.Ended())
}

// Load: this process is paused for seconds; packets wait in its queue, among them
// first ones. What it decides then it decides by what it knows then: a target that
// drains, and a data centre that is out, get none of them.
func TestPausedDaemonOpensByWhatItKnowsNow(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "b"), target(3, "a"))
	b.opensOn(10)
	b.now += 5 * clock.Second // no tick meanwhile
	b.put(draining(target(1, "a")))
	b.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 2000, Outs: []fleet.Out{{DataCentre: "b", Rev: 2000}}})
	require.Equal(t, map[schema.TargetID]int{"i-000003": 20}, b.opensOn(20))
}

// Load: a copy of a flow's first packet arrives after the flow's end. A target that has
// forgotten the flow would accept it again, and run a late copy of its request again.
// Found by soak seed 1203, whose stand-in targets did so.
func TestLateFirstPacketOfAnEndedFlowOpensNothing(t *testing.T) {
	b := newBed(t, target(1, "a"))
	c := b.open(desk)
	first := flow.Segment{Tuple: c.tuple, Seq: c.seq, Open: true, Copy: 1}
	c.accepted()
	c.request()
	c.answered()
	c.send(flow.Segment{Close: true})
	b.run(500)
	v := b.core.Decide(b.now, &first, true)
	require.Equal(t, Drop, v.Action)
	next := &client{bed: b, tuple: c.tuple, seq: 900000, ack: 7000}
	require.Equal(t, Deliver, next.send(flow.Segment{Open: true}).Action, "a new flow on the same ports")
}

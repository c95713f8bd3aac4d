package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// A client reuses a port within milliseconds, and packets of the old flow arrive late
// or twice. Each goes to the target that its cookie names, and neither flow is reset.
func TestLatePacketsOfOldFlowGoToItsTarget(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	old := h.openOn(idempotentAddress, "i-000001")
	old.request()
	late := flow.Segment{Tuple: old.tuple, Cookie: old.cookie, Seq: old.seq, Ack: old.ack, Len: 200}
	old.ackAnswer()
	old.send(flow.Segment{Close: true})
	h.updateTarget(draining(target(1, "a"))) // so that the next flow goes to the other target
	next := &client{harness: h, tuple: old.tuple, seq: 900000, ack: 7000}
	v := next.send(flow.Segment{Open: true})
	require.Equal(t, Deliver, v.Action)
	next.target = v.Target
	require.Equal(t, schema.TargetID("i-000002"), v.Target.ID)
	next.accept()
	for range 3 {
		h.advance(200)
		v := h.core.Decide(h.now, &late, true)
		require.Equal(t, Deliver, v.Action)
		require.Equal(t, schema.TargetID("i-000001"), v.Target.ID)
		v = next.request()
		require.Equal(t, Deliver, v.Action)
		require.Equal(t, schema.TargetID("i-000002"), v.Target.ID)
		next.ackAnswer()
	}
	h.advance(clock.Second)
	require.Empty(t, h.core.Resets())
}

// This process is paused for seconds while packets, including first ones, wait in its
// queue. It must decide on them by the deployment that it knows after the pause: a
// draining target and a data centre that is out get none.
func TestResumedDaemonUsesCurrentDeployment(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "b"), target(3, "a"))
	h.countOpens(10)
	h.now += 5 * clock.Second // no tick meanwhile
	h.updateTarget(draining(target(1, "a")))
	h.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: 2000, Outs: []fleet.Out{{DataCentre: "b", Rev: 2000}}})
	require.Equal(t, map[schema.TargetID]int{"i-000003": 20}, h.countOpens(20))
}

// TestCopyOfFirstPacketFollowsItsRoute guards against copies of a first packet that go to
// the target of the first one although the route names another pool by then, so that the
// daemon falls back to an older version of the configuration (CONFIG).
func TestCopyOfFirstPacketFollowsItsRoute(t *testing.T) {
	moved := func(h *harness, pool schema.Name) {
		tab := table()
		h.rev++
		tab.Rev, tab.Version = h.rev, int64(h.rev)
		for i := range tab.Routes {
			tab.Routes[i].Pools = []fleet.Share{{Pool: pool, Weight: 1}}
		}
		h.apply(fleet.Update{Topic: fleet.Config, Since: h.core.Replica().Rev(fleet.Config), Rev: h.rev, Table: tab})
	}
	other := target(2, "a")
	other.Pool = "back"
	for _, waits := range []clock.Milli{20, 200, 600, 1400} {
		h := newHarness(t, target(1, "a"), other)
		c := h.open(nonIdempotentAddress)
		require.Equal(t, schema.TargetID("i-000001"), c.target.ID)
		h.advance(waits)
		moved(h, "back")
		for n := range uint32(2) {
			v := c.retransmitOpen(n + 1)
			require.Equal(t, Deliver, v.Action)
			require.Equal(t, other.ID, v.Target.ID, "copy %d, %d ms after the first packet", n+1, waits)
			h.advance(100)
		}
		moved(h, "desk")
		require.Equal(t, schema.TargetID("i-000001"), c.retransmitOpen(3).Target.ID, "the route names the first pool again")
		moved(h, "none")
		require.Equal(t, Drop, c.retransmitOpen(4).Action, "a target may have accepted an earlier copy")
	}
	h := newHarness(t, target(1, "a"), other)
	c := h.open(nonIdempotentAddress).accept()
	moved(h, "back")
	require.Equal(t, Deliver, c.request().Action)
	require.Equal(t, schema.TargetID("i-000001"), c.request().Target.ID, "an open flow stays where it is")
}

// A copy of a flow's first packet arrives after the flow was closed. A target that has
// forgotten the flow would accept it again, and run a late copy of its request again,
// as the soak's targets did with seed 1203.
func TestLateFirstPacketOfClosedFlowIsDropped(t *testing.T) {
	h := newHarness(t, target(1, "a"))
	c := h.open(nonIdempotentAddress)
	first := flow.Segment{Tuple: c.tuple, Seq: c.seq, Open: true, Retransmissions: 1}
	c.accept()
	c.request()
	c.ackAnswer()
	c.send(flow.Segment{Close: true})
	h.advance(500)
	v := h.core.Decide(h.now, &first, true)
	require.Equal(t, Drop, v.Action)
	next := &client{harness: h, tuple: c.tuple, seq: 900000, ack: 7000}
	require.Equal(t, Deliver, next.send(flow.Segment{Open: true}).Action, "a new flow on the same ports")
}

package steer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
)

// limitedTable is a table whose routes have latency goals and timeouts. The first
// route is the more urgent one.
func limitedTable() *fleet.Table {
	x := table()
	x.Version, x.Rev = 2, 1100
	for i := range x.Routes {
		r := &x.Routes[i]
		r.Priority, r.LatencyGoal, r.Timeout = 1+i, 250, 4*clock.Second
	}
	return x
}

// newLimitedHarness returns a daemon with one target of two slots, whose limit is in
// force.
func newLimitedHarness(t *testing.T) *harness {
	x := target(1, "a")
	x.Slots = 2
	h := newHarness(t, x)
	h.apply(fleet.Update{Topic: fleet.Config, Full: true, Rev: 1100, Table: limitedTable()})
	h.core.SetAdmitter(func(fleet.Code) bool { return true }, 1, 1)
	h.advance(500)
	return h
}

// fill opens flows and sends requests until one waits, and returns all flows.
func (h *harness) fill(to netip.AddrPort) []*client {
	var list []*client
	for range 20 {
		c := h.open(to).accept()
		list = append(list, c)
		if c.request().Action == Queue {
			return list
		}
	}
	h.t.Fatal("no request waits")
	return nil
}

// An answer makes room for one request: the newest that can be answered in time.
func TestAnswerReleasesNewestTimelyRequest(t *testing.T) {
	h := newLimitedHarness(t)
	flows := h.fill(idempotentAddress)
	require.Len(t, flows, int(2*usualDepth)+1)
	h.advance(25)
	newest := h.open(idempotentAddress).accept()
	require.Equal(t, Verdict{Action: Queue, Reason: Waiting, Target: newest.target, Route: h.core.routes[serviceKeyOf(&newest.tuple)]}, newest.request())
	require.Equal(t, 2, h.core.Waiting())
	require.Empty(t, h.core.Releases(h.now))
	flows[0].ackAnswer()
	released := h.core.Releases(h.now)
	require.Len(t, released, 1)
	require.Equal(t, newest.tuple, released[0].Tuple)
	require.Equal(t, newest.target, released[0].Target)
	require.Equal(t, 1, h.core.Waiting())
	require.Equal(t, Deliver, newest.ackAnswer().Action)
}

func TestUrgentRouteGoesFirst(t *testing.T) {
	h := newLimitedHarness(t)
	flows := h.fill(nonIdempotentAddress)
	h.open(idempotentAddress).accept().request()
	flows[0].ackAnswer()
	released := h.core.Releases(h.now)
	require.Len(t, released, 1)
	require.Equal(t, flows[len(flows)-1].tuple, released[0].Tuple)
}

// The order of two requests that wait for the same target.
func TestWaitingOrder(t *testing.T) {
	const now = 10 * clock.Second
	l := newLimiter("desk")
	l.measured = 50 // with the usual depth, 100 ms are expected
	x := &Target{load: load{limit: 1}, limiter: l}
	request := func(age clock.Milli, priority int) *waitingRequest {
		return &waitingRequest{record: &flowRecord{target: x}, arrived: now - age, goal: now - age + 250, deadline: now - age + 4000, priority: priority}
	}
	for _, c := range []struct {
		name          string
		first, second *waitingRequest
	}{
		{"newer of two timely ones", request(10, 1), request(100, 1)},
		{"timely before late", request(100, 1), request(300, 1)},
		{"the late one that ends first", request(2000, 1), request(300, 1)},
		{"a late one of an urgent route", request(2000, 0), request(10, 1)},
		{"one that fails unless it is sent now", request(3700, 1), request(10, 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.True(t, l.before(now, c.first, c.second))
			require.False(t, l.before(now, c.second, c.first))
		})
	}
}

// A client that gives up ends its wait, whether it says so or not.
func TestWaitEndsWithFlowOrTimeout(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(c *client)
		reason Reason
	}{
		{"closed", func(c *client) { c.send(flow.Segment{Close: true}) }, FlowEnded},
		{"reset", func(c *client) { c.send(flow.Segment{Reset: true}) }, FlowEnded},
		{"timed out", func(c *client) { c.harness.advance(4 * clock.Second) }, TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newLimitedHarness(t)
			flows := h.fill(idempotentAddress)
			last := flows[len(flows)-1]
			c.end(last)
			h.core.Tick(h.now)
			ended := h.core.Discarded()
			require.Len(t, ended, 1)
			require.Equal(t, last.tuple, ended[0].Tuple)
			require.Equal(t, c.reason, ended[0].Reason)
			require.Zero(t, h.core.Waiting())
			require.Zero(t, h.core.targets[0].load.waiting)
		})
	}
}

// Retransmissions of a request that waits are no misses of its target, and packets
// without data pass.
func TestWaitIsNoMiss(t *testing.T) {
	h := newLimitedHarness(t)
	flows := h.fill(idempotentAddress)
	last := flows[len(flows)-1]
	h.advance(200)
	require.Equal(t, Queue, last.retransmit().Action)
	require.Equal(t, Deliver, last.send(flow.Segment{}).Action)
	require.Zero(t, h.core.targets[0].answers.missCount)
	for _, r := range h.core.ReleaseAll(h.now) {
		require.NotNil(t, r.Target)
	}
	require.Zero(t, h.core.Waiting())
}

// Requests whose answers are never seen don't use up the limit: other daemons may
// have seen them.
func TestLostRequestsFreeTheLimit(t *testing.T) {
	h := newLimitedHarness(t)
	h.fill(idempotentAddress)
	h.advance(busyWindow)
	require.Len(t, h.core.Releases(h.now), 1)
	require.Zero(t, h.core.targets[0].load.inFlight-1)
}

// A new flow is rejected only if the requests that wait take too long, if it is the
// first copy of its first packet, and by a fresh view.
func TestRejectsOnlyWhatNobodyForwarded(t *testing.T) {
	h := newLimitedHarness(t)
	h.fill(idempotentAddress)
	l := h.core.limiter("desk")
	l.measured = 50
	first := func(port uint16) *flow.Segment {
		return &flow.Segment{Open: true, Seq: 7, Tuple: flow.Tuple{ClientPort: port, ServiceAddress: idempotentAddress.Addr().As4(), ServicePort: idempotentAddress.Port()}}
	}
	require.Equal(t, Deliver, h.core.Decide(h.now, first(50000), true).Action, "a short queue")
	for range 200 {
		h.open(idempotentAddress).accept().request()
		if len(l.waiting) > 160 {
			break
		}
	}
	v := h.core.Decide(h.now, first(50001), true)
	require.Equal(t, Reset, v.Action)
	require.Equal(t, Overloaded, v.Reason)
	require.Equal(t, Deliver, h.core.Decide(h.now, first(50002), false).Action, "an old view")
	copied := first(50003)
	copied.Retransmissions = 1
	require.Equal(t, Deliver, h.core.Decide(h.now, copied, true).Action, "another daemon may have forwarded the first copy")
	h.core.lastMovedFlow = h.now
	require.Equal(t, Deliver, h.core.Decide(h.now, first(50005), true).Action, "another daemon may have forwarded the packet that this one duplicates")
	h.core.lastMovedFlow = clock.Never
	urgent := first(50004)
	urgent.Tuple.ServicePort = nonIdempotentAddress.Port()
	require.Equal(t, Deliver, h.core.Decide(h.now, urgent, true).Action, "nothing as urgent waits")
}

// The limits of daemons with different shares of the flows add up to the capacity.
func TestLimitsAddUp(t *testing.T) {
	sum := 0.0
	flows := []int{10, 10, 20, 60, 100}
	for _, own := range flows {
		l := newLimiter("desk")
		l.update(&poolLoad{capacity: 56, ownFlows: own, peerFlows: 200 - own, peerBusy: 56}, 1, len(flows))
		require.GreaterOrEqual(t, l.limit, 1.0)
		sum += l.limit
	}
	require.InDelta(t, 56*usualDepth, sum, 1)
}

// The latency without queues is not measured while there are some, and assumed by the
// latency goal until then.
func TestUsualLatencyIsMeasuredWithoutQueues(t *testing.T) {
	l := newLimiter("desk")
	require.Zero(t, l.usual())
	l.goal, l.queued = 240, true
	l.observe(500)
	require.Equal(t, 60.0, l.usual())
	l.queued = false
	l.observe(50)
	require.Equal(t, 50.0, l.usual())
	l.queued = true
	l.observe(500)
	require.Equal(t, 50.0, l.usual())
}

// The first request of a flow that another daemon opened may have waited there: it
// doesn't go before those whose age is known, and not to the end of the queue.
func TestRequestOfMovedFlowCountsAsOld(t *testing.T) {
	h := newLimitedHarness(t)
	h.fill(idempotentAddress)
	moved := &client{harness: h, seq: 1000, ack: 5000, tuple: flow.Tuple{ClientPort: 60000, ServiceAddress: idempotentAddress.Addr().As4(), ServicePort: idempotentAddress.Port()}, cookie: uint32(h.core.targets[0].Code)}
	require.Equal(t, Queue, moved.request().Action)
	w := h.core.flows.records[moved.tuple].wait
	require.Equal(t, late, h.core.limiter("desk").rank(h.now, w))
	require.Equal(t, h.now+clock.Second, w.deadline)
	require.Equal(t, h.now+4*clock.Second, w.expires, "its client may wait for longer")
}

// A client that retransmits a request after its wait timed out is heard, and the
// target is not blamed for the packets that it never got.
func TestRetransmissionAfterTimeoutIsNoMiss(t *testing.T) {
	h := newLimitedHarness(t)
	flows := h.fill(idempotentAddress)
	last := flows[len(flows)-1]
	h.core.flows.records[last.tuple].wait.expires = h.now
	h.advance(25)
	require.Len(t, h.core.Discarded(), 1)
	h.advance(200)
	require.Equal(t, Queue, last.retransmit().Action)
	require.Zero(t, h.core.targets[0].answers.missCount)
}

// The depth leaves half of the latency goal for the queues at the targets.
func TestDepthFollowsLatencyGoal(t *testing.T) {
	for _, c := range []struct {
		name  string
		goal  clock.Milli
		usual float64
		depth float64
	}{
		{"unknown goal", 0, 55, usualDepth},
		{"unknown latency", 250, 0, usualDepth},
		{"tight goal", 110, 55, minDepth},
		{"twice the usual latency and a half", 275, 55, 2.5},
		{"loose goal", 4000, 55, maxDepth},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLimiter("desk")
			l.goal, l.measured = c.goal, c.usual
			l.update(&poolLoad{capacity: 10, peerBusy: 10}, 1, 1)
			require.InDelta(t, c.depth, l.depth, 0.01)
		})
	}
}

// A request counts from the first packet of its flow only if it follows at once.
func TestArrivalOfRequests(t *testing.T) {
	const now = 100 * clock.Second
	route := &Route{Route: fleet.Route{Timeout: 4 * clock.Second}}
	for _, c := range []struct {
		name    string
		record  flowRecord
		arrived clock.Milli
	}{
		{"first request of a new flow", flowRecord{route: route, arrivedAt: now - 600}, now - 600},
		{"first request after a pause", flowRecord{route: route, arrivedAt: now - 10*clock.Second}, now},
		{"later request", flowRecord{route: route}, now},
		{"first packet of a moved flow", flowRecord{route: route, moved: true}, now - 3*clock.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.arrived, c.record.arrival(now))
			require.Equal(t, now, (&flowRecord{route: route, arrivedAt: c.record.arrivedAt}).arrival(now), "only the first request")
		})
	}
}

// Requests at a target that stalls use up the limit. One for an idle target doesn't wait
// for them.
func TestIdleTargetGetsRequestsBeyondLimit(t *testing.T) {
	h := newHarness(t, target(1, "a"), target(2, "a"))
	h.apply(fleet.Update{Topic: fleet.Config, Full: true, Rev: 1100, Table: limitedTable()})
	h.core.SetAdmitter(func(fleet.Code) bool { return true }, 1, 1)
	stalled, idle := h.openOn(idempotentAddress, target(1, "a").ID), h.openOn(idempotentAddress, target(2, "a").ID)
	h.advance(200)
	h.core.limiter("desk").limit = 1
	require.Equal(t, Deliver, stalled.request().Action)
	require.Equal(t, Queue, h.openOn(idempotentAddress, target(1, "a").ID).request().Action)
	require.Equal(t, Deliver, idle.request().Action)
	require.Equal(t, Queue, h.openOn(idempotentAddress, target(2, "a").ID).request().Action)
}

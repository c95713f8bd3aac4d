package steer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// endedOn returns the flows ended since the last call, by target.
func (b *bed) endedOn() map[schema.TargetID]int {
	n := make(map[schema.TargetID]int)
	for _, e := range b.core.Ended() {
		n[e.Target.ID]++
	}
	return n
}

// silence has flows of targets send requests that nobody answers, and send
// them again.
func (b *bed) silence(ids ...schema.TargetID) {
	var waiting []*client
	for _, id := range ids {
		for range 3 {
			c := b.on(again, id)
			waiting = append(waiting, c)
		}
	}
	for _, c := range waiting {
		c.request()
	}
	b.run(225)
	for _, c := range waiting {
		c.repeat()
	}
	b.run(100)
}

// Load: targets go dark with flows on them; the clients would wait for their
// whole time limit.
func TestFlowsOfDarkTargetEndAtOnce(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "a"))
	idle := b.on(desk, "i-000001")
	asking := b.on(desk, "i-000001")
	b.on(again, "i-000002").request()
	asking.request()
	b.silence("i-000001")
	ended := b.core.Ended()
	tuples := make(map[flow.Tuple]Reason)
	for _, e := range ended {
		require.Equal(t, schema.TargetID("i-000001"), e.Target.ID)
		tuples[e.Tuple] = e.Reason
	}
	require.Equal(t, TargetUnresponsive, tuples[idle.tuple], "an idle flow ends, so that its next request opens another")
	require.NotContains(t, tuples, asking.tuple, "a request that runs once at most may still be answered")
	require.GreaterOrEqual(t, len(tuples), 4)
}

// Load: one target of a data centre without power lives on, and is idle.
// Found by day trouble-3 of lin-crest: a flow was reset while its target
// served.
func TestIdleTargetOfDarkDataCentreKeepsItsFlows(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "c"), target(3, "c"), target(4, "c"))
	b.put(func() fleet.Target { x := target(1, "a"); x.Draining = true; return x }())
	b.on(desk, "i-000004")
	b.run(clock.Second)
	b.silence("i-000002", "i-000003")
	ended := b.endedOn()
	require.Positive(t, ended["i-000002"])
	require.Positive(t, ended["i-000003"])
	require.Zero(t, ended["i-000004"], "no flow of it was left without an answer")
}

// Load: a busy target works on each request for longer than clients wait
// before they repeat a lost packet. It acknowledges, so nothing is repeated.
func TestSlowTargetIsNotDark(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	for range 5 {
		b.on(again, "i-000001").request()
	}
	b.run(3 * clock.Second)
	require.Empty(t, b.core.Ended())
}

// Load: packets of a request overtake each other.
func TestOvertakenPacketIsNoMiss(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	for range 5 {
		c := b.on(again, "i-000001")
		c.seq += 1200
		c.send(flow.Segment{Len: 300})
		c.seq -= 1200
		c.send(flow.Segment{Len: 1200})
	}
	require.False(t, b.core.Alarm())
	b.run(clock.Second)
	require.Empty(t, b.core.Ended())
}

// Load: this daemon is cut off from everything; its targets live.
func TestDeafDaemonEndsNothing(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "b"))
	var all []*client
	for _, id := range []schema.TargetID{"i-000001", "i-000002"} {
		for range 3 {
			all = append(all, b.on(again, id))
		}
	}
	b.run(clock.Second)
	for _, c := range all {
		c.request()
	}
	b.run(225)
	for _, c := range all {
		c.repeat()
	}
	b.run(400)
	require.True(t, b.core.Deaf(b.now))
	require.Empty(t, b.core.Ended())
}

// Load: a peer that is cut off tells that targets are silent; here they are
// only idle.
func TestPeerAloneCondemnsNothing(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	idle := b.on(desk, "i-000001")
	b.on(desk, "i-000002")
	b.run(2 * clock.Second)
	for range 20 {
		b.core.TakeLoads(b.now, "vm-2", "a", []fleet.Load{{Code: idle.target.Code, Flows: 9, Missed: 9, Sure: 9, Since: 600, Heard: 5000}}, false)
		b.run(100)
	}
	require.Empty(t, b.core.Ended())
}

// Load: a target crashes; each first packet is answered with a reset that the
// daemon does not see.
func TestCrashedTargetGetsNoMoreFlows(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	lost := 0
	for range 100 {
		c := b.open(again)
		if c.target.ID == "i-000001" {
			lost++
		} else {
			c.accepted()
		}
		b.run(25)
	}
	require.LessOrEqual(t, lost, 10)
}

// Load: the first packet's target is dark; its copy must go elsewhere.
func TestCopyLeavesDarkTarget(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	var waiting []*client
	for len(waiting) < 3 {
		c := b.open(again)
		if c.target.ID == "i-000001" {
			waiting = append(waiting, c)
		} else {
			c.accepted()
		}
	}
	b.run(200)
	for _, c := range waiting {
		v := c.copy(1)
		require.Equal(t, Deliver, v.Action)
		require.Equal(t, schema.TargetID("i-000002"), v.Target.ID)
	}
}

// Load: a target goes dark just after it answered another daemon; the first
// packet without an answer is older than that. Found by day targets-dark:
// flows waited for their time limit though 20 misses followed.
func TestMissBeforeLastAnswerHidesNoLaterOnes(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	lives := b.on(again, "i-000002")
	var waiting []*client
	for range 4 {
		waiting = append(waiting, b.on(again, "i-000001"))
	}
	b.run(clock.Second)
	waiting[0].request()
	b.run(25)
	heard := b.now
	b.run(25)
	for _, c := range waiting[1:] {
		c.request()
	}
	lives.answers()
	b.run(225)
	ended := 0
	for _, c := range waiting {
		if c.repeat().Action == Reset {
			ended++
		}
	}
	lives.answers()
	b.core.TakeLoads(b.now, "vm-2", "a", []fleet.Load{{Code: waiting[0].target.Code, Flows: 3, Heard: b.now - heard}}, false)
	b.run(100)
	require.Equal(t, 4, ended+b.endedOn()["i-000001"])
}

// Load: a dark target is tried again; only one daemon should try it, and the
// others follow its word.
func TestOneDaemonTriesDarkTarget(t *testing.T) {
	for _, admits := range []bool{true, false} {
		b := newBed(t, target(1, "a"), target(2, "a"))
		b.core.SetAdmitter(func(fleet.Code) bool { return admits }, 7)
		b.silence("i-000001")
		dark := b.core.byCode[target1Code()]
		tried := 0
		for range 120 {
			if c := b.open(again); c.target == dark {
				tried++
			} else {
				c.accepted()
			}
			b.run(25)
		}
		if admits {
			require.Positive(t, tried)
			require.LessOrEqual(t, tried, 4)
			continue
		}
		require.Zero(t, tried)
		b.core.TakeLoads(b.now, "vm-2", "a", []fleet.Load{{Code: dark.Code, Flows: 1, Heard: 10}}, false)
		b.run(25)
		b.on(again, "i-000001")
	}
}

func target1Code() fleet.Code {
	t := target(1, "a")
	return t.Code()
}

// Load: a target crashed a while before its whole data centre loses power.
// Its old misses don't hide that the others fell silent together.
func TestOldMissHidesNoDarkDataCentre(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "c"), target(3, "c"), target(4, "c"))
	crashed := b.on(again, "i-000004")
	lives := b.on(again, "i-000001")
	crashed.request()
	b.run(225)
	crashed.repeat()
	b.run(300)
	for _, id := range []schema.TargetID{"i-000002", "i-000003"} {
		c := b.on(again, id)
		c.request()
		c.answered()
	}
	b.run(500)
	var waiting []*client
	for _, id := range []schema.TargetID{"i-000002", "i-000003"} {
		for range 2 {
			waiting = append(waiting, b.on(again, id))
		}
	}
	for _, c := range waiting {
		c.request()
	}
	b.run(225)
	for _, c := range waiting {
		c.repeat()
	}
	lives.request()
	lives.answered()
	b.run(125)
	require.True(t, b.core.unresponsiveDCs["c"])
}

// Load: the fabric spreads flows anew, as daemons left or died. Flows that
// just opened here go on through other daemons, so their second packet never
// comes here. Found by day scale-2 of lin-crest-grown, after half of the
// daemons lost power: idle flows of targets that served were reset.
func TestFlowsThatMoveToOtherDaemonsCondemnNobody(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "c"), target(4, "c"))
	for _, id := range []schema.TargetID{"i-000001", "i-000002"} {
		b.on(desk, id)
	}
	b.run(5 * clock.Second)
	lives := b.on(again, "i-000002")
	for range 3 {
		for range 8 {
			b.open(again)
		}
		lives.request()
		lives.answered()
		b.run(300)
	}
	b.run(clock.Second)
	require.Empty(t, b.core.Ended())
	for range 8 {
		b.open(again)
	}
	b.run(clock.Second)
	require.False(t, b.core.Deaf(b.now))
}

// Load: this data centre is out and then cut off from the others: its own
// targets take no new flows and the others' don't hear, while flows from before
// go on.
func TestNoTargetAcceptsNewFlows(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "b"))
	old := b.on(again, "i-000001")
	b.rev++
	b.apply(fleet.Update{Topic: fleet.Outs, Since: 1000, Rev: b.rev, Outs: []fleet.Out{{DataCentre: "a", Rev: b.rev}}})
	fails := func() {
		var opens []*client
		for range 5 {
			opens = append(opens, b.open(again))
		}
		b.run(200)
		for _, c := range opens {
			c.copy(1)
		}
		old.request()
		old.answered()
		b.run(400)
	}
	b.run(clock.Second)
	fails()
	require.True(t, b.core.Barren(b.now))
	require.False(t, b.core.Deaf(b.now), "the old flow is answered")
	b.core.TryOpens()
	require.False(t, b.core.Barren(b.now))
	fails()
	b.open(again).accepted()
	require.False(t, b.core.Barren(b.now))
}

// Load: many daemons share a target's flows, this one has only idle ones there, and
// peers miss answers, for whatever reason. Flows end only by misses of this
// daemon's own: with those of three peers alone, flows of targets that served were
// reset on fresh-01d9 and hunt-4376-7 of lin-crest-grown.
func TestPeersAloneCondemnNothing(t *testing.T) {
	for tellers := 1; tellers <= 4; tellers++ {
		b := newBed(t, target(1, "a"), target(2, "a"))
		idle := b.on(desk, "i-000001")
		lives := b.on(again, "i-000002")
		b.run(5 * clock.Second)
		tell := func() {
			for n := range tellers {
				id := schema.VMID(fmt.Sprintf("vm-%d", n+2))
				b.core.TakeLoads(b.now, id, "a", []fleet.Load{{Code: idle.target.Code, Flows: 2, Missed: 1, Sure: 1, Since: b.now - start - 5*clock.Second, Heard: 9000}}, false)
			}
			lives.request()
			lives.answered()
		}
		b.run(250)
		tell()
		require.Empty(t, b.core.Ended(), "too early")
		b.run(300)
		tell()
		b.run(50)
		require.Empty(t, b.core.Ended(), "%d tellers", tellers)
	}
}

// Load: the same, but somebody had an answer since.
func TestAnswerAnywhereSavesATarget(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	idle := b.on(desk, "i-000001")
	b.run(5 * clock.Second)
	for range 8 {
		for n := range 4 {
			id := schema.VMID(fmt.Sprintf("vm-%d", n+2))
			b.core.TakeLoads(b.now, id, "a", []fleet.Load{{Code: idle.target.Code, Flows: 2, Missed: 1, Sure: 1, Since: 900, Heard: 9000}}, false)
		}
		b.core.TakeLoads(b.now, "vm-9", "a", []fleet.Load{{Code: idle.target.Code, Flows: 2, Heard: 200}}, false)
		b.run(100)
	}
	require.Empty(t, b.core.Ended())
}

// Load: a data centre loses power, and hundreds of daemons have one or two flows
// each on its hundreds of targets: no target is missed by two. Found by the sweep,
// where flows of a lost data centre waited for their limit at 101 and 301
// machines.
func TestManyDaemonsMissManyTargets(t *testing.T) {
	var list []fleet.Target
	list = append(list, target(1, "a"))
	for n := 2; n < 12; n++ {
		list = append(list, target(n, "c"))
	}
	for _, peers := range []int{1, 2, 8} {
		for _, lives := range []bool{false, true} {
			manyMisses(t, list, peers, lives)
		}
	}
}

// manyMisses has this daemon and some peers miss one answer each in a data
// centre, whose own daemons had one since, or not.
func manyMisses(t *testing.T, list []fleet.Target, peers int, answered bool) {
	b := newBed(t, list...)
	b.put(draining(target(1, "a")))
	waits := b.on(again, "i-000002")
	idle := b.on(again, "i-000003")
	b.put(target(1, "a"))
	lives := b.on(again, "i-000001")
	b.run(5 * clock.Second)
	waits.request()
	lives.answers()
	b.run(225)
	waits.repeat()
	for n := range peers {
		miss := target(4+n, "c")
		b.core.TakeLoads(b.now, schema.VMID(fmt.Sprintf("vm-%d", n+2)), "a", []fleet.Load{
			{Code: miss.Code(), Flows: 1, Missed: 1, Sure: 1, Since: 225, Heard: 9000},
		}, false)
	}
	if answered {
		b.core.TakeHeard("c", b.now-50)
	}
	lives.request()
	lives.answered()
	b.run(100)
	ended := make(map[flow.Tuple]bool)
	for _, e := range b.core.Ended() {
		ended[e.Tuple] = true
	}
	require.Equal(t, peers >= 2 && !answered, ended[waits.tuple], "%d peers, answered %t", peers, answered)
	require.False(t, ended[idle.tuple], "nobody misses an answer of its target")
}

// Load: daemons tell each other that a data centre was heard, again and again.
// Word of it must not keep it alive.
func TestWordOfAnswersIsNotToldOn(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "c"))
	require.Negative(t, b.core.Heard(b.now))
	b.core.TakeHeard("a", b.now)
	require.Negative(t, b.core.Heard(b.now))
	c := b.on(again, "i-000001")
	c.request()
	c.answered()
	b.run(500)
	b.core.TakeHeard("a", b.now)
	require.Equal(t, 500*clock.Milli(1), b.core.Heard(b.now))
}

// Load: this daemon gets little processor for a while. Packets wait in its queue,
// so their clients sent them again before it passed the first ones on; the answers
// wait behind.
func TestStalledDaemonCondemnsNobody(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "b"))
	idle := b.on(desk, "i-000001")
	lives := b.on(again, "i-000003")
	var asking []*client
	for range 4 {
		asking = append(asking, b.on(again, "i-000001"))
	}
	b.run(5 * clock.Second)
	for _, c := range asking {
		c.request()
	}
	b.now += 250 // no tick meanwhile
	for _, c := range asking {
		c.repeat()
	}
	lives.request()
	lives.answered()
	b.now += 25
	b.core.Tick(b.now)
	for _, l := range b.core.Loads(b.now, false) {
		require.Zero(t, l.Sure, "peers are told nothing for sure")
	}
	for _, c := range asking {
		c.answered()
	}
	b.run(2 * clock.Second)
	for _, e := range b.core.Ended() {
		require.NotEqual(t, idle.tuple, e.Tuple, "its target answered all along")
	}
	require.Empty(t, b.core.Ended())
}

package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// probe makes the probes that the core asks for, each taking so long and ending
// so, and returns their targets.
func (b *bed) probe(o Outcome, took clock.Milli) []schema.TargetID {
	var ids []schema.TargetID
	list := b.core.Probes(b.now)
	b.run(took)
	for _, p := range list {
		ids = append(ids, p.ID)
		b.core.Probed(b.now, p, o)
	}
	b.run(25)
	return ids
}

// answers has a flow's target answer a request at once.
func (c *client) answers() {
	c.request()
	c.answered()
}

// Load: a target crashes. Its host resets the flows of those that send something,
// so nothing is ever repeated; edits on idle flows would be lost one by one.
func TestIdleFlowsOfCrashedTargetEnd(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	idle := b.on(desk, "i-000001")
	asking := b.on(again, "i-000001")
	lives := b.on(again, "i-000002")
	b.run(clock.Second)
	asking.request()
	b.run(200)
	require.Empty(t, b.probe(Refused, 5), "most answers take that long")
	lives.answers()
	b.run(150)
	require.Equal(t, []schema.TargetID{"i-000001"}, b.probe(Refused, 5))
	ended := make(map[flow.Tuple]Reason)
	for _, e := range b.core.Ended() {
		ended[e.Tuple] = e.Reason
	}
	require.Equal(t, map[flow.Tuple]Reason{idle.tuple: TargetUnresponsive, asking.tuple: TargetUnresponsive}, ended)
	require.Zero(t, b.opensOn(50)["i-000001"])
}

// Load: the same, with an edit at work: it may have run, and is not given up.
func TestEditAtWorkOutlivesAProof(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	edit := b.on(desk, "i-000001")
	lives := b.on(again, "i-000002")
	b.run(clock.Second)
	edit.request()
	b.run(350)
	lives.answers()
	b.probe(Refused, 5)
	for _, e := range b.core.Ended() {
		require.NotEqual(t, edit.tuple, e.Tuple)
	}
	require.Equal(t, Deliver, edit.repeat().Action)
}

// Load: a target works slowly, or a connection is not answered for another reason:
// silence counts only with a repeated packet, and if packets that this daemon passed
// on meanwhile had answers.
func TestSilentProbeAloneProvesNothing(t *testing.T) {
	for _, c := range []struct {
		name             string
		outcome          Outcome
		repeated, others bool
		took             clock.Milli
		dead             bool
	}{
		{"slow and accepting", Accepted, false, true, 5, false},
		{"accepting, a packet lost", Accepted, true, true, 5, false},
		{"slow and silent", Silent, false, true, 160, false},
		{"dark", Silent, true, true, 160, true},
		{"this daemon hears nobody", Silent, true, false, 160, false},
		{"the probe waited here", Silent, true, true, maxProbeTime + 1, false},
	} {
		b := newBed(t, target(1, "a"), target(2, "a"))
		idle := b.on(desk, "i-000001")
		asking := b.on(again, "i-000001")
		lives := b.on(again, "i-000002")
		b.run(clock.Second)
		asking.request()
		lives.answers()
		if c.repeated {
			b.run(200)
			asking.repeat()
			b.run(25)
		} else {
			b.run(325)
		}
		list := b.core.Probes(b.now)
		require.Len(t, list, 1, c.name)
		if c.others {
			lives.answers()
		}
		b.run(c.took)
		b.core.Probed(b.now, list[0], c.outcome)
		b.run(50)
		n := 0
		for _, e := range b.core.Ended() {
			if e.Tuple == idle.tuple {
				n++
			}
		}
		require.Equal(t, c.dead, n == 1, c.name)
	}
}

// Load: this daemon's own link is full for half a second, as it sends a new
// configuration to many peers. Packets wait there, so clients repeat them, and
// connections wait as well; the targets serve. Found by hunt-34e2-7 of
// lin-crest-grown, where seven targets of three data centres were held dead at once
// and FLOW broke; fresh-01d9 and hunt-4376-7 of the sitting before show the same at
// the same second.
func TestFullLinkCondemnsNobody(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "b"))
	var all []*client
	for _, id := range []schema.TargetID{"i-000001", "i-000002"} {
		b.on(desk, id)
		for range 3 {
			all = append(all, b.on(again, id))
		}
	}
	b.run(clock.Second)
	early := b.on(again, "i-000001")
	early.request()
	b.run(25)
	for _, c := range all {
		c.request()
	}
	early.answered()
	b.run(200)
	for _, c := range all {
		c.repeat()
	}
	for range 6 {
		b.probe(Silent, 150)
	}
	for _, l := range b.core.Loads(b.now, false) {
		require.Zero(t, l.Sure, "peers are told nothing for sure")
	}
	for _, c := range all {
		c.answered()
	}
	b.run(clock.Second)
	require.Empty(t, b.core.Ended())
}

// Load: a target that was proved dead answers somebody after all.
func TestAnswerAfterAProofKeepsFlows(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	b.on(desk, "i-000001")
	asking := b.on(again, "i-000001")
	b.run(clock.Second)
	asking.request()
	b.run(325)
	list := b.core.Probes(b.now)
	require.Len(t, list, 1)
	b.core.TakeLoads(b.now, "vm-2", "a", []fleet.Load{{Code: asking.target.Code, Heard: 10}}, false)
	b.core.Probed(b.now, list[0], Refused)
	b.run(clock.Second)
	require.Empty(t, b.core.Ended())
}

// Load: hundreds of daemons hold one or two idle flows each of a target that falls
// dark; only one has a request on it. Its word has the others probe, and nothing
// ends by hearsay. Found by trouble-1 of lin-crest-large: edits were sent on flows
// of targets that other daemons knew to be dark for a second.
func TestWordOfAProofIsProvedAndToldOn(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "a"))
	idle := b.on(desk, "i-000001")
	lives := b.on(again, "i-000002")
	b.run(clock.Second)
	word := []fleet.Suspect{{Code: idle.target.Code, Age: 40}, {Code: target3Code(), Age: 40}}
	b.core.TakeSuspects(b.now, word)
	require.True(t, b.core.Alarm(), "it is told on soon")
	for n := range deadReportCount {
		require.Len(t, b.core.Suspects(b.now), 2, "summary %d", n)
		b.core.TakeSuspects(b.now, word)
	}
	require.Empty(t, b.core.Suspects(b.now), "told often enough")
	require.Zero(t, b.opensOn(50)["i-000001"], "new flows go elsewhere at once")
	lives.answers()
	require.Equal(t, []schema.TargetID{"i-000001"}, b.probe(Accepted, 5), "no flow of the other is held here")
	require.Empty(t, b.core.Ended())
	b.run(clock.Second)
	b.core.TakeSuspects(b.now+2*clock.Second, []fleet.Suspect{{Code: idle.target.Code, Age: 40}})
	b.run(2 * clock.Second)
	lives.answers()
	b.probe(Silent, 160)
	require.Equal(t, 1, b.endedOn()["i-000001"])
}

func target3Code() fleet.Code {
	t := target(3, "a")
	return t.Code()
}

// Load: a target that is proved dead drains, goes, or is never heard of again: the
// questions about it end.
func TestQuestionsEnd(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	asking := b.on(again, "i-000001")
	b.run(clock.Second)
	asking.request()
	b.run(325)
	require.Len(t, b.core.Probes(b.now), 1)
	require.Empty(t, b.core.Probes(b.now), "one at a time")
	b.core.Probed(b.now, Probe{Code: asking.target.Code, Began: b.now}, Silent)
	b.run(probeReasonTTL + clock.Second)
	b.core.Probes(b.now)
	require.Empty(t, b.core.probeQueue)
	require.Zero(t, b.core.activeProbes)
}

package steer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

const (
	// trafficStep is the step of time of the model, workTime the time that a request
	// takes at a healthy target, goneAfter when its client gives up.
	trafficStep = 5 * clock.Milli(1)
	workTime    = 55 * clock.Milli(1)
	goneAfter   = 4 * clock.Second
	// lateAfter is the age from which a request counts as late.
	lateAfter = 250 * clock.Milli(1)
)

// served is a target of the model: it works on as many requests as it has slots and
// queues the others.
type served struct {
	slots int
	// slow multiplies the work, mute is the part of the requests that it never
	// answers, without work.
	slow  float64
	mute  float64
	works []*asking
	queue []*asking
	got   int
}

// asking is a request of the model, on a flow of its own.
type asking struct {
	client *client
	born   clock.Milli
	ends   clock.Milli
	over   bool
}

// shop is a model of several daemons before targets that they share, in which each
// request opens a flow.
type shop struct {
	t       *testing.T
	now     clock.Milli
	random  *rand.Rand
	beds    []*bed
	targets map[schema.TargetID]*served
	list    []*served
	open    []*asking
	// fanOut is the number of daemons that each tells its loads, zero for all.
	fanOut int
	asked  int
	late   int
	// queued counts the requests that waited for a slot.
	queued int
}

func newShop(t *testing.T, daemons, targets, slots int) *shop {
	s := &shop{t: t, now: start, random: rand.New(rand.NewPCG(7, 7)), targets: make(map[schema.TargetID]*served)}
	var list []fleet.Target
	for i := range targets {
		x := target(i+1, "a")
		x.Slots = slots
		list = append(list, x)
		s.list = append(s.list, &served{slots: x.Slots, slow: 1})
		s.targets[x.ID] = s.list[i]
	}
	for i := range daemons {
		b := newBed(t, list...)
		b.core.random = rand.New(rand.NewPCG(uint64(i), 1))
		s.beds = append(s.beds, b)
	}
	return s
}

// some returns the first n targets.
func (s *shop) some(n int) []*served { return s.list[:n] }

// run plays d of traffic at a rate of requests a second and forgets the counts first.
func (s *shop) run(d clock.Milli, rate float64) {
	s.asked, s.late, s.queued = 0, 0, 0
	for _, x := range s.targets {
		x.got = 0
	}
	due := 0.0
	for end := s.now + d; s.now < end; {
		s.now += trafficStep
		for i, b := range s.beds {
			b.now = s.now
			if s.now%25 == 0 {
				b.core.Tick(s.now)
			}
			if (s.now+clock.Milli(35*i))%250 == 0 {
				s.tell(i)
			}
		}
		for due += rate * float64(trafficStep) / float64(clock.Second); due >= 1; due-- {
			s.ask()
		}
		for _, x := range s.list {
			s.work(x)
		}
		s.giveUp()
	}
}

// tell has a daemon tell others its loads.
func (s *shop) tell(i int) {
	loads := s.beds[i].core.Loads(s.now, false)
	fanOut := len(s.beds) - 1
	if s.fanOut != 0 {
		fanOut = s.fanOut
	}
	for _, n := range s.random.Perm(len(s.beds))[:min(fanOut+1, len(s.beds))] {
		if n != i {
			s.beds[n].core.TakeLoads(s.now, schema.VMID(fmt.Sprint(i)), "a", loads, false)
		}
	}
}

// ask opens a flow through some daemon and sends its request.
func (s *shop) ask() {
	c := s.beds[s.random.IntN(len(s.beds))].open(again).accepted()
	c.request()
	s.asked++
	a := &asking{client: c, born: s.now}
	x := s.targets[c.target.ID]
	x.got++
	s.open = append(s.open, a)
	if s.random.Float64() >= x.mute {
		x.queue = append(x.queue, a)
	}
}

// work ends requests that are done and starts the next ones.
func (s *shop) work(x *served) {
	x.works = slices.DeleteFunc(x.works, func(a *asking) bool {
		if a.ends > s.now {
			return false
		}
		s.end(a)
		return true
	})
	for len(x.queue) > 0 && len(x.works) < x.slots {
		a := x.queue[0]
		x.queue = x.queue[1:]
		if s.now > a.born {
			s.queued++
		}
		a.ends = s.now + clock.Milli(float64(workTime)*x.slow*(0.5+s.random.Float64()))
		x.works = append(x.works, a)
	}
}

// end hands an answer to its client, which closes the flow.
func (s *shop) end(a *asking) {
	if a.over {
		return
	}
	a.over = true
	if s.now-a.born > lateAfter {
		s.late++
	}
	a.client.answered()
	a.client.send(flow.Segment{Close: true})
}

// giveUp ends the requests whose clients wait no longer, without a packet.
func (s *shop) giveUp() {
	s.open = slices.DeleteFunc(s.open, func(a *asking) bool {
		if !a.over && s.now-a.born > goneAfter {
			a.over = true
			s.late++
		}
		return a.over
	})
}

// Load: unequal speed. Of 14 targets four take eight times as long for a while; their
// queues never fill, so their work alone hardly keeps new flows away.
func TestSlowTargetsGetFewFlows(t *testing.T) {
	s := newShop(t, 6, 14, 4)
	const rate = 300
	s.run(5*clock.Second, rate)
	require.Zero(t, s.late, "of %d", s.asked)
	slow := s.some(4)
	for _, x := range slow {
		x.slow = 8
	}
	s.run(2*clock.Second, rate)
	s.run(8*clock.Second, rate)
	require.Less(t, s.late, s.asked/50, "of %d", s.asked)
	for _, x := range slow {
		x.slow = 1
	}
	s.run(6*clock.Second, rate)
	s.run(4*clock.Second, rate)
	for _, x := range slow {
		require.Greater(t, x.got, s.asked/14/2, "of %d in all", s.asked)
	}
}

// Load: fails part of what it takes. Three of 14 targets accept all flows and never
// answer half of the requests.
func TestTargetsThatAnswerAPartGetFewFlows(t *testing.T) {
	s := newShop(t, 6, 14, 4)
	const rate = 300
	s.run(5*clock.Second, rate)
	mute := s.some(3)
	for _, x := range mute {
		x.mute = 0.5
	}
	s.run(3*clock.Second, rate)
	s.run(10*clock.Second, rate)
	got := 0
	for _, x := range mute {
		got += x.got
	}
	require.Less(t, got, s.asked*3/14/20, "of %d, a twentieth of their share", s.asked)
}

// Load: the fabric spreads its flows anew, so that the answers to many requests pass
// through other daemons; targets that serve must not seem slow.
func TestFlowsSpreadAnewSlowNobody(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"), target(3, "a"))
	for range 12 {
		b.open(again).accepted().request()
	}
	b.run(100)
	moved := &client{bed: b, seq: 1000, ack: 5000, tuple: flow.Tuple{ClientPort: 60000, Address: again.Addr().As4(), Port: again.Port()}, cookie: uint32(b.core.targets[0].Code)}
	moved.send(flow.Segment{})
	b.run(3 * clock.Second)
	for _, x := range b.core.targets {
		require.Zero(t, x.latency.pending.n)
	}
}

// Load: the same slow target, as the log and an operator see it.
func TestSlownessIsTold(t *testing.T) {
	s := newShop(t, 2, 6, 4)
	s.some(1)[0].slow = 8
	s.run(5*clock.Second, 200)
	var told []SlownessChange
	for _, b := range s.beds {
		told = append(told, b.core.Paces()...)
		require.Empty(t, b.core.Paces())
	}
	require.NotEmpty(t, told)
	require.Equal(t, target(1, "a").ID, told[0].ID)
	require.GreaterOrEqual(t, told[0].Slow, slowRatio)
	require.GreaterOrEqual(t, told[0].Requests, minLatencySamples)
	s.beds[0].core.compareLatencies(s.now)
	x := s.beds[0].core.byID[target(1, "a").ID]
	x.latency.ratio = 4
	require.Contains(t, s.beds[0].core.reasons(s.now, x)[0], "takes 4.0 times as long as usual")
}

// Load: daemons tell each other loads that are older than a request takes. If these
// weighed as much as a daemon's own, all would take the targets that were idle, and
// queues would form that no daemon makes by itself. Small crowds tell all, large ones
// three of the others.
func TestPeersOldLoadsMakeNoQueues(t *testing.T) {
	for _, c := range []struct {
		daemons, targets, slots, fanOut int
		rate                            float64
		// queued is the most of a hundred requests that may wait for a slot.
		queued int
	}{
		{6, 14, 4, 0, 300, 5},
		{6, 14, 4, 0, 600, 20},
		{6, 14, 4, 0, 800, 45},
		{59, 120, 2, 3, 570, 4},
		{59, 120, 2, 3, 1710, 25},
	} {
		s := newShop(t, c.daemons, c.targets, c.slots)
		s.fanOut = c.fanOut
		s.run(3*clock.Second, c.rate)
		s.run(5*clock.Second, c.rate)
		t.Logf("%d daemons, %v a second: %d of %d queued, %d late", c.daemons, c.rate, s.queued, s.asked, s.late)
		require.Less(t, 100*s.queued, c.queued*s.asked, "%d daemons, %v a second", c.daemons, c.rate)
		require.Zero(t, s.late)
	}
}

// Load: targets that answer within a millisecond or two, whose times are mostly noise.
func TestShortTimesAreNotCompared(t *testing.T) {
	for _, c := range []struct{ mean, usual, slow float64 }{
		{4, 1, 1}, {20, 2, 1}, {30, 2, 8}, {55, 55, 1}, {120, 55, 1}, {220, 55, 4}, {900, 55, 8}, {150, 130, 1},
	} {
		var p latencyStats
		p.update(c.mean, c.usual)
		require.Equal(t, c.slow, p.slowness(), "%v ms, usually %v", c.mean, c.usual)
	}
}

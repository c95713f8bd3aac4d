package entry

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// deployments are sizes and bounds of deployments: messages go to all of up to 11
// daemons, to samples of more.
var deployments = []struct {
	daemons int
	bound   clock.Milli
	// lost and after are how many of the first ranks are lost how long after a change.
	lost  []int
	after []clock.Milli
}{
	{7, 3 * clock.Second, []int{0, 1, 2, 3, 5}, []clock.Milli{200, 550, 900, 1250, 1600}},
	{18, 3 * clock.Second, []int{0, 1, 3, 9}, []clock.Milli{200, 550, 900, 1250, 1600}},
	{18, 5 * clock.Second, []int{0, 1, 3, 9}, []clock.Milli{200, 550, 900, 1250, 1600}},
	{18, 6 * clock.Second, []int{0, 1, 3, 9}, []clock.Milli{200, 550, 900, 1250, 1600}},
	{69, 5 * clock.Second, []int{1, 3, 30}, []clock.Milli{200, 900, 1600}},
}

// forEachLoss runs a scenario for each deployment and each loss of first ranks.
func forEachLoss(t *testing.T, scenario func(s *sim, bound clock.Milli, lost int, after clock.Milli)) {
	for _, x := range deployments {
		for _, lost := range x.lost {
			for _, after := range x.after {
				t.Run(fmt.Sprintf("%d daemons, %d ms, %d lost after %d ms", x.daemons, x.bound, lost, after), func(t *testing.T) {
					t.Parallel()
					scenario(newSim(t, x.daemons, x.bound), x.bound, lost, after)
				})
			}
		}
	}
}

// awayTime is how long lost daemons stay away: longer than every bound.
const awayTime = 8 * clock.Second

// TestDrainIsInForceThoughReadersAreLost guards against a target that gets new flows for
// seconds after it said that it leaves: the watches were silent, and the daemons that
// knew of this were lost one after the other (DRAIN, incident 38).
func TestDrainIsInForceThoughReadersAreLost(t *testing.T) {
	forEachLoss(t, func(s *sim, bound clock.Milli, lost int, after clock.Milli) {
		s.store.passes, s.store.silentUntil = true, s.now+watchSilence
		s.store.put("i-05", true)
		s.run(after, nil)
		s.lose(lost, awayTime)
		s.run(bound-after, nil)
		require.Empty(s.t, s.unaware(drained("i-05")), "a bound after the drain")
	})
}

// TestDrainIsInForceThoughHistoryIsLost guards against the same if the store drops its
// history once its watches hear again, so that a second look gets no answer, while news
// of other targets go on (DRAIN, incident 38).
func TestDrainIsInForceThoughHistoryIsLost(t *testing.T) {
	forEachLoss(t, func(s *sim, bound clock.Milli, lost int, after clock.Milli) {
		s.store.passes, s.store.silentUntil = true, s.now+watchSilence
		s.store.put("i-05", true)
		drainedAt, changedAt := s.now, s.now
		s.run(bound, func() {
			if s.now-changedAt >= 300 {
				changedAt = s.now
				s.store.put(targetID(100+int(s.now/300)), false)
			}
			switch s.now {
			case drainedAt + after:
				s.lose(lost, awayTime)
			case drainedAt + watchSilence:
				s.store.dropped = s.store.rev
			}
		})
		require.Empty(s.t, s.unaware(drained("i-05")), "a bound after the drain")
	})
}

// TestLateNewsReachPeersBetweenOtherChanges guards against a drain that the reader hears
// late, by a second look, and that its peers miss, as they have passed its revision and
// other changes follow each other (DRAIN, incident 38).
func TestLateNewsReachPeersBetweenOtherChanges(t *testing.T) {
	forEachLoss(t, func(s *sim, bound clock.Milli, lost int, after clock.Milli) {
		s.store.passes, s.store.silentUntil = true, s.now+watchSilence
		s.store.put("i-05", true)
		drainedAt, changedAt := s.now, s.now
		s.run(bound, func() {
			if s.now-changedAt >= 100 {
				changedAt = s.now
				s.store.put(targetID(100+int(s.now/100)), false)
			}
			if s.now == drainedAt+after {
				s.lose(lost, awayTime)
			}
		})
		require.Empty(s.t, s.unaware(drained("i-05")), "a bound after the drain")
	})
}

// untilListed runs the fleet until a list of a topic has just ended.
func (s *sim) untilListed(t fleet.Topic) {
	lists := func() bool {
		return slices.ContainsFunc(s.daemons, func(d *simDaemon) bool { return d.returns == 0 && d.call != nil && d.call.List && d.call.Topic == t })
	}
	for !lists() {
		s.run(simStep, nil)
	}
	s.run(simStep, nil)
}

// TestChangesAreInForceThoughReadersAreLost guards against a configuration and an
// evacuation that watches don't tell and nobody lists for longer than the bound, as the
// daemon that listed them is lost just before it would again (CONFIG and EVAC, incident
// 38).
func TestChangesAreInForceThoughReadersAreLost(t *testing.T) {
	forEachLoss(t, func(s *sim, bound clock.Milli, lost int, after clock.Milli) {
		s.store.kindRevision = true
		s.run(clock.Second, nil)
		s.untilListed(fleet.Config)
		s.store.configure()
		s.run(after, nil)
		s.lose(lost, awayTime)
		s.run(bound-after, nil)
		require.Empty(s.t, s.unaware(func(r *fleet.Replica) bool { return r.Table().Version == s.store.version }), "a bound after the new version")
		s.run(awayTime, nil)
		s.untilListed(fleet.Outs)
		s.store.takeOut("b")
		s.run(after, nil)
		s.lose(lost, awayTime)
		s.run(s.bounds.Out-after, nil)
		require.Empty(s.t, s.unaware(func(r *fleet.Replica) bool { out, _ := r.Out("b"); return out }), "a bound after the mark")
	})
}

// TestAgesGrowWithTime guards against ages that stay low as daemons pass them on to each
// other, each without the time that the message took: nobody takes over from a reader
// that was lost, and views count as fresh that are not (DRAIN, incident 38).
func TestAgesGrowWithTime(t *testing.T) {
	for _, x := range deployments {
		s := newSim(t, x.daemons, x.bound)
		s.store.down = true
		began := s.now
		s.run(10*clock.Second, nil)
		for _, d := range s.daemons {
			for topic := range fleet.Topics {
				require.GreaterOrEqual(t, d.reader.Age(s.now, topic), s.now-began-x.bound/10, "%d daemons, %s of %s", x.daemons, topic, d.cfg.ID)
				require.GreaterOrEqual(t, d.reader.ProofAge(s.now, topic), s.now-began-x.bound/10, "proof, %d daemons, %s of %s", x.daemons, topic, d.cfg.ID)
			}
		}
	}
}

// TestRemovedTargetStaysRemoved guards against a target that was removed and comes back
// at a daemon that never had it, from a peer that missed the removal: neither sees a
// difference then (DRAIN, incident 38).
func TestRemovedTargetStaysRemoved(t *testing.T) {
	s := newSim(t, 2, 3*clock.Second)
	s.cut = true
	s.lose(1, simStep)
	s.run(simStep, nil)
	s.store.passes, s.store.silentUntil = true, s.now+clock.Minute
	s.store.remove("i-05")
	late, early := s.daemons[0], s.daemons[1]
	if late.undisturbed {
		late, early = early, late
	}
	s.run(simSettle, nil)
	require.True(t, late.reader.Grounded(fleet.Targets))
	require.Nil(t, late.core.Replica().Entry("i-05"))
	require.False(t, early.core.Replica().Entry("i-05").Gone)
	s.cut = false
	s.run(clock.Second, func() {
		e := late.core.Replica().Entry("i-05")
		require.True(t, e == nil || e.Gone, "taken from a peer that missed the removal")
	})
	require.True(t, early.core.Replica().Entry("i-05").Gone, "the peer learns of the removal")
}

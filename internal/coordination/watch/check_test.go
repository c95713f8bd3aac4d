package watch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// object is a model object of a topic: the revision of its last write.
type object = schema.Version

// modelStore is a store with one object for each topic. Its watches hear nothing
// until hushedUntil, and its stale lists hold the objects of staleObjects.
type modelStore struct {
	rev          schema.Version
	objects      [fleet.Topics]object
	staleObjects [fleet.Topics]object
	hushedUntil  clock.Milli
	// keepsRevision makes watches that hear nothing answer with the revision asked
	// for; otherwise it is the current one.
	keepsRevision bool
	// dropped is the revision before which the history was dropped.
	dropped schema.Version
}

func (s *modelStore) write(t fleet.Topic) {
	s.rev++
	s.objects[t] = s.rev
}

// modelReader is a reader with the objects that its daemon holds.
type modelReader struct {
	*Reader
	objects [fleet.Topics]object
	calls   int
}

// call makes the call that the reader wants now, if any.
func (r *modelReader) call(now clock.Milli, s *modelStore) {
	c, ok := r.Next(now)
	if !ok {
		return
	}
	r.calls++
	rev := s.rev
	switch {
	case c.List && c.Stale:
		r.objects[c.Topic] = max(r.objects[c.Topic], s.staleObjects[c.Topic])
	case c.List:
		r.objects[c.Topic] = s.objects[c.Topic]
	case c.Since < s.dropped:
		r.Done(now, now, c, HistoryLost, 0)
		return
	case now < s.hushedUntil:
		if s.keepsRevision {
			rev = c.Since
		}
	case s.objects[c.Topic] > c.Since:
		r.objects[c.Topic] = s.objects[c.Topic]
	}
	r.Done(now, now, c, Read, rev)
}

// run lets the reader call for a time. Each call is answered at once.
func (r *modelReader) run(now *clock.Milli, d clock.Milli, s *modelStore) {
	for end := *now + d; *now < end; *now += step {
		r.call(*now, s)
	}
}

// newModelReader returns the reader of a daemon without peers.
func newModelReader() *modelReader { return &modelReader{Reader: New(bound, 0)} }

// TestStaleListIsNoProof guards against a daemon that takes the old objects of its
// first lists for current, as the revision beside them is (CONFIG after a restart).
func TestStaleListIsNoProof(t *testing.T) {
	s := &modelStore{rev: 20, objects: [fleet.Topics]object{18, 19, 20}, staleObjects: [fleet.Topics]object{5, 6, 7}}
	r, now := newModelReader(), start
	r.run(&now, confirmWait, s)
	require.Equal(t, s.staleObjects, r.objects)
	for topic := range fleet.Topics {
		require.False(t, r.Fresh(now, topic), "%s", topic)
	}
	r.run(&now, bound-confirmWait, s)
	require.Equal(t, s.objects, r.objects)
}

// TestSilentWatchIsNoProof guards against a reader that passes a change because a
// watch answered without it (CONFIG, DRAIN and EVAC at all daemons, for good).
func TestSilentWatchIsNoProof(t *testing.T) {
	for _, keepsRevision := range []bool{false, true} {
		for _, offset := range []clock.Milli{0, 250, 500, 950} {
			s := &modelStore{rev: 20, objects: [fleet.Topics]object{18, 19, 20}, keepsRevision: keepsRevision}
			r, now := newModelReader(), start
			r.run(&now, 5*clock.Second, s)
			hushed := now
			s.hushedUntil = now + clock.Second
			r.run(&now, offset, s)
			for topic := range fleet.Topics {
				s.write(topic)
			}
			changed := now
			r.run(&now, hushed+clock.Second-now, s)
			s.dropped = s.rev
			r.run(&now, changed+bound-now, s)
			require.Equal(t, s.objects, r.objects, "keeps revision %t, changed after %d ms", keepsRevision, offset)
		}
	}
}

// TestWatchOfOneKindIsNoProof guards against a reader that never hears of changes of
// the other topics, as watches answer with the last revision of their kind.
func TestWatchOfOneKindIsNoProof(t *testing.T) {
	s := &modelStore{rev: 20, objects: [fleet.Topics]object{18, 19, 20}, keepsRevision: true}
	r, now := newModelReader(), start
	r.run(&now, 5*clock.Second, s)
	for range 10 {
		s.hushedUntil = now + bound // no target changes
		s.write(fleet.Config)
		s.write(fleet.Outs)
		r.run(&now, bound*3/4, s)
		require.Equal(t, s.objects, r.objects)
	}
}

// What checks cost while nothing changes: at most two calls in each half of the bound
// beside the polls.
func TestChecksCostLittle(t *testing.T) {
	s := &modelStore{rev: 20, objects: [fleet.Topics]object{18, 19, 20}}
	r, now := newModelReader(), start
	r.run(&now, 5*clock.Second, s)
	r.calls = 0
	lists := 0
	for end := now + 10*clock.Second; now < end; now += step {
		if c, ok := r.Next(now); ok {
			if c.List {
				lists++
			}
			r.Done(now+c.Wait, now, c, Read, s.rev)
			now += c.Wait
		}
	}
	require.LessOrEqual(t, lists, 2*10*2/3+2)
}

// TestLastingDifferenceIsSettledByTheStore guards against daemons that hold different
// objects at one revision for good, as neither gets from the other what settles it.
func TestLastingDifferenceIsSettledByTheStore(t *testing.T) {
	r := New(bound, 0)
	r.SetRank(3, false)
	now := start
	for topic := range fleet.Topics {
		r.Advance(topic, 10, now)
	}
	require.True(t, r.RecordDifference(now, fleet.Targets, Proof{Rev: 9}), "pull from the peer")
	require.False(t, r.RecordDifference(now+step, fleet.Targets, Proof{Rev: 9}), "a pull was just made")
	for end := now + bound; now <= end; now += 250 {
		r.RecordDifference(now, fleet.Targets, Proof{Rev: 9})
		for topic := range fleet.Topics {
			r.Advance(topic, 10, now)
		}
	}
	c, ok := r.Next(now)
	require.True(t, ok)
	require.Equal(t, Call{Topic: fleet.Targets, List: true, Timeout: minTimeout}, c)
	r.Done(now, now, c, Read, 10)
	_, ok = r.Next(now + bound/4)
	require.False(t, ok)
	r.RecordDifference(now, fleet.Config, Proof{Rev: 9})
	_, ok = r.Next(now + bound/4)
	require.False(t, ok, "peers may settle it yet")
}

// TestSlowStoreIsStillRead guards against a store whose answers take a little longer
// than the time limit of a call, so that no daemon ever reads it again (CONFIG).
func TestSlowStoreIsStillRead(t *testing.T) {
	for _, latency := range []clock.Milli{20, 364, 720, 1100} {
		s := &modelStore{rev: 20, objects: [fleet.Topics]object{18, 19, 20}}
		r, now := newModelReader(), start
		read := func(until clock.Milli) {
			for ; now < until; now += step {
				c, ok := r.Next(now)
				if !ok {
					continue
				}
				began := now
				now += min(c.Wait+c.Timeout, c.Wait+latency)
				if latency > c.Timeout {
					r.Done(now, began, c, Failed, 0)
					continue
				}
				if c.List {
					r.objects[c.Topic] = s.objects[c.Topic]
				}
				r.Done(now, began, c, Read, s.rev)
			}
		}
		read(now + 12*clock.Second)
		s.write(fleet.Config)
		read(now + bound + latency)
		require.Equal(t, s.objects[fleet.Config], r.objects[fleet.Config], "answers after %d ms", latency)
		latency = 20
		read(now + 5*clock.Second)
		c, ok := Call{}, false
		for ; !ok; now += step {
			c, ok = r.Next(now)
		}
		require.Equal(t, minTimeout, c.Timeout, "calls are short again")
	}
}

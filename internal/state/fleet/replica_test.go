package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// storeHistory is a model of the store's targets with the changes of each
// revision.
type storeHistory struct {
	rev    schema.Version
	events []Update
	now    map[schema.TargetID]Target
}

func (h *storeHistory) change(t *rapid.T) {
	h.rev += schema.Version(rapid.IntRange(1, 3).Draw(t, "step"))
	id := schema.TargetID(fmt.Sprintf("i-%d", rapid.IntRange(0, 4).Draw(t, "target")))
	u := Update{Topic: Targets, Since: h.rev - 1, Rev: h.rev}
	if _, ok := h.now[id]; ok && rapid.Bool().Draw(t, "remove") {
		delete(h.now, id)
		u.Gone = []Removal{{Name: string(id), Rev: h.rev}}
	} else {
		e := Target{ID: id, Rev: h.rev, Draining: rapid.Bool().Draw(t, "draining")}
		h.now[id] = e
		u.Targets = []Target{e}
	}
	h.events = append(h.events, u)
}

// list returns a full update of the current state.
func (h *storeHistory) list() Update {
	u := Update{Topic: Targets, Full: true, Rev: h.rev, Proved: h.rev}
	for _, t := range h.now {
		u.Targets = append(u.Targets, t)
	}
	return u
}

// since returns an update with the changes after a revision.
func (h *storeHistory) since(rev schema.Version) Update {
	u := Update{Topic: Targets, Since: rev, Rev: h.rev, Proved: h.rev}
	for _, e := range h.events {
		if e.Rev > rev {
			u.Targets = append(u.Targets, e.Targets...)
			u.Gone = append(u.Gone, e.Gone...)
		}
	}
	return u
}

// TestBooksConverge checks that updates from the store and from peers, in any
// order, repeated or late, never revert an entry, and that the replicas reach the
// store's state once they get its last changes.
func TestBooksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &storeHistory{now: make(map[schema.TargetID]Target)}
		var answers []Update
		replicas := []*Replica{NewReplica(), NewReplica()}
		newest := make([]map[schema.TargetID]schema.Version, len(replicas))
		for i := range newest {
			newest[i] = make(map[schema.TargetID]schema.Version)
		}
		for now := range clock.Milli(rapid.IntRange(5, 40).Draw(t, "steps")) {
			h.change(t)
			answers = append(answers, h.list(), h.since(replicas[0].Rev(Targets)), h.since(replicas[1].Rev(Targets)))
			for i, r := range replicas {
				u := answers[rapid.IntRange(0, len(answers)-1).Draw(t, "answer")]
				if rapid.IntRange(0, 3).Draw(t, "from peer") == 0 {
					u = replicas[1-i].Since(1000, Targets, r.Rev(Targets))
				}
				r.Apply(now, &u)
				for id, e := range r.Entries() {
					require.GreaterOrEqual(t, e.Rev, newest[i][id], "target %s reverted", id)
					newest[i][id] = e.Rev
				}
			}
		}
		last := h.since(replicas[0].Rev(Targets))
		replicas[0].Apply(1000, &last)
		pulled := replicas[0].Since(1000, Targets, replicas[1].Rev(Targets))
		replicas[1].Apply(1000, &pulled)
		for _, r := range replicas {
			require.Equal(t, h.rev, r.Rev(Targets))
			live := make(map[schema.TargetID]Target)
			for id, e := range r.Entries() {
				if !e.Gone {
					live[id] = e.Target
				}
			}
			require.Equal(t, h.now, live)
		}
	})
}

// TestChangeToldLateIsTaken guards against a target or an Out that is never learned
// because the replica had passed its revision without it (DRAIN, EVAC).
func TestChangeToldLateIsTaken(t *testing.T) {
	r := NewReplica()
	r.Apply(0, &Update{Topic: Targets, Full: true, Rev: 10, Targets: []Target{{ID: "x", Rev: 5}}})
	r.Apply(0, &Update{Topic: Outs, Full: true, Rev: 10})
	r.Apply(1, &Update{Topic: Targets, Since: 10, Rev: 15})
	r.Apply(1, &Update{Topic: Outs, Since: 10, Rev: 15})
	r.Apply(2, &Update{Topic: Targets, Since: 10, Rev: 15, Targets: []Target{{ID: "y", Rev: 13}}})
	r.Apply(2, &Update{Topic: Outs, Full: true, Rev: 15, Outs: []Out{{DataCentre: "a", Rev: 12}}})
	require.NotNil(t, r.Entry("y"))
	out, _ := r.Out("a")
	require.True(t, out)
	r.Apply(3, &Update{Topic: Targets, Since: 10, Rev: 14, Targets: []Target{{ID: "z", Rev: 12}}})
	require.Nil(t, r.Entry("z"), "an older update")
}

// TestUnreadableEntryKeepsItsTarget guards against flows of a living target that are
// reset because another writer replaced its entry (FLOW).
func TestUnreadableEntryKeepsItsTarget(t *testing.T) {
	for _, full := range []bool{false, true} {
		r := NewReplica()
		r.Apply(0, &Update{Topic: Targets, Full: true, Rev: 10, Targets: []Target{{ID: "x", Rev: 5, StartedAt: 7}}})
		r.Apply(1, &Update{Topic: Targets, Full: full, Since: 10, Rev: 12, Unreadable: []Removal{{Name: "x", Rev: 11}, {Name: "y", Rev: 12}}})
		e := r.Entry("x")
		require.False(t, e.Gone)
		require.Equal(t, int64(7), e.Target.StartedAt)
		require.True(t, e.Target.Draining, "it takes no new flows")
		require.Nil(t, r.Entry("y"))
		peer := NewReplica()
		peer.Apply(0, &Update{Topic: Targets, Full: true, Rev: 10, Targets: []Target{{ID: "x", Rev: 5, StartedAt: 7}}})
		u := r.Since(2, Targets, 10)
		if !full {
			peer.Apply(2, &u)
			require.True(t, peer.Entry("x").Target.Draining)
		}
		r.Apply(3, &Update{Topic: Targets, Since: 12, Rev: 13, Targets: []Target{{ID: "x", Rev: 13, StartedAt: 7}}})
		require.False(t, r.Entry("x").Target.Draining)
	}
}

func TestApplyIgnoresUpdateAfterGap(t *testing.T) {
	r := NewReplica()
	r.Apply(0, &Update{Topic: Targets, Full: true, Rev: 10})
	require.False(t, r.Apply(1, &Update{Topic: Targets, Since: 12, Rev: 14, Targets: []Target{{ID: "x", Rev: 13}}}).Changed)
	require.Equal(t, schema.Version(10), r.Rev(Targets))
}

func TestForgottenRemovalForcesFullUpdate(t *testing.T) {
	r := NewReplica()
	r.Apply(0, &Update{Topic: Targets, Full: true, Rev: 10, Targets: []Target{{ID: "x", Rev: 5}}})
	r.Apply(1, &Update{Topic: Targets, Since: 10, Rev: 11, Gone: []Removal{{Name: "x", Rev: 11}}})
	require.False(t, func() bool { u := r.Since(1000, Targets, 10); return u.Full }())
	r.Forget(1 + defaultRetention + 1)
	u := r.Since(1000, Targets, 10)
	require.True(t, u.Full, "the removal after revision 10 was dropped")
}

func TestUnreadableTableKeepsPrevious(t *testing.T) {
	r := NewReplica()
	r.Apply(0, &Update{Topic: Config, Full: true, Rev: 10, Table: &Table{Version: 1, Rev: 9}})
	r.Apply(1, &Update{Topic: Config, Full: true, Rev: 12})
	require.Equal(t, int64(1), r.Table().Version)
}

// A daemon that starts after the removal of a target gets packets of flows that
// still refer to the target. The store no longer lists it, so the daemon must
// learn of it from its peers.
func TestPeersSendRemovedTargets(t *testing.T) {
	peer, newcomer := NewReplica(), NewReplica()
	peer.Apply(0, &Update{Topic: Targets, Full: true, Rev: 10, Targets: []Target{{ID: "x", Rev: 5, Number: 7, Draining: true}, {ID: "y", Rev: 6}}})
	peer.Apply(100, &Update{Topic: Targets, Since: 10, Rev: 12, Gone: []Removal{{Name: "x", Rev: 12}}})
	newcomer.Apply(5000, &Update{Topic: Targets, Full: true, Rev: 12, Targets: []Target{{ID: "y", Rev: 6}}})
	u := peer.Since(400, Targets, 0)
	require.Equal(t, []schema.TargetID{"x"}, newcomer.Apply(5000, &u).Targets)
	e := newcomer.Entry("x")
	require.True(t, e.Gone)
	require.Equal(t, clock.Milli(4700), e.GoneAt)
	require.Equal(t, uint64(7), e.Target.Number)
	require.False(t, newcomer.Apply(5001, &u).Changed, "the same update again")

	listed := NewReplica()
	listed.Apply(5000, &Update{Topic: Targets, Full: true, Rev: 12, Targets: []Target{{ID: "y", Rev: 6}}})
	r := peer.SinceWithRemovals(400, 12)
	require.Empty(t, r.Targets, "the replica has these already")
	listed.Apply(5000, &r)
	require.Equal(t, e, listed.Entry("x"))
	require.Equal(t, schema.Version(12), listed.Rev(Targets))
	ahead := NewReplica()
	ahead.Apply(5000, &Update{Topic: Targets, Full: true, Rev: 20, Targets: []Target{{ID: "y", Rev: 18}}})
	r = peer.SinceWithRemovals(400, 20)
	ahead.Apply(5000, &r)
	require.True(t, ahead.Entry("x").Gone)
	require.Equal(t, schema.Version(20), ahead.Rev(Targets))

	restarted := Update{Topic: Targets, Since: 12, Rev: 14, Targets: []Target{{ID: "x", Rev: 14}}}
	newcomer.Apply(5100, &restarted)
	newcomer.Apply(5200, &u)
	require.False(t, newcomer.Entry("x").Gone, "the update is older than the entry")
	expired := peer.Since(100+defaultRetention+1, Targets, 0)
	tooLate := NewReplica()
	tooLate.Apply(0, &expired)
	require.Nil(t, tooLate.Entry("x"), "removed for longer than any flow lives")
}

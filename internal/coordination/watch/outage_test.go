package watch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// The end of an outage must not cause a burst of calls to the store.
func TestOutageEndsWithoutBurst(t *testing.T) {
	w := newCluster(80)
	w.run(10 * clock.Second)
	w.store.down = true
	w.run(10 * clock.Second)
	w.store.down = false
	w.store.calls = 0
	w.run(3 * clock.Second)
	require.Less(t, w.oldestAge(), bound)
	require.Less(t, w.store.calls, 80*5)
}

// The store refuses all reads for a while. The number of attempts must grow more
// slowly than the number of daemons, and the end must be noticed soon.
func TestOutageCostsFewCalls(t *testing.T) {
	attempts := make(map[int]int)
	for _, n := range []int{7, 80, 300} {
		w := newCluster(n)
		w.run(8 * clock.Second)
		w.store.refuses = true
		w.store.calls = 0
		w.run(8 * clock.Second)
		attempts[n] = w.store.calls
		w.store.refuses = false
		w.run(2500)
		require.Less(t, w.oldestAge(), bound, "%d daemons", n)
	}
	require.Less(t, attempts[80], 5*attempts[7], "for 11 times the daemons")
	require.Less(t, 80*attempts[300], 300*attempts[80])
}

// The store drops its history and breaks off a long poll. A read of a daemon of high
// rank fails, and its peers are ahead but no longer have the changes for it. The store
// answers the others by then, so the daemon must not sit out its long back-off. With
// this fault, 300 daemons kept a replica that was 13 s old, and one opened a flow on a
// target that had been draining for longer than its bound.
func TestPeerConfirmationEndsBackoff(t *testing.T) {
	r := New(bound, 0)
	r.SetRank(20, false)
	for topic := range fleet.Topics {
		r.Advance(topic, 602, start)
	}
	now := start + bound
	c, ok := r.Next(now)
	require.True(t, ok)
	r.Done(now, now, c, Failed, 0)
	_, ok = r.Next(now + 3*clock.Second)
	require.False(t, ok, "the back-off of a high rank is long")
	require.True(t, r.RecordPeerRevision(now+500, fleet.Targets, 671, now-100))
	_, ok = r.Next(now + 3*clock.Second)
	require.False(t, ok, "a confirmation from before the failure does not count")
	require.True(t, r.RecordPeerRevision(now+1000, fleet.Targets, 671, now+900))
	require.False(t, r.NeedsSnapshot(now+500+snapshotRequestDelay, fleet.Targets))
	require.True(t, r.NeedsSnapshot(now+501+snapshotRequestDelay, fleet.Targets))
	_, ok = r.Next(now + 2*clock.Second)
	require.True(t, ok)
	r.Advance(fleet.Targets, 671, clock.Never)
	require.False(t, r.NeedsSnapshot(now+2500, fleet.Targets))
}

// TestLostRanksEndBackoff guards against a daemon that sits out the long back-off of its
// old rank after all daemons before it were lost: nobody is left to tell it that the store
// is back, and drops of routes, outs and drains came into force up to 8 s late (CONFIG).
func TestLostRanksEndBackoff(t *testing.T) {
	for _, n := range []int{3, 10, 70} {
		for _, left := range []int{1, 2, 5} {
			if left >= n {
				continue
			}
			for _, outage := range []clock.Milli{1500, 3200, 8000} {
				t.Run(fmt.Sprintf("%d of %d daemons left after %d ms", left, n, outage), func(t *testing.T) {
					w := newCluster(n)
					w.run(8 * clock.Second)
					w.store.refuses = true
					w.run(outage - 300)
					w.loseFirstRanks(n - left)
					w.run(300)
					w.store.refuses = false
					w.run(bound)
					w.store.rev += 5
					for range 20 {
						w.run(250)
						require.Less(t, w.oldestAge(), bound)
					}
				})
			}
		}
	}
}

package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// spilling returns a bed with one near target, and four of another data centre.
func spilling(t *testing.T) *bed {
	list := []fleet.Target{target(1, "a")}
	for n := 2; n <= 5; n++ {
		list = append(list, target(n, "b"))
	}
	return newBed(t, list...)
}

// busy has a near peer tell that the near target is busy, so that new flows go far.
func (b *bed) busy() {
	b.core.TakeLoads(b.now, "vm-near", "a", []fleet.Load{{Code: b.core.byID["i-000001"].Code, Flows: 8, Busy: 6, Heard: 10}}, false)
	b.run(250)
}

// Load: nothing gets out of this data centre for some seconds, while what others send
// arrives (one_way). Its near targets are busy, so new flows go far and get no answer,
// one target after the other; the far daemons hear all of theirs. Found by scale-2 of
// tordikandja-lb-grown: 540 late in the four seconds after half of the daemons restarted.
func TestPathWithoutAnswersIsLeft(t *testing.T) {
	b := spilling(t)
	home := target(1, "a").ID
	b.busy()
	require.Less(t, b.opensOn(20)[home], 10, "spills")
	b.run(3 * clock.Second)
	b.busy()
	lost := 0
	for range 40 {
		if c := b.open(again); c.target.ID != home {
			lost++
		} else {
			c.accepted()
		}
		b.core.TakeLoads(b.now, "vm-far", "b", []fleet.Load{{Code: b.core.byID["i-000003"].Code, Flows: 3, Heard: 10}}, false)
		b.busy()
	}
	require.Less(t, lost, 12, "of 40")
	require.True(t, b.core.path("b").broken)
	for _, e := range b.core.Ended() {
		t.Fatalf("flow on %s ended: a broken path is no proof", e.Target.ID)
	}
	b.run(missTTL + clock.Second)
	require.False(t, b.core.path("b").broken, "tried again")
}

// Load: the same; a daemon that has sent nothing there hears of it from its peers, not
// from those of the data centre across.
func TestNearPeersTellOfABrokenPath(t *testing.T) {
	told := func(n int) []fleet.Load {
		b := spilling(t)
		return []fleet.Load{{Code: b.core.byID[target(n, "b").ID].Code, Flows: 2, Missed: 2, Since: 150, Heard: 9000}}
	}
	for _, near := range []bool{true, false} {
		b := spilling(t)
		b.run(clock.Second)
		dc := target(2, "b").DataCentre
		if near {
			dc = "a"
		}
		b.core.TakeLoads(b.now, "vm-2", dc, told(2), false)
		b.core.TakeLoads(b.now, "vm-3", dc, told(3), false)
		b.busy()
		require.Equal(t, near, b.core.path("b").broken)
		require.Equal(t, near, b.opensOn(20)["i-000001"] == 20)
	}
}

// Load: one target across is dark, the others answer.
func TestOneDarkTargetBreaksNoPath(t *testing.T) {
	b := spilling(t)
	b.busy()
	for range 6 {
		c := b.open(again)
		if c.target.ID != "i-000002" {
			c.accepted()
		}
		b.run(150)
	}
	require.False(t, b.core.path("b").broken)
}

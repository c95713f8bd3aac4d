package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// Load: a target takes requests, acknowledges them and answers none, while its
// health check is good and it accepts flows; requests older than busyFor no longer
// count as work, so it would look idle. No flow ends: one that went on through
// another daemon looks the same (hunt-1f00 of lin-crest-grown broke FLOW on three
// days).
func TestStuckTargetGetsNoNewFlows(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		load   fleet.Load
		aim    clock.Milli
		stuck  bool
	}{
		{"stuck", 1, fleet.Load{Heard: 200, Served: 9000}, 250, true},
		{"the others wait at a peer", 0, fleet.Load{Busy: 2, Heard: 200, Served: 9000}, 250, true},
		{"one request waits", 0, fleet.Load{Heard: 200, Served: 9000}, 250, false},
		{"a peer had an answer", 1, fleet.Load{Busy: 2, Heard: 200, Served: 400}, 250, false},
		{"nobody knows how long requests take", 1, fleet.Load{Heard: 200, Served: 9000}, 0, false},
		{"requests take long there", 1, fleet.Load{Heard: 200, Served: 9000}, clock.Second, false},
	} {
		b := newBed(t, target(1, "a"), target(2, "a"))
		for _, r := range b.core.routes {
			r.Aim = c.aim
		}
		waits := []*client{b.on(again, "i-000001")}
		for range c.others {
			waits = append(waits, b.on(again, "i-000001"))
		}
		lives := b.on(again, "i-000002")
		b.run(clock.Second)
		for _, w := range waits {
			w.request()
		}
		c.load.Code = waits[0].target.Code
		for range 10 {
			lives.answers()
			b.core.TakeLoads(b.now, "vm-2", []fleet.Load{c.load}, false)
			b.run(250)
		}
		require.Equal(t, c.stuck, waits[0].target.stuck(b.now), c.name)
		if c.stuck {
			require.Zero(t, b.opensOn(50)["i-000001"], c.name)
			b.core.TakeLoads(b.now, "vm-2", []fleet.Load{{Code: c.load.Code, Served: 0}}, false)
			require.False(t, waits[0].target.stuck(b.now), "it served somebody")
		}
		require.Empty(t, b.core.Ended(), c.name)
	}
}

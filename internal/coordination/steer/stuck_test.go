package steer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// Load: a target takes requests, acknowledges them and answers none, while its
// health check is good. Found by trouble-3 of lin-crest-large, where 317 feeds
// waited for their limit of 5 s on 56 such targets.
func TestStuckTargetIsGivenUp(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	for _, r := range b.core.routes {
		r.Aim = 250
	}
	idle := b.on(desk, "i-000001")
	edit := b.on(desk, "i-000001")
	asking := []*client{b.on(again, "i-000001"), b.on(again, "i-000001")}
	lives := b.on(again, "i-000002")
	b.run(clock.Second)
	edit.request()
	for _, c := range asking {
		c.request()
	}
	for range 5 {
		b.run(250)
		lives.answers()
		b.open(again).accepted() // flows are accepted
	}
	require.Empty(t, b.core.Ended(), "a busy target takes that long")
	b.run(500)
	ended := make(map[*client]bool)
	for _, e := range b.core.Ended() {
		for _, c := range append(asking, idle, edit, lives) {
			if e.Tuple == c.tuple {
				ended[c] = true
			}
		}
	}
	require.Equal(t, map[*client]bool{asking[0]: true, asking[1]: true, idle: true}, ended, "an edit may still be answered")
	require.Zero(t, b.opensOn(50)["i-000001"])
	b.run(stuckFor)
	require.Positive(t, b.opensOn(50)["i-000001"], "it is tried again")
}

// Load: a target is slow; some request has waited for long, but others are answered,
// here or elsewhere, or none else waits, or its requests take long by their route.
func TestSlowTargetIsNotStuck(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		load   fleet.Load
		lives  bool
		aim    clock.Milli
		moved  bool
		ended  bool
	}{
		{"stuck", 1, fleet.Load{Heard: 200, Served: 9000}, true, 250, false, true},
		{"the others wait at a peer", 0, fleet.Load{Busy: 2, Heard: 200, Served: 9000}, true, 250, false, true},
		{"one request waits", 0, fleet.Load{Heard: 200, Served: 9000}, true, 250, false, false},
		{"a peer had an answer", 1, fleet.Load{Busy: 2, Heard: 200, Served: 400}, true, 250, false, false},
		{"this daemon hears nobody", 1, fleet.Load{Heard: 200, Served: 9000}, false, 250, false, false},
		{"the fabric spreads flows anew", 1, fleet.Load{Busy: 2, Heard: 200, Served: 9000}, true, 250, true, false},
		{"nobody knows how long requests take", 1, fleet.Load{Heard: 200, Served: 9000}, true, 0, false, false},
		{"requests take long there", 1, fleet.Load{Heard: 200, Served: 9000}, true, clock.Second, false, false},
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
		if c.moved {
			other := *lives
			other.tuple.ClientPort = 9999
			other.answers()
		}
		for range 8 {
			if c.lives {
				lives.answers()
			}
			c.load.Code = waits[0].target.Code
			b.core.TakeLoads(b.now, "vm-2", []fleet.Load{c.load}, false)
			b.run(250)
		}
		require.Equal(t, c.ended, b.endedOn()["i-000001"] > 0, c.name)
	}
}

// Load: one request waits for as long as no other ever did, and nobody has had an
// answer of its target since: its client is told, idle flows stay.
func TestLoneRequestIsGivenUpLate(t *testing.T) {
	for _, steady := range []bool{false, true} {
		b := newBed(t, target(1, "a"), target(2, "a"))
		b.core.SetSteady(steady)
		for _, r := range b.core.routes {
			r.Aim = 250
		}
		b.on(desk, "i-000001")
		waits := b.on(again, "i-000001")
		lives := b.on(again, "i-000002")
		b.run(clock.Second)
		waits.request()
		for range 9 {
			lives.answers()
			b.run(250)
		}
		require.Empty(t, b.core.Ended())
		for range 4 {
			lives.answers()
			b.run(250)
		}
		list := b.core.Ended()
		if steady {
			require.Empty(t, list, "it may go on through another daemon")
			continue
		}
		require.Len(t, list, 1)
		require.Equal(t, waits.tuple, list[0].Tuple)
		require.Equal(t, TargetStuck, list[0].Reason)
	}
}

// Load: all targets are short of time, and answer after more than a second; a
// request that waits for three is no exception.
func TestOverloadGivesNothingUp(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	for _, r := range b.core.routes {
		r.Aim = 250
	}
	waits := b.on(again, "i-000001")
	slow, quick := b.on(again, "i-000002"), b.on(again, "i-000002")
	b.run(clock.Second)
	waits.request()
	for range 3 {
		slow.request()
		for range 5 {
			b.run(225)
			quick.answers()
		}
		slow.answered()
	}
	require.Empty(t, b.core.Ended())
}

// Load: this daemon left the rotation with requests at work, which are answered
// through others.
func TestDaemonWithoutPacketsGivesNothingUp(t *testing.T) {
	b := newBed(t, target(1, "a"), target(2, "a"))
	for _, r := range b.core.routes {
		r.Aim = 250
	}
	waits := []*client{b.on(again, "i-000001"), b.on(again, "i-000001")}
	lives := b.on(again, "i-000002")
	b.run(clock.Second)
	for _, w := range waits {
		w.request()
	}
	b.run(50)
	lives.answers()
	b.run(4 * clock.Second)
	require.Empty(t, b.core.Ended())
}

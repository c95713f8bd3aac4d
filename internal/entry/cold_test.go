package entry

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

const (
	// coldWarmup is how long the targets of these tests are cold, coldRate how many
	// requests a second a cold one bears.
	coldWarmup = 5 * clock.Second
	coldRate   = 2
	// coldBound is the number of flows that a cold target may get in a second: the users'
	// rate with its overage and tolerance.
	coldBound = coldRate*1.5 + 5
	// coldOpens is the number of flows that clients open in a step, over all daemons.
	coldOpens = 8
)

// coldSim is a fleet before a pool whose cold targets are limited, and clients that open
// flows all the time.
type coldSim struct {
	*sim
	opens int
	// openedAt are the times at which each target got flows.
	openedAt map[schema.TargetID][]clock.Milli
}

// newColdSim returns a fleet of n daemons, none of which runs yet, and of warm targets.
func newColdSim(t *testing.T, n, targets int) *coldSim {
	x := &coldSim{
		sim:      &sim{t: t, bounds: boundsOf(3 * clock.Second), store: simStore{rev: 10, targets: map[schema.TargetID]fleet.Target{}, outs: map[schema.DataCentreID]schema.Version{}}},
		openedAt: make(map[schema.TargetID][]clock.Milli),
	}
	x.seeds = func(int) []netip.Addr { return []netip.Addr{simAddr(0).Addr(), simAddr(1).Addr(), simAddr(2).Addr()} }
	x.store.routes, x.store.pools = simRoutes()
	for i := range x.store.pools {
		x.store.pools[i].Warmup, x.store.pools[i].ColdRate = coldWarmup, coldRate
	}
	x.store.configure()
	for i := range targets {
		x.restart(i, 0)
	}
	x.started = func(_ int, d *simDaemon) {
		d.deliver = func(_ []byte, t *steer.Target) { x.openedAt[t.ID] = append(x.openedAt[t.ID], x.now) }
		d.reset = func(*steer.FlowReset) {}
	}
	for range n {
		x.daemons = append(x.daemons, &simDaemon{returns: -1})
	}
	return x
}

// restart writes the entry of a new start of a target, which is cold for a time.
func (x *coldSim) restart(i int, left clock.Milli) {
	x.store.write(fleet.Target{
		ID: targetID(i), Number: uint64(i + 1), StartedAt: 1 + int64(x.now), Pool: "desk", Address: targetAddr(i),
		DataCentre: schema.DataCentreID([]string{"a", "b", "c"}[i%3]), Slots: 1000, ColdLeft: left,
	})
}

// startAll has all daemons that don't run start now.
func (x *coldSim) startAll() {
	for _, d := range x.daemons {
		if d.returns == -1 {
			d.returns = x.now
		}
	}
}

// open sends first packets to the running daemons in turn.
func (x *coldSim) open() {
	for range coldOpens {
		x.opens++
		d := x.daemons[x.opens%len(x.daemons)]
		if d.returns != 0 {
			continue
		}
		d.handlePacket(nil, &flow.Segment{Open: true, Seq: 1000, Tuple: flow.Tuple{
			Client: [4]byte{100, 64, byte(x.opens >> 16), 1}, ClientPort: uint16(x.opens), ServiceAddress: [4]byte{198, 18, 0, 1}, ServicePort: 80,
		}})
	}
}

// mostInSecond returns the greatest number of flows that a target got in a second.
func (x *coldSim) mostInSecond(id schema.TargetID) int {
	most := 0
	list := x.openedAt[id]
	for i, first := range list {
		n := 0
		for _, at := range list[i:] {
			if at < first+clock.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// openedSince returns the number of flows that targets got since a time.
func (x *coldSim) openedSince(t clock.Milli) int {
	n := 0
	for _, list := range x.openedAt {
		for _, at := range list {
			if at >= t {
				n++
			}
		}
	}
	return n
}

// TestNewDaemonsKnowTheirColdTargets guards against daemons that start without a peer that
// knows the deployment and take a target that has just started again for warm, as the first
// lists of the store may be seconds old (FAILBACK).
func TestNewDaemonsKnowTheirColdTargets(t *testing.T) {
	for _, n := range []int{1, 2, 7, 70} {
		t.Run(fmt.Sprintf("%d daemons", n), func(t *testing.T) {
			x := newColdSim(t, n, 6)
			x.store.keepLists()
			x.now += 3 * clock.Second
			x.restart(1, coldWarmup)
			x.startAll()
			x.run(2*clock.Second, x.open)
			require.LessOrEqual(t, float64(x.mostInSecond(targetID(1))), coldBound)
			const lastSecond = int(clock.Second/simStep) * coldOpens
			require.GreaterOrEqual(t, x.openedSince(x.now-clock.Second), lastSecond*9/10, "the warm targets are used")
		})
	}
}

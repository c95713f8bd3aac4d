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

// mostInSecond returns the greatest number of times within a second.
func mostInSecond(list []clock.Milli) int {
	most := 0
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
			require.LessOrEqual(t, float64(mostInSecond(x.openedAt[targetID(1)])), coldBound)
			const lastSecond = int(clock.Second/simStep) * coldOpens
			require.GreaterOrEqual(t, x.openedSince(x.now-clock.Second), lastSecond*9/10, "the warm targets are used")
		})
	}
}

// newShortFlowSim returns a fleet before pools whose cold targets are limited, and clients
// that open a flow for each request.
func newShortFlowSim(t *testing.T, x fleetSize, seed uint64) *flowSim {
	f := newFlowSim(t, x, seed)
	for i := range f.store.pools {
		f.store.pools[i].Warmup, f.store.pools[i].ColdRate = coldWarmup, coldRate
	}
	f.store.configure()
	f.shortFlows = true
	f.run(4 * clock.Second)
	return f
}

// outageRestart is a case of targets that are lost and start again under their IDs while the
// store is down.
type outageRestart struct {
	name          string
	size          fleetSize
	crashAt, away clock.Milli
	outage        clock.Milli
	crashed       int
	// dark has the targets' VMs lose power, daemon restarts one daemon meanwhile.
	dark, daemon bool
}

// play plays a case. The targets may get few flows while they are cold, and get their usual
// share some time after the store's return.
func (x *outageRestart) play(t *testing.T, seed uint64) {
	f := newShortFlowSim(t, x.size, seed)
	f.takeStoreDown(x.outage)
	if x.daemon {
		f.restart(1)
	}
	f.run(x.crashAt)
	list := f.some(x.crashed)
	for _, y := range list {
		f.end(y, x.dark, false)
	}
	f.run(x.away)
	for _, y := range list {
		f.startAgain(y, coldWarmup)
	}
	f.run(coldWarmup)
	for _, y := range list {
		require.LessOrEqual(t, float64(mostInSecond(y.openedAt)), coldBound, y.entry.ID)
	}
	f.run(3*clock.Second + x.outage)
	for _, y := range list {
		require.Greater(t, mostInSecond(y.openedAt), int(2*coldBound), "%s is used again", y.entry.ID)
	}
}

// TestRestartsDuringOutageAreCold guards against targets that crash and start again under
// their IDs while the store is down, and are taken for the warm processes that they were
// (FAILBACK).
func TestRestartsDuringOutageAreCold(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		for _, x := range []outageRestart{
			{name: "back soon", crashAt: 200, away: 700, outage: 5500, crashed: 2},
			{name: "away for long", crashAt: 500, away: 4500, outage: 8000, crashed: 3},
			{name: "back just before the store", crashAt: 3000, away: 2000, outage: 5200, crashed: 2},
			{name: "a daemon restarts meanwhile", crashAt: 500, away: 1500, outage: 9000, crashed: 2, daemon: true},
		} {
			x.size = size
			t.Run(fmt.Sprintf("%s, %s", size, x.name), func(t *testing.T) {
				t.Parallel()
				x.play(t, 52)
			})
		}
	}
}

// TestPowerLossesDuringOutageAreCold guards against the same for targets whose VMs lose
// power, so that nothing refuses a connection (FAILBACK).
func TestPowerLossesDuringOutageAreCold(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", size, 53+seed), func(t *testing.T) {
				t.Parallel()
				x := outageRestart{size: size, crashAt: 500, away: 2500, outage: 8000, crashed: 2, dark: true}
				x.play(t, 53+seed)
			})
		}
	}
}

// TestWholeFleetReturnsToLimitedPools guards against a famine when all daemons start again:
// until the store confirms the targets, each may be cold, and pools with a rate would get a
// trickle.
func TestWholeFleetReturnsToLimitedPools(t *testing.T) {
	const seeds = 2
	for _, n := range []int{7, 70, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			limited, usual := 0.0, 0.0
			for seed := range uint64(seeds) {
				limited += wholeFleet(t, n, 1+seed, func(x *startSim) {
					for i := range x.store.pools {
						x.store.pools[i].Warmup, x.store.pools[i].ColdRate = coldWarmup, coldRate
					}
					x.store.configure()
				}).inTime
				usual += wholeFleet(t, n, 1+seed, nil).inTime
			}
			t.Logf("in time: %.3f, without a rate %.3f", limited/seeds, usual/seeds)
			require.GreaterOrEqual(t, limited, 0.9*usual)
		})
	}
}

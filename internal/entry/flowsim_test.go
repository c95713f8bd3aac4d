package entry

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

const (
	// heartbeat is the time between two writes of a target's entry. The store removes
	// an entry after lapseBeats of them without one.
	heartbeat  = 1200 * clock.Milli(1)
	lapseBeats = 3
	// silentProbeTime is how long a probe takes that nothing answers.
	silentProbeTime = 160 * clock.Milli(1)
	// rotationCheck is the time between two checks of the fabric whether a daemon is
	// ready. It is out of rotation after missedChecks of them.
	rotationCheck = 500 * clock.Milli(1)
	missedChecks  = 2
	// scatterTime is how long after a change of the rotation packets may go anywhere.
	scatterTime = 2 * clock.Second
	// firstRetry and maxRetry bound the time until a client sends a packet again.
	firstRetry = 200 * clock.Milli(1)
	maxRetry   = 1600 * clock.Milli(1)
	// flowsPerTarget is the number of flows that clients keep open for each target, one
	// of idleShare of them mostly idle.
	flowsPerTarget = 12
	idleShare      = 4
	// resetWindow is how far the sequence number of a reset may be from what the client
	// acknowledged.
	resetWindow = 76800
	requestLen  = 200
	answerLen   = 600
)

// simTarget is a target as it is, in contrast to its entry and to what daemons know.
type simTarget struct {
	entry fleet.Target
	// running is set while the process runs, dark if its VM has no power or is cut off.
	running bool
	dark    bool
	held    map[flow.Tuple]bool
	// beatAt is when the next write is due, written when the store last took one.
	// registered is set while the store has the entry.
	beatAt     clock.Milli
	written    clock.Milli
	registered bool
	// cutUntil is until when the target does not reach the store.
	cutUntil clock.Milli
	// slow is set if the target's writes fail for longer than those of others.
	slow bool
	// stays is how long a draining target serves after the store has taken its state,
	// leaveAt when it leaves, zero before.
	stays   clock.Milli
	leaveAt clock.Milli
	// death is set once the process ended.
	death *simDeath
	// coldUntil is until when the process is cold, openedAt when it took flows.
	coldUntil clock.Milli
	openedAt  []clock.Milli
}

// simDeath is the end of a target that held flows.
type simDeath struct {
	at clock.Milli
	// removedAt is when its entry was removed, zero before.
	removedAt clock.Milli
	left      bool
	flows     []*simFlow
}

// probing is a probe under way.
type probing struct {
	daemon *Daemon
	probe  steer.Probe
	doneAt clock.Milli
}

// storeFault is what the store does to the writes of targets, while it answers all reads.
type storeFault struct {
	from, until clock.Milli
	// share is the share of the writes that it concerns.
	share float64
	// delay is how late they are done, zero if never.
	delay clock.Milli
	// slowUntil is until when the writes of slow targets fail.
	slowUntil clock.Milli
}

// lateWrite is a write that the store does later.
type lateWrite struct {
	at     clock.Milli
	target *simTarget
}

// flowSim adds targets that serve, and clients with open flows, to a simulated fleet.
type flowSim struct {
	*sim
	random   *rand.Rand
	targets  []*simTarget
	atAddr   map[netip.AddrPort]*simTarget
	flows    []*simFlow
	byTuple  map[flow.Tuple]*simFlow
	ports    int
	probes   []probing
	late     []lateWrite
	fault    storeFault
	timers   []simTimer
	rotation []int
	misses   []int
	// checkedAt is when the fabric last checked readiness, rotatedAt when the rotation
	// last changed.
	checkedAt clock.Milli
	rotatedAt clock.Milli
	deaths    []*simDeath
	wrong     []wrongReset
	// order holds the targets that some has not returned yet.
	order []*simTarget
	// shortFlows makes clients close a flow after its first request.
	shortFlows bool
}

// simTimer is something to do at a time.
type simTimer struct {
	at clock.Milli
	do func()
}

// fleetSize is the size of a simulated deployment.
type fleetSize struct {
	daemons int
	targets int
	bound   clock.Milli
}

var (
	smallFleet  = fleetSize{7, 18, 3 * clock.Second}
	middleFleet = fleetSize{18, 45, 3 * clock.Second}
	largeFleet  = fleetSize{67, 150, 5 * clock.Second}
)

func (x fleetSize) String() string { return fmt.Sprintf("%d daemons", x.daemons) }

var simPools = []schema.Name{"desk", "shop", "mail"}

func simRoutes() ([]fleet.Route, []fleet.Pool) {
	var routes []fleet.Route
	var pools []fleet.Pool
	for i, n := range simPools {
		class := fleet.Idempotent
		if i == 1 {
			class = fleet.NonIdempotent
		}
		routes = append(routes, fleet.Route{
			Name: n, Class: class, Pools: []fleet.Share{{Pool: n, Weight: 1}},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i + 1)}), 80),
		})
		pools = append(pools, fleet.Pool{Name: n})
	}
	return routes, pools
}

// newFlowSim returns a fleet that has settled, with open flows on all targets.
func newFlowSim(t *testing.T, x fleetSize, seed uint64) *flowSim {
	b := setup.Bounds{Apply: x.bound, Drain: x.bound, Out: 5 * clock.Second, Grace: 6 * clock.Second, FlowLife: clock.Minute}
	f := &flowSim{
		sim:    &sim{t: t, bounds: b, store: simStore{rev: 10, targets: map[schema.TargetID]fleet.Target{}, outs: map[schema.DataCentreID]schema.Version{}}},
		random: rand.New(rand.NewPCG(seed, seed)), atAddr: make(map[netip.AddrPort]*simTarget), byTuple: make(map[flow.Tuple]*simFlow),
		misses: make([]int, x.daemons),
	}
	f.store.routes, f.store.pools = simRoutes()
	f.started = f.connect
	for i := range x.targets {
		f.launch(simPools[i%len(simPools)], targetAddr(i), schema.DataCentreID([]string{"a", "b", "c"}[i/len(simPools)%3]))
	}
	f.store.configure()
	for i := range x.daemons {
		d := &simDaemon{undisturbed: true}
		f.daemons = append(f.daemons, d)
		f.start(i, d)
	}
	f.run(simSettle)
	for i := range x.targets * flowsPerTarget {
		f.flows = append(f.flows, nil)
		f.open(i)
	}
	f.run(4 * clock.Second)
	return f
}

func targetAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i / 250), byte(i%250 + 1)}), 80)
}

// launch starts a new target, which writes its entry with its first heartbeat.
func (f *flowSim) launch(pool schema.Name, at netip.AddrPort, dc schema.DataCentreID) *simTarget {
	n := len(f.targets) + 1
	x := &simTarget{
		running: true, held: make(map[flow.Tuple]bool), beatAt: f.now + f.upTo(heartbeat/4), slow: n%8 == 0,
		entry: fleet.Target{ID: targetID(n), Number: uint64(n), StartedAt: 1, Pool: pool, Address: at, DataCentre: dc, Slots: 8},
	}
	f.targets, f.atAddr[at] = append(f.targets, x), x
	return x
}

// upTo returns a random time below d.
func (f *flowSim) upTo(d clock.Milli) clock.Milli { return clock.Milli(f.random.Int64N(int64(d))) }

// between returns a random time from a to b.
func (f *flowSim) between(a, b clock.Milli) clock.Milli { return a + f.upTo(b-a) }

// after has something done later.
func (f *flowSim) after(d clock.Milli, do func()) {
	f.timers = append(f.timers, simTimer{at: f.now + d, do: do})
}

// run lets a time pass.
func (f *flowSim) run(d clock.Milli) { f.sim.run(d, f.step) }

func (f *flowSim) step() {
	list := f.timers
	f.timers = nil
	for _, x := range list {
		if f.now < x.at {
			f.timers = append(f.timers, x)
			continue
		}
		x.do()
	}
	f.write()
	f.probe()
	f.rotate()
	for _, x := range f.flows {
		f.act(x)
	}
}

// connect gives a daemon that starts its links to targets and clients.
func (f *flowSim) connect(_ int, d *simDaemon) {
	id := d.cfg.ID
	d.deliver = f.receive
	d.reset = func(e *steer.FlowReset) { f.noteReset(id, e) }
}

// write does what is due of the targets' writes and of the store's removals.
func (f *flowSim) write() {
	f.late = slices.DeleteFunc(f.late, func(w lateWrite) bool {
		if f.now >= w.at {
			f.register(w.target)
		}
		return f.now >= w.at
	})
	for _, x := range f.targets {
		if x.running && f.now >= x.beatAt {
			x.beatAt = f.now + f.between(heartbeat*9/10, heartbeat*11/10)
			f.beat(x)
		}
		if x.leaveAt != 0 && f.now >= x.leaveAt {
			f.end(x, false, true)
		}
		if x.registered && !f.store.down && f.now-x.written > lapseBeats*heartbeat {
			f.unregister(x)
		}
	}
}

// beat makes a write of a target.
func (f *flowSim) beat(x *simTarget) {
	fault := &f.fault
	switch {
	case f.now < x.cutUntil, x.slow && f.now >= fault.from && f.now < fault.slowUntil:
	case f.now < fault.from, f.now >= fault.until, f.random.Float64() >= fault.share:
		f.register(x)
	case fault.delay > 0:
		f.late = append(f.late, lateWrite{at: f.now + f.between(fault.delay/2, fault.delay), target: x})
	}
}

// register has the store take a target's entry.
func (f *flowSim) register(x *simTarget) {
	if !x.running {
		return
	}
	x.written = f.now
	if x.entry.Draining && x.leaveAt == 0 {
		x.leaveAt = f.now + x.stays
	}
	if old := f.store.targets[x.entry.ID]; !x.registered || old.Draining != x.entry.Draining || old.StartedAt != x.entry.StartedAt {
		x.registered = true
		x.entry.ColdLeft = max(0, x.coldUntil-f.now)
		f.store.write(x.entry)
	}
}

func (f *flowSim) unregister(x *simTarget) {
	if x.registered {
		x.registered = false
		f.store.remove(x.entry.ID)
	}
	if x.death != nil && x.death.removedAt == 0 {
		x.death.removedAt = f.now
	}
}

// end ends a target: it crashed, lost power if dark is set, or left.
func (f *flowSim) end(x *simTarget, dark, left bool) {
	if !x.running {
		return
	}
	x.running, x.dark = false, dark
	x.death = &simDeath{at: f.now, left: left}
	if !x.registered {
		x.death.removedAt = f.now
	}
	for _, y := range f.flows {
		if y.target == x && y.state != over {
			x.death.flows = append(x.death.flows, y)
		}
	}
	f.deaths = append(f.deaths, x.death)
	if left {
		f.unregister(x)
	}
}

// startAgain starts a target's process again under its ID. It is cold for a time.
func (f *flowSim) startAgain(x *simTarget, cold clock.Milli) {
	for _, y := range f.flows {
		if y.target == x && y.state != over {
			f.finish(y) // its next packet gets a reset
		}
	}
	x.running, x.dark, x.held, x.openedAt = true, false, make(map[flow.Tuple]bool), nil
	x.coldUntil, x.beatAt, x.entry.StartedAt = f.now+cold, f.now, int64(f.now)
}

// takeStoreDown has the store answer nothing and take no writes for a time. It keeps the
// entries meanwhile.
func (f *flowSim) takeStoreDown(d clock.Milli) {
	f.store.down, f.store.timeouts = true, true
	f.fault = storeFault{from: f.now, until: f.now + d, share: 1}
	f.after(d, func() {
		f.store.down = false
		for _, x := range f.targets {
			x.written = f.now
		}
	})
}

// drain has a target say that it leaves, and leave some time after the store took that.
func (f *flowSim) drain(x *simTarget, stays clock.Milli) {
	x.entry.Draining, x.beatAt, x.stays = true, f.now, stays
}

// reuse gives a target's address to a new one of another pool, which writes its entry
// after silent.
func (f *flowSim) reuse(x *simTarget, silent clock.Milli) {
	next := simPools[(slices.Index(simPools, x.entry.Pool)+1)%len(simPools)]
	f.launch(next, x.entry.Address, x.entry.DataCentre).beatAt = f.now + silent
}

// some returns n targets at random, each once, and the next ones with each call.
func (f *flowSim) some(n int) []*simTarget {
	if f.order == nil {
		f.order = slices.Clone(f.targets)
		f.random.Shuffle(len(f.order), func(i, k int) { f.order[i], f.order[k] = f.order[k], f.order[i] })
	}
	list := f.order[:n]
	f.order = f.order[n:]
	return list
}

// probe answers the daemons' probes as connections would.
func (f *flowSim) probe() {
	f.probes = slices.DeleteFunc(f.probes, func(p probing) bool {
		if f.now < p.doneAt {
			return false
		}
		p.daemon.mu.Lock()
		defer p.daemon.mu.Unlock()
		p.probe.Linked = f.outcome(p.probe.Control) == steer.Accepted
		p.daemon.core.ProbeDone(f.now, p.probe, f.outcome(p.probe.Address))
		return true
	})
	for _, d := range f.daemons {
		for len(d.probeQueue) > 0 {
			p := <-d.probeQueue
			took := simStep
			if f.outcome(p.Address) == steer.Silent {
				took = silentProbeTime
			}
			f.probes = append(f.probes, probing{daemon: d.Daemon, probe: p, doneAt: f.now + took})
		}
	}
}

// outcome returns what a connection to an address shows.
func (f *flowSim) outcome(a netip.AddrPort) steer.Outcome {
	switch x := f.atAddr[a]; {
	case x == nil || x.dark:
		return steer.Silent
	case !x.running:
		return steer.Refused
	}
	return steer.Accepted
}

// rotate has the fabric check which daemons are ready.
func (f *flowSim) rotate() {
	if f.now-f.checkedAt < rotationCheck {
		return
	}
	f.checkedAt = f.now
	var rotation []int
	for i, d := range f.daemons {
		f.misses[i]++
		if d.returns == 0 && d.wasReady && !d.leaving {
			f.misses[i] = 0
		}
		if f.misses[i] < missedChecks {
			rotation = append(rotation, i)
		}
	}
	if !slices.Equal(rotation, f.rotation) {
		f.rotation, f.rotatedAt = rotation, f.now
	}
}

// restart ends a daemon after a graceful stop and starts it again.
func (f *flowSim) restart(i int) {
	d := f.daemons[i]
	d.mu.Lock()
	d.leaving, d.summaryUrgent = true, true
	d.mu.Unlock()
	f.after(1800, func() { d.returns, d.undisturbed = f.now+clock.Second, false })
}

// daemonFor returns the daemon to which the fabric sends a flow's packet: mostly one by
// the flow's hash, after changes any.
func (f *flowSim) daemonFor(x *simFlow) *simDaemon {
	if f.now-f.rotatedAt < scatterTime && f.random.IntN(4) == 0 {
		return f.daemons[f.rotation[f.random.IntN(len(f.rotation))]]
	}
	hash := x.tuple.Hash()
	best := slices.MaxFunc(f.rotation, func(i, k int) int {
		return cmp.Compare(flow.Score(hash, uint64(i)), flow.Score(hash, uint64(k)))
	})
	return f.daemons[best]
}

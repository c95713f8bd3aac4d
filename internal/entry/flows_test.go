package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
)

// writeFaults are what the store does to the targets' writes while it answers all reads.
var writeFaults = []struct {
	name  string
	fault storeFault
	// large has the fault played in the large fleet too.
	large bool
}{
	{"refused for 5 s", storeFault{until: 5 * clock.Second, share: 1, slowUntil: 8 * clock.Second}, true},
	{"refused for 12 s", storeFault{until: 12 * clock.Second, share: 1, slowUntil: 16 * clock.Second}, false},
	{"lost for 12 s", storeFault{until: 12 * clock.Second, share: 0.95, slowUntil: 16 * clock.Second}, true},
	{"late for 4 s", storeFault{until: 4 * clock.Second, share: 0.9, delay: 6 * clock.Second}, false},
	{"late for 12 s", storeFault{until: 12 * clock.Second, share: 0.95, delay: 12 * clock.Second}, false},
}

// startFault has a fault of the store begin now.
func (f *flowSim) startFault(x storeFault) {
	x.from, x.until, x.slowUntil = f.now, f.now+x.until, f.now+x.slowUntil
	f.fault = x
}

// TestOpenFlowsSurviveLapsedEntries guards against resets of open flows at targets that
// serve, as their entries lapsed while the store took no writes and answered all reads
// (FLOW, issue 41).
func TestOpenFlowsSurviveLapsedEntries(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		for i, x := range writeFaults {
			if size == largeFleet && !x.large {
				continue
			}
			t.Run(fmt.Sprintf("%s, %s", size, x.name), func(t *testing.T) {
				t.Parallel()
				f := newFlowSim(t, size, uint64(i+1))
				f.startFault(x.fault)
				f.run(x.fault.until + 10*clock.Second)
				require.Empty(t, f.wrongResets())
			})
		}
	}
}

// TestOpenFlowsSurviveLapsedDrains guards against the same at targets that drain one
// after the other, stay and serve, while their entries lapse (FLOW, issue 41).
func TestOpenFlowsSurviveLapsedDrains(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			f := newFlowSim(t, size, 11)
			for i, x := range f.some(size.targets / 4) {
				f.after(clock.Milli(i)*6*clock.Second/clock.Milli(size.targets/4), func() { f.drain(x, 14*clock.Second) })
			}
			f.run(3 * clock.Second)
			f.startFault(storeFault{until: 8 * clock.Second, share: 0.95, slowUntil: 10 * clock.Second})
			f.run(16 * clock.Second)
			require.Empty(t, f.wrongResets())
		})
	}
}

// TestOpenFlowsSurviveTargetsCutOffFromTheStore guards against the same at targets that
// don't reach the store, but serve all daemons and clients (FLOW, issue 41).
func TestOpenFlowsSurviveTargetsCutOffFromTheStore(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			f := newFlowSim(t, size, 12)
			for _, x := range f.some(size.targets / 5) {
				x.cutUntil = f.now + f.between(8*clock.Second, 12*clock.Second)
			}
			f.run(18 * clock.Second)
			require.Empty(t, f.wrongResets())
		})
	}
}

// TestOpenFlowsSurvivePlannedWork guards against resets of open flows at targets that
// serve, beside a release and daemons that are restarted in turn, with a store that does
// all calls or does writes late (FLOW, issue 41).
func TestOpenFlowsSurvivePlannedWork(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		for _, late := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, late writes %t", size, late), func(t *testing.T) {
				t.Parallel()
				f := newFlowSim(t, size, 13)
				f.release(size)
				f.restartInTurn(size)
				f.run(2 * clock.Second)
				if late {
					f.startFault(storeFault{until: 10 * clock.Second, share: 0.93, delay: 8 * clock.Second})
				}
				f.run(18 * clock.Second)
				require.Empty(t, f.wrongResets())
			})
		}
	}
}

// release replaces a fifth of the targets one after the other within 10 s.
func (f *flowSim) release(size fleetSize) {
	n := size.targets / 5
	for i, x := range f.some(n) {
		f.after(clock.Milli(i)*10*clock.Second/clock.Milli(n), func() {
			f.launch(x.entry.Pool, targetAddr(size.targets+i), x.entry.DataCentre)
			f.drain(x, 3*clock.Second)
		})
	}
}

// restartInTurn restarts daemons one after the other, in large fleets several at once.
func (f *flowSim) restartInTurn(size fleetSize) {
	const gap = 3 * clock.Second
	for i := range size.daemons {
		f.after(clock.Milli(i/(1+size.daemons/12))*gap, func() { f.restart(i) })
	}
}

const (
	// vanishedBound and leftBound are how long after the removal of its entry flows of a
	// target may be open that vanished, or that drained and left.
	vanishedBound = 3500 * clock.Milli(1)
	leftBound     = 1500 * clock.Milli(1)
)

// checkResetTimes requires that the flows of all dead targets ended in time.
func (f *flowSim) checkResetTimes() {
	vanished, left := f.resetTimes(false, vanishedBound), f.resetTimes(true, leftBound)
	f.t.Logf("vanished: %s", vanished)
	f.t.Logf("left: %s", left)
	late := append(vanished.late, left.late...)
	require.Empty(f.t, late[:min(3, len(late))], "%d flows open after the bound", len(late))
	require.Empty(f.t, f.wrongResets())
}

// TestFlowsOfDeadTargetsAreReset guards against callers that wait for their timeouts, as
// a target is held for alive that crashed, lost power or left, or whose address another
// one took (FLOW, issue 41: the other side).
func TestFlowsOfDeadTargetsAreReset(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			f := newFlowSim(t, size, 14)
			n := size.targets / 9
			at := func(d clock.Milli, do func(x *simTarget)) {
				for _, x := range f.some(n) {
					f.after(d+f.upTo(5*clock.Second), func() { do(x) })
				}
			}
			at(0, func(x *simTarget) { f.end(x, false, false) })
			at(0, func(x *simTarget) { f.end(x, true, false) })
			at(0, func(x *simTarget) { f.drain(x, 3*clock.Second) })
			at(0, func(x *simTarget) {
				f.end(x, false, false)
				f.after(2*clock.Second, func() { f.reuse(x, 0) })
			})
			at(0, func(x *simTarget) {
				f.drain(x, 3*clock.Second)
				f.after(5*clock.Second, func() { f.reuse(x, 0) })
			})
			f.run(18 * clock.Second)
			f.checkResetTimes()
		})
	}
}

// TestFlowsOfReusedAddressesAreReset guards against the same if another target took the
// address of a dead one and writes its entry late: a connection there is accepted though
// the flow's target is gone (FLOW, issue 41: the other side).
func TestFlowsOfReusedAddressesAreReset(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet} {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			f := newFlowSim(t, size, 15)
			for i, x := range f.some(size.targets / 3) {
				f.after(f.upTo(3*clock.Second), func() {
					if i%2 == 0 {
						f.drain(x, 3*clock.Second)
						f.after(5*clock.Second, func() { f.reuse(x, 7*clock.Second) })
						return
					}
					f.end(x, false, false)
					f.after(2*clock.Second, func() { f.reuse(x, 7*clock.Second) })
				})
			}
			f.run(16 * clock.Second)
			f.checkResetTimes()
		})
	}
}

// TestFlowsOfLapsedTargetsThatDieAreReset guards against the same at targets that served
// for some seconds after their entries lapsed, as they were cut off from the store, and
// then crashed or lost power (FLOW, issue 41: the other side).
func TestFlowsOfLapsedTargetsThatDieAreReset(t *testing.T) {
	for _, size := range []fleetSize{smallFleet, middleFleet, largeFleet} {
		t.Run(size.String(), func(t *testing.T) {
			t.Parallel()
			f := newFlowSim(t, size, 16)
			for i, x := range f.some(size.targets / 5) {
				x.cutUntil = f.now + clock.Minute
				f.after(f.between(7*clock.Second, 10*clock.Second), func() { f.end(x, i%2 == 0, false) })
			}
			f.run(16 * clock.Second)
			vanished := f.resetTimes(false, vanishedBound)
			t.Logf("vanished: %s", vanished)
			require.Empty(t, vanished.late[:min(3, len(vanished.late))], "%d flows open after the bound", len(vanished.late))
		})
	}
}

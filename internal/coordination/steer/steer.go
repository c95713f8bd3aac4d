// Package steer decides which target each packet goes to. It is a pure state
// machine: it does no I/O and reads no clock.
//
// The daemon that gets a flow's first packet chooses a target and writes the
// target's code into the packet's cookie. Both ends of the flow repeat the cookie,
// so every later packet names its target to whichever daemon gets it. No daemon
// needs state to forward an established flow. The flows that a daemon records are
// a bounded sample, used to forward retransmitted first packets, to measure each
// target's load and latency, and to detect targets that don't answer.
//
// Invariants:
//   - A packet goes only to the start of a target that its cookie names.
//   - A first packet goes only to a target of one of the route's pools that is
//     neither draining nor gone nor in a data centre that is out.
//   - An established flow is reset only if a newer start has its target's ID or
//     address, its route was removed, or the traffic of several flows or a failed
//     probe shows that the target answers nobody. Missing information, the absence
//     of the target's entry included, never resets it.
package steer

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/policy"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// Drop discards the packet. Its sender retransmits it.
	Drop Action = iota
	// Deliver sends the packet to a target.
	Deliver
	// Reset ends the flow at once.
	Reset
	// Hold keeps the packet until the daemon knows the deployment, or which of its targets
	// are cold.
	Hold
	// Queue keeps the packet until Releases or Discarded returns its flow.
	Queue
	Actions // number of actions
)

var actionNames = [Actions]string{"drop", "deliver", "reset", "hold", "queue"}

// String implements fmt.Stringer.
func (a Action) String() string { return actionNames[a] }

// Reason is why a packet was not delivered, or how its target was found.
type Reason uint8

// The reasons.
const (
	// ByCookie means that the packet's cookie names the target.
	ByCookie Reason = iota
	// Opened means that a target was chosen for a new flow.
	Opened
	// CopyOfOpen means that the packet is a retransmission of a first packet.
	CopyOfOpen
	// NoRoute means that no route has the packet's address.
	NoRoute
	// NoTarget means that no target of the route's pools gets new flows.
	NoTarget
	// UnknownCookie means that the cookie names no target or is ambiguous.
	UnknownCookie
	// TargetGone means that the flow's target was replaced, or has no entry and
	// does not answer.
	TargetGone
	// TargetUnresponsive means that the flow's target answers nobody.
	TargetUnresponsive
	// RouteGone means that the flow's route was removed.
	RouteGone
	// NotReady means that the daemon doesn't know the deployment yet.
	NotReady
	// OldView means that no route is known, but the configuration is not fresh.
	OldView
	// ColdBudget means that the route has only cold targets left, and that this
	// daemon's share of their rate is used up.
	ColdBudget
	// Waiting means that the flow's request waits for room at its pool.
	Waiting
	// FlowEnded means that the flow ended while its request waited.
	FlowEnded
	// TimedOut means that the route's timeout ended while the request waited.
	TimedOut
	// Overloaded means that the flow's pool can't process the requests that wait
	// already in time.
	Overloaded
	// RouteOverloaded means that this daemon can't serve the requests of the flow's
	// route that wait already within the route's timeout.
	RouteOverloaded
	Reasons // number of reasons
)

var reasonNames = [Reasons]string{
	"by_cookie", "opened", "copy_of_open", "no_route", "no_target", "unknown_cookie",
	"target_gone", "target_dark", "route_gone", "not_ready", "old_view", "cold_budget",
	"waiting", "flow_ended", "timed_out", "overloaded", "route_overloaded",
}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision about one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Target is where a delivered packet goes, and the target of an open flow that
	// is reset.
	Target *Target
	// Route is the packet's route, nil if none is known.
	Route *Route
	// Changed is set if the decision is to be logged: a flow was opened, moved,
	// rejected or reset.
	Changed bool
	// Acked is when the client of an open flow that is reset last acknowledged new
	// data here, clock.Never if it did not.
	Acked clock.Milli
}

// Target is a daemon's state of one start of a target. A restarted target has a new
// code.
type Target struct {
	fleet.Target
	Code fleet.Code
	// gone is set when the entry was removed or replaced by a newer start, since
	// goneAt.
	gone     bool
	goneAt   clock.Milli
	replaced bool
	// runningAt is when the store last confirmed this start before a newer one
	// replaced it. Flows answered later may be those of the newer start.
	runningAt clock.Milli
	// drained is set if the target was draining when its entry was removed.
	// reportedAt is when the latest version of its entry was seen.
	drained    bool
	reportedAt clock.Milli
	// suspect is set while the target is in Core.suspects.
	suspect bool
	// localPeerMisses is the number of misses that peers of this data centre
	// report.
	localPeerMisses int
	load            load
	answers         answerStats
	probe           probeState
	latency         latencyStats
	speed           speed
	cold            openBudget
	// limiter is that of the target's pool.
	limiter *limiter
	// goneRev is the revision by which the entry was removed or replaced.
	goneRev    schema.Version
	unanswered unansweredStats
	loss       loss
}

// Route is a route with its pools resolved. total is the sum of their weights.
type Route struct {
	fleet.Route
	pools []*pool
	total int
}

// pool is the set of targets of one pool name.
type pool struct {
	fleet.Pool
	// local lists the targets of this data centre, remote the others. localByDC and
	// remoteByDC hold the same by data centre.
	local      []*Target
	remote     []*Target
	localByDC  [][]*Target
	remoteByDC [][]*Target
}

// serviceKey is the address and port of a route.
type serviceKey struct {
	address [4]byte
	port    uint16
}

// Core is the state of one daemon's decisions. It is not safe for concurrent use.
type Core struct {
	localDC schema.DataCentreID
	policy  policy.Policy
	replica *fleet.Replica
	random  *rand.Rand

	// targets holds all starts of targets sorted by code, byID the latest start
	// of each target, colliding the targets that share a code.
	targets []*Target
	byCode  map[fleet.Code]*Target
	byID    map[schema.TargetID]*Target
	// byAddress holds the target of each address that started last.
	byAddress map[netip.AddrPort]*Target
	// absent lists the targets that may be absent.
	absent    []*Target
	colliding map[fleet.Code][]*Target
	// foreign are the IDs under which another writer's entry lies over that of a target.
	foreign       map[schema.TargetID]bool
	routes        map[serviceKey]*Route
	removedRoutes map[serviceKey]clock.Milli
	pools         map[schema.Name]*pool
	// limiters holds the limiters of the pools, waitingCount is the number of
	// requests that wait in them. discarded is what Discarded has not returned yet.
	limiters     map[schema.Name]*limiter
	waitingCount int
	discarded    []Release
	// released is the list that Releases returned last, freeWaiting holds requests for
	// reuse, so that no memory is allocated for each one that waits.
	released    []Release
	freeWaiting []*waitingRequest
	// available lists the targets that got new flows when the limits were last
	// computed. limitsUpdated is when the limits were last computed.
	available     []*Target
	limitsUpdated clock.Milli
	table         *fleet.Table
	flows         flowTable
	peers         map[schema.VMID]*peerLoads
	members       int
	place         Place
	sharers       int
	// doubtful is set by SetDoubtful, unconfirmed by SetUnconfirmed. knownAt is when this
	// daemon knew the deployment for the first time, Never before.
	doubtful    bool
	unconfirmed bool
	knownAt     clock.Milli
	// targetsConfirmed is when the targets were last confirmed by the store, storeRegainedAt
	// when they were confirmed after a time without.
	targetsConfirmed clock.Milli
	storeRegainedAt  clock.Milli
	admitter         func(fleet.Code) bool
	// storeFailedAt is when a read of the store last failed, here or at a peer.
	storeFailedAt clock.Milli
	lastScan      clock.Milli
	// latenciesCompared is when the targets' latencies were last compared,
	// windowBegan when the current latency window began. lastMovedFlow is when a
	// flow that another daemon opened last came here, which shows that the fabric
	// had redistributed the flows among the daemons.
	latenciesCompared clock.Milli
	windowBegan       clock.Milli
	lastMovedFlow     clock.Milli
	lastTick          clock.Milli
	// lastStall is when this process last resumed after a stall.
	lastStall clock.Milli
	resets    []FlowReset
	// speeds is the state of learning the speeds of each pool's targets, speedsLearned
	// when it was last updated, speedChanges what SpeedChanges has not returned yet.
	speeds        map[schema.Name]*poolSpeed
	speedsLearned clock.Milli
	speedChanges  []SpeedChange
	// watched are the requests that have waited for long, unansweredReports what peers
	// report of theirs. withholdingChanges is what WithholdingChanges has not returned
	// yet.
	watched            []watchedRequest
	unansweredReports  map[schema.VMID]unansweredReport
	withholdingChanges []WithholdingChange
	// unansweredCounted is when the unanswered requests were last counted.
	unansweredCounted clock.Milli
	// findingReceived is set if a peer's finding on a target has not been considered yet.
	findingReceived bool
	// slownessChanges are the changes that SlownessChanges has not returned yet.
	slownessChanges []SlownessChange
	// foundLost is set once a probe showed that an absent target is gone.
	foundLost bool
	// suspects are the targets that left packets unanswered.
	suspects []*Target
	// probeQueue holds the targets to probe. activeReprobes counts the probes under
	// way of targets that are proved dead, activeProbes the others. deadReports holds
	// the dead targets that are still to be reported.
	probeQueue     []*Target
	activeProbes   int
	activeReprobes int
	deadReports    []*Target
	// lost are the targets that were lost and may be new starts, restarts what Restarts
	// has not returned yet.
	lost     []*Target
	restarts []Restart
	// answering are the targets that last answered this daemon, the latest first.
	answering [2]*Target
	// unresponsiveDCs holds the data centres whose targets answer nobody,
	// silentTargets the number of their targets that showed it, lastAnswerDCs when a
	// target of each last answered anyone.
	unresponsiveDCs map[schema.DataCentreID]bool
	silentTargets   map[schema.DataCentreID]int
	lastAnswerDCs   map[schema.DataCentreID]clock.Milli
	// paths holds the state of the paths to other data centres.
	paths map[schema.DataCentreID]*path
	// pathChanges are the changes that PathChanges has not returned yet.
	pathChanges []PathChange
	// confirmingPeers counts the peers with confirmed misses of targets in each
	// data centre.
	confirmingPeers map[schema.DataCentreID]int
	// lastAnswer is when any target last answered this daemon. missesSinceAnswer
	// counts the misses since then, lastMiss is when the last of them occurred.
	lastAnswer        clock.Milli
	missesSinceAnswer int
	// latestAnsweredSend is when this daemon forwarded the latest packet that was
	// answered.
	latestAnsweredSend clock.Milli
	// lastLocalAnswer is when a target of this data centre last answered.
	lastLocalAnswer clock.Milli
	// lastAccepted is when a target last accepted a new flow, openMisses counts
	// the flows that none has accepted since.
	lastAccepted clock.Milli
	openMisses   int
	lastMiss     clock.Milli
	reportSoon   bool
	// loadsChanged is set if reports of peers are not summed up yet,
	// missesReported if these include misses. lastSum is when they last were.
	loadsChanged   bool
	missesReported bool
	lastSum        clock.Milli
}

// FlowReset is a flow to reset without a packet of it to answer.
type FlowReset struct {
	Tuple  flow.Tuple
	Ack    uint32
	Target *Target
	Reason Reason
	// Acked is when the flow's client last acknowledged new data here, clock.Never
	// if it did not.
	Acked clock.Milli
}

// New returns the core of a daemon in a data centre. seed initialises its random
// numbers.
func New(dc schema.DataCentreID, seed uint64) *Core {
	return &Core{
		localDC:            dc,
		replica:            fleet.NewReplica(),
		random:             rand.New(rand.NewPCG(seed, seed)),
		byCode:             make(map[fleet.Code]*Target),
		byID:               make(map[schema.TargetID]*Target),
		byAddress:          make(map[netip.AddrPort]*Target),
		colliding:          make(map[fleet.Code][]*Target),
		foreign:            make(map[schema.TargetID]bool),
		routes:             make(map[serviceKey]*Route),
		removedRoutes:      make(map[serviceKey]clock.Milli),
		pools:              make(map[schema.Name]*pool),
		limiters:           make(map[schema.Name]*limiter),
		unansweredReports:  make(map[schema.VMID]unansweredReport),
		speeds:             make(map[schema.Name]*poolSpeed),
		flows:              newFlowTable(maxFlows),
		peers:              make(map[schema.VMID]*peerLoads),
		admitter:           func(fleet.Code) bool { return true },
		targetsConfirmed:   math.MaxInt64, // each update is applied as it happens, unless told otherwise
		knownAt:            clock.Never,
		storeFailedAt:      clock.Never,
		storeRegainedAt:    clock.Never,
		lastScan:           clock.Never,
		latenciesCompared:  clock.Never,
		windowBegan:        clock.Never,
		speedsLearned:      clock.Never,
		unansweredCounted:  clock.Never,
		lastMovedFlow:      clock.Never,
		lastTick:           clock.Never,
		lastStall:          clock.Never,
		lastSum:            clock.Never,
		limitsUpdated:      clock.Never,
		unresponsiveDCs:    make(map[schema.DataCentreID]bool),
		silentTargets:      make(map[schema.DataCentreID]int),
		lastAnswerDCs:      make(map[schema.DataCentreID]clock.Milli),
		paths:              make(map[schema.DataCentreID]*path),
		confirmingPeers:    make(map[schema.DataCentreID]int),
		lastAnswer:         clock.Never,
		latestAnsweredSend: clock.Never,
		lastLocalAnswer:    clock.Never,
		lastAccepted:       clock.Never,
		lastMiss:           clock.Never,
	}
}

// Replica returns the daemon's copy of the deployment.
func (c *Core) Replica() *fleet.Replica { return c.replica }

// KnowsDeployment reports whether the daemon knows enough of the deployment to forward
// packets.
func (c *Core) KnowsDeployment() bool {
	return c.table != nil && c.replica.Rev(fleet.Targets) != 0 && c.replica.Rev(fleet.Outs) != 0
}

// serviceKeyOf returns the key of the address that a flow was sent to.
func serviceKeyOf(t *flow.Tuple) serviceKey {
	return serviceKey{address: t.ServiceAddress, port: t.ServicePort}
}

func routeKey(a netip.AddrPort) (serviceKey, bool) {
	if !a.Addr().Unmap().Is4() {
		return serviceKey{}, false
	}
	return serviceKey{address: a.Addr().Unmap().As4(), port: a.Port()}, true
}

// Package steer decides where the packets of flows go, as a pure state
// machine.
//
// The model. The daemon that takes a flow's first packet chooses a target and
// writes the target's code into the packet's cookie. Both ends of the flow
// repeat the cookie, so every later packet names its target to whichever
// daemon gets it: an established flow needs no state anywhere. What a daemon
// remembers of flows is a bounded sample that serves three decisions: where
// the copies of a first packet go, how loaded each target is, and which
// targets don't answer.
//
// Invariants:
//   - A packet goes only to the start of the target that its cookie names.
//   - A first packet goes only to a target of a pool that the route names,
//     that is neither draining nor gone nor in a data centre that is out.
//   - A flow is reset only if its target is known to be gone, or the traffic
//     of several flows shows that it answers nobody; never for want of
//     knowledge.
package steer

import (
	"math/rand/v2"
	"net/netip"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// Drop leaves the packet unanswered; its sender repeats it.
	Drop Action = iota
	// Deliver sends the packet to a target.
	Deliver
	// Reset ends the flow at once.
	Reset
	// Hold keeps the packet until the daemon knows the deployment.
	Hold
	Actions // their number
)

var actionNames = [Actions]string{"drop", "deliver", "reset", "hold"}

// String implements fmt.Stringer.
func (a Action) String() string { return actionNames[a] }

// Reason tells why a packet was not delivered, or how its target was found.
type Reason uint8

// The reasons.
const (
	ByCookie Reason = iota
	Opened
	CopyOfOpen
	NoRoute
	NoTarget
	UnknownCookie
	TargetGone
	TargetDark
	RouteGone
	NotReady
	OldView
	ColdBudget
	Reasons // their number
)

var reasonNames = [Reasons]string{
	"by_cookie", "opened", "copy_of_open", "no_route", "no_target", "unknown_cookie",
	"target_gone", "target_dark", "route_gone", "not_ready", "old_view", "cold_budget",
}

// String implements fmt.Stringer.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is the decision about one packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Target is where a delivered packet goes; nil otherwise.
	Target *Target
	// Route is the route of the packet, if one is known.
	Route *Route
	// Changed is set if the decision is worth a line in the log: a flow
	// opened, moved or ended.
	Changed bool
}

// Target is what a daemon believes of one start of a target.
type Target struct {
	fleet.Target
	Code fleet.Code
	// gone is set when the entry was removed or a newer start replaced it.
	gone     bool
	goneAt   clock.Milli
	replaced bool
	// drained is set if the target was draining when its entry went.
	drained bool
	since   clock.Milli
	// suspect is set while the target is among the core's suspects.
	suspect bool
	// missedNear is the number of misses that peers of this data centre tell.
	missedNear int
	load       load
	answers    answers
	probing    probing
	pace       pace
	cold       budget
}

// Route is a compiled route.
type Route struct {
	fleet.Route
	pools []*pool
	total int
}

// pool is the set of targets that serve one name.
type pool struct {
	fleet.Pool
	// near and far are the targets of this data centre and of others.
	near []*Target
	far  []*Target
}

// serviceKey is the address of a route.
type serviceKey struct {
	address [4]byte
	port    uint16
}

// Core is the state of one daemon's decisions. It is not safe for concurrent
// use.
type Core struct {
	home   schema.DataCentreID
	book   *fleet.Book
	random *rand.Rand

	// list holds all starts of targets in the order of their codes, starts
	// the latest of each target.
	list     []*Target
	codes    map[fleet.Code]*Target
	starts   map[schema.TargetID]*Target
	doubled  map[fleet.Code][]*Target
	routes   map[serviceKey]*Route
	removed  map[serviceKey]clock.Milli
	pools    map[schema.Name]*pool
	table    *fleet.Table
	flows    flowTable
	peers    map[schema.VMID]*peerLoads
	members  int
	admitter func(fleet.Code) bool
	// troubled is when a read of the store last failed anywhere.
	troubled clock.Milli
	lastScan clock.Milli
	// paced is when the targets' paces were last compared, turned when their
	// present windows began, spread when a flow that another daemon opened last
	// came here, as the fabric had spread its flows anew.
	paced    clock.Milli
	turned   clock.Milli
	spread   clock.Milli
	lastTick clock.Milli
	// stalled is when this daemon last went on after a stall.
	stalled clock.Milli
	resets  []Ended
	// paceChanges are the targets that lately became slow, or usual again.
	paceChanges []PaceChange
	// suspects are the targets that left packets without an answer.
	suspects []*Target
	// questions are the targets to probe, probes counts the probes under way,
	// proofs are the targets whose death is still to be told.
	questions []*Target
	probes    int
	proofs    []*Target
	// darkDCs are the data centres whose targets answer nobody, heardDCs when
	// a target of each was last heard by anyone.
	darkDCs  map[schema.DataCentreID]bool
	heardDCs map[schema.DataCentreID]clock.Milli
	// paths are the ways to the targets of other data centres.
	paths map[schema.DataCentreID]*path
	// pathChanges are those that lately broke or were whole again.
	pathChanges []PathChange
	// tellers are the numbers of peers that surely miss answers of targets of
	// each data centre.
	tellers map[schema.DataCentreID]int
	// answered is when any target last answered, missedAll counts the misses
	// since, missedAt is the time of the last.
	answered  clock.Milli
	missedAll int
	// reached is when this daemon passed on the latest packet that had an answer.
	reached clock.Milli
	// answeredHome is when a target of this data centre last answered.
	answeredHome clock.Milli
	// opened is when a target last accepted a new flow, openMisses counts
	// those that none accepted since.
	opened     clock.Milli
	openMisses int
	missedAt   clock.Milli
	alarm      bool
	// dirty is set if peers told loads that are not added up yet, missesTold
	// if misses are among them; lastSum is when they last were.
	dirty      bool
	missesTold bool
	lastSum    clock.Milli
}

// Ended is a flow that is to be reset although none of its packets came.
type Ended struct {
	Tuple  flow.Tuple
	Ack    uint32
	Target *Target
	Reason Reason
}

// New returns the core of a daemon in a data centre. Seed starts its random
// numbers.
func New(dc schema.DataCentreID, seed uint64) *Core {
	return &Core{
		home:         dc,
		book:         fleet.NewBook(),
		random:       rand.New(rand.NewPCG(seed, seed)),
		codes:        make(map[fleet.Code]*Target),
		starts:       make(map[schema.TargetID]*Target),
		doubled:      make(map[fleet.Code][]*Target),
		routes:       make(map[serviceKey]*Route),
		removed:      make(map[serviceKey]clock.Milli),
		pools:        make(map[schema.Name]*pool),
		flows:        newFlowTable(maxFlows),
		peers:        make(map[schema.VMID]*peerLoads),
		admitter:     func(fleet.Code) bool { return true },
		troubled:     clock.Never,
		lastScan:     clock.Never,
		paced:        clock.Never,
		turned:       clock.Never,
		spread:       clock.Never,
		lastTick:     clock.Never,
		stalled:      clock.Never,
		lastSum:      clock.Never,
		darkDCs:      make(map[schema.DataCentreID]bool),
		heardDCs:     make(map[schema.DataCentreID]clock.Milli),
		paths:        make(map[schema.DataCentreID]*path),
		tellers:      make(map[schema.DataCentreID]int),
		answered:     clock.Never,
		reached:      clock.Never,
		answeredHome: clock.Never,
		opened:       clock.Never,
		missedAt:     clock.Never,
	}
}

// Book returns what the daemon knows of the deployment.
func (c *Core) Book() *fleet.Book { return c.book }

// Known reports whether the daemon knows enough to take packets.
func (c *Core) Known() bool {
	return c.table != nil && c.book.Rev(fleet.Targets) != 0 && c.book.Rev(fleet.Outs) != 0
}

// Apply takes news of the deployment and reports whether anything changed.
func (c *Core) Apply(now clock.Milli, u *fleet.Update) bool {
	ch := c.book.Apply(now, u)
	for i := range ch.Replaced {
		if t := c.codes[ch.Replaced[i].Code()]; t != nil {
			c.lose(now, t)
			t.replaced = true
		}
	}
	if ch.News {
		c.compile(now, ch.Targets)
	}
	return ch.News
}

// Trouble notes that the store failed a read, here or at a peer: entries that
// vanish now may be back.
func (c *Core) Trouble(at clock.Milli) { c.troubled = max(c.troubled, at) }

// lose marks a start of a target as gone since a time.
func (c *Core) lose(at clock.Milli, t *Target) {
	if t.gone {
		return
	}
	t.gone, t.goneAt, t.drained = true, at, t.Draining
}

// serviceOf returns the key of the address that a flow was sent to.
func serviceOf(t *flow.Tuple) serviceKey {
	return serviceKey{address: t.Address, port: t.Port}
}

func keyOf(a netip.AddrPort) (serviceKey, bool) {
	if !a.Addr().Unmap().Is4() {
		return serviceKey{}, false
	}
	return serviceKey{address: a.Addr().Unmap().As4(), port: a.Port()}, true
}

package daemon

import (
	"net/netip"

	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/pkg/schema"
)

// Action is what to do with a packet.
type Action uint8

// Actions of a verdict.
const (
	Drop Action = iota
	Deliver
	Forward
	// Refuse answers the first packet of a flow with a reset. The packet was
	// never forwarded.
	Refuse
)

// Reason is why a packet was dropped.
type Reason uint8

// Reasons for a drop.
const (
	NoReason Reason = iota
	NoRoute
	NoPool
	NoTarget
	NotReady
	OverBudget
	TargetOut
	UnknownPeer
	OldView
	NoHome
	NoQuorum
	TooManyHops
	KeyReused
	IsNote
	Waited

	// Reasons is the number of reasons.
	Reasons
)

var reasonNames = [Reasons]string{
	"none", "no_route", "no_pool", "no_target", "not_ready", "over_budget",
	"target_out", "unknown_peer", "old_view", "no_home", "no_quorum", "too_many_hops", "key_reused", "note", "waited",
}

// String returns the value of the reason label in metrics.
func (r Reason) String() string {
	return reasonNames[r]
}

// maxNotified is the maximum number of daemons that are told a flow's record
// after one decision.
const maxNotified = 2

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	To     netip.AddrPort
	VNI    schema.VNI
	// Relay is the header of a forwarded packet.
	Relay geneve.Relay
	// Notes holds the addresses of the NoteCount daemons that are told the
	// flow's record, whose target is NoteTarget.
	Notes      [maxNotified]netip.AddrPort
	NoteCount  int
	NoteTarget schema.Handle
	// Name and Team are those of the route, for metrics.
	Name schema.Name
	Team schema.Team
}

// Package peer defines the messages between daemons and their encoding.
//
// A Heartbeat carries the age of the sender's view, its membership and its own
// probe results. A Pull requests the objects changed since a revision; Objects
// is the response. Records transfers flow records to a new home. A Report lists
// the moving buckets that still have flows on targets other than their current
// one.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Num identifies a daemon on the wire: a short hash of its VM ID.
type Num uint32

// NumOf returns the Num of the daemon on a VM.
func NumOf(id schema.VMID) Num {
	return Num(flow.Seed(string(id)))
}

// TargetState is the state of a target as seen by a probe.
type TargetState uint8

// States of a target, from worst to best.
const (
	Failed TargetState = iota + 1
	Starting
	Draining
	Shedding
	Ready
)

// Probe is the sender's latest probe result for a target.
type Probe struct {
	_           struct{} `cbor:",toarray"`
	Target      schema.Handle
	State       TargetState
	Incarnation uint64
	// OpenFlows is the number of open flows that the target reports.
	OpenFlows uint32
}

// LastHeard is the age of the sender's latest evidence, its own or from other
// daemons, that a daemon is alive.
type LastHeard struct {
	_   struct{} `cbor:",toarray"`
	Num Num
	Age clock.Milli
}

// Heartbeat is sent to every peer at a fixed interval.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Member is the sender's registration; only some heartbeats have it.
	Member *schema.Member
	// Boot identifies the start of the sender's process.
	Boot uint64
	// Time is the sender's clock. Echo is the Time of the latest heartbeat that
	// the sender received from the receiver, and EchoDelay how long ago it
	// arrived.
	Time, Echo, EchoDelay clock.Milli
	// Revision is that of the sender's view. Age is the time since the start of
	// the last store read that confirmed it as the newest; negative if there was
	// no such read.
	Revision schema.Version
	Age      clock.Milli
	// Platform is set while the sender itself reaches the platform.
	Platform bool
	// Ready is set once the sender can be a home.
	Ready bool
	// MaybeOutdated is set while the sender's view is outdated or can't be
	// confirmed as current.
	MaybeOutdated bool
	// NoQuorum is set while the sender has no quorum: it doesn't hear from a
	// majority of the homes, so it must neither plan nor decide without a flow's
	// other home.
	NoQuorum bool
	// Out is set while the sender is leaving or marked out.
	Out    bool
	Heard  []LastHeard
	Probes []Probe
}

// Pull requests the objects changed since a revision.
type Pull struct {
	_     struct{} `cbor:",toarray"`
	Since schema.Version
}

// Objects is the response to a Pull. It has every change after Since.
type Objects struct {
	_     struct{} `cbor:",toarray"`
	Since schema.Version
	List  object.List
}

// FlowRecord is the wire form of a flow record.
type FlowRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    []byte
	Target schema.Handle
}

// Records transfers flow records to a home.
type Records struct {
	_ struct{} `cbor:",toarray"`
	// Proposed is set if the records are not confirmed by a home.
	Proposed bool
	Records  []FlowRecord
}

// Report lists the moving buckets of a service that have flows on targets other
// than the bucket's current one. Foreign is a bit set indexed by bucket.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Placement schema.Version
	Foreign   []byte
}

// Message is the frame that daemons exchange. Besides From, exactly one field
// is set.
type Message struct {
	_         struct{} `cbor:",toarray"`
	From      schema.VMID
	Heartbeat *Heartbeat
	Pull      *Pull
	Objects   *Objects
	Records   *Records
	Reports   []*Report
}

// MaxMessage is the size in bytes of the largest frame that a daemon accepts.
const MaxMessage = 16 << 20

var (
	namespace = errorx.NewNamespace("peer")
	// BadMessage is the error type for frames that can't be decoded.
	BadMessage = namespace.NewType("bad_message")
)

// Encode encodes m.
func Encode(m *Message) ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode decodes and validates a frame.
func Decode(data []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(data, m); err != nil {
		return nil, BadMessage.Wrap(err, "can't decode frame of %d bytes", len(data))
	}
	if m.From == "" {
		return nil, BadMessage.New("frame without sender")
	}
	if h := m.Heartbeat; h != nil && h.Member != nil {
		if err := h.Member.Check(); err != nil {
			return nil, BadMessage.Wrap(err, "heartbeat of %q", m.From)
		}
		if h.Member.ID != m.From {
			return nil, BadMessage.New("heartbeat of %q sent by %q", h.Member.ID, m.From)
		}
	}
	return m, nil
}

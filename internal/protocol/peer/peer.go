// Package peer holds the messages between daemons and their codec.
//
// A Heartbeat carries the sender's view age, membership and its own probe
// results. A Pull asks for the objects changed since a revision, and Objects
// answers it. Records hands flow records to a new home. Reports tell which
// moving buckets still have flows elsewhere than their table says.
package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Num is the short number of a daemon on the wire, a hash of its VM id.
type Num uint32

// NumOf returns the number of a VM.
func NumOf(id schema.VMID) Num {
	return Num(flow.Seed(string(id)))
}

// TargetState is what a prober saw.
type TargetState uint8

// States of a target, from worst to best.
const (
	Failed TargetState = iota + 1
	Starting
	Draining
	Shedding
	Ready
)

// Probe is one prober's latest result for a target.
type Probe struct {
	_           struct{} `cbor:",toarray"`
	Target      schema.Handle
	State       TargetState
	Incarnation uint64
	Open        uint32
}

// Heard is when the sender last heard of another daemon.
type Heard struct {
	_   struct{} `cbor:",toarray"`
	Num Num
	Age clock.Milli
}

// Heartbeat is sent to every peer at a fixed interval.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Member is the sender's registration; it is left out once the receiver
	// is known to have it.
	Member *schema.Member
	Boot   uint64
	// Time is the sender's clock; Echo is the Time of the newest heartbeat
	// that it got from the receiver, Hold how long ago.
	Time, Echo, Hold clock.Milli
	// Revision is the sender's view; Age tells how long ago a platform read
	// began that confirmed it as the newest, negative if none did.
	Revision schema.Version
	Age      clock.Milli
	// Platform is set while the sender reaches the platform itself.
	Platform bool
	// Ready is set once the sender may be a home.
	Ready bool
	// Blind is set while the sender knows that its view is old or can't tell.
	Blind bool
	// Alone is set while the sender hears less than most of the homes, so
	// that it may neither plan nor decide without a flow's other home.
	Alone bool
	// Out is set while the sender leaves or is marked out.
	Out    bool
	Heard  []Heard
	Probes []Probe
}

// Pull asks for objects.
type Pull struct {
	_     struct{} `cbor:",toarray"`
	Since schema.Version
}

// Objects answers a Pull. It is complete from Since.
type Objects struct {
	_     struct{} `cbor:",toarray"`
	Since schema.Version
	List  object.List
}

// FlowRecord is one record on the wire.
type FlowRecord struct {
	_      struct{} `cbor:",toarray"`
	Key    []byte
	Target schema.Handle
}

// Records hands records to a home.
type Records struct {
	_ struct{} `cbor:",toarray"`
	// Proposed is set if the records are not confirmed by a home.
	Proposed bool
	Records  []FlowRecord
}

// Report lists the moving buckets of a service with flows elsewhere than on
// their current target, as a bit set.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Placement schema.Version
	Foreign   []byte
}

// Message is the frame between daemons: exactly one field is set.
type Message struct {
	_         struct{} `cbor:",toarray"`
	From      schema.VMID
	Heartbeat *Heartbeat
	Pull      *Pull
	Objects   *Objects
	Records   *Records
	Reports   []*Report
}

// MaxMessage is the largest frame in bytes that a daemon accepts.
const MaxMessage = 16 << 20

var (
	namespace = errorx.NewNamespace("peer")
	// BadMessage is the type of decoding errors.
	BadMessage = namespace.NewType("bad_message")
)

// Encode returns the wire form of m.
func Encode(m *Message) ([]byte, error) {
	return cbor.Marshal(m)
}

// Decode reads a frame and checks it.
func Decode(data []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(data, m); err != nil {
		return nil, BadMessage.Wrap(err, "frame of %d bytes", len(data))
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

// Package digest defines the messages that entry daemons exchange: summaries,
// sent periodically over UDP, and the topic updates that a daemon pulls from a
// peer over HTTP.
//
// Messages are encoded as CBOR arrays without field names, to keep control
// traffic small. The order and types of the fields are the wire format.
// Points in time are sent as ages, because daemons share no clock.
package digest

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

var (
	namespace = errorx.NewNamespace("digest")
	// Invalid is the type of the errors about malformed messages.
	Invalid = namespace.NewType("invalid")
)

const (
	// MaxSize is the maximum size of a UDP message in bytes.
	MaxSize = 8192
	// maxListLen is the maximum number of entries in a list of a summary.
	maxListLen = 1024
)

// TopicState is the sender's revision of one topic.
type TopicState struct {
	_   struct{} `cbor:",toarray"`
	Rev schema.Version
	// Age is the time since the revision was confirmed as current, in
	// milliseconds; negative if it never was.
	Age clock.Milli
	// Sum identifies the objects that the sender holds.
	Sum fleet.Sum
	// Grounded is set if these rest on a current list of the store. Otherwise the
	// revision promises nothing.
	Grounded bool
	// Unproved is by how much the revision exceeds the one up to which the sender's
	// replica was shown to be complete.
	Unproved schema.Version
	// ProofAge is the age of the state of the store that the replica was shown to
	// hold, in milliseconds; negative if there is none.
	ProofAge clock.Milli
}

// Neighbour is another daemon that the sender has heard of.
type Neighbour struct {
	_    struct{} `cbor:",toarray"`
	Addr netip.AddrPort
	// DataCentre is empty if the sender doesn't know it.
	DataCentre schema.DataCentreID
	// Silence is the time since the daemon was last heard of, in milliseconds.
	Silence clock.Milli
}

// Summary is the state that a daemon sends to its peers several times a second.
type Summary struct {
	_           struct{} `cbor:",toarray"`
	ID          schema.VMID
	DataCentre  schema.DataCentreID
	Incarnation uint64
	// Seq is the sequence number of the summary within its incarnation.
	Seq uint64
	// Leaving is set during a graceful stop.
	Leaving bool
	Topics  [fleet.Topics]TopicState
	// ConfigVersion is the version of the configuration in force at the sender, zero
	// if there is none.
	ConfigVersion int64
	// StoreFailureAge is the time since a read of the store last failed at the
	// sender, in milliseconds; negative if none failed since the last success.
	StoreFailureAge clock.Milli
	// TargetAnswerAge is the time since a target of the sender's data centre
	// last answered the sender, in milliseconds; negative if none ever did.
	TargetAnswerAge clock.Milli
	// CutOffAge is the time since a daemon of the sender's data centre last
	// found itself cut off, in milliseconds; negative if none did recently.
	CutOffAge clock.Milli
	Loads     []fleet.Load
	// MissesOnly is set if Loads is limited to targets that leave packets
	// unanswered.
	MissesOnly  bool
	DeadTargets []fleet.DeadTarget
	Neighbours  []Neighbour
}

// Check returns an error that describes the first invalid field.
func (s *Summary) Check() error {
	if err := schema.CheckName("ID", string(s.ID)); err != nil {
		return err
	}
	if n := max(len(s.Loads), len(s.DeadTargets), len(s.Neighbours)); n > maxListLen {
		return Invalid.New("summary of %q: list has %d entries, the maximum is %d", s.ID, n, maxListLen)
	}
	for _, x := range s.DeadTargets {
		if x.Age < 0 {
			return Invalid.New("summary of %q: dead target %08x has a negative age of %d ms", s.ID, uint32(x.Code), x.Age)
		}
	}
	for t, x := range s.Topics {
		if x.Unproved > x.Rev {
			return Invalid.New("summary of %q: %d unproved revisions of %s, more than its revision %d", s.ID, x.Unproved, fleet.Topic(t), x.Rev)
		}
	}
	for _, n := range s.Neighbours {
		if !n.Addr.IsValid() || n.Silence < 0 {
			return Invalid.New("summary of %q: neighbour %s with a silence of %d ms has an invalid address or a negative silence", s.ID, n.Addr, n.Silence)
		}
	}
	return nil
}

// PullResponse holds the updates of the topics that the requester is behind on.
type PullResponse struct {
	_       struct{} `cbor:",toarray"`
	Updates []fleet.Update
	// Ages holds, for each update, the time since its topic was confirmed as
	// current, in milliseconds; negative if it never was, or if the update stops
	// short of the sender's newest revision.
	Ages []clock.Milli
	// ProofAges holds, for each update, the age of the state of the store that its topic
	// was shown to hold, in milliseconds; negative if there is none.
	ProofAges []clock.Milli
}

// Check returns an error that describes the first problem.
func (r *PullResponse) Check() error {
	if len(r.Ages) != len(r.Updates) || len(r.ProofAges) != len(r.Updates) || len(r.Updates) > int(fleet.Topics) {
		return Invalid.New("pull response has %d updates, %d ages and %d ages of proofs", len(r.Updates), len(r.Ages), len(r.ProofAges))
	}
	for i := range r.Updates {
		if u := &r.Updates[i]; u.Proved > u.Rev {
			return Invalid.New("pull response proves revision %d of topic %d, more than its revision %d", u.Proved, u.Topic, u.Rev)
		}
		if r.Updates[i].Topic >= fleet.Topics {
			return Invalid.New("pull response has an update of unknown topic %d, the last topic is %d", r.Updates[i].Topic, fleet.Topics-1)
		}
	}
	return nil
}

// Encode returns the wire form of a message.
func Encode[T any](v *T) ([]byte, error) { return cbor.Marshal(v) }

// Decode decodes a message and validates it.
func Decode[T any, P schema.Checker[T]](data []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(data, v); err != nil {
		return nil, Invalid.Wrap(err, "cannot decode %T", *v)
	}
	return v, P(v).Check()
}

// Package digest holds the messages between entry daemons: small dated
// summaries over UDP, and news of the deployment pulled over HTTP.
//
// Messages are CBOR arrays without field names, as control traffic has no
// room for them.
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
	// Invalid is the type of every message that can't be used.
	Invalid = namespace.NewType("invalid")
)

const (
	// MaxSize is the largest message over UDP in bytes.
	MaxSize = 8192
	maxList = 1024
)

// Known is what a daemon knows of one topic.
type Known struct {
	_   struct{} `cbor:",toarray"`
	Rev schema.Version
	// Age is how long ago the revision was confirmed, in milliseconds;
	// negative if never.
	Age clock.Milli
}

// Neighbour is a daemon that the sender heard of.
type Neighbour struct {
	_    struct{} `cbor:",toarray"`
	Addr netip.AddrPort
	// DataCentre is empty if it is not known.
	DataCentre schema.DataCentreID
	// Silence is how long ago it was heard, in milliseconds.
	Silence clock.Milli
}

// Summary is what a daemon tells its peers several times a second.
type Summary struct {
	_           struct{} `cbor:",toarray"`
	ID          schema.VMID
	DataCentre  schema.DataCentreID
	Incarnation uint64
	// Seq numbers the summaries of an incarnation.
	Seq uint64
	// Leaving is set while the daemon stops.
	Leaving bool
	Known   [fleet.Topics]Known
	// Trouble is how long ago a read of the store failed at the sender or
	// was told to it, in milliseconds; negative if never.
	Trouble clock.Milli
	// Heard is how long ago a target of the sender's data centre answered the
	// sender, in milliseconds; negative if never.
	Heard clock.Milli
	// Cut is how long ago a daemon of the sender's data centre found that it is
	// cut off, in milliseconds; negative if none did lately.
	Cut   clock.Milli
	Loads []fleet.Load
	// Misses is set if Loads holds only the targets that don't answer.
	Misses     bool
	Suspects   []fleet.Suspect
	Neighbours []Neighbour
}

// Check returns an error that names the first wrong field.
func (s *Summary) Check() error {
	if err := schema.CheckName("ID", string(s.ID)); err != nil {
		return err
	}
	if n := max(len(s.Loads), len(s.Suspects), len(s.Neighbours)); n > maxList {
		return Invalid.New("summary of %q: a list of %d, at most %d", s.ID, n, maxList)
	}
	for _, x := range s.Suspects {
		if x.Age < 0 {
			return Invalid.New("summary of %q: target %08x dead for %d ms", s.ID, uint32(x.Code), x.Age)
		}
	}
	for _, n := range s.Neighbours {
		if !n.Addr.IsValid() || n.Silence < 0 {
			return Invalid.New("summary of %q: neighbour %s silent for %d ms", s.ID, n.Addr, n.Silence)
		}
	}
	return nil
}

// News brings a daemon's topics up to date.
type News struct {
	_       struct{} `cbor:",toarray"`
	Updates []fleet.Update
	// Ages are how long ago each update's topic was confirmed; negative if
	// never.
	Ages []clock.Milli
}

// Check returns an error that names what is wrong.
func (n *News) Check() error {
	if len(n.Ages) != len(n.Updates) || len(n.Updates) > int(fleet.Topics) {
		return Invalid.New("news of %d updates with %d ages", len(n.Updates), len(n.Ages))
	}
	for i := range n.Updates {
		if n.Updates[i].Topic >= fleet.Topics {
			return Invalid.New("news of topic %d, the last is %d", n.Updates[i].Topic, fleet.Topics-1)
		}
	}
	return nil
}

// Encode returns the wire form of a message.
func Encode[T any](v *T) ([]byte, error) { return cbor.Marshal(v) }

// Decode reads a message and checks it.
func Decode[T any, P schema.Checker[T]](data []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(data, v); err != nil {
		return nil, Invalid.Wrap(err, "not a %T", *v)
	}
	return v, P(v).Check()
}

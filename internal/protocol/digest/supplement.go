package digest

import (
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// mapMajorType is the major type of a CBOR map, in the three high bits of the first byte.
const mapMajorType = 5

// Supplement carries data that a summary has no fields for, and is sent after it if there
// is any: a summary is an array of fixed length, which a daemon of another version rejects
// if it is longer. A supplement is a map with integer keys. Unknown keys are
// ignored, so that fields can be added.
type Supplement struct {
	ID          schema.VMID `cbor:"1,keyasint"`
	Incarnation uint64      `cbor:"2,keyasint"`
	// Seq is that of the summary that it follows.
	Seq uint64 `cbor:"3,keyasint"`
	// Rates lists the sender's requests by pool, Demands the demand of each data centre
	// on the pools that are short of capacity.
	Rates   []fleet.PoolRate   `cbor:"4,keyasint,omitempty"`
	Demands []fleet.PoolDemand `cbor:"5,keyasint,omitempty"`
	// Unanswered lists the targets that leave requests without an answer.
	Unanswered []fleet.Unanswered `cbor:"10,keyasint,omitempty"`
}

// IsSupplement reports whether a message is a supplement rather than a summary.
func IsSupplement(data []byte) bool { return len(data) > 0 && data[0]>>5 == mapMajorType }

// IsEmpty reports whether all lists are empty, so that it needn't be sent.
func (s *Supplement) IsEmpty() bool {
	return len(s.Rates)+len(s.Demands)+len(s.Unanswered) == 0
}

// Check returns an error that describes the first invalid field.
func (s *Supplement) Check() error {
	if err := schema.CheckName("ID", string(s.ID)); err != nil {
		return err
	}
	if n := max(len(s.Rates), len(s.Demands), len(s.Unanswered)); n > maxListLen {
		return Invalid.New("supplement of %q: list has %d entries, the maximum is %d", s.ID, n, maxListLen)
	}
	for _, x := range s.Demands {
		if x.Age < 0 {
			return Invalid.New("supplement of %q: demand of data centre %q on pool %q has a negative age of %d ms", s.ID, x.DataCentre, x.Pool, x.Age)
		}
	}
	return nil
}

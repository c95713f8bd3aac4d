package schema

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
)

// Buckets is the number of buckets of every placement.
const Buckets = 1024

// Service is the address that identifies a placement: a rename of a route
// and its pool keeps the address, and so keeps the placement.
type Service struct {
	Address  netip.Addr
	Port     uint16
	Protocol Protocol
}

// Service returns the service address of the route.
func (r *Route) Service() Service {
	return Service{Address: r.Address.Unmap(), Port: r.Port, Protocol: r.Protocol}
}

// Key returns the name of the service's placement object.
func (s Service) Key() string {
	return string(s.Protocol) + "-" + netip.AddrPortFrom(s.Address, s.Port).String()
}

// Handle identifies one target at one address on the wire: the same id at
// another address, or another id at the same address, has another handle.
// Zero means no target.
type Handle uint64

// Slot is a placement's record of one target.
type Slot struct {
	ID     TargetID
	Handle Handle
	// Incarnation is the process instance last seen by the planner.
	Incarnation uint64 `json:",omitempty"`
	// Rate limits opens while the target ramps up; zero means no limit.
	Rate PerSecond `json:",omitempty"`
	// Admitter is the only daemon that may pass opens on while Rate is set.
	Admitter VMID `json:",omitempty"`
	// Closed is set while the target takes no new flows.
	Closed bool `json:",omitempty"`
}

// Placement is the agreed bucket table of one service.
//
// Base[b] is the slot that holds the flows of bucket b without a record.
// Current[b] is the slot that new flows of bucket b open on. While Moving[b]
// is set, flows of the bucket may have records and its packets are decided by
// the flow's homes; otherwise Base[b] equals Current[b] and no flow of the
// bucket has a record.
type Placement struct {
	Service Service
	// Planned is the revision that the placement was planned from.
	Planned Version
	Slots   []Slot
	Base    []uint16
	Current []uint16
	Moving  []bool
}

// NoSlot is the value of a bucket without a target.
const NoSlot uint16 = 0xffff

// Check returns an error that names the first broken invariant.
func (p *Placement) Check() error {
	if len(p.Base) != Buckets || len(p.Current) != Buckets || len(p.Moving) != Buckets {
		return Invalid.New("placement %s: Base, Current and Moving must have %d entries", p.Service.Key(), Buckets)
	}
	for b := range Buckets {
		if !p.valid(p.Base[b]) || !p.valid(p.Current[b]) {
			return Invalid.New("placement %s: bucket %d names a slot that does not exist", p.Service.Key(), b)
		}
		if !p.Moving[b] && p.Base[b] != p.Current[b] {
			return Invalid.New("placement %s: bucket %d rests with two targets", p.Service.Key(), b)
		}
	}
	return nil
}

func (p *Placement) valid(slot uint16) bool {
	return slot == NoSlot || int(slot) < len(p.Slots)
}

// placementWire is the JSON form of a placement: the bucket columns are byte
// strings, two bytes a slot number and one bit a moving bucket.
type placementWire struct {
	Service Service
	Planned Version
	Slots   []Slot
	Base    []byte
	Current []byte
	Moving  []byte
}

// MarshalJSON implements json.Marshaler.
func (p *Placement) MarshalJSON() ([]byte, error) {
	w := placementWire{Service: p.Service, Planned: p.Planned, Slots: p.Slots, Moving: make([]byte, (len(p.Moving)+7)/8)}
	w.Base = packSlots(p.Base)
	w.Current = packSlots(p.Current)
	for b, m := range p.Moving {
		if m {
			w.Moving[b/8] |= 1 << (b % 8)
		}
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Placement) UnmarshalJSON(data []byte) error {
	var w placementWire
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*p = Placement{Service: w.Service, Planned: w.Planned, Slots: w.Slots}
	p.Base = unpackSlots(w.Base)
	p.Current = unpackSlots(w.Current)
	p.Moving = make([]bool, 8*len(w.Moving))
	for b := range p.Moving {
		p.Moving[b] = w.Moving[b/8]>>(b%8)&1 == 1
	}
	return nil
}

func packSlots(column []uint16) []byte {
	out := make([]byte, 0, 2*len(column))
	for _, s := range column {
		out = binary.BigEndian.AppendUint16(out, s)
	}
	return out
}

func unpackSlots(data []byte) []uint16 {
	column := make([]uint16, len(data)/2)
	for i := range column {
		column[i] = binary.BigEndian.Uint16(data[2*i:])
	}
	return column
}

package schema

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
)

// Buckets is the number of buckets of every placement.
const Buckets = 1024

// Service is the address that identifies a placement. Renaming a route and its
// pool keeps the address, and therefore the placement.
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

// Handle identifies a pair of target ID and address on the wire. A target that
// changes its address gets a new handle, and so does a new target at a reused
// address. Zero means no target.
type Handle uint64

// Slot is a placement's entry for a target.
type Slot struct {
	ID     TargetID
	Handle Handle
	// Incarnation identifies the target's process that the planner last observed.
	Incarnation uint64 `json:",omitempty"`
	// Rate limits new flows while the target ramps up; zero means no limit.
	Rate PerSecond `json:",omitempty"`
	// Admitter is the only daemon that may admit new flows while Rate is set.
	Admitter VMID `json:",omitempty"`
	// Closed is set while the target accepts no new flows.
	Closed bool `json:",omitempty"`
}

// Placement is the bucket table of a service that all daemons agree on.
//
// Base[b] is the slot of the flows of bucket b that have no record.
// Current[b] is the slot of the bucket's new flows. While Moving[b] is set,
// flows of the bucket may have records, and the flow's homes decide where its
// packets go. Otherwise Base[b] equals Current[b] and no flow of the bucket
// has a record.
type Placement struct {
	Service Service
	// Planned is the store revision that the placement was computed from.
	Planned Version
	Slots   []Slot
	Base    []uint16
	Current []uint16
	Moving  []bool
}

// NoSlot marks a bucket without a target in Base and Current.
const NoSlot uint16 = 0xffff

// Check returns an error that names the first violated invariant.
func (p *Placement) Check() error {
	if len(p.Base) != Buckets || len(p.Current) != Buckets || len(p.Moving) != Buckets {
		return Invalid.New("placement %s: Base, Current and Moving must have %d entries", p.Service.Key(), Buckets)
	}
	for b := range Buckets {
		if !p.validSlot(p.Base[b]) || !p.validSlot(p.Current[b]) {
			return Invalid.New("placement %s: bucket %d refers to a slot that does not exist", p.Service.Key(), b)
		}
		if !p.Moving[b] && p.Base[b] != p.Current[b] {
			return Invalid.New("placement %s: bucket %d is not moving, but its Base and Current differ", p.Service.Key(), b)
		}
	}
	return nil
}

func (p *Placement) validSlot(slot uint16) bool {
	return slot == NoSlot || int(slot) < len(p.Slots)
}

// placementWire is the JSON form of a placement. Base and Current are byte
// strings with two bytes per bucket, Moving is one with one bit per bucket.
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

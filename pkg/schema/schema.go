// Package schema holds the domain types that operators, daemons and the
// platform share, in their JSON form with Pascal case names.
//
// A Route names a service and the address that clients reach. A Pool names
// the targets that serve it. The two are linked only by an equal name: a
// route without a pool, or the reverse, is valid and carries no traffic.
// A Mark takes a VM or a data centre out of service. A Member is the
// registration of a daemon. A Placement is the agreed bucket table of one
// service address.
//
// Every type checks itself when it is decoded, so a value that was decoded
// without an error is valid.
package schema

import (
	"encoding/json"
	"net/netip"
	"regexp"
	"slices"
	"strconv"

	"github.com/joomcode/errorx"
)

// Identifiers and units.
type (
	// Name links a route to a pool.
	Name string
	// TargetID names one target; unique over all pools.
	TargetID string
	// VMID names a VM: a daemon's or a target's.
	VMID string
	// DataCentreID names a data centre.
	DataCentreID string
	// Team owns routes and pools.
	Team string
	// Version is the platform's revision number of an object or of the whole
	// store. It only grows. Zero means the object does not exist.
	Version uint64
	// OperationID identifies one edit, so that a retry of it is recognised.
	OperationID string
	// Protocol is the transport protocol of a route.
	Protocol string
	// VNI is the Geneve virtual network identifier of a pool, 24 bits.
	VNI uint32
	// PerSecond is a rate.
	PerSecond float64
)

// String implements fmt.Stringer.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// Protocols of a route.
const (
	TCP  Protocol = "tcp"
	QUIC Protocol = "quic"
)

const (
	maxNameLength    = 64
	maxVNI           = 1<<24 - 1
	maxTargets       = 1024
	maxWeight        = 100
	defaultColdRate  = 5
	maxColdPerSecond = 10000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("schema")
	// Invalid is the type of every validation error.
	Invalid = namespace.NewType("invalid")
)

// CheckName returns an error unless s is a legal name for the field.
func CheckName(field, s string) error {
	if len(s) == 0 || len(s) > maxNameLength {
		return Invalid.New("%s %q must have 1 to %d characters", field, s, maxNameLength)
	}
	if !namePattern.MatchString(s) {
		return Invalid.New("%s %q may hold letters, digits, '.', '_' and '-', and starts with a letter or digit", field, s)
	}
	return nil
}

// maxEarlier is the number of former operations that an object remembers.
const maxEarlier = 8

// Edit identifies the edits that led to an object, the latest first.
type Edit struct {
	Operation OperationID   `json:",omitempty"`
	Earlier   []OperationID `json:",omitempty"`
}

// After returns the edit op that follows e.
func (e Edit) After(op OperationID) Edit {
	earlier := append([]OperationID{e.Operation}, e.Earlier...)
	if e.Operation == "" {
		earlier = e.Earlier
	}
	return Edit{Operation: op, Earlier: earlier[:min(len(earlier), maxEarlier)]}
}

// Has reports whether op is among the known edits.
func (e Edit) Has(op OperationID) bool {
	return op != "" && (e.Operation == op || slices.Contains(e.Earlier, op))
}

// Edits returns the object's edits for reading and writing.
func (e *Edit) Edits() *Edit {
	return e
}

// Route is one service address that clients reach.
type Route struct {
	Name     Name
	Address  netip.Addr
	Port     uint16
	Protocol Protocol
	Team     Team `json:",omitempty"`
	Edit
}

// Check returns an error that names the first wrong field.
func (r *Route) Check() error {
	if err := CheckName("route Name", string(r.Name)); err != nil {
		return err
	}
	if !r.Address.IsValid() || r.Address.IsUnspecified() {
		return Invalid.New("route %q: Address must be an IP address", r.Name)
	}
	if r.Port == 0 {
		return Invalid.New("route %q: Port must be 1 to 65535", r.Name)
	}
	if r.Protocol != TCP && r.Protocol != QUIC {
		return Invalid.New("route %q: Protocol %q must be %q or %q", r.Name, r.Protocol, TCP, QUIC)
	}
	return nil
}

// Target is one process that serves a pool.
type Target struct {
	ID TargetID
	// Address is where the target receives Geneve packets.
	Address netip.AddrPort
	// Health is the target's HTTP health and load endpoint.
	Health     netip.AddrPort
	DataCentre DataCentreID
	// Weight is the target's share of new flows; zero means one.
	Weight uint16 `json:",omitempty"`
	// Drain keeps established flows and stops new ones.
	Drain bool `json:",omitempty"`
}

// Check returns an error that names the first wrong field.
func (t *Target) Check() error {
	if err := CheckName("target ID", string(t.ID)); err != nil {
		return err
	}
	if !t.Address.IsValid() || t.Address.Port() == 0 {
		return Invalid.New("target %q: Address must be IP:port", t.ID)
	}
	if t.Health.IsValid() && t.Health.Port() == 0 {
		return Invalid.New("target %q: Health must be IP:port", t.ID)
	}
	if t.Weight > maxWeight {
		return Invalid.New("target %q: Weight %d must be 0 to %d", t.ID, t.Weight, maxWeight)
	}
	return CheckName("target DataCentre", string(t.DataCentre))
}

// Pool is the set of targets that serves the route of the same name.
type Pool struct {
	Name Name
	// VNI marks the pool's packets; a target drops packets of another VNI.
	VNI     VNI
	Targets []Target
	// ColdRate is how many opens a second a target bears after its start.
	ColdRate PerSecond `json:",omitempty"`
	Team     Team      `json:",omitempty"`
	Edit
}

// Check returns an error that names the first wrong field.
func (p *Pool) Check() error {
	if err := CheckName("pool Name", string(p.Name)); err != nil {
		return err
	}
	if p.VNI == 0 || p.VNI > maxVNI {
		return Invalid.New("pool %q: VNI %d must be 1 to %d", p.Name, p.VNI, maxVNI)
	}
	if len(p.Targets) > maxTargets {
		return Invalid.New("pool %q: %d targets, at most %d", p.Name, len(p.Targets), maxTargets)
	}
	if p.ColdRate < 0 || p.ColdRate > maxColdPerSecond {
		return Invalid.New("pool %q: ColdRate %v must be 0 to %d", p.Name, p.ColdRate, maxColdPerSecond)
	}
	ids := make(map[TargetID]bool, len(p.Targets))
	addrs := make(map[netip.AddrPort]TargetID, len(p.Targets))
	for i := range p.Targets {
		t := &p.Targets[i]
		if err := t.Check(); err != nil {
			return Invalid.New("pool %q: %s", p.Name, err.(*errorx.Error).Message())
		}
		if ids[t.ID] {
			return Invalid.New("pool %q: target ID %q stands twice", p.Name, t.ID)
		}
		if other, ok := addrs[t.Address]; ok {
			return Invalid.New("pool %q: targets %q and %q have the same Address %s", p.Name, other, t.ID, t.Address)
		}
		ids[t.ID] = true
		addrs[t.Address] = t.ID
	}
	return nil
}

// ColdOpens returns the opens a second that a cold target of the pool bears.
func (p *Pool) ColdOpens() PerSecond {
	if p.ColdRate == 0 {
		return defaultColdRate
	}
	return p.ColdRate
}

// Find returns the target with the id, or nil.
func (p *Pool) Find(id TargetID) *Target {
	for i := range p.Targets {
		if p.Targets[i].ID == id {
			return &p.Targets[i]
		}
	}
	return nil
}

// Mark takes a VM or a data centre out of service.
type Mark struct {
	Name string
	Out  bool
	Edit
}

// Check returns an error that names the first wrong field.
func (m *Mark) Check() error {
	return CheckName("Name", m.Name)
}

// Member is the registration of one daemon.
type Member struct {
	ID         VMID
	DataCentre DataCentreID
	// Data is where the daemon receives Geneve packets.
	Data netip.AddrPort
	// Peer is where the daemon accepts other daemons.
	Peer netip.AddrPort
	// Admin is the daemon's administration API.
	Admin netip.AddrPort
	// Leaving is set while the daemon stops.
	Leaving bool `json:",omitempty"`
}

// Check returns an error that names the first wrong field.
func (m *Member) Check() error {
	if err := CheckName("member ID", string(m.ID)); err != nil {
		return err
	}
	if !m.Data.IsValid() || !m.Peer.IsValid() {
		return Invalid.New("member %q: Data and Peer must be IP:port", m.ID)
	}
	return CheckName("member DataCentre", string(m.DataCentre))
}

// Homes is the agreed list of daemons that keep flow records.
type Homes struct {
	Members []VMID
}

// Check returns an error that names the first wrong member.
func (h *Homes) Check() error {
	for _, id := range h.Members {
		if err := CheckName("home", string(id)); err != nil {
			return err
		}
	}
	return nil
}

// Checker is a domain type that validates itself.
type Checker[T any] interface {
	*T
	Check() error
}

// Decode reads one JSON value of a domain type and checks it.
func Decode[T any, P Checker[T]](data []byte) (*T, error) {
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return nil, Invalid.Wrap(err, "not a JSON object of type %T", *v)
	}
	if err := P(v).Check(); err != nil {
		return nil, err
	}
	return v, nil
}

// Key returns the name that the route is stored under.
func (r *Route) Key() string { return string(r.Name) }

// Owner returns the team that owns the route.
func (r *Route) Owner() *Team { return &r.Team }

// Key returns the name that the pool is stored under.
func (p *Pool) Key() string { return string(p.Name) }

// Owner returns the team that owns the pool.
func (p *Pool) Owner() *Team { return &p.Team }

// Key returns the name that the mark is stored under.
func (m *Mark) Key() string { return m.Name }

// Owner returns nil: marks are the operators'.
func (m *Mark) Owner() *Team { return nil }

// Package schema defines the domain types that operators, daemons and the
// platform share. Their JSON form has field names in Pascal case.
//
// A Route gives a service a name and the address that clients connect to. A
// Pool lists the targets that serve it. The two are linked only by having the
// same name: a route without a pool, or a pool without a route, is valid and
// carries no traffic. A Mark takes a VM or a data centre out of service. A
// Member is the registration of a daemon. A Placement is the bucket table of a
// service address that all daemons agree on.
//
// Decode validates the values it reads, so a value that it returns without an
// error is valid.
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
	// TargetID names a target and is unique across all pools.
	TargetID string
	// VMID names a VM, on which a daemon or a target runs.
	VMID string
	// DataCentreID names a data centre.
	DataCentreID string
	// Team names a team, which owns routes and pools.
	Team string
	// Version is the platform's revision number of an object or of the whole
	// store, and the era of the store that assigned it, in the high bits. It only
	// grows. Zero means the object does not exist.
	Version uint64
	// OperationID identifies an edit, so that a retry of it is recognised.
	OperationID string
	// Protocol is the transport protocol of a route.
	Protocol string
	// VNI is the Geneve virtual network identifier of a pool, 24 bits.
	VNI uint32
	// PerSecond is a rate in events per second.
	PerSecond float64
)

// String implements fmt.Stringer.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }

// revisionBits is the number of bits of a Version that hold the revision. At a million
// writes a second, revisions last for eight years.
const revisionBits = 48

// NewVersion returns the version of a revision that the store assigned in an era.
func NewVersion(era uint16, revision uint64) Version {
	return Version(era)<<revisionBits | Version(revision&(1<<revisionBits-1))
}

// Era returns the era of the store that assigned the version. Versions of the first one
// equal their revisions.
func (v Version) Era() uint16 { return uint16(v >> revisionBits) }

// Revision returns the store's revision number without the era.
func (v Version) Revision() uint64 { return uint64(v) & (1<<revisionBits - 1) }

// Protocols of a route.
const (
	TCP  Protocol = "tcp"
	QUIC Protocol = "quic"
)

const (
	maxNameLength = 64
	maxVNI        = 1<<24 - 1 // a VNI has 24 bits
	maxTargets    = 1024
	maxWeight     = 100

	// Limits of Pool.ColdRate, in new flows per second.
	defaultColdRate = 5
	maxColdRate     = 10000
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Errors of this package.
var (
	namespace = errorx.NewNamespace("schema")
	// Invalid is the type of every validation error.
	Invalid = namespace.NewType("invalid")
)

// CheckName returns an error unless s is a valid name. Field is the name of the
// checked field in the message.
func CheckName(field, s string) error {
	if len(s) == 0 || len(s) > maxNameLength {
		return Invalid.New("%s %q must have 1 to %d characters", field, s, maxNameLength)
	}
	if !namePattern.MatchString(s) {
		return Invalid.New("%s %q may hold letters, digits, '.', '_' and '-', and starts with a letter or digit", field, s)
	}
	return nil
}

// maxEarlierEdits is the number of edits before the latest one that an object
// records, to recognise retries of them.
const maxEarlierEdits = 8

// Edit records the latest edits of an object: Operation is the last one,
// Earlier holds those before it, the latest first.
type Edit struct {
	Operation OperationID   `json:",omitempty"`
	Earlier   []OperationID `json:",omitempty"`
}

// After returns the record of an object after the edit op, where e is the
// record before it.
func (e Edit) After(op OperationID) Edit {
	earlier := append([]OperationID{e.Operation}, e.Earlier...)
	if e.Operation == "" {
		earlier = e.Earlier
	}
	return Edit{Operation: op, Earlier: earlier[:min(len(earlier), maxEarlierEdits)]}
}

// Has reports whether op is among the recorded edits.
func (e Edit) Has(op OperationID) bool {
	return op != "" && (e.Operation == op || slices.Contains(e.Earlier, op))
}

// Edits returns a pointer to the record of edits of an object that embeds it.
func (e *Edit) Edits() *Edit {
	return e
}

// Route is a service address that clients connect to.
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

// Target is a process that serves a pool.
type Target struct {
	ID TargetID
	// Address is where the target receives Geneve packets.
	Address netip.AddrPort
	// Health is the target's HTTP health and load endpoint.
	Health     netip.AddrPort
	DataCentre DataCentreID
	// Weight is the target's relative share of new flows; zero means one.
	Weight uint16 `json:",omitempty"`
	// Drain sends no new flows to the target and keeps the established ones.
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
	// VNI is the Geneve VNI of the pool's packets. A target drops packets with
	// another VNI.
	VNI     VNI
	Targets []Target
	// ColdRate limits the new flows per second that a target receives after its
	// start; zero means the default.
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
		return Invalid.New("pool %q has %d targets; at most %d are allowed", p.Name, len(p.Targets), maxTargets)
	}
	if p.ColdRate < 0 || p.ColdRate > maxColdRate {
		return Invalid.New("pool %q: ColdRate %v must be 0 to %d", p.Name, p.ColdRate, maxColdRate)
	}
	ids := make(map[TargetID]bool, len(p.Targets))
	addrs := make(map[netip.AddrPort]TargetID, len(p.Targets))
	for i := range p.Targets {
		t := &p.Targets[i]
		if err := t.Check(); err != nil {
			return Invalid.New("pool %q: %s", p.Name, err.(*errorx.Error).Message())
		}
		if ids[t.ID] {
			return Invalid.New("pool %q: duplicate target ID %q", p.Name, t.ID)
		}
		if other, ok := addrs[t.Address]; ok {
			return Invalid.New("pool %q: targets %q and %q have the same Address %s", p.Name, other, t.ID, t.Address)
		}
		ids[t.ID] = true
		addrs[t.Address] = t.ID
	}
	return nil
}

// ColdOpens returns the limit of new flows per second for a newly started
// target of the pool: ColdRate, or the default if that is zero.
func (p *Pool) ColdOpens() PerSecond {
	if p.ColdRate == 0 {
		return defaultColdRate
	}
	return p.ColdRate
}

// Find returns the target with the ID, or nil if the pool has none.
func (p *Pool) Find(id TargetID) *Target {
	for i := range p.Targets {
		if p.Targets[i].ID == id {
			return &p.Targets[i]
		}
	}
	return nil
}

// Mark takes a VM or a data centre out of service while Out is set.
type Mark struct {
	Name string
	Out  bool
	Edit
}

// Check returns an error that names the first wrong field.
func (m *Mark) Check() error {
	return CheckName("Name", m.Name)
}

// Member is the registration of a daemon.
type Member struct {
	ID         VMID
	DataCentre DataCentreID
	// Data is where the daemon receives Geneve packets.
	Data netip.AddrPort
	// Peer is where the daemon accepts connections of other daemons.
	Peer netip.AddrPort
	// Admin is the address of the daemon's administration API.
	Admin netip.AddrPort
	// Leaving is set while the daemon shuts down.
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

// Homes lists the daemons that keep flow records; all daemons agree on it.
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

// Checker is implemented by pointers to domain types, which validate their
// value.
type Checker[T any] interface {
	*T
	Check() error
}

// Decode decodes a JSON value of a domain type and validates it.
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

// Owner returns nil: marks belong to operators, not to a team.
func (m *Mark) Owner() *Team { return nil }

// Package fleet holds a daemon's replica of the deployment: the configuration,
// the targets and the data centres that are out.
//
// The platform's store publishes three topics, each with its own objects. Every
// object carries the store revision of its last change, and every topic the
// revision up to which the replica is complete. Updates come from the store and
// from peers, as full snapshots or as changes since a revision, in any order and
// possibly more than once.
//
// Invariants:
//   - An object is replaced only by one of a higher version, so no update reverts it.
//     A version that may be that of a copy from which the store returned replaces
//     nothing newer (era.go).
//   - A removed target is retained, with the revision of its removal, for as
//     long as packets of a flow may still refer to it.
//   - Invalid objects are skipped one by one; they never empty a table. An entry
//     that can't be read replaces nothing that is known of its target.
package fleet

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Topic is a kind of object in the platform's store.
type Topic uint8

// The topics. Outs are the data centres that are out.
const (
	Targets Topic = iota
	Config
	Outs
	Topics // the number of topics
)

var topicNames = [Topics]string{"targets", "config", "outs"}

// String implements fmt.Stringer.
func (t Topic) String() string {
	if t < Topics {
		return topicNames[t]
	}
	return strconv.Itoa(int(t))
}

// Code identifies one start of a target in the packets of a flow. Zero stands
// for no target.
type Code uint32

// Class tells whether clients may repeat the requests of a route.
type Class uint8

// The classes.
const (
	// NonIdempotent is the class of routes whose requests must run at most once.
	NonIdempotent Class = iota
	// Idempotent is the class of routes whose requests are idempotent.
	Idempotent
	// Download is the class of routes with idempotent requests and long
	// responses.
	Download
	Classes // the number of classes
)

var classNames = [Classes]string{"once", "again", "download"}

// String implements fmt.Stringer.
func (c Class) String() string {
	if c < Classes {
		return classNames[c]
	}
	return strconv.Itoa(int(c))
}

// Target is one start of a process that serves the flows of a pool.
type Target struct {
	_  struct{} `cbor:",toarray"`
	ID schema.TargetID
	// Number is the number under which the target answers.
	Number uint64
	// StartedAt is the Unix time of the start in milliseconds. It is compared only
	// with other starts of the same target.
	StartedAt  int64
	Pool       schema.Name
	Address    netip.AddrPort
	DataCentre schema.DataCentreID
	// Slots is the number of requests that the target processes concurrently.
	Slots    int
	Draining bool
	// ColdLeft is the remaining warm-up time when the target reported it.
	ColdLeft clock.Milli
	Rev      schema.Version
}

// Code returns the code of this start of the target, which is never zero.
func (t *Target) Code() Code {
	buf := make([]byte, 0, 64)
	buf = binary.LittleEndian.AppendUint64(buf, t.Number)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(t.StartedAt))
	sum := Code(xxhash.Sum64(append(buf, t.ID...)))
	if sum == 0 {
		return 1
	}
	return sum
}

// Share is the weight of a pool in the distribution of a route's new flows.
type Share struct {
	_      struct{} `cbor:",toarray"`
	Pool   schema.Name
	Weight int
}

// Route is a service address that clients connect to.
type Route struct {
	_        struct{} `cbor:",toarray"`
	Name     schema.Name
	Address  netip.AddrPort
	Class    Class
	Priority int
	// LatencyGoal is the target latency of a request, Timeout its timeout.
	LatencyGoal clock.Milli
	Timeout     clock.Milli
	Pools       []Share
}

// Pool holds the settings of a pool. Its targets are objects of their own.
type Pool struct {
	_    struct{} `cbor:",toarray"`
	Name schema.Name
	// Warmup is how long a target is cold after its start, and ColdRate how
	// many opens a second it accepts while cold; zero means that no limit is
	// known.
	Warmup   clock.Milli
	ColdRate schema.PerSecond
	// MaxFlows is the greatest number of open flows of one target.
	MaxFlows int
}

// Table is one version of the configuration.
type Table struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	Routes  []Route
	Pools   []Pool
	// Idle is the time without packets after which a flow counts as closed.
	Idle clock.Milli
	Rev  schema.Version
}

// Out marks a data centre as out: it takes no new flows.
type Out struct {
	_          struct{} `cbor:",toarray"`
	DataCentre schema.DataCentreID
	Rev        schema.Version
}

// Removal is the removal of a target or of a data centre's Out mark.
type Removal struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Rev  schema.Version
	// Last is the removed target and Age the time since its removal. Only peers
	// send them, as packets of a flow may still refer to the target.
	Last *Target
	Age  clock.Milli
}

// Load is a daemon's report to its peers on one target.
type Load struct {
	_    struct{} `cbor:",toarray"`
	Code Code
	// Flows is the number of active flows, Busy that of the requests without
	// an answer.
	Flows uint16
	Busy  uint16
	// Misses counts the sender's flows that the target may have left unanswered
	// since its last answer, ConfirmedMisses those of them whose clients have
	// retransmitted a packet. FirstMissAge is the time since the first of the
	// unanswered packets was sent, in milliseconds.
	Misses          uint16
	ConfirmedMisses uint16
	FirstMissAge    clock.Milli
	// LastAnswerAge is the time since the target last answered a flow, in milliseconds.
	LastAnswerAge clock.Milli
	// Requests counts the sender's requests of the last seconds, and TotalLatency
	// is the sum of their times to first byte, in milliseconds.
	Requests     uint16
	TotalLatency clock.Milli
}

// PoolRate is a daemon's report to its peers on the requests for one pool.
type PoolRate struct {
	_    struct{} `cbor:",toarray"`
	Pool schema.Name
	// Rate is the number of requests that began at the sender in the last 250 ms, in
	// tenths of a request a second, Waiting that of the requests that wait there.
	Rate    uint32
	Waiting uint16
}

// PoolDemand is what the clients of one data centre want a pool to process.
type PoolDemand struct {
	_          struct{} `cbor:",toarray"`
	Pool       schema.Name
	DataCentre schema.DataCentreID
	// Rate is the number of requests a second, with those that wait. Age is the time
	// since the daemons of the data centre had that demand.
	Rate uint32
	Age  clock.Milli
}

// Unanswered is a daemon's report of a target that acknowledges requests but leaves some
// without an answer.
type Unanswered struct {
	_    struct{} `cbor:",toarray"`
	Code Code
	// Requests is the number of the sender's requests of the last seconds that had no
	// answer in time.
	Requests uint16
	// FindingAge is the time since the sender, or another daemon, found that the target
	// is to get no new flows for this reason, in milliseconds; negative if none did.
	FindingAge clock.Milli
}

// DeadTarget is a target that the sender, or one of its peers, found to accept no
// connections.
type DeadTarget struct {
	_    struct{} `cbor:",toarray"`
	Code Code
	// Age is the time since that was found, in milliseconds.
	Age clock.Milli
}

// Update is a snapshot of one topic, if Full, or else its changes after the
// revision Since. A replica that applied it is complete up to Rev.
type Update struct {
	_     struct{} `cbor:",toarray"`
	Topic Topic
	Full  bool
	Since schema.Version
	Rev   schema.Version
	// Proved is the revision up to which the sender's objects were shown to be those of
	// the store: an older object that a snapshot does not list is removed. Up to Rev, the
	// sender only claims to know them.
	Proved  schema.Version
	Targets []Target
	Table   *Table
	Outs    []Out
	Gone    []Removal
	// Unreadable are the targets whose entries can't be read. What is known of them
	// stays, but they take no new flows.
	Unreadable []Removal
}

// Package fleet holds what a daemon knows of the deployment: the
// configuration, the targets and the data centres that are out.
//
// The model. The platform tells three topics, each with objects of its own.
// Every object carries the store's revision of its last change, and every
// topic the revision up to which it is complete. Facts reach a daemon from
// the store, whole or as changes, and from peers, in any order and more than
// once.
//
// Invariants:
//   - An object changes only to a higher revision, so nothing reverts.
//   - A removed target is remembered, with the revision of its removal, for
//     as long as a flow may still name it.
//   - Bad objects are left out one by one; they never empty a table.
package fleet

import (
	"encoding/binary"
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Topic is a kind of fact that the platform tells.
type Topic uint8

// The topics.
const (
	Targets Topic = iota
	Config
	Outs
	Topics // their number
)

var topicNames = [Topics]string{"targets", "config", "outs"}

// String implements fmt.Stringer.
func (t Topic) String() string {
	if t < Topics {
		return topicNames[t]
	}
	return strconv.Itoa(int(t))
}

// Code names one start of one target in the packets of a flow. Zero names
// none.
type Code uint32

// Class is what clients may do with the requests of a route.
type Class uint8

// The classes.
const (
	// Once is a route whose requests run at most once.
	Once Class = iota
	// Again is a route whose requests may be repeated.
	Again
	// Download is a route that may be repeated and answers at length.
	Download
	Classes // their number
)

var classNames = [Classes]string{"once", "again", "download"}

// String implements fmt.Stringer.
func (c Class) String() string {
	if c < Classes {
		return classNames[c]
	}
	return strconv.Itoa(int(c))
}

// Target is one start of a process that serves a pool.
type Target struct {
	_  struct{} `cbor:",toarray"`
	ID schema.TargetID
	// Num is the number that the target answers to.
	Num uint64
	// Born is the Unix time of the start in milliseconds. It is only ever
	// compared with other starts of the same target.
	Born       int64
	Pool       schema.Name
	Address    netip.AddrPort
	DataCentre schema.DataCentreID
	// Slots is the number of requests that the target works on at once.
	Slots    int
	Draining bool
	// ColdLeft is how long the target stayed cold when it said so.
	ColdLeft clock.Milli
	Rev      schema.Version
}

// Code returns the code of this start of the target.
func (t *Target) Code() Code {
	buf := make([]byte, 0, 64)
	buf = binary.LittleEndian.AppendUint64(buf, t.Num)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(t.Born))
	sum := Code(xxhash.Sum64(append(buf, t.ID...)))
	if sum == 0 {
		return 1
	}
	return sum
}

// Share is a pool's part of a route's new flows.
type Share struct {
	_      struct{} `cbor:",toarray"`
	Pool   schema.Name
	Weight int
}

// Route is one service address that clients reach.
type Route struct {
	_        struct{} `cbor:",toarray"`
	Name     schema.Name
	Address  netip.AddrPort
	Class    Class
	Priority int
	// Aim and Limit are how long a request should and may take.
	Aim   clock.Milli
	Limit clock.Milli
	Pools []Share
}

// Pool holds what is known of a pool besides its targets.
type Pool struct {
	_    struct{} `cbor:",toarray"`
	Name schema.Name
	// Warmup is how long a target is cold after its start, and ColdRate how
	// many opens a second it then bears; zero means that no limit is known.
	Warmup   clock.Milli
	ColdRate schema.PerSecond
	// MaxFlows is the number of flows that one target holds.
	MaxFlows int
}

// Table is one version of the configuration.
type Table struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	Routes  []Route
	Pools   []Pool
	// Idle is the silence after which a flow counts as closed.
	Idle clock.Milli
	Rev  schema.Version
}

// Out is the mark of a data centre that takes no new flows.
type Out struct {
	_          struct{} `cbor:",toarray"`
	DataCentre schema.DataCentreID
	Rev        schema.Version
}

// Gone is the removal of a target's entry or of a mark.
type Gone struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Rev  schema.Version
	// Last is the entry that was removed and Ago how long ago, if a peer tells
	// it: flows may still name the target.
	Last *Target
	Ago  clock.Milli
}

// Load is what a daemon tells its peers of one target.
type Load struct {
	_     struct{} `cbor:",toarray"`
	Code  Code
	Flows uint16
	Busy  uint16
	// Missed counts the sender's flows that the target may have left
	// unanswered since it last answered one, Sure those of them whose clients
	// sent a packet again. Since is how long ago the first of those packets
	// was sent, in milliseconds.
	Missed uint16
	Sure   uint16
	Since  clock.Milli
	// Heard is how long ago the target last answered a flow, in milliseconds.
	Heard clock.Milli
	// Paces counts the sender's requests of the last seconds, Took is the sum of
	// the times that they took until their answers began, in milliseconds.
	Paces uint16
	Took  clock.Milli
}

// Suspect is a target that accepts no connection, as the sender or a peer of it
// proved.
type Suspect struct {
	_    struct{} `cbor:",toarray"`
	Code Code
	// Age is how long ago that was proved, in milliseconds.
	Age clock.Milli
}

// Update brings news of one topic: everything (Full), or what changed after
// Since. The topic is complete up to Rev once it is applied.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Topic   Topic
	Full    bool
	Since   schema.Version
	Rev     schema.Version
	Targets []Target
	Table   *Table
	Outs    []Out
	Gone    []Gone
}

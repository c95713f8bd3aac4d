// Package flow identifies flows and hashes them to buckets, and scores the
// candidates of rendezvous hashing.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/pkg/schema"
)

// Key identifies a flow by its five-tuple. It is comparable, and no two flows
// share a Key. IPv4 addresses are stored as IPv4-mapped IPv6 addresses.
type Key struct {
	Source      [16]byte
	Destination [16]byte
	SourcePort  uint16
	Port        uint16
	Protocol    uint8
}

// The IP protocol numbers of flows.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// KeySize is the encoded size of a Key in bytes.
const KeySize = 40

// Service returns the service that the flow is addressed to.
func (k *Key) Service() schema.Service {
	p := schema.QUIC
	if k.Protocol == ProtocolTCP {
		p = schema.TCP
	}
	return schema.Service{Address: netip.AddrFrom16(k.Destination).Unmap(), Port: k.Port, Protocol: p}
}

// Append appends the encoded key, KeySize bytes, to b.
func (k *Key) Append(b []byte) []byte {
	b = append(b, k.Source[:]...)
	b = append(b, k.Destination[:]...)
	b = binary.BigEndian.AppendUint16(b, k.SourcePort)
	b = binary.BigEndian.AppendUint16(b, k.Port)
	return append(b, k.Protocol, 0, 0, 0)
}

// DecodeKey decodes a key that Append encoded. It reports false if b is shorter
// than KeySize.
func DecodeKey(b []byte) (Key, bool) {
	var k Key
	if len(b) < KeySize {
		return k, false
	}
	copy(k.Source[:], b)
	copy(k.Destination[:], b[16:])
	k.SourcePort = binary.BigEndian.Uint16(b[32:])
	k.Port = binary.BigEndian.Uint16(b[34:])
	k.Protocol = b[36]
	return k, true
}

// Hash returns the hash of the encoded key. It selects the flow's bucket and
// its home.
func (k *Key) Hash() uint64 {
	var buf [KeySize]byte
	return xxhash.Sum64(k.Append(buf[:0]))
}

// Bucket returns the bucket of a flow hash, taken from its upper 32 bits.
func Bucket(hash uint64) int {
	return int(hash >> 32 % schema.Buckets)
}

// HandleOf returns the handle that identifies a target on the wire: a hash of
// its ID and address. It is never zero.
func HandleOf(t *schema.Target) schema.Handle {
	return schema.Handle(xxhash.Sum64String(string(t.ID)+"|"+t.Address.String()) | 1)
}

// Score returns the rendezvous score of the candidate with the given seed for
// the flow or bucket with the given hash. The candidate with the highest score
// is chosen.
func Score(hash, seed uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], hash)
	binary.LittleEndian.PutUint64(buf[8:], seed)
	return xxhash.Sum64(buf[:])
}

// Seed returns the rendezvous seed of the candidate with the given name.
func Seed(name string) uint64 {
	return xxhash.Sum64String(name)
}

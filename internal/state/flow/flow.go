// Package flow identifies flows and maps them to buckets and daemons.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/pkg/schema"
)

// Key identifies a flow by its five-tuple. It is comparable and exact: two
// flows never share a Key. IPv4 addresses are held in mapped form.
type Key struct {
	Source      [16]byte
	Destination [16]byte
	SourcePort  uint16
	Port        uint16
	Protocol    uint8
}

// IP protocol numbers that flows use.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// KeySize is the encoded size of a Key in bytes.
const KeySize = 40

// Service returns the service address that the flow was sent to.
func (k *Key) Service() schema.Service {
	p := schema.QUIC
	if k.Protocol == ProtocolTCP {
		p = schema.TCP
	}
	return schema.Service{Address: netip.AddrFrom16(k.Destination).Unmap(), Port: k.Port, Protocol: p}
}

// Append adds the encoded key, KeySize bytes, to b.
func (k *Key) Append(b []byte) []byte {
	b = append(b, k.Source[:]...)
	b = append(b, k.Destination[:]...)
	b = binary.BigEndian.AppendUint16(b, k.SourcePort)
	b = binary.BigEndian.AppendUint16(b, k.Port)
	return append(b, k.Protocol, 0, 0, 0)
}

// DecodeKey reads a key that Append wrote. It reports false if b is short.
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

// Hash returns the hash that buckets and homes are chosen by.
func (k *Key) Hash() uint64 {
	var buf [KeySize]byte
	return xxhash.Sum64(k.Append(buf[:0]))
}

// Bucket returns the bucket of a flow hash.
func Bucket(hash uint64) int {
	return int(hash >> 32 % schema.Buckets)
}

// HandleOf returns the wire handle of a target.
func HandleOf(t *schema.Target) schema.Handle {
	return schema.Handle(xxhash.Sum64String(string(t.ID)+"|"+t.Address.String()) | 1)
}

// Score returns the rendezvous score of a candidate, named by seed, for a
// flow or bucket, named by hash. The highest score wins.
func Score(hash, seed uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], hash)
	binary.LittleEndian.PutUint64(buf[8:], seed)
	return xxhash.Sum64(buf[:])
}

// Seed returns the rendezvous seed of a named candidate.
func Seed(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Package geneve decodes and encodes the packets of the data path: an IP
// packet in Geneve over UDP (RFC 8926). All parsing is gopacket's.
//
// Between daemons a packet carries one option, the Relay header. Packets from
// the fabric and to targets carry none.
package geneve

import (
	"encoding/binary"

	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Step tells what a relayed packet asks of the receiver.
type Step uint8

// Steps of a relayed packet.
const (
	// FromFabric marks a packet that no daemon handled before.
	FromFabric Step = iota
	// Ask asks a home to decide the packet's target.
	Ask
	// Admit asks the admitter of a limited target for one open.
	Admit
	// Decided returns an admitter's choice to the home that asked.
	Decided
	// Store asks the second home to store the choice and deliver the packet.
	Store
	// Note tells the record of a flow; it carries no packet.
	Note

	steps
)

// Relay is the header of a packet between daemons.
type Relay struct {
	Step Step
	Hops uint8
	// From is the daemon that sent this copy, Asker the one that first asked.
	From, Asker peer.Num
	// Target is the choice so far, zero if there is none.
	Target schema.Handle
	// Opening is set in a note about the first packet of a flow.
	Opening bool
}

// Packet is what a decision needs to know of a packet.
type Packet struct {
	Key flow.Key
	// Open is set if the packet may be the first of its flow: a TCP SYN or a
	// QUIC Initial packet.
	Open bool
	// Payload is set if the packet carries data for the target.
	Payload bool
	Relay   Relay
}

const (
	// optionClass is from the range for experimental use (RFC 8926, 7).
	optionClass = 0xff0c
	typeRelay   = 1
	relaySize   = 20
	noteSize    = relaySize + flow.KeySize
	// maxOptions bounds the options of a foreign packet, in bytes.
	maxOptions = 128
)

func (r *Relay) append(b []byte) []byte {
	opening := byte(0)
	if r.Opening {
		opening = 1
	}
	b = append(b, byte(r.Step), r.Hops, opening, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(r.From))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Asker))
	return binary.BigEndian.AppendUint64(b, uint64(r.Target))
}

func decodeRelay(b []byte) (Relay, bool) {
	if len(b) < relaySize {
		return Relay{}, false
	}
	r := Relay{
		Step:    Step(b[0]),
		Hops:    b[1],
		Opening: b[2] == 1,
		From:    peer.Num(binary.BigEndian.Uint32(b[4:])),
		Asker:   peer.Num(binary.BigEndian.Uint32(b[8:])),
		Target:  schema.Handle(binary.BigEndian.Uint64(b[12:])),
	}
	return r, r.Step > FromFabric && r.Step < steps
}

// Package geneve decodes and encodes the packets of the data path: IP packets
// encapsulated in Geneve over UDP (RFC 8926). It parses and serialises standard
// headers with gopacket.
//
// Packets between daemons carry one Geneve option, the Relay header. Packets
// from the fabric and to targets carry no such option.
package geneve

import (
	"encoding/binary"

	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Step is the action that a relayed packet requests from its receiver.
type Step uint8

// Steps.
const (
	// FromFabric is the step of a packet that no daemon has handled yet.
	FromFabric Step = iota
	// Ask requests that a home choose the packet's target.
	Ask
	// Admit requests permission for one new flow from the admitter of a
	// rate-limited target.
	Admit
	// Decided returns an admitter's choice to the home that asked.
	Decided
	// Store requests that the flow's second home store the choice and deliver the
	// packet.
	Store
	// Note announces the record of a flow; it carries no packet.
	Note

	stepCount
)

// Relay is the header of packets between daemons.
type Relay struct {
	Step Step
	Hops uint8
	// From is the daemon that sent this packet, Asker the one that sent the
	// first request for it.
	From, Asker peer.Num
	// Target is the target chosen so far, or zero.
	Target schema.Handle
	// Opening is set in a Note that was caused by the first packet of a flow.
	Opening bool
}

// Packet holds the properties of a packet that forwarding decisions depend on.
type Packet struct {
	Key flow.Key
	// Open is set if the packet can be the first of its flow: a TCP SYN or a
	// QUIC Initial packet.
	Open bool
	// HasPayload is set if the packet carries data; UDP packets always count.
	HasPayload bool
	Relay      Relay
}

const (
	// optionClass is from the range for experimental use (RFC 8926, 7).
	optionClass     = 0xff0c
	optionTypeRelay = 1
	// relaySize and noteSize are the sizes in bytes of the option's data: the
	// Relay header alone, and with the flow's key in a Note.
	relaySize = 20
	noteSize  = relaySize + flow.KeySize
	// maxOptionsLength limits the options of a received packet, in bytes.
	maxOptionsLength = 128
)

// appendTo appends the encoded header, relaySize bytes, to b.
func (r *Relay) appendTo(b []byte) []byte {
	opening := byte(0)
	if r.Opening {
		opening = 1
	}
	b = append(b, byte(r.Step), r.Hops, opening, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(r.From))
	b = binary.BigEndian.AppendUint32(b, uint32(r.Asker))
	return binary.BigEndian.AppendUint64(b, uint64(r.Target))
}

// decodeRelay decodes a header. It reports false if the header is short or its
// step is not one that daemons send.
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
	return r, r.Step > FromFabric && r.Step < stepCount
}

// Package packet is the data plane of a daemon: it receives Geneve packets, asks
// the decision core for a verdict on each and forwards or answers them.
package packet

import (
	"context"
	"net/netip"

	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/transport/sock"
	"coltsfootdock/pkg/schema"
)

const (
	maxPacket    = 9216    // bytes, without the headroom
	socketBuffer = 4 << 20 // bytes
)

// Decider returns the verdict on one packet and a relay header that identifies
// this daemon, for notes.
type Decider func(*geneve.Packet) (daemon.Verdict, geneve.Relay)

// Counters holds the callbacks that count packets.
type Counters struct {
	// Fault counts packets that can't be decoded.
	Fault func(geneve.Fault)
	// Verdict counts decided packets; bytes is the size of the received packet.
	Verdict func(v *daemon.Verdict, bytes int)
	// Unsent counts packets that could not be built or sent.
	Unsent func()
}

// Plane is the data plane of one daemon.
type Plane struct {
	conn     *sock.UDP
	decide   Decider
	counters Counters
	decoder  geneve.Decoder
	encoder  *geneve.Encoder
	// pkt and verdict hold the current packet's data; as fields they need no
	// allocation for each packet.
	pkt     geneve.Packet
	verdict daemon.Verdict
	buf     []byte
}

// Listen opens the data plane on a UDP address.
func Listen(addr netip.AddrPort, d Decider, c Counters) (*Plane, error) {
	conn, err := sock.Listen("udp", addr, socketBuffer)
	if err != nil {
		return nil, err
	}
	return &Plane{
		conn: conn, decide: d, counters: c, encoder: geneve.NewEncoder(), buf: make([]byte, geneve.Headroom+maxPacket),
	}, nil
}

// Close closes the socket and waits for Serve.
func (p *Plane) Close() error { return p.conn.Close() }

// Serve handles packets until ctx ends or the socket is closed.
func (p *Plane) Serve(ctx context.Context) error { return p.conn.Serve(ctx, p.receiveOne) }

// receiveOne receives and handles one packet.
func (p *Plane) receiveOne() error {
	n, from, err := p.conn.ReadFromUDPAddrPort(p.buf[geneve.Headroom:])
	if err != nil {
		return err
	}
	p.handle(p.buf[:geneve.Headroom+n], from, &p.pkt)
	return nil
}

// handle decodes and decides one packet, which begins at geneve.Headroom in buf,
// and carries out the verdict.
func (p *Plane) handle(buf []byte, from netip.AddrPort, pkt *geneve.Packet) {
	f, fault := p.decoder.Decode(buf, pkt)
	if fault != geneve.OK {
		p.counters.Fault(fault)
		return
	}
	var relay geneve.Relay
	p.verdict, relay = p.decide(pkt)
	v := &p.verdict
	p.counters.Verdict(v, len(buf)-geneve.Headroom)
	switch v.Action {
	case daemon.Deliver:
		p.send(p.encoder.Deliver(f, v.VNI), v.To)
	case daemon.Forward:
		p.send(p.encoder.Forward(f, v.Relay), v.To)
	case daemon.Refuse:
		p.sendReset(pkt, f.VNI, from)
	}
	p.sendNotes(pkt, v, relay)
}

// sendNotes sends the verdict's notes, which tell other daemons the target that
// was chosen for a flow.
func (p *Plane) sendNotes(pkt *geneve.Packet, v *daemon.Verdict, relay geneve.Relay) {
	if v.NoteCount == 0 {
		return
	}
	relay.Step, relay.Target, relay.Opening = geneve.Note, v.NoteTarget, pkt.Open
	data := p.encoder.Note(&pkt.Key, relay)
	for _, to := range v.Notes[:v.NoteCount] {
		p.send(data, to)
	}
}

// sendReset answers a SYN with a TCP reset, sent through the fabric that
// delivered the SYN.
func (p *Plane) sendReset(pkt *geneve.Packet, vni schema.VNI, fabric netip.AddrPort) {
	data, err := geneve.Reset(&pkt.Key, vni, p.decoder.Sequence())
	if err != nil {
		p.counters.Unsent()
		return
	}
	p.send(data, fabric)
}

func (p *Plane) send(data []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		p.counters.Unsent()
	}
}

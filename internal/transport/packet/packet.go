// Package packet receives Geneve packets, has them decided and sends them on.
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
	maxPacket    = 9216
	socketBuffer = 4 << 20
)

// Decider decides one packet and returns the verdict and the daemon's own
// relay header for notes.
type Decider func(*geneve.Packet) (daemon.Verdict, geneve.Relay)

// Counters count packets.
type Counters struct {
	Fault   func(geneve.Fault)
	Verdict func(v *daemon.Verdict, bytes int)
	// Unsent counts packets that the socket refused.
	Unsent func()
}

// Plane is the data path of one daemon.
type Plane struct {
	conn     *sock.UDP
	decide   Decider
	counters Counters
	decoder  geneve.Decoder
	encoder  *geneve.Encoder
	// pkt and verdict belong to the packet at hand; they are kept here so that
	// none is allocated.
	pkt     geneve.Packet
	verdict daemon.Verdict
	buf     []byte
}

// Listen opens the data path on a UDP address.
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
func (p *Plane) Serve(ctx context.Context) error { return p.conn.Serve(ctx, p.one) }

// one receives and handles one packet.
func (p *Plane) one() error {
	n, from, err := p.conn.ReadFromUDPAddrPort(p.buf[geneve.Headroom:])
	if err != nil {
		return err
	}
	p.handle(p.buf[:geneve.Headroom+n], from, &p.pkt)
	return nil
}

func (p *Plane) handle(buf []byte, from netip.AddrPort, pkt *geneve.Packet) {
	f, fault := p.decoder.Decode(buf, pkt)
	if fault != geneve.OK {
		p.counters.Fault(fault)
		return
	}
	var self geneve.Relay
	p.verdict, self = p.decide(pkt)
	v := &p.verdict
	p.counters.Verdict(v, len(buf)-geneve.Headroom)
	switch v.Action {
	case daemon.Deliver:
		p.send(p.encoder.Deliver(f, v.VNI), v.To)
	case daemon.Forward:
		p.send(p.encoder.Forward(f, v.Relay), v.To)
	case daemon.Refuse:
		p.refuse(pkt, f.VNI, from)
	}
	p.notes(pkt, v, self)
}

func (p *Plane) notes(pkt *geneve.Packet, v *daemon.Verdict, self geneve.Relay) {
	if v.NoteCount == 0 {
		return
	}
	self.Step, self.Target, self.Opening = geneve.Note, v.Noted, pkt.Open
	data := p.encoder.Note(&pkt.Key, self)
	for _, to := range v.Notes[:v.NoteCount] {
		p.send(data, to)
	}
}

// refuse answers a SYN with a reset by way of the fabric.
func (p *Plane) refuse(pkt *geneve.Packet, vni schema.VNI, fabric netip.AddrPort) {
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

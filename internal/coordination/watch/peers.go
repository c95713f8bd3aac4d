package watch

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// minForgetTimeout is the least silence after which a peer is dropped.
	minForgetTimeout = clock.Minute
	// fullMeshSize is the greatest number of peers that all get every summary.
	// A larger peer set uses gossip: each summary goes to a sample.
	fullMeshSize = 10
	// maxJoined bounds the queue of joined daemons that wait for a summary,
	// maxRecent the queue of peers to name in summaries.
	maxJoined = 1024
	maxRecent = 64
)

// Peer is the state of another daemon.
type Peer struct {
	Addr        netip.AddrPort
	ID          schema.VMID
	DataCentre  schema.DataCentreID
	incarnation uint64
	seq         uint64
	// supplementSeq is the sequence number of the last supplement of the incarnation.
	supplementSeq uint64
	leaving       bool
	// lastHeard is the time of the peer's last summary, or the latest time at
	// which another peer reports to have heard it.
	lastHeard clock.Milli
	// announcedAt is when this daemon last announced itself to the new peer, or that it
	// knows the deployment.
	announcedAt clock.Milli
	score       uint64
	view        View
}

// View is what a daemon holds of the deployment, as its last summary states it.
type View struct {
	// ConfigVersion is the version of the configuration in force, zero if there is
	// none.
	ConfigVersion int64
	Revs          [fleet.Topics]schema.Version
	Sums          [fleet.Topics]fleet.Sum
	// Confirmed are the times at which the revisions were confirmed, Never if they
	// were not.
	Confirmed [fleet.Topics]clock.Milli
	// Proofs are what the replicas were shown to hold.
	Proofs [fleet.Topics]Proof
	// Grounded is set for the topics that rest on a current list of the store.
	Grounded [fleet.Topics]bool
}

// Differs reports whether two grounded views hold other objects of a topic although
// they are complete up to the same revision: one of them is wrong.
func (v *View) Differs(other *View, t fleet.Topic) bool {
	return v.Grounded[t] && other.Grounded[t] && v.Revs[t] == other.Revs[t] && v.Sums[t] != other.Sums[t]
}

// PeerSet is a daemon's set of known peers. It is not safe for concurrent use.
type PeerSet struct {
	self  netip.AddrPort
	dc    schema.DataCentreID
	score uint64
	peers map[netip.AddrPort]*Peer
	// ranked holds the peers in ascending order of rank.
	ranked []*Peer
	seeds  []netip.AddrPort
	// recent lists the peers that sent a summary since this daemon last named
	// them, the latest last.
	recent []*Peer
	// joined lists the daemons that joined and have not been sent a summary yet.
	joined []netip.AddrPort
	round  uint64
	seed   uint64
	// lastRemote is the time of the last summary from another data centre.
	lastRemote clock.Milli
	// cutOffAt is when a daemon of this data centre last found itself cut off
	// from the others.
	cutOffAt clock.Milli
	// connectedAt is when this daemon was last not cut off from others, connectedFleet
	// and connectedSampled are the size of the fleet and whether it was large then.
	connectedAt      clock.Milli
	connectedFleet   int
	connectedSampled bool
}

// NewPeerSet returns the peer set of a daemon that knows only its seeds.
func NewPeerSet(self netip.AddrPort, dc schema.DataCentreID, seeds []netip.AddrPort, seed uint64) *PeerSet {
	ps := &PeerSet{self: self, dc: dc, score: scoreOf(self), peers: make(map[netip.AddrPort]*Peer), seed: seed, lastRemote: clock.Never, cutOffAt: clock.Never, connectedAt: clock.Never}
	ps.SetSeeds(seeds)
	return ps
}

// SetSeeds sets the addresses that the daemon contacts while it knows no peers.
func (ps *PeerSet) SetSeeds(seeds []netip.AddrPort) {
	ps.seeds = nil
	for _, s := range seeds {
		if s != ps.self {
			ps.seeds = append(ps.seeds, s)
		}
	}
}

func scoreOf(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // MarshalBinary of an address never fails
	return xxhash.Sum64(b)
}

// RecordSummary records the arrival of a peer's summary. It reports false if the
// summary is out of order, a duplicate or this daemon's own.
func (ps *PeerSet) RecordSummary(
	now clock.Milli, from netip.AddrPort, id schema.VMID, dc schema.DataCentreID, incarnation, seq uint64, leaving bool,
) bool {
	if from == ps.self {
		return false
	}
	p := ps.ensurePeer(from)
	if p.incarnation == incarnation && seq <= p.seq {
		return false
	}
	if p.incarnation != incarnation {
		p.supplementSeq = 0
		if len(ps.joined) < maxJoined {
			ps.joined = append(ps.joined, from)
			p.announcedAt = now
		}
	}
	p.ID, p.DataCentre, p.incarnation, p.seq, p.leaving = id, dc, incarnation, seq, leaving
	p.lastHeard = now
	ps.recent = append(ps.recent, p)
	if len(ps.recent) > maxRecent {
		ps.recent = slices.Delete(ps.recent, 0, 1)
	}
	if dc != ps.dc {
		ps.lastRemote = now
	}
	return true
}

// RecordSupplement records a supplement of a peer and reports whether to apply it: it is of
// the peer's current incarnation, and later than the last one.
func (ps *PeerSet) RecordSupplement(from netip.AddrPort, incarnation, seq uint64) bool {
	p := ps.peers[from]
	if p == nil || p.incarnation != incarnation || seq <= p.supplementSeq {
		return false
	}
	p.supplementSeq = seq
	return true
}

// RecordNeighbour records a peer's report that it heard another daemon at the given
// time. The data centre dc may be empty if the peer does not know it.
func (ps *PeerSet) RecordNeighbour(heard clock.Milli, addr netip.AddrPort, dc schema.DataCentreID) {
	if addr == ps.self {
		return
	}
	p := ps.ensurePeer(addr)
	p.lastHeard = max(p.lastHeard, heard)
	if p.DataCentre == "" {
		p.DataCentre = dc
	}
}

// ensurePeer returns the peer with the given address and adds it if it is new.
func (ps *PeerSet) ensurePeer(addr netip.AddrPort) *Peer {
	if p := ps.peers[addr]; p != nil {
		return p
	}
	p := &Peer{Addr: addr, lastHeard: clock.Never, announcedAt: clock.Never, score: scoreOf(addr)}
	ps.peers[addr] = p
	at, _ := slices.BinarySearchFunc(ps.ranked, p, byRank)
	ps.ranked = slices.Insert(ps.ranked, at, p)
	return p
}

// RecordView records the view that a peer's summary states.
func (ps *PeerSet) RecordView(from netip.AddrPort, v View) {
	if p := ps.peers[from]; p != nil {
		p.view = v
	}
}

// ViewOf returns the view that a peer's last summary states, nil if the peer is not
// known.
func (ps *PeerSet) ViewOf(addr netip.AddrPort) *View {
	if p := ps.peers[addr]; p != nil {
		return &p.view
	}
	return nil
}

// Views calls f with each peer that sent a summary and is not known to be gone, in
// the order of ranks.
func (ps *PeerSet) Views(now clock.Milli, f func(p *Peer, v *View)) {
	for _, p := range ps.ranked {
		if p.ID != "" && ps.isMember(p, now) {
			f(p, &p.view)
		}
	}
}

// Empty reports whether there are neither peers nor seeds.
func (ps *PeerSet) Empty() bool { return len(ps.seeds)+len(ps.ranked) == 0 }

// Heard returns when the peer was last heard, by this daemon or by another one.
func (p *Peer) Heard() clock.Milli { return p.lastHeard }

// Forget drops the peers that have been silent for long.
func (ps *PeerSet) Forget(now clock.Milli) {
	timeout := max(minForgetTimeout, 2*ps.memberTimeout())
	ps.ranked = slices.DeleteFunc(ps.ranked, func(p *Peer) bool {
		silent := now-p.lastHeard > timeout
		if silent {
			delete(ps.peers, p.Addr)
		}
		return silent
	})
}

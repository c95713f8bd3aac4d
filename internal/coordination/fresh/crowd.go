package fresh

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
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
	leaving     bool
	// lastHeard is the time of the peer's last summary, or the latest time at
	// which another peer reports to have heard it.
	lastHeard clock.Milli
	score     uint64
}

// Crowd is a daemon's set of known peers. It is not safe for concurrent use.
type Crowd struct {
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
}

// NewCrowd returns the peer set of a daemon that knows only its seeds.
func NewCrowd(self netip.AddrPort, dc schema.DataCentreID, seeds []netip.AddrPort, seed uint64) *Crowd {
	c := &Crowd{self: self, dc: dc, score: scoreOf(self), peers: make(map[netip.AddrPort]*Peer), seed: seed, lastRemote: clock.Never, cutOffAt: clock.Never}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds sets the addresses that the daemon contacts while it knows no peers.
func (c *Crowd) SetSeeds(seeds []netip.AddrPort) {
	c.seeds = nil
	for _, s := range seeds {
		if s != c.self {
			c.seeds = append(c.seeds, s)
		}
	}
}

func scoreOf(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // MarshalBinary of an address never fails
	return xxhash.Sum64(b)
}

// Summary records the arrival of a peer's summary. It reports false if the
// summary is out of order, a duplicate or this daemon's own.
func (c *Crowd) Summary(
	now clock.Milli, from netip.AddrPort, id schema.VMID, dc schema.DataCentreID, incarnation, seq uint64, leaving bool,
) bool {
	if from == c.self {
		return false
	}
	p := c.ensurePeer(from)
	if p.incarnation == incarnation && seq <= p.seq {
		return false
	}
	if p.incarnation != incarnation && len(c.joined) < maxJoined {
		c.joined = append(c.joined, from)
	}
	p.ID, p.DataCentre, p.incarnation, p.seq, p.leaving = id, dc, incarnation, seq, leaving
	p.lastHeard = now
	c.recent = append(c.recent, p)
	if len(c.recent) > maxRecent {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	if dc != c.dc {
		c.lastRemote = now
	}
	return true
}

// Neighbour records a peer's report that it heard another daemon at the given
// time. The data centre dc may be empty if the peer does not know it.
func (c *Crowd) Neighbour(heard clock.Milli, addr netip.AddrPort, dc schema.DataCentreID) {
	if addr == c.self {
		return
	}
	p := c.ensurePeer(addr)
	p.lastHeard = max(p.lastHeard, heard)
	if p.DataCentre == "" {
		p.DataCentre = dc
	}
}

// ensurePeer returns the peer with the given address and adds it if it is new.
func (c *Crowd) ensurePeer(addr netip.AddrPort) *Peer {
	if p := c.peers[addr]; p != nil {
		return p
	}
	p := &Peer{Addr: addr, lastHeard: clock.Never, score: scoreOf(addr)}
	c.peers[addr] = p
	at, _ := slices.BinarySearchFunc(c.ranked, p, byRank)
	c.ranked = slices.Insert(c.ranked, at, p)
	return p
}

// Alone reports whether there are neither peers nor seeds.
func (c *Crowd) Alone() bool { return len(c.seeds)+len(c.ranked) == 0 }

// Heard returns when the peer was last heard, by this daemon or by another one.
func (p *Peer) Heard() clock.Milli { return p.lastHeard }

// Forget drops the peers that have been silent for long.
func (c *Crowd) Forget(now clock.Milli) {
	timeout := max(minForgetTimeout, 2*c.memberTimeout())
	c.ranked = slices.DeleteFunc(c.ranked, func(p *Peer) bool {
		silent := now-p.lastHeard > timeout
		if silent {
			delete(c.peers, p.Addr)
		}
		return silent
	})
}

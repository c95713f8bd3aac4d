package fresh

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// forgetAfter is the least silence after which a peer's address is dropped.
	forgetAfter = clock.Minute
	// fullMesh is the number of peers up to which all get every summary.
	fullMesh = 10
	// maxWaiting bounds the daemons that just joined and wait for a summary, maxToTell
	// the peers that wait to be named.
	maxWaiting = 1024
	maxToTell  = 64
)

// Peer is another daemon.
type Peer struct {
	Addr        netip.AddrPort
	ID          schema.VMID
	DataCentre  schema.DataCentreID
	incarnation uint64
	seq         uint64
	leaving     bool
	// heard is when it, or word of it, was last heard.
	heard clock.Milli
	score uint64
}

// Crowd is the set of daemons that this one knows.
type Crowd struct {
	self  netip.AddrPort
	dc    schema.DataCentreID
	score uint64
	peers map[netip.AddrPort]*Peer
	// list holds the peers by rank, the first ones first.
	list  []*Peer
	seeds []netip.AddrPort
	// toTell lists the peers that were heard themselves since they were last named,
	// the latest last.
	toTell []*Peer
	// greet lists the daemons that joined since the last summary.
	greet []netip.AddrPort
	round uint64
	seed  uint64
	// far is when a daemon of another data centre was last heard itself.
	far clock.Milli
	// foundCut is when a daemon of this data centre last found that it is cut
	// off.
	foundCut clock.Milli
}

// NewCrowd returns the crowd of a daemon that knows only its seeds.
func NewCrowd(self netip.AddrPort, dc schema.DataCentreID, seeds []netip.AddrPort, seed uint64) *Crowd {
	c := &Crowd{self: self, dc: dc, score: scoreOf(self), peers: make(map[netip.AddrPort]*Peer), seed: seed, far: clock.Never, foundCut: clock.Never}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds changes the addresses to begin with.
func (c *Crowd) SetSeeds(seeds []netip.AddrPort) {
	c.seeds = nil
	for _, s := range seeds {
		if s != c.self {
			c.seeds = append(c.seeds, s)
		}
	}
}

func scoreOf(a netip.AddrPort) uint64 {
	b, _ := a.MarshalBinary() // an address always encodes
	return xxhash.Sum64(b)
}

// Summary takes word from a daemon itself. It reports false if the word is
// late, a copy or its own.
func (c *Crowd) Summary(
	now clock.Milli, from netip.AddrPort, id schema.VMID, dc schema.DataCentreID, incarnation, seq uint64, leaving bool,
) bool {
	if from == c.self {
		return false
	}
	p := c.peer(from)
	if p.incarnation == incarnation && seq <= p.seq {
		return false
	}
	if p.incarnation != incarnation && len(c.greet) < maxWaiting {
		c.greet = append(c.greet, from)
	}
	p.ID, p.DataCentre, p.incarnation, p.seq, p.leaving = id, dc, incarnation, seq, leaving
	p.heard = now
	c.toTell = append(c.toTell, p)
	if len(c.toTell) > maxToTell {
		c.toTell = slices.Delete(c.toTell, 0, 1)
	}
	if dc != c.dc {
		c.far = now
	}
	return true
}

// Neighbour takes a peer's word that it heard a daemon, of a data centre that
// may be unknown, at the given time.
func (c *Crowd) Neighbour(heard clock.Milli, addr netip.AddrPort, dc schema.DataCentreID) {
	if addr == c.self {
		return
	}
	p := c.peer(addr)
	p.heard = max(p.heard, heard)
	if p.DataCentre == "" {
		p.DataCentre = dc
	}
}

// peer returns the peer of an address, which may be new.
func (c *Crowd) peer(addr netip.AddrPort) *Peer {
	if p := c.peers[addr]; p != nil {
		return p
	}
	p := &Peer{Addr: addr, heard: clock.Never, score: scoreOf(addr)}
	c.peers[addr] = p
	at, _ := slices.BinarySearchFunc(c.list, p, byRank)
	c.list = slices.Insert(c.list, at, p)
	return p
}

// Alone reports whether no other daemon is known, not even a seed.
func (c *Crowd) Alone() bool { return len(c.seeds)+len(c.list) == 0 }

// Heard returns when a peer was last heard of.
func (p *Peer) Heard() clock.Milli { return p.heard }

// Forget drops peers that fell silent.
func (c *Crowd) Forget(now clock.Milli) {
	limit := max(forgetAfter, 2*c.memberFor())
	c.list = slices.DeleteFunc(c.list, func(p *Peer) bool {
		silent := now-p.heard > limit
		if silent {
			delete(c.peers, p.Addr)
		}
		return silent
	})
}

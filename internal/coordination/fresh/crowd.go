package fresh

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// suspectAfter is the silence after which a peer has no rank.
	suspectAfter = 1500 * clock.Milli(1)
	// memberEach is the silence, for each peer of a large crowd, after which a peer
	// counts as gone, memberLeast the least: a daemon hears of some 80 peers a second,
	// so all but a few in a thousand that live are heard of within that.
	memberEach  = 75 * clock.Milli(1)
	memberLeast = 6 * clock.Second
	// forgetAfter is the least silence after which a peer's address is dropped,
	// knownFor the least in which summaries go there.
	forgetAfter = clock.Minute
	knownFor    = forgetAfter / 2
	// fullMesh is the number of peers up to which all get every summary.
	fullMesh = 10
	// nearFanOut and farFanOut are the numbers of peers of this data centre
	// and of others that get a summary in a larger crowd. Loads matter most
	// within a data centre, and bytes between them are dear.
	nearFanOut = 3
	farFanOut  = 1
	// tellFirst is the number of peers of the first ranks, tellOthers that of
	// any others, that a summary names: as many as a daemon hears itself in the
	// time between two summaries.
	tellFirst  = 3
	tellOthers = nearFanOut + farFanOut
	// tellNew is the number that a summary names when it goes to a daemon
	// that just joined, maxGreet how many of those it goes to; maxWaiting
	// bounds those that wait for one.
	tellNew    = 16
	maxGreet   = 16
	maxWaiting = 1024
	// maxToTell bounds the peers that wait to be named.
	maxToTell = 64
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
	// direct is when it was last heard itself.
	direct clock.Milli
	score  uint64
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
	p.heard, p.direct = now, now
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
	p := &Peer{Addr: addr, heard: clock.Never, direct: clock.Never, score: scoreOf(addr)}
	c.peers[addr] = p
	at, _ := slices.BinarySearchFunc(c.list, p, byRank)
	c.list = slices.Insert(c.list, at, p)
	return p
}

// byRank orders peers as all daemons do.
func byRank(x, y *Peer) int {
	return cmp.Or(cmp.Compare(x.score, y.score), x.Addr.Compare(y.Addr))
}

// alive reports whether a peer was heard of lately and stays.
func (p *Peer) alive(now clock.Milli, n int) bool {
	span := suspectAfter
	if n > fullMesh {
		span *= 2
	}
	return !p.leaving && now-p.heard <= span
}

// member reports whether a peer is not known to be gone. Unlike alive it is about
// any peer, not those of the first ranks, which all summaries name.
func (c *Crowd) member(p *Peer, now clock.Milli) bool {
	return p.alive(now, len(c.list)) || !p.leaving && len(c.list) > fullMesh && now-p.heard <= c.memberFor()
}

// memberFor is the silence after which a peer of a large crowd counts as gone.
func (c *Crowd) memberFor() clock.Milli { return max(memberLeast, memberEach*clock.Milli(len(c.list))) }

// Members returns the number of peers that are not known to be gone.
func (c *Crowd) Members(now clock.Milli) int {
	n := 0
	for _, p := range c.list {
		if c.member(p, now) {
			n++
		}
	}
	return n
}

// Alive returns the number of peers that were heard of lately.
func (c *Crowd) Alive(now clock.Milli) int {
	n := 0
	for _, p := range c.list {
		if p.alive(now, len(c.list)) {
			n++
		}
	}
	return n
}

// Rank returns this daemon's rank among those that live, by an order that all
// share.
func (c *Crowd) Rank(now clock.Milli) int {
	n := 0
	for _, p := range c.list {
		if p.score >= c.score {
			break
		}
		if p.alive(now, len(c.list)) {
			n++
		}
	}
	return n
}

// Admits reports whether this daemon admits the opens of a cold target: the
// member with the highest score for it.
func (c *Crowd) Admits(now clock.Milli, code fleet.Code) bool {
	mine := mix(c.score, code)
	for _, p := range c.list {
		if mix(p.score, code) > mine && c.member(p, now) {
			return false
		}
	}
	return true
}

func mix(score uint64, code fleet.Code) uint64 {
	x := (score ^ uint64(code)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// Audience returns whom the next summary goes to, and which peers it names:
// all of a small crowd, else a few that change from round to round; daemons
// that just joined; and the seeds while nobody is known.
func (c *Crowd) Audience(now clock.Milli) ([]netip.AddrPort, []*Peer) {
	c.round++
	others := tellOthers
	if len(c.greet) > 0 {
		others = tellNew
	}
	named := c.neighbours(now, others)
	near, far := c.known(now)
	list := slices.Concat(near, far)
	if len(list) == 0 {
		return c.seeds, named
	}
	if len(list) > fullMesh {
		list = append(c.pick(near, nearFanOut), c.pick(far, farFanOut)...)
	}
	if len(c.seeds) > 0 && c.round%16 == 0 {
		// Crowds that were apart meet again by their seeds.
		list = appendNew(list, c.seeds[int(c.round/16)%len(c.seeds)])
	}
	n := min(len(c.greet), maxGreet)
	for _, a := range c.greet[:n] {
		list = appendNew(list, a)
	}
	c.greet = c.greet[n:]
	return list, named
}

// Greets reports whether daemons that just joined wait for a summary.
func (c *Crowd) Greets() bool { return len(c.greet) > 0 }

// Alone reports whether no other daemon is known, not even a seed.
func (c *Crowd) Alone() bool { return len(c.seeds)+len(c.list) == 0 }

func appendNew(list []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	if slices.Contains(list, a) {
		return list
	}
	return append(list, a)
}

// known returns the addresses of the peers heard of lately, of this data centre and
// of others, in a fixed order.
func (c *Crowd) known(now clock.Milli) (near, far []netip.AddrPort) {
	for _, p := range c.list {
		switch {
		case now-p.heard > max(knownFor, c.memberFor()):
		case p.DataCentre == c.dc:
			near = append(near, p.Addr)
		default:
			far = append(far, p.Addr)
		}
	}
	return near, far
}

// pick returns n of a list, others in each round.
func (c *Crowd) pick(list []netip.AddrPort, n int) []netip.AddrPort {
	if len(list) <= n {
		return list
	}
	picked := make([]netip.AddrPort, 0, n)
	x := mix(c.seed+c.round, fleet.Code(c.round))
	at, stride := int(x%uint64(len(list))), len(list)/n
	for i := range n {
		picked = append(picked, list[(at+i*stride)%len(list)])
	}
	return picked
}

// neighbours returns the peers to tell others of: those of the first ranks,
// which every daemon must know to be alive, and n more. Those are the ones that
// this daemon heard itself since it last told of them, then any.
func (c *Crowd) neighbours(now clock.Milli, n int) []*Peer {
	var alive []*Peer
	for _, p := range c.list {
		if p.alive(now, len(c.list)) {
			alive = append(alive, p)
		}
	}
	if len(alive) <= tellFirst+n {
		return alive
	}
	list := alive[:tellFirst:tellFirst]
	others := alive[tellFirst:]
	for len(c.toTell) > 0 && len(list) < tellFirst+n {
		last := c.toTell[len(c.toTell)-1]
		c.toTell = c.toTell[:len(c.toTell)-1]
		if last.alive(now, len(c.list)) && !slices.Contains(list, last) {
			list = append(list, last)
		}
	}
	for i := uint64(0); len(list) < tellFirst+min(n, len(others)); i++ {
		p := others[mix(c.seed+c.round+i, fleet.Code(c.round))%uint64(len(others))]
		list = append(list, p)
	}
	return list
}

// Heard returns when a peer was last heard of.
func (p *Peer) Heard() clock.Milli { return p.heard }

// Far returns the data centre of a peer of a large crowd, if that is another one.
func (c *Crowd) Far(addr netip.AddrPort) (schema.DataCentreID, bool) {
	p := c.peers[addr]
	if p == nil || len(c.list) <= fullMesh || p.DataCentre == "" || p.DataCentre == c.dc {
		return "", false
	}
	return p.DataCentre, true
}

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

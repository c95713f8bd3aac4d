// Package member tracks the other daemons and decides whether this daemon's
// view may be trusted.
//
// The view lease: a view is fresh while some evidence shows that no newer
// revision can be in effect anywhere. The evidence is either a platform read
// that began at most Lease ago and confirmed the revision, made here or told
// by a peer, or, while nobody reaches the platform, a heartbeat of every
// known daemon that was sent at most Lease ago and named no newer revision.
// Ages of a peer's statements are bounded by the echo of this daemon's own
// clock, so clocks are never compared and delays only make an age larger.
//
// Invariant: if a daemon learned revision v at its time t and acts on it only
// at t+Lease, every daemon whose view is fresh then knows v.
package member

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Spans of the protocol.
const (
	// Lease is how old the evidence for a view may be. It is also the grace
	// period before a new version grants anything.
	Lease = 1500 * clock.Milli(1)
	// Interval is the time between heartbeats.
	Interval = 500 * clock.Milli(1)
	// Suspect is the silence after which a daemon counts as dead.
	Suspect = 1600 * clock.Milli(1)
	// suspectLarge is the same in a set too large for a full mesh, where word
	// of a daemon comes by way of others.
	suspectLarge = 4500 * clock.Milli(1)
	// Gone is the silence after which a daemon no longer blocks the lease.
	Gone = 10 * clock.Second
	// fullMesh is the largest number of peers that all get every heartbeat.
	fullMesh = 8
	// fanOut is the number of peers that get a heartbeat in a larger set.
	fanOut = 5
	// heardSample is the number of daemons that a heartbeat tells about.
	heardSample = 16
	// memberEvery is how many heartbeats share one copy of the registration.
	memberEvery = 8
	// pause is a gap between ticks that shows that this process was stopped.
	pause = 1000 * clock.Milli(1)
	// backlog is how long after such a gap packets still come from queues.
	backlog = 250 * clock.Milli(1)
)

// Peer is another daemon as this one sees it.
type Peer struct {
	Member schema.Member
	Num    peer.Num
	set    *Set
	seed   uint64
	boot   uint64
	known  clock.Milli // when this daemon learned of the peer
	// Heard is when the newest heartbeat arrived here.
	Heard clock.Milli
	// sent is the latest time at which that heartbeat is known to have been
	// sent at the earliest, directly or as told by another daemon.
	sent     clock.Milli
	Revision schema.Version
	Ready    bool
	Out      bool
	Platform bool
	// Blind is set while the daemon said that its view is old.
	Blind bool
	// Alone is set while the daemon said that it hears few others.
	Alone bool
	// lastTime and lastAt are the peer's clock and ours at its newest
	// heartbeat, for the echo.
	lastTime clock.Milli
	lastAt   clock.Milli
	beats    int
}

// Set is the membership as one daemon sees it. It is not safe for concurrent
// use.
type Set struct {
	self      schema.Member
	selfNum   peer.Num
	selfSeed  uint64
	boot      uint64
	peers     map[schema.VMID]*Peer
	nums      map[peer.Num]*Peer
	confirmed clock.Milli
	newest    schema.Version
	ready     bool
	out       bool
	platform  bool
	alone     bool
	lastTick  clock.Milli
	// resumed is when this process last went on after a pause.
	resumed clock.Milli
	round   uint64
}

// New returns a set that holds only this daemon. Boot must differ between
// runs of the same VM.
func New(self schema.Member, boot uint64) *Set {
	return &Set{
		self:      self,
		selfNum:   peer.NumOf(self.ID),
		selfSeed:  flow.Seed(string(self.ID)),
		boot:      boot,
		peers:     make(map[schema.VMID]*Peer),
		nums:      make(map[peer.Num]*Peer),
		confirmed: clock.Never,
		resumed:   clock.Never,
	}
}

// Self returns the daemon's own registration.
func (s *Set) Self() schema.Member {
	return s.self
}

// Num returns the daemon's own number.
func (s *Set) Num() peer.Num {
	return s.selfNum
}

// Register adds daemons that the platform lists or the settings name. The
// list is a hint: it neither proves that a daemon lives nor that it is gone.
func (s *Set) Register(now clock.Milli, list []*schema.Member) {
	for _, m := range list {
		if m.ID == s.self.ID || s.peers[m.ID] != nil {
			continue
		}
		p := &Peer{
			Member: *m,
			set:    s,
			known:  now,
			Num:    peer.NumOf(m.ID),
			seed:   flow.Seed(string(m.ID)),
			Heard:  clock.Never,
			sent:   clock.Never,
		}
		s.peers[m.ID] = p
		s.nums[p.Num] = p
	}
}

// Peers returns all known daemons, by id.
func (s *Set) Peers() []*Peer {
	list := make([]*Peer, 0, len(s.peers))
	for _, p := range s.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// Peer returns a known daemon, or nil.
func (s *Set) Peer(id schema.VMID) *Peer {
	return s.peers[id]
}

// Prober is a live daemon as a candidate to probe targets.
type Prober struct {
	DataCentre schema.DataCentreID
	Seed       uint64
}

// Probers returns the live peers, and this daemon as self.
func (s *Set) Probers(now clock.Milli) (self Prober, peers []Prober) {
	for _, p := range s.peers {
		if p.Alive(now) {
			peers = append(peers, Prober{DataCentre: p.Member.DataCentre, Seed: p.seed})
		}
	}
	return Prober{DataCentre: s.self.DataCentre, Seed: s.selfSeed}, peers
}

// ByNum returns a known daemon by its number, or nil.
func (s *Set) ByNum(n peer.Num) *Peer {
	return s.nums[n]
}

// Tick advances time. A gap since the last tick means that this process did
// not run: its peers were not silent, it was deaf.
func (s *Set) Tick(now clock.Milli, ready, out, platform bool) {
	if gap := now - s.lastTick; s.lastTick != 0 && gap > pause {
		for _, p := range s.peers {
			if p.Heard != clock.Never {
				p.Heard += gap
			}
		}
		s.resumed = now
	}
	s.lastTick, s.ready, s.out, s.platform = now, ready, out, platform
}

// SetAlone notes whether this daemon hears less than most of the homes.
func (s *Set) SetAlone(alone bool) { s.alone = alone }

// Preferred reports whether the peer is alive, and not one that hears few
// others while this daemon hears most: such a peer decides nothing, and packets
// passed to it would wait for as long as it is deaf.
func (p *Peer) Preferred(now clock.Milli) bool {
	return p.Alive(now) && (p.set.alone || !p.Alone)
}

// Backlogged reports whether packets may have waited in this process's queues
// while it did not run, for any time.
func (s *Set) Backlogged(now clock.Milli) bool {
	return s.lastTick != 0 && now-s.lastTick > pause || now-s.resumed <= backlog
}

// Alive reports whether the peer was heard lately, here or by another daemon.
// What others heard counts, so that daemons with lossy or cut links between
// them still agree on the homes.
func (p *Peer) Alive(now clock.Milli) bool {
	return now-max(p.Heard, p.sent) <= p.set.suspect()
}

// Near reports whether the peer was heard lately by this daemon itself, so
// that packets are likely to reach it.
func (p *Peer) Near(now clock.Milli) bool {
	return now-p.Heard <= p.set.suspect()
}

// SilentFor reports whether the peer was known to this daemon for a span and
// not heard of in it, here or elsewhere.
func (p *Peer) SilentFor(now, span clock.Milli) bool {
	return now-max(p.Heard, p.sent, p.known) > span
}

// Fit reports whether the peer is alive and may have duties.
func (p *Peer) Fit(now clock.Milli) bool {
	return p.Preferred(now) && p.Ready && !p.Out && !p.Blind
}

// Met reports whether every live peer answered this daemon, or enough of a
// large set did to spread the word, so that each of them counts it in its
// lease.
func (s *Set) Met(now clock.Milli) bool {
	met, alive := 0, 0
	for _, p := range s.peers {
		if !p.Alive(now) {
			continue
		}
		alive++
		if p.sent != clock.Never {
			met++
		}
	}
	return met >= min(alive, fullMesh)
}

// Remove forgets a daemon whose registration is deleted and that is silent.
func (s *Set) Remove(now clock.Milli, listed map[schema.VMID]bool) {
	for id, p := range s.peers {
		if !listed[id] && now-p.Heard > Gone {
			delete(s.peers, id)
			delete(s.nums, p.Num)
		}
	}
}

// Leader returns the peer that precedes all others in the rendezvous order for
// a name, of those that reach the platform, or nil if it is this daemon.
func (s *Set) Leader(now clock.Milli, name string) *Peer {
	hash := flow.Seed(name)
	var leader *Peer
	top := uint64(0)
	if s.platform {
		top = flow.Score(hash, s.selfSeed)
	}
	for _, p := range s.peers {
		if score := flow.Score(hash, p.seed); p.Platform && p.Fit(now) && score > top {
			leader, top = p, score
		}
	}
	return leader
}

// Rank returns how many live daemons precede this one in the rendezvous
// order for a name, of those that reach the platform if platform is set.
// Duties that few daemons perform go to the lowest ranks.
func (s *Set) Rank(now clock.Milli, name string, platform bool) int {
	hash := flow.Seed(name)
	own := flow.Score(hash, s.selfSeed)
	n := 0
	for _, p := range s.peers {
		if platform && !p.Platform {
			continue
		}
		if p.Fit(now) && flow.Score(hash, p.seed) > own {
			n++
		}
	}
	return n
}

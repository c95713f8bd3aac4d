// Package member tracks the other daemons and decides whether this daemon's
// view may be trusted.
//
// A view is protected by a lease: it is fresh while there is evidence that no
// newer revision can be in effect anywhere. One kind of evidence is a
// platform read that confirmed the revision and began at most Lease ago, made
// by this daemon or passed on by a peer. The other, for when nobody reaches
// the platform, is a heartbeat from every known daemon that was sent at most
// Lease ago and named no newer revision. The age of what a peer says is
// bounded by the echo of this daemon's own clock, so clocks of different
// machines are never compared, and delays only make an age larger.
//
// Invariant: if a daemon learns revision v at its time t and acts on it no
// earlier than t+Lease, then every daemon whose view is fresh at that moment
// knows v.
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
	// Lease is the maximum age of the evidence that a view is current. It is
	// also the grace period before a new version grants anything.
	Lease = 1500 * clock.Milli(1)
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 500 * clock.Milli(1)
	// DeadAfter is the silence after which a peer counts as dead.
	DeadAfter = 1600 * clock.Milli(1)
	// deadAfterLarge replaces DeadAfter in a set too large for a full mesh,
	// where most news of a peer comes from other peers.
	deadAfterLarge = 4500 * clock.Milli(1)
	// GoneAfter is the silence after which a peer no longer prevents the
	// lease from being extended by heartbeats alone.
	GoneAfter = 10 * clock.Second
	// fullMeshPeers is the largest number of peers that are all sent every
	// heartbeat.
	fullMeshPeers = 8
	// fanOut is the number of peers that are sent each heartbeat in a larger
	// set.
	fanOut = 5
	// heardPerHeartbeat is the number of other daemons that a heartbeat
	// reports on.
	heardPerHeartbeat = 16
	// registrationEvery means that one heartbeat in this many carries the
	// sender's registration.
	registrationEvery = 8
	// pauseThreshold is the gap between ticks above which this process is
	// taken to have been paused.
	pauseThreshold = 1000 * clock.Milli(1)
	// backlogSpan is how long after a pause packets may still come from
	// queues that filled during it.
	backlogSpan = 250 * clock.Milli(1)
)

// Peer is another daemon as seen by this one.
type Peer struct {
	Member     schema.Member
	Num        peer.Num
	set        *Set
	seed       uint64
	boot       uint64
	knownSince clock.Milli // when this daemon learned of the peer
	// HeardAt is when the newest heartbeat from the peer arrived at this
	// daemon.
	HeardAt clock.Milli
	// aliveAt is the latest time at which the peer is known to have been
	// alive: a lower bound on when it sent a heartbeat, to this daemon or to
	// another that passed this on.
	aliveAt         clock.Milli
	Revision        schema.Version
	Ready           bool
	Out             bool
	ReachesPlatform bool
	// MaybeOutdated is set while the peer says that its view may be outdated.
	MaybeOutdated bool
	// NoQuorum is set while the peer says that it hears from too few of the
	// homes for a quorum.
	NoQuorum bool
	// remoteTime is the peer's clock in its newest heartbeat and receivedAt
	// this daemon's clock when it arrived. Both are echoed to the peer.
	remoteTime clock.Milli
	receivedAt clock.Milli
	heartbeats int
}

// Set is the membership as seen by one daemon. It is not safe for concurrent
// use.
type Set struct {
	self            schema.Member
	selfNum         peer.Num
	selfSeed        uint64
	boot            uint64
	peers           map[schema.VMID]*Peer
	byNum           map[peer.Num]*Peer
	confirmedAt     clock.Milli
	newestRevision  schema.Version
	ready           bool
	out             bool
	reachesPlatform bool
	noQuorum        bool
	lastTick        clock.Milli
	// resumedAt is when this process last continued after a pause.
	resumedAt clock.Milli
	round     uint64
}

// New returns a set that contains only this daemon. boot must differ between
// runs on the same VM.
func New(self schema.Member, boot uint64) *Set {
	return &Set{
		self:        self,
		selfNum:     peer.NumOf(self.ID),
		selfSeed:    flow.Seed(string(self.ID)),
		boot:        boot,
		peers:       make(map[schema.VMID]*Peer),
		byNum:       make(map[peer.Num]*Peer),
		confirmedAt: clock.Never,
		resumedAt:   clock.Never,
	}
}

// Self returns this daemon's own registration.
func (s *Set) Self() schema.Member {
	return s.self
}

// Num returns this daemon's own number.
func (s *Set) Num() peer.Num {
	return s.selfNum
}

// Register adds daemons that the platform lists or the settings name. A
// registration is a hint: it proves neither that a daemon is alive nor, when
// missing, that it is gone.
func (s *Set) Register(now clock.Milli, list []*schema.Member) {
	for _, m := range list {
		if m.ID == s.self.ID || s.peers[m.ID] != nil {
			continue
		}
		p := &Peer{
			Member:     *m,
			set:        s,
			knownSince: now,
			Num:        peer.NumOf(m.ID),
			seed:       flow.Seed(string(m.ID)),
			HeardAt:    clock.Never,
			aliveAt:    clock.Never,
		}
		s.peers[m.ID] = p
		s.byNum[p.Num] = p
	}
}

// Peers returns all known peers, ordered by id.
func (s *Set) Peers() []*Peer {
	list := make([]*Peer, 0, len(s.peers))
	for _, p := range s.peers {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *Peer) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// Peer returns the peer with the given id, or nil.
func (s *Set) Peer(id schema.VMID) *Peer {
	return s.peers[id]
}

// Prober is a live daemon considered as a prober of targets. Seed is its seed
// for rendezvous hashing.
type Prober struct {
	DataCentre schema.DataCentreID
	Seed       uint64
}

// Probers returns this daemon as self and the live peers.
func (s *Set) Probers(now clock.Milli) (self Prober, peers []Prober) {
	for _, p := range s.peers {
		if p.Alive(now) {
			peers = append(peers, Prober{DataCentre: p.Member.DataCentre, Seed: p.seed})
		}
	}
	return Prober{DataCentre: s.self.DataCentre, Seed: s.selfSeed}, peers
}

// ByNum returns the peer with the given number, or nil.
func (s *Set) ByNum(n peer.Num) *Peer {
	return s.byNum[n]
}

// Tick advances time. A long gap since the last tick means that this process
// was paused and could not receive heartbeats, so the gap is not counted as
// silence of the peers.
func (s *Set) Tick(now clock.Milli, ready, out, platform bool) {
	if gap := now - s.lastTick; s.lastTick != 0 && gap > pauseThreshold {
		for _, p := range s.peers {
			if p.HeardAt != clock.Never {
				p.HeardAt += gap
			}
		}
		s.resumedAt = now
	}
	s.lastTick, s.ready, s.out, s.reachesPlatform = now, ready, out, platform
}

// SetNoQuorum sets whether this daemon hears from too few of the homes for a
// quorum.
func (s *Set) SetNoQuorum(noQuorum bool) { s.noQuorum = noQuorum }

// Preferred reports whether the peer is alive and, if this daemon has a
// quorum, has one too. A peer without a quorum decides nothing, so packets
// forwarded to it would be dropped until it hears from the others again.
func (p *Peer) Preferred(now clock.Milli) bool {
	return p.Alive(now) && (p.set.noQuorum || !p.NoQuorum)
}

// Backlogged reports whether packets that arrive now may have waited in
// queues, for any length of time, while this process was paused.
func (s *Set) Backlogged(now clock.Milli) bool {
	return s.lastTick != 0 && now-s.lastTick > pauseThreshold || now-s.resumedAt <= backlogSpan
}

// Alive reports whether the peer was heard from recently, by this daemon or
// by another. Counting what others heard lets daemons with lossy or broken
// links between them agree on the homes.
func (p *Peer) Alive(now clock.Milli) bool {
	return now-max(p.HeardAt, p.aliveAt) <= p.set.deadAfter()
}

// Reachable reports whether this daemon itself heard from the peer recently,
// so that packets are likely to reach it.
func (p *Peer) Reachable(now clock.Milli) bool {
	return now-p.HeardAt <= p.set.deadAfter()
}

// SilentFor reports whether this daemon has known the peer for longer than
// span and neither it nor any other daemon heard from it in that time.
func (p *Peer) SilentFor(now, span clock.Milli) bool {
	return now-max(p.HeardAt, p.aliveAt, p.knownSince) > span
}

// Eligible reports whether the peer is alive and may be given duties.
func (p *Peer) Eligible(now clock.Milli) bool {
	return p.Preferred(now) && p.Ready && !p.Out && !p.MaybeOutdated
}

// AnsweredByPeers reports whether every live peer has echoed a heartbeat of
// this daemon, or in a large set at least fullMeshPeers of them have, which
// is enough to pass the news on. From then on every peer includes this daemon
// when it computes its lease.
func (s *Set) AnsweredByPeers(now clock.Milli) bool {
	answered, alive := 0, 0
	for _, p := range s.peers {
		if !p.Alive(now) {
			continue
		}
		alive++
		if p.aliveAt != clock.Never {
			answered++
		}
	}
	return answered >= min(alive, fullMeshPeers)
}

// Remove drops peers that are not in listed, the registered daemons, and that
// have been silent for GoneAfter.
func (s *Set) Remove(now clock.Milli, listed map[schema.VMID]bool) {
	for id, p := range s.peers {
		if !listed[id] && now-p.HeardAt > GoneAfter {
			delete(s.peers, id)
			delete(s.byNum, p.Num)
		}
	}
}

// Leader returns the daemon with the highest rendezvous score for a name
// among those that reach the platform, or nil if that is this daemon.
func (s *Set) Leader(now clock.Milli, name string) *Peer {
	hash := flow.Seed(name)
	var leader *Peer
	top := uint64(0)
	if s.reachesPlatform {
		top = flow.Score(hash, s.selfSeed)
	}
	for _, p := range s.peers {
		if score := flow.Score(hash, p.seed); p.ReachesPlatform && p.Eligible(now) && score > top {
			leader, top = p, score
		}
	}
	return leader
}

// Rank returns how many eligible peers have a higher rendezvous score for a
// name than this daemon. If platform is set, only peers that reach the
// platform count. A duty that only a few daemons perform is given to the
// lowest ranks.
func (s *Set) Rank(now clock.Milli, name string, platform bool) int {
	hash := flow.Seed(name)
	own := flow.Score(hash, s.selfSeed)
	n := 0
	for _, p := range s.peers {
		if platform && !p.ReachesPlatform {
			continue
		}
		if p.Eligible(now) && flow.Score(hash, p.seed) > own {
			n++
		}
	}
	return n
}

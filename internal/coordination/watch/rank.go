package watch

import (
	"cmp"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

const (
	// aliveTimeout is the silence after which a peer no longer counts as alive and
	// has no rank. It is twice as long in a large peer set.
	aliveTimeout = 1500 * clock.Milli(1)
	// memberTimeoutPerPeer times the number of peers, but at least
	// minMemberTimeout, is the silence after which a peer of a large peer set
	// counts as gone. A daemon hears of about 80 peers a second, so all but a few
	// in a thousand of the live ones are heard of within that time.
	memberTimeoutPerPeer = 75 * clock.Milli(1)
	minMemberTimeout     = 6 * clock.Second
	// isolatedSharers is the number of daemons that an isolated one assumes. The rate
	// of a cold target holds in sum for three times as many that are all isolated.
	isolatedSharers = 100
)

// byRank orders peers by rank. The order is the same at all daemons.
func byRank(x, y *Peer) int {
	return cmp.Or(cmp.Compare(x.score, y.score), x.Addr.Compare(y.Addr))
}

// alive reports whether a peer was heard of within its timeout and is not
// leaving. n is the number of peers.
func (p *Peer) alive(now clock.Milli, n int) bool {
	timeout := aliveTimeout
	if n > fullMeshSize {
		timeout *= 2
	}
	return !p.leaving && now-p.lastHeard <= timeout
}

// isMember reports whether a peer is not known to be gone. It suits any peer,
// while alive suits those of the first ranks: all summaries name them, so they are
// heard of often in a large peer set too.
func (ps *PeerSet) isMember(p *Peer, now clock.Milli) bool {
	return p.alive(now, len(ps.ranked)) || !p.leaving && len(ps.ranked) > fullMeshSize && now-p.lastHeard <= ps.memberTimeout()
}

// memberTimeout returns the silence after which a peer of a large peer set counts
// as gone.
func (ps *PeerSet) memberTimeout() clock.Milli {
	return max(minMemberTimeout, memberTimeoutPerPeer*clock.Milli(len(ps.ranked)))
}

// Members returns the number of peers that are not known to be gone.
func (ps *PeerSet) Members(now clock.Milli) int {
	n := 0
	for _, p := range ps.ranked {
		if ps.isMember(p, now) {
			n++
		}
	}
	return n
}

// Alive returns the number of peers that are alive.
func (ps *PeerSet) Alive(now clock.Milli) int {
	n := 0
	for _, p := range ps.ranked {
		if p.alive(now, len(ps.ranked)) {
			n++
		}
	}
	return n
}

// Rank returns the number of live peers that precede this daemon in the common
// order of ranks. The first daemon has rank zero.
func (ps *PeerSet) Rank(now clock.Milli) int {
	n := 0
	for _, p := range ps.ranked {
		if p.score >= ps.score {
			break
		}
		if p.alive(now, len(ps.ranked)) {
			n++
		}
	}
	return n
}

// isolated reports whether this daemon hears no other one though there may be some.
func (ps *PeerSet) isolated(now clock.Milli) bool { return !ps.Empty() && ps.Members(now) == 0 }

// Sharers returns the number of daemons among which the rate of a cold target is
// split: the members and this daemon. An isolated daemon can't know the others, so it
// takes a part that is safe for isolatedSharers and for all that it knew.
func (ps *PeerSet) Sharers(now clock.Milli) int {
	if ps.isolated(now) {
		return max(isolatedSharers, len(ps.ranked)+1)
	}
	return ps.Members(now) + 1
}

// Admits reports whether this daemon is the one that admits the opens of a cold
// target: the member with the highest score for it (rendezvous hashing). An isolated
// daemon admits none, as others may.
func (ps *PeerSet) Admits(now clock.Milli, code fleet.Code) bool {
	if ps.isolated(now) {
		return false
	}
	mine := mixScore(ps.score, code)
	for _, p := range ps.ranked {
		if mixScore(p.score, code) > mine && ps.isMember(p, now) {
			return false
		}
	}
	return true
}

// mixScore returns a daemon's score for a code, mixed with the multipliers of
// SplitMix64.
func mixScore(score uint64, code fleet.Code) uint64 {
	x := (score ^ uint64(code)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

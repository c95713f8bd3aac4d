package fresh

import (
	"cmp"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

const (
	// suspectAfter is the silence after which a peer has no rank.
	suspectAfter = 1500 * clock.Milli(1)
	// memberEach is the silence, for each peer of a large crowd, after which a peer
	// counts as gone, memberLeast the least: a daemon hears of some 80 peers a second,
	// so all but a few in a thousand that live are heard of within that.
	memberEach  = 75 * clock.Milli(1)
	memberLeast = 6 * clock.Second
)

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

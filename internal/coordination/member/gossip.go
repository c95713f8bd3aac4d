package member

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Beat returns the heartbeat for one peer.
func (s *Set) Beat(now clock.Milli, to *Peer, rev schema.Version) peer.Heartbeat {
	h := peer.Heartbeat{
		Boot:     s.boot,
		Time:     now,
		Revision: rev,
		Age:      -1,
		Ready:    s.ready,
		Platform: s.platform,
		Blind:    s.Blind(now, rev),
		Alone:    s.alone,
		Out:      s.out,
	}
	if to.beats%memberEvery == 0 {
		h.Member = &s.self
	}
	to.beats++
	if to.lastAt != 0 {
		h.Echo = to.lastTime
		h.Hold = now - to.lastAt
	}
	if s.Behind(rev) {
		return h // what this daemon heard may rest on a newer view
	}
	if now-s.confirmed <= Lease {
		h.Age = now - s.confirmed
	}
	for _, p := range s.sample(heardSample) {
		if p != to && now-p.sent <= s.suspect() {
			h.Heard = append(h.Heard, peer.Heard{Num: p.Num, Age: now - p.sent})
		}
	}
	return h
}

// suspect returns the silence after which a daemon counts as dead.
func (s *Set) suspect() clock.Milli {
	if len(s.peers) <= fullMesh {
		return Suspect
	}
	return suspectLarge
}

// Audience returns the peers that the next round of heartbeats goes to: all
// of a small set, else a few that change from round to round, so that a
// daemon's traffic does not grow with the set.
func (s *Set) Audience() []*Peer {
	s.round++
	if len(s.peers) <= fullMesh {
		return s.Peers()
	}
	return s.sample(fanOut)
}

// sample returns up to n peers, others in each round.
func (s *Set) sample(n int) []*Peer {
	list := s.Peers()
	if len(list) <= n {
		return list
	}
	picked := make([]*Peer, 0, n)
	start := flow.Score(s.round, s.selfSeed) % uint64(len(list))
	stride := len(list) / n
	for i := range n {
		picked = append(picked, list[(int(start)+i*stride)%len(list)])
	}
	return picked
}

// Take handles a heartbeat. It reports whether the sender knows a newer view.
func (s *Set) Take(now clock.Milli, from schema.VMID, h *peer.Heartbeat, mine schema.Version) bool {
	if h.Member != nil {
		s.Register(now, []*schema.Member{h.Member})
	}
	p := s.peers[from]
	if p == nil || (p.boot == h.Boot && h.Time <= p.lastTime) {
		return false // own, late or duplicate
	}
	p.boot = h.Boot
	if h.Member != nil {
		p.Member = *h.Member
	}
	p.Ready, p.Out, p.Platform, p.Revision = h.Ready, h.Out, h.Platform, h.Revision
	p.Blind, p.Alone = h.Blind, h.Alone
	p.Heard, p.lastTime, p.lastAt = now, h.Time, now
	s.newest = max(s.newest, h.Revision)
	if h.Echo == 0 {
		return h.Revision > mine // no bound on its age yet
	}
	sent := h.Echo + h.Hold
	p.sent = max(p.sent, sent)
	if h.Age >= 0 && h.Revision == mine {
		s.confirmed = max(s.confirmed, sent-h.Age)
	}
	if h.Revision <= mine {
		s.relayed(sent, h.Heard)
	}
	return h.Revision > mine
}

// relayed takes what a peer told of other daemons at the time sent.
func (s *Set) relayed(sent clock.Milli, list []peer.Heard) {
	for _, heard := range list {
		if p := s.ByNum(heard.Num); p != nil {
			p.sent = max(p.sent, sent-heard.Age)
		}
	}
}

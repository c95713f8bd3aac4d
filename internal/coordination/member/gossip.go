package member

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Heartbeat returns the next heartbeat to one peer, where rev is the revision
// of this daemon's view.
func (s *Set) Heartbeat(now clock.Milli, to *Peer, rev schema.Version) peer.Heartbeat {
	h := peer.Heartbeat{
		Boot:          s.boot,
		Time:          now,
		Revision:      rev,
		Age:           -1,
		Ready:         s.ready,
		Platform:      s.reachesPlatform,
		MaybeOutdated: s.MaybeOutdated(now, rev),
		NoQuorum:      s.noQuorum,
		Out:           s.out,
	}
	if to.heartbeats%registrationEvery == 0 {
		h.Member = &s.self
	}
	to.heartbeats++
	if to.receivedAt != 0 {
		h.Echo = to.remoteTime
		h.EchoDelay = now - to.receivedAt
	}
	if s.Behind(rev) {
		// What this daemon heard may have been sent under a newer view than
		// its own, so it confirms nothing to others.
		return h
	}
	if now-s.confirmedAt <= Lease {
		h.Age = now - s.confirmedAt
	}
	for _, p := range s.sample(heardPerHeartbeat) {
		if p != to && now-p.aliveAt <= s.deadAfter() {
			h.Heard = append(h.Heard, peer.LastHeard{Num: p.Num, Age: now - p.aliveAt})
		}
	}
	return h
}

// deadAfter returns the silence after which a peer counts as dead.
func (s *Set) deadAfter() clock.Milli {
	if len(s.peers) <= fullMeshPeers {
		return DeadAfter
	}
	return deadAfterLarge
}

// HeartbeatPeers returns the peers to send the next heartbeats to: all peers
// of a small set, otherwise a few that change from round to round, so that a
// daemon's traffic does not grow with the size of the set.
func (s *Set) HeartbeatPeers() []*Peer {
	s.round++
	if len(s.peers) <= fullMeshPeers {
		return s.Peers()
	}
	return s.sample(fanOut)
}

// sample returns up to n peers, different ones in each round.
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

// HandleHeartbeat updates the sender's state from a heartbeat and reports
// whether the sender has a newer view than revision mine.
func (s *Set) HandleHeartbeat(now clock.Milli, from schema.VMID, h *peer.Heartbeat, mine schema.Version) bool {
	if h.Member != nil {
		s.Register(now, []*schema.Member{h.Member})
	}
	p := s.peers[from]
	if p == nil || (p.boot == h.Boot && h.Time <= p.remoteTime) {
		return false // from this daemon itself, late or duplicated
	}
	p.boot = h.Boot
	if h.Member != nil {
		p.Member = *h.Member
	}
	p.Ready, p.Out, p.ReachesPlatform, p.Revision = h.Ready, h.Out, h.Platform, h.Revision
	p.MaybeOutdated, p.NoQuorum = h.MaybeOutdated, h.NoQuorum
	p.HeardAt, p.remoteTime, p.receivedAt = now, h.Time, now
	s.newestRevision = max(s.newestRevision, h.Revision)
	if h.Echo == 0 {
		return h.Revision > mine // without an echo its age has no bound
	}
	sent := h.Echo + h.EchoDelay
	p.aliveAt = max(p.aliveAt, sent)
	if h.Age >= 0 && h.Revision == mine {
		s.confirmedAt = max(s.confirmedAt, sent-h.Age)
	}
	if h.Revision <= mine {
		s.addHeard(sent, h.Heard)
	}
	return h.Revision > mine
}

// addHeard applies the times at which a peer last heard of other daemons,
// from a heartbeat sent no earlier than the time sent.
func (s *Set) addHeard(sent clock.Milli, list []peer.LastHeard) {
	for _, heard := range list {
		if p := s.ByNum(heard.Num); p != nil {
			p.aliveAt = max(p.aliveAt, sent-heard.Age)
		}
	}
}

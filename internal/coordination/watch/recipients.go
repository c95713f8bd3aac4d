package watch

import (
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// minRecipientTimeout is the least silence after which a peer gets no more
	// summaries.
	minRecipientTimeout = minForgetTimeout / 2
	// localFanOut and remoteFanOut are the numbers of peers of this data centre
	// and of others that get each summary in a large peer set. Load reports matter
	// most within a data centre, and traffic between data centres is expensive.
	localFanOut  = 3
	remoteFanOut = 1
	// namedFirstRanks is the number of peers of the first ranks that a summary
	// names, namedOthers that of other peers: as many as the summaries that a
	// daemon receives between two of its own.
	namedFirstRanks = 3
	namedOthers     = localFanOut + remoteFanOut
	// namedToJoined replaces namedOthers in a summary that goes to joined daemons,
	// maxJoinedRecipients bounds how many of those it goes to.
	namedToJoined       = 16
	maxJoinedRecipients = 32
	// seedInterval is the number of summaries after which one goes to a seed too.
	seedInterval = 16
)

// Recipients returns the addresses that the next summary goes to, and the peers
// that it names. Summaries go to all peers of a small peer set, or else to a
// sample that changes every round; to daemons that joined; and to the seeds while
// there are no peers.
func (ps *PeerSet) Recipients(now clock.Milli) ([]netip.AddrPort, []*Peer) {
	ps.round++
	others := namedOthers
	if len(ps.joined) > 0 {
		others = namedToJoined
	}
	named := ps.neighbours(now, others)
	local, remote := ps.addresses(now)
	list := slices.Concat(local, remote)
	if len(list) == 0 {
		return ps.seeds, named
	}
	if len(list) > fullMeshSize {
		list = append(ps.sample(local, localFanOut), ps.sample(remote, remoteFanOut)...)
	}
	if len(ps.seeds) > 0 && ps.round%seedInterval == 0 {
		// A seed lets peer sets that have lost each other merge again.
		list = appendUnique(list, ps.seeds[int(ps.round/seedInterval)%len(ps.seeds)])
	}
	n := min(len(ps.joined), maxJoinedRecipients)
	for _, a := range ps.joined[:n] {
		list = appendUnique(list, a)
	}
	ps.joined = ps.joined[n:]
	return list, named
}

// HasJoined reports whether joined daemons wait for a summary.
func (ps *PeerSet) HasJoined() bool { return len(ps.joined) > 0 }

func appendUnique(list []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	if slices.Contains(list, a) {
		return list
	}
	return append(list, a)
}

// addresses returns the addresses of the peers that get summaries, of this data
// centre and of others, in the order of ranks.
func (ps *PeerSet) addresses(now clock.Milli) (local, remote []netip.AddrPort) {
	for _, p := range ps.ranked {
		switch {
		case now-p.lastHeard > max(minRecipientTimeout, ps.memberTimeout()):
		case p.DataCentre == ps.dc:
			local = append(local, p.Addr)
		default:
			remote = append(remote, p.Addr)
		}
	}
	return local, remote
}

// sample returns n addresses of a list, or all of a shorter one. The choice
// changes every round.
func (ps *PeerSet) sample(list []netip.AddrPort, n int) []netip.AddrPort {
	if len(list) <= n {
		return list
	}
	picked := make([]netip.AddrPort, 0, n)
	x := mixScore(ps.seed+ps.round, fleet.Code(ps.round))
	at, stride := int(x%uint64(len(list))), len(list)/n
	for i := range n {
		picked = append(picked, list[(at+i*stride)%len(list)])
	}
	return picked
}

// neighbours returns the peers that a summary names: those of the first ranks,
// as every daemon must know which of them are alive, and n others. Of these, the
// peers that sent a summary since they were last named come first, and the rest are
// chosen pseudo-randomly.
func (ps *PeerSet) neighbours(now clock.Milli, n int) []*Peer {
	var alive []*Peer
	for _, p := range ps.ranked {
		if p.alive(now, len(ps.ranked)) {
			alive = append(alive, p)
		}
	}
	if len(alive) <= namedFirstRanks+n {
		return alive
	}
	list := alive[:namedFirstRanks:namedFirstRanks]
	others := alive[namedFirstRanks:]
	for len(ps.recent) > 0 && len(list) < namedFirstRanks+n {
		peer := ps.recent[len(ps.recent)-1]
		ps.recent = ps.recent[:len(ps.recent)-1]
		if peer.alive(now, len(ps.ranked)) && !slices.Contains(list, peer) {
			list = append(list, peer)
		}
	}
	for i := uint64(0); len(list) < namedFirstRanks+min(n, len(others)); i++ {
		p := others[mixScore(ps.seed+ps.round+i, fleet.Code(ps.round))%uint64(len(others))]
		list = append(list, p)
	}
	return list
}

// RemoteDataCentre returns the data centre of a peer if the peer set is large and
// the peer is in another data centre than this daemon.
func (ps *PeerSet) RemoteDataCentre(addr netip.AddrPort) (schema.DataCentreID, bool) {
	p := ps.peers[addr]
	if p == nil || len(ps.ranked) <= fullMeshSize || p.DataCentre == "" || p.DataCentre == ps.dc {
		return "", false
	}
	return p.DataCentre, true
}

package fresh

import (
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// minAudienceTimeout is the least silence after which a peer gets no more
	// summaries.
	minAudienceTimeout = minForgetTimeout / 2
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
	// maxJoinedAudience bounds how many of those it goes to.
	namedToJoined     = 16
	maxJoinedAudience = 16
	// seedInterval is the number of summaries after which one goes to a seed too.
	seedInterval = 16
)

// Audience returns the addresses that the next summary goes to, and the peers
// that it names. Summaries go to all peers of a small peer set, or else to a
// sample that changes every round; to daemons that joined; and to the seeds while
// there are no peers.
func (c *Crowd) Audience(now clock.Milli) ([]netip.AddrPort, []*Peer) {
	c.round++
	others := namedOthers
	if len(c.joined) > 0 {
		others = namedToJoined
	}
	named := c.neighbours(now, others)
	local, remote := c.addresses(now)
	list := slices.Concat(local, remote)
	if len(list) == 0 {
		return c.seeds, named
	}
	if len(list) > fullMeshSize {
		list = append(c.sample(local, localFanOut), c.sample(remote, remoteFanOut)...)
	}
	if len(c.seeds) > 0 && c.round%seedInterval == 0 {
		// A seed lets peer sets that have lost each other merge again.
		list = appendUnique(list, c.seeds[int(c.round/seedInterval)%len(c.seeds)])
	}
	n := min(len(c.joined), maxJoinedAudience)
	for _, a := range c.joined[:n] {
		list = appendUnique(list, a)
	}
	c.joined = c.joined[n:]
	return list, named
}

// Greets reports whether joined daemons wait for a summary.
func (c *Crowd) Greets() bool { return len(c.joined) > 0 }

func appendUnique(list []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	if slices.Contains(list, a) {
		return list
	}
	return append(list, a)
}

// addresses returns the addresses of the peers that get summaries, of this data
// centre and of others, in the order of ranks.
func (c *Crowd) addresses(now clock.Milli) (local, remote []netip.AddrPort) {
	for _, p := range c.ranked {
		switch {
		case now-p.lastHeard > max(minAudienceTimeout, c.memberTimeout()):
		case p.DataCentre == c.dc:
			local = append(local, p.Addr)
		default:
			remote = append(remote, p.Addr)
		}
	}
	return local, remote
}

// sample returns n addresses of a list, or all of a shorter one. The choice
// changes every round.
func (c *Crowd) sample(list []netip.AddrPort, n int) []netip.AddrPort {
	if len(list) <= n {
		return list
	}
	picked := make([]netip.AddrPort, 0, n)
	x := mixScore(c.seed+c.round, fleet.Code(c.round))
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
func (c *Crowd) neighbours(now clock.Milli, n int) []*Peer {
	var alive []*Peer
	for _, p := range c.ranked {
		if p.alive(now, len(c.ranked)) {
			alive = append(alive, p)
		}
	}
	if len(alive) <= namedFirstRanks+n {
		return alive
	}
	list := alive[:namedFirstRanks:namedFirstRanks]
	others := alive[namedFirstRanks:]
	for len(c.recent) > 0 && len(list) < namedFirstRanks+n {
		peer := c.recent[len(c.recent)-1]
		c.recent = c.recent[:len(c.recent)-1]
		if peer.alive(now, len(c.ranked)) && !slices.Contains(list, peer) {
			list = append(list, peer)
		}
	}
	for i := uint64(0); len(list) < namedFirstRanks+min(n, len(others)); i++ {
		p := others[mixScore(c.seed+c.round+i, fleet.Code(c.round))%uint64(len(others))]
		list = append(list, p)
	}
	return list
}

// Far returns the data centre of a peer if the peer set is large and the peer is
// in another data centre than this daemon.
func (c *Crowd) Far(addr netip.AddrPort) (schema.DataCentreID, bool) {
	p := c.peers[addr]
	if p == nil || len(c.ranked) <= fullMeshSize || p.DataCentre == "" || p.DataCentre == c.dc {
		return "", false
	}
	return p.DataCentre, true
}

package watch

import (
	"net/netip"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Place is a daemon's place among the daemons that are not known to be gone.
type Place struct {
	// Index is the position among the Count daemons of the daemon's data centre in the
	// order of ranks. Fleet is the number of all daemons. The daemon itself counts.
	Index, Count, Fleet int
	// Sampled is set if each summary goes to only a sample of the peers.
	Sampled bool
}

// cutOffHold is how long the daemons that can't be heard while this one is cut off count
// in Place. After that, a data centre that was shut down without notice is more likely
// than a cut.
const cutOffHold = 10 * clock.Minute

// Place returns this daemon's place. While it is cut off from others, the fleet is as
// large as before: the others may well run, and use their parts of what all share.
func (ps *PeerSet) Place(now clock.Milli) Place {
	p := Place{Count: 1, Fleet: 1, Sampled: len(ps.ranked) > fullMeshSize}
	self := Peer{Addr: ps.self, score: ps.score}
	for _, x := range ps.ranked {
		if !ps.isMember(x, now) {
			continue
		}
		p.Fleet++
		if x.DataCentre == ps.dc {
			p.Count++
			if byRank(x, &self) < 0 {
				p.Index++
			}
		}
	}
	cutOff := ps.isolated(now) || ps.lastRemote != clock.Never && now-ps.lastRemote > cutOffSilenceLarge
	if !cutOff || now-ps.connectedAt > cutOffHold {
		ps.connectedAt, ps.connectedFleet, ps.connectedSampled = now, p.Fleet, p.Sampled
	}
	p.Fleet, p.Sampled = max(p.Fleet, ps.connectedFleet), p.Sampled || ps.connectedSampled
	return p
}

// DataCentreOf returns the data centre of a peer, empty if it is not known.
func (ps *PeerSet) DataCentreOf(addr netip.AddrPort) schema.DataCentreID {
	if p := ps.peers[addr]; p != nil {
		return p.DataCentre
	}
	return ""
}

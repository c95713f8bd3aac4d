package watch

import (
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

const (
	// newFleetWait is how long a new daemon waits for a summary of a peer that knows the
	// deployment before it concludes from the summaries of others that the whole fleet
	// is new. A seed answers at its next tick, of 25 ms.
	newFleetWait = 75 * clock.Milli(1)
	// firstReaders is the number of daemons of a new fleet that list at once. The next
	// as many follow takeoverDelay later each, which suffices for lists by a store that
	// answers as usual and for the messages after them.
	firstReaders  = 3
	takeoverDelay = 300 * clock.Milli(1)
	// maxTakeovers is the number of such delays after which all others follow, spread
	// over lastSpread.
	maxTakeovers = 7
	lastSpread   = 2 * clock.Second
	// maxAnnounced is the number of peers that a daemon of a new fleet tells at once that
	// it knows the deployment. Hundreds of daemons are then reached in two or three hops.
	maxAnnounced = 16
	// announceInterval is the least time between two such summaries to a peer.
	announceInterval = 100 * clock.Milli(1)
)

// RecordStart records how many of the peers that a new daemon heard know the deployment
// and how many don't. If most don't, the daemon treats the whole fleet as new.
func (r *Reader) RecordStart(now clock.Milli, informed, uninformed int) {
	r.heardInformed = informed > 0
	if r.awaitSince != clock.Never && now-r.awaitSince >= newFleetWait && uninformed > informed {
		r.newFleet = true
	}
}

// NewFleet reports whether this daemon found the whole fleet to be new when it started.
func (r *Reader) NewFleet() bool { return r.newFleet }

// startDelay returns how long a daemon of a new fleet leaves the lists to the ranks before
// it.
func (r *Reader) startDelay() clock.Milli {
	group := clock.Milli(r.rank / firstReaders)
	if group >= maxTakeovers {
		return maxTakeovers*takeoverDelay + r.jitter*lastSpread/jitterRange
	}
	return group * takeoverDelay
}

// startWait returns how long after its start a daemon waits for a snapshot from a peer.
func (r *Reader) startWait() clock.Milli {
	switch {
	case r.newFleet:
		return newFleetWait + r.startDelay()
	case r.clientsWait && r.heardInformed:
		return snapshotWait // the peer's snapshot is under way
	case r.clientsWait:
		return newFleetWait
	}
	return snapshotWait + r.jitterDelay()
}

// firstTopic returns the topic that this daemon lists first. The first ranks of a new
// fleet begin with different ones, so that a slow store holds none of them up for the
// time of three calls.
func (r *Reader) firstTopic() fleet.Topic {
	if !r.newFleet {
		return 0
	}
	return fleet.Topic(r.rank) % fleet.Topics
}

// Announce adds a peer that does not know the deployment to the recipients of the next
// summary, unless one was sent to it within announceInterval: its answer may be under way.
func (ps *PeerSet) Announce(now clock.Milli, to netip.AddrPort) {
	p := ps.peers[to]
	if p == nil || now-p.announcedAt < announceInterval || len(ps.joined) >= maxJoined || slices.Contains(ps.joined, to) {
		return
	}
	p.announcedAt = now
	ps.joined = append(ps.joined, to)
}

// AnnounceToUninformed adds up to maxAnnounced peers that have not stated to know the
// deployment to the recipients of the next summary. The choice differs between daemons.
func (ps *PeerSet) AnnounceToUninformed(now clock.Milli) {
	var list []netip.AddrPort
	for _, p := range ps.ranked {
		if p.alive(now, len(ps.ranked)) && !p.informed() {
			list = append(list, p.Addr)
		}
	}
	for _, a := range ps.sample(list, maxAnnounced) {
		ps.Announce(now, a)
	}
}

// Informed returns how many peers stated in a summary that they know the deployment, and
// how many that they don't.
func (ps *PeerSet) Informed() (informed, uninformed int) {
	for _, p := range ps.ranked {
		switch {
		case p.ID == "":
		case p.informed():
			informed++
		default:
			uninformed++
		}
	}
	return informed, uninformed
}

// informed reports whether a peer's last summary states that it knows the deployment.
func (p *Peer) informed() bool { return !slices.Contains(p.view.Revs[:], 0) }

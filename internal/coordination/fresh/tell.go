package fresh

import (
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// knownFor is the least silence in which summaries go to a peer.
	knownFor = forgetAfter / 2
	// nearFanOut and farFanOut are the numbers of peers of this data centre
	// and of others that get a summary in a larger crowd. Loads matter most
	// within a data centre, and bytes between them are dear.
	nearFanOut = 3
	farFanOut  = 1
	// tellFirst is the number of peers of the first ranks, tellOthers that of
	// any others, that a summary names: as many as a daemon hears itself in the
	// time between two summaries.
	tellFirst  = 3
	tellOthers = nearFanOut + farFanOut
	// tellNew is the number that a summary names when it goes to a daemon
	// that just joined, maxGreet how many of those it goes to.
	tellNew  = 16
	maxGreet = 16
)

// Audience returns whom the next summary goes to, and which peers it names:
// all of a small crowd, else a few that change from round to round; daemons
// that just joined; and the seeds while nobody is known.
func (c *Crowd) Audience(now clock.Milli) ([]netip.AddrPort, []*Peer) {
	c.round++
	others := tellOthers
	if len(c.greet) > 0 {
		others = tellNew
	}
	named := c.neighbours(now, others)
	near, far := c.known(now)
	list := slices.Concat(near, far)
	if len(list) == 0 {
		return c.seeds, named
	}
	if len(list) > fullMesh {
		list = append(c.pick(near, nearFanOut), c.pick(far, farFanOut)...)
	}
	if len(c.seeds) > 0 && c.round%16 == 0 {
		// Crowds that were apart meet again by their seeds.
		list = appendNew(list, c.seeds[int(c.round/16)%len(c.seeds)])
	}
	n := min(len(c.greet), maxGreet)
	for _, a := range c.greet[:n] {
		list = appendNew(list, a)
	}
	c.greet = c.greet[n:]
	return list, named
}

// Greets reports whether daemons that just joined wait for a summary.
func (c *Crowd) Greets() bool { return len(c.greet) > 0 }

func appendNew(list []netip.AddrPort, a netip.AddrPort) []netip.AddrPort {
	if slices.Contains(list, a) {
		return list
	}
	return append(list, a)
}

// known returns the addresses of the peers heard of lately, of this data centre and
// of others, in a fixed order.
func (c *Crowd) known(now clock.Milli) (near, far []netip.AddrPort) {
	for _, p := range c.list {
		switch {
		case now-p.heard > max(knownFor, c.memberFor()):
		case p.DataCentre == c.dc:
			near = append(near, p.Addr)
		default:
			far = append(far, p.Addr)
		}
	}
	return near, far
}

// pick returns n of a list, others in each round.
func (c *Crowd) pick(list []netip.AddrPort, n int) []netip.AddrPort {
	if len(list) <= n {
		return list
	}
	picked := make([]netip.AddrPort, 0, n)
	x := mix(c.seed+c.round, fleet.Code(c.round))
	at, stride := int(x%uint64(len(list))), len(list)/n
	for i := range n {
		picked = append(picked, list[(at+i*stride)%len(list)])
	}
	return picked
}

// neighbours returns the peers to tell others of: those of the first ranks,
// which every daemon must know to be alive, and n more. Those are the ones that
// this daemon heard itself since it last told of them, then any.
func (c *Crowd) neighbours(now clock.Milli, n int) []*Peer {
	var alive []*Peer
	for _, p := range c.list {
		if p.alive(now, len(c.list)) {
			alive = append(alive, p)
		}
	}
	if len(alive) <= tellFirst+n {
		return alive
	}
	list := alive[:tellFirst:tellFirst]
	others := alive[tellFirst:]
	for len(c.toTell) > 0 && len(list) < tellFirst+n {
		last := c.toTell[len(c.toTell)-1]
		c.toTell = c.toTell[:len(c.toTell)-1]
		if last.alive(now, len(c.list)) && !slices.Contains(list, last) {
			list = append(list, last)
		}
	}
	for i := uint64(0); len(list) < tellFirst+min(n, len(others)); i++ {
		p := others[mix(c.seed+c.round+i, fleet.Code(c.round))%uint64(len(others))]
		list = append(list, p)
	}
	return list
}

// Far returns the data centre of a peer of a large crowd, if that is another one.
func (c *Crowd) Far(addr netip.AddrPort) (schema.DataCentreID, bool) {
	p := c.peers[addr]
	if p == nil || len(c.list) <= fullMesh || p.DataCentre == "" || p.DataCentre == c.dc {
		return "", false
	}
	return p.DataCentre, true
}

package soak

import (
	"time"

	"coltsfootdock/internal/state/flow"
)

// outcome is what became of a flow's first packets.
type outcome uint8

const (
	unanswered outcome = iota
	accepted
	refused
)

// openAt opens a flow to a route through one daemon alone and closes it.
func (c *client) openAt(d *daemon, r *route) outcome {
	f := c.newFlow(r, nil)
	f.via = d
	defer c.forget(f)
	switch {
	case f.open():
		f.send(&flow.Segment{Close: true}, nil)
		return accepted
	case f.refused:
		return refused
	}
	return unanswered
}

// openDirectly opens flows to the routes that changed last, through each daemon
// alone, as the platform does to see which version is in force.
func (s *System) openDirectly(c *client, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		s.sleepBetween(20, 60)
		d := s.daemons[s.rand()%uint64(len(s.daemons))]
		r := s.recentRoute()
		if r == nil || !d.inRotation() {
			continue
		}
		sent := time.Now()
		if c.openAt(d, r) == refused {
			s.checkRefusal(c, d, r, sent)
		}
	}
}

// recentRoutes is the number of the latest routes that openDirectly uses.
const recentRoutes = 12

// recentRoute returns a random one of the latest routes, nil if there is none.
func (s *System) recentRoute() *route {
	s.mu.Lock()
	extra := s.routes[permanentRoutes:]
	extra = extra[max(0, len(extra)-recentRoutes):]
	s.mu.Unlock()
	if len(extra) == 0 {
		return nil
	}
	return extra[s.rand()%uint64(len(extra))]
}

// checkRefusal checks that a daemon refused a flow only if its route was not there or
// not yet in force. A daemon that refuses a permanent route to the same pool too has
// another reason.
func (s *System) checkRefusal(c *client, d *daemon, r *route, sent time.Time) {
	pool := r.currentPool()
	other := s.routes[0]
	if pool != other.pool {
		other = s.routes[permanentRoutes-1]
	}
	if c.openAt(d, other) != accepted || c.openAt(d, r) != refused {
		return
	}
	r.mu.Lock()
	added, gone := r.added, r.leaving
	r.mu.Unlock()
	if gone || added.at.IsZero() {
		return
	}
	regressed := d.hadEffect(added.version, sent)
	late := s.checker.late(d, added.at, sent, s.opts.Bound)
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.checks++
	if late {
		s.checker.recordViolation("configuration", d.id, "route %s, added %s ago by version %g, was refused by %s", r.name, sent.Sub(added.at), added.version, d.id)
	}
	if regressed {
		s.checker.recordViolation("configuration came back", d.id, "route %s of version %g was refused by %s, which had acted on that version or later", r.name, added.version, d.id)
	}
}

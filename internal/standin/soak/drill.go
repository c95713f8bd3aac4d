package soak

import (
	"time"

	"coltsfootdock/internal/standin/plat"
)

// drillTime is how long a drill lasts at most, until all is written again.
const drillTime = 6 * time.Second

// drill makes the store unavailable for a moment and returns it from a copy that is some
// seconds old. The targets write their entries again with their next heartbeats, the
// operator the configuration and the marks after a while.
func (s *System) drill() {
	done := s.checker.storeFaults.begin()
	away := time.Duration(200+s.draw()%1300) * time.Millisecond
	age := time.Duration(500+s.draw()%6000) * time.Millisecond
	forget := s.draw()%3 == 0
	written := time.Duration(300+s.draw()%2200) * time.Millisecond
	s.heartbeatsBlocked.Store(true)
	s.store.SetFault(plat.Fault{Down: true})
	s.after(away, func() {
		s.store.Drill(age+away, forget)
		s.store.SetFault(plat.Fault{})
		s.heartbeatsBlocked.Store(false)
		s.after(written, func() {
			s.writeAgain()
			s.after(heartbeatInterval, done)
		})
	})
}

// writeAgain writes what the operator wrote last.
func (s *System) writeAgain() {
	s.tableMu.Lock()
	s.store.Put(configKind, "main", s.table(s.version))
	s.tableMu.Unlock()
	for _, dc := range s.dataCentres {
		if !dc.outSince().IsZero() {
			s.store.Put(outsKind, dc.name, struct{}{})
		}
		if dc.outSince().IsZero() { // perhaps only since the line above
			s.store.Drop(outsKind, dc.name)
		}
	}
}

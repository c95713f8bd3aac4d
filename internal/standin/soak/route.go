package soak

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"coltsfootdock/platform"
)

// downgradeBound is how long after a version's effect a daemon may still act on an
// older version.
const downgradeBound = 250 * time.Millisecond

// tableChange is a version of the configuration, and when the store had acknowledged
// it. It is zero while there is no such version.
type tableChange struct {
	version float64
	at      time.Time
}

// route is a service address.
type route struct {
	name          string
	addr          netip.AddrPort
	nonIdempotent bool
	mu            sync.Mutex
	// pool is the route's pool, oldPool the one before it moved.
	pool    string
	oldPool string
	added   tableChange
	moved   tableChange
	removed tableChange
	// leaving is set once a version without the route is being written, moving once
	// one with the new pool is.
	leaving bool
	moving  bool
}

func (r *route) isRemoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

func (r *route) hasMoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moving
}

func (r *route) currentPool() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool
}

// handling returns the change that ended the route's use with a pool, zero if it has
// not ended, and the version that began it. It reports false if the route never had
// the pool.
func (r *route) handling(pool string) (ended tableChange, began float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.moving && pool == r.pool:
		return r.removed, r.moved.version, true
	case r.moving && pool == r.oldPool:
		return r.moved, r.added.version, true
	}
	return r.removed, r.added.version, pool == r.pool
}

// effect is the first use of a version of the configuration.
type effect struct {
	version float64
	at      time.Time
}

// recordEffect records that a target saw the effect of a version.
func (d *daemon) recordEffect(version float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.effects {
		if e.version == version {
			return
		}
	}
	d.effects = append(d.effects, effect{version, now})
}

// hadEffect reports whether a target saw the effect of a version, or of a later one,
// through the daemon's current process more than downgradeBound before a time.
func (d *daemon) hadEffect(version float64, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.effects {
		if e.version >= version && at.Sub(e.at) > downgradeBound+boundTolerance {
			return true
		}
	}
	return false
}

func (s *System) routeAt(a netip.AddrPort) *route {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routes {
		if r.addr == a {
			return r
		}
	}
	return nil
}

// permanentRoute returns a random one of the routes that are never removed.
func (s *System) permanentRoute() *route { return s.routes[s.rand()%permanentRoutes] }

// addRoute adds a route to a pool and returns it once the store has acknowledged it.
func (s *System) addRoute(pool string) *route {
	s.mu.Lock()
	n := len(s.routes)
	r := &route{name: fmt.Sprintf("extra-%d", n), pool: pool, addr: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.2:%d", 9000+n))}
	s.routes = append(s.routes, r)
	s.mu.Unlock()
	s.writeTable(func() {}, func(c tableChange) { r.added = c }, r)
	return r
}

// moveRoute moves a route to another pool. A route moves once, as the checks know one
// earlier pool; a version without a change is written if it has moved.
func (s *System) moveRoute(r *route, pool string) {
	if r.hasMoved() {
		s.writeTable(nil, nil, nil)
		return
	}
	s.writeTable(func() { r.moving, r.oldPool, r.pool = true, r.pool, pool }, func(c tableChange) { r.moved = c }, r)
}

// removeRoute removes a route.
func (s *System) removeRoute(r *route) {
	s.writeTable(func() { r.leaving = true }, func(c tableChange) { r.removed = c }, r)
}

// writeTable writes the next version of the configuration to the store as an operator
// does. It calls begin before and end after that, with the lock of route r.
func (s *System) writeTable(begin func(), end func(tableChange), r *route) {
	s.tableMu.Lock()
	defer s.tableMu.Unlock()
	if r != nil {
		r.mu.Lock()
		begin()
		r.mu.Unlock()
	}
	s.version++
	s.store.Put(configKind, "main", s.table(s.version))
	if r != nil {
		r.mu.Lock()
		end(tableChange{version: s.version, at: time.Now()})
		r.mu.Unlock()
	}
}

// table returns the stored value for the configuration.
func (s *System) table(version float64) platform.TableSpec {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := platform.TableSpec{Version: version}
	for _, r := range s.routes {
		if !r.isRemoved() {
			port := fmt.Sprint(r.addr.Port())
			table.Routes = append(table.Routes, platform.NewRouteSpec(r.name, r.addr.Addr().String(), port, r.currentPool(), !r.nonIdempotent))
		}
	}
	table.Services = []platform.ServiceSpec{{Name: limitedPool, MaxConns: 2000, WarmupS: warmup.Seconds(), WarmupPerS: coldRate}, {Name: "proof", MaxConns: 2000}}
	return table
}

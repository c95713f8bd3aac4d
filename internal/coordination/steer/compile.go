package steer

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// removedRouteTTL is how long a removed route is remembered, so that its flows
// are reset.
const removedRouteTTL = clock.Minute

// compile rebuilds targets, pools and routes after a change of the deployment.
// changed lists the targets whose entries changed.
func (c *Core) compile(now clock.Milli, changed []schema.TargetID) {
	for _, id := range changed {
		c.compileTarget(now, id)
	}
	if c.table != c.replica.Table() {
		c.table = c.replica.Table()
		c.compileRoutes(now)
		c.compileForeign(now)
	}
	c.fillPools()
}

// compileTarget rebuilds one target from its entry.
func (c *Core) compileTarget(now clock.Milli, id schema.TargetID) {
	e := c.replica.Entry(id)
	if e == nil {
		return
	}
	if last := c.byID[id]; last != nil && c.isForeign(last) {
		c.foreign[id], last.Draining = true, true
		return
	}
	delete(c.foreign, id)
	code := e.Target.Code()
	t := c.byCode[code]
	if last := c.byID[id]; last != nil && last != t {
		c.markGone(now, last)
	}
	switch {
	case t == nil:
		t = &Target{Code: code}
		c.byCode[code] = t
		at, _ := slices.BinarySearchFunc(c.targets, code, func(t *Target, code fleet.Code) int { return cmp.Compare(t.Code, code) })
		c.targets = slices.Insert(c.targets, at, t)
	case t.ID != id:
		t = c.addColliding(code, t, id)
	}
	c.byID[id] = t
	if t.Rev != e.Target.Rev {
		t.reportedAt = now
	}
	t.Target = e.Target
	t.limiter = c.limiter(t.Pool)
	c.recordAddress(t)
	if e.Gone {
		c.markGone(e.GoneAt, t)
	} else {
		c.markPresent(t)
	}
}

// EntryAge returns the time since this daemon learned of the target's entry as it is.
func (t *Target) EntryAge(now clock.Milli) clock.Milli { return now - t.reportedAt }

// addColliding returns the state of a target whose code is already that of
// another target. Neither gets new flows while both exist.
func (c *Core) addColliding(code fleet.Code, first *Target, id schema.TargetID) *Target {
	if len(c.colliding[code]) == 0 {
		c.colliding[code] = []*Target{first}
	}
	for _, t := range c.colliding[code] {
		if t.ID == id {
			return t
		}
	}
	t := &Target{Code: code, limiter: c.limiter(first.Pool)}
	c.colliding[code] = append(c.colliding[code], t)
	return t
}

// forgetCollisions ends the collisions of codes of which at most one target is
// left.
func (c *Core) forgetCollisions(now clock.Milli) {
	for code, same := range c.colliding {
		left := slices.DeleteFunc(slices.Clone(same), func(t *Target) bool { return t.gone && now-t.goneAt > c.replica.Retention() })
		if len(left) > 1 {
			c.colliding[code] = left
			continue
		}
		delete(c.colliding, code)
		if len(left) == 1 {
			c.targets[slices.Index(c.targets, c.byCode[code])] = left[0]
			c.byCode[code] = left[0]
		}
		c.fillPools()
	}
}

// forgetTargets drops targets that have been gone for longer than the deployment
// keeps removals, which is longer than a flow lives.
func (c *Core) forgetTargets(now clock.Milli) {
	c.forgetCollisions(now)
	c.targets = slices.DeleteFunc(c.targets, func(t *Target) bool {
		if !t.gone || now-t.goneAt <= c.replica.Retention() {
			return false
		}
		delete(c.byCode, t.Code)
		if c.byID[t.ID] == t {
			delete(c.byID, t.ID)
		}
		if c.byAddress[t.Address] == t {
			delete(c.byAddress, t.Address)
		}
		return true
	})
}

func (c *Core) compileRoutes(now clock.Milli) {
	old := c.routes
	c.routes = make(map[serviceKey]*Route, len(c.table.Routes))
	c.pools = make(map[schema.Name]*pool, len(c.table.Pools))
	for _, l := range c.limiters {
		l.goal = 0
	}
	for _, p := range c.table.Pools {
		c.pools[p.Name] = &pool{Pool: p}
	}
	for _, r := range c.table.Routes {
		k, ok := routeKey(r.Address)
		if !ok {
			continue
		}
		compiled := &Route{Route: r}
		for _, s := range r.Pools {
			compiled.pools = append(compiled.pools, c.pool(s.Pool))
			compiled.total += s.Weight
		}
		c.applyGoal(compiled)
		c.routes[k] = compiled
		delete(c.removedRoutes, k)
	}
	for k := range old {
		if c.routes[k] == nil {
			c.removedRoutes[k] = now
		}
	}
	for k, at := range c.removedRoutes {
		if now-at > removedRouteTTL {
			delete(c.removedRoutes, k)
		}
	}
	c.applyShares()
}

// applyGoal lowers the latency goals of a route's pools to that of the route.
func (c *Core) applyGoal(r *Route) {
	for _, p := range r.pools {
		if l := c.limiter(p.Name); r.LatencyGoal > 0 && (l.goal == 0 || r.LatencyGoal < l.goal) {
			l.goal = r.LatencyGoal
		}
	}
}

// pool returns the pool with the given name, and creates it if it has no entry.
func (c *Core) pool(n schema.Name) *pool {
	p := c.pools[n]
	if p == nil {
		p = &pool{Pool: fleet.Pool{Name: n}}
		c.pools[n] = p
	}
	return p
}

// fillPools rebuilds each pool's lists of targets, in the order of their codes.
func (c *Core) fillPools() {
	for _, p := range c.pools {
		p.local, p.remote = p.local[:0], p.remote[:0]
	}
	for _, t := range c.targets {
		if t.gone || len(c.colliding[t.Code]) > 0 {
			continue
		}
		p := c.pools[t.Pool]
		switch {
		case p == nil:
		case t.DataCentre == c.localDC:
			p.local = append(p.local, t)
		default:
			p.remote = append(p.remote, t)
		}
	}
	if !c.policy.Limits.Fleet {
		return // only subsets need the targets by data centre
	}
	for _, p := range c.pools {
		p.localByDC, p.remoteByDC = byDataCentre(p.localByDC, p.local), byDataCentre(p.remoteByDC, p.remote)
	}
}

// byDataCentre returns the targets of each data centre, in the order of the list. It
// reuses the memory of parts.
func byDataCentre(parts [][]*Target, list []*Target) [][]*Target {
	parts = parts[:0]
	for _, t := range list {
		at := slices.IndexFunc(parts, func(part []*Target) bool { return part[0].DataCentre == t.DataCentre })
		if at < 0 {
			at = len(parts)
			parts = slices.Grow(parts, 1)[:at+1]
			parts[at] = parts[at][:0]
		}
		parts[at] = append(parts[at], t)
	}
	return parts
}

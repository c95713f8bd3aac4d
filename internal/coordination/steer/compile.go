package steer

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// keepRemoved is how long a removed route is remembered.
const keepRemoved = clock.Minute

// compile brings targets, pools and routes in line with the book.
func (c *Core) compile(now clock.Milli) {
	c.compileTargets(now)
	if c.table != c.book.Table() {
		c.table = c.book.Table()
		c.compileRoutes(now)
	}
	c.fillPools()
}

func (c *Core) compileTargets(now clock.Milli) {
	present := make(map[fleet.Code]bool, len(c.codes))
	clear(c.doubled)
	for _, e := range c.book.Entries() {
		code := e.Target.Code()
		t := c.codes[code]
		if t != nil && t.ID != e.Target.ID {
			c.double(code, t, e)
			present[code] = true
			continue
		}
		present[code] = true
		if t == nil {
			t = &Target{Code: code, since: now}
			c.codes[code] = t
		}
		wasDraining := t.Draining
		t.Target = e.Target
		switch {
		case e.Gone && !t.gone:
			t.Draining = wasDraining
			c.lose(now, t)
		case !e.Gone:
			t.gone, t.replaced = false, false
		}
	}
	for code, t := range c.codes {
		if present[code] {
			continue
		}
		c.lose(now, t)
		if now-t.goneAt > 3*clock.Minute {
			delete(c.codes, code)
		}
	}
}

// double notes that two targets have one code. Neither takes new flows.
func (c *Core) double(code fleet.Code, t *Target, e *fleet.Entry) {
	if len(c.doubled[code]) == 0 {
		c.doubled[code] = []*Target{t}
	}
	c.doubled[code] = append(c.doubled[code], &Target{Target: e.Target, Code: code, gone: e.Gone, goneAt: e.GoneAt})
}

func (c *Core) compileRoutes(now clock.Milli) {
	old := c.routes
	c.routes = make(map[serviceKey]*Route, len(c.table.Routes))
	c.pools = make(map[schema.Name]*pool, len(c.table.Pools))
	for _, p := range c.table.Pools {
		c.pools[p.Name] = &pool{Pool: p}
	}
	for _, r := range c.table.Routes {
		k, ok := keyOf(r.Address)
		if !ok {
			continue
		}
		compiled := &Route{Route: r}
		for _, s := range r.Pools {
			compiled.pools = append(compiled.pools, c.pool(s.Pool))
			compiled.total += s.Weight
		}
		c.routes[k] = compiled
		delete(c.removed, k)
	}
	for k := range old {
		if c.routes[k] == nil {
			c.removed[k] = now
		}
	}
	for k, at := range c.removed {
		if now-at > keepRemoved {
			delete(c.removed, k)
		}
	}
}

// pool returns the pool of a name, which may have no targets yet.
func (c *Core) pool(n schema.Name) *pool {
	p := c.pools[n]
	if p == nil {
		p = &pool{Pool: fleet.Pool{Name: n}}
		c.pools[n] = p
	}
	return p
}

func (c *Core) fillPools() {
	for _, p := range c.pools {
		p.targets = p.targets[:0]
	}
	for code, t := range c.codes {
		if t.gone || len(c.doubled[code]) > 0 {
			continue
		}
		if p := c.pools[t.Pool]; p != nil {
			p.targets = append(p.targets, t)
		}
	}
	for _, p := range c.pools {
		slices.SortFunc(p.targets, func(x, y *Target) int { return cmp.Compare(x.Code, y.Code) })
	}
}

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

// compile brings targets, pools and routes in line with the book. Changed
// names the targets whose entries changed.
func (c *Core) compile(now clock.Milli, changed []schema.TargetID) {
	for _, id := range changed {
		c.compileTarget(now, id)
	}
	if c.table != c.book.Table() {
		c.table = c.book.Table()
		c.compileRoutes(now)
	}
	c.fillPools()
}

// compileTarget brings one target in line with its entry.
func (c *Core) compileTarget(now clock.Milli, id schema.TargetID) {
	e := c.book.Entry(id)
	if e == nil {
		return
	}
	code := e.Target.Code()
	t := c.codes[code]
	if last := c.starts[id]; last != nil && last != t {
		c.lose(now, last)
	}
	switch {
	case t == nil:
		t = &Target{Code: code, since: now}
		c.codes[code] = t
		at, _ := slices.BinarySearchFunc(c.list, code, func(t *Target, code fleet.Code) int { return cmp.Compare(t.Code, code) })
		c.list = slices.Insert(c.list, at, t)
	case t.ID != id:
		t = c.double(code, t, id)
	}
	c.starts[id] = t
	t.Target = e.Target
	if e.Gone {
		c.lose(e.GoneAt, t)
	} else {
		t.gone, t.replaced = false, false
	}
}

// double returns the start of a target whose code another one has. Neither
// takes new flows.
func (c *Core) double(code fleet.Code, first *Target, id schema.TargetID) *Target {
	if len(c.doubled[code]) == 0 {
		c.doubled[code] = []*Target{first}
	}
	for _, t := range c.doubled[code] {
		if t.ID == id {
			return t
		}
	}
	t := &Target{Code: code}
	c.doubled[code] = append(c.doubled[code], t)
	return t
}

// forgetDoubles ends the doubling of codes of which one target is left.
func (c *Core) forgetDoubles(now clock.Milli) {
	for code, same := range c.doubled {
		left := slices.DeleteFunc(slices.Clone(same), func(t *Target) bool { return t.gone && now-t.goneAt > c.book.Kept() })
		if len(left) > 1 {
			c.doubled[code] = left
			continue
		}
		delete(c.doubled, code)
		if len(left) == 1 {
			c.list[slices.Index(c.list, c.codes[code])] = left[0]
			c.codes[code] = left[0]
		}
		c.fillPools()
	}
}

// forgetTargets drops the starts of targets that are gone for longer than a
// flow lives.
func (c *Core) forgetTargets(now clock.Milli) {
	c.forgetDoubles(now)
	c.list = slices.DeleteFunc(c.list, func(t *Target) bool {
		if !t.gone || now-t.goneAt <= c.book.Kept() {
			return false
		}
		delete(c.codes, t.Code)
		if c.starts[t.ID] == t {
			delete(c.starts, t.ID)
		}
		return true
	})
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

// fillPools lists each pool's targets, in the order of their codes.
func (c *Core) fillPools() {
	for _, p := range c.pools {
		p.near, p.far = p.near[:0], p.far[:0]
	}
	for _, t := range c.list {
		if t.gone || len(c.doubled[t.Code]) > 0 {
			continue
		}
		p := c.pools[t.Pool]
		switch {
		case p == nil:
		case t.DataCentre == c.home:
			p.near = append(p.near, t)
		default:
			p.far = append(p.far, t)
		}
	}
}

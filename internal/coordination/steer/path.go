package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// pathMisses is the number of misses, of pathTargets targets or more, without an
	// answer of any of a data centre's targets, from which the path there counts as
	// broken. The misses expire, so it is tried again after missFor.
	pathMisses  = 3
	pathTargets = 2
)

// path is what the daemons of this data centre know of the way to the targets of
// another one and back. It may be broken while those targets answer their own
// daemons: a cut may stop packets of one direction only.
type path struct {
	// heard is when a target there last answered a daemon of this data centre.
	heard clock.Milli
	// broken is set while new flows should stay away. Open flows go on.
	broken bool
}

// path returns what is known of the way to a data centre.
func (c *Core) path(dc schema.DataCentreID) *path {
	p := c.paths[dc]
	if p == nil {
		p = &path{heard: clock.Never}
		c.paths[dc] = p
	}
	return p
}

// passed notes that a target answered a daemon of this data centre.
func (c *Core) passed(t *Target, at clock.Milli) {
	if t.DataCentre == c.home {
		return
	}
	p := c.path(t.DataCentre)
	p.heard = max(p.heard, at)
}

// PathChange is a change of the belief that a path is broken.
type PathChange struct {
	DataCentre schema.DataCentreID
	Broken     bool
	// Misses of so many Targets have had no answer since one there last answered.
	Misses  int
	Targets int
}

// Paths returns the changes of such beliefs since the last call.
func (c *Core) Paths() []PathChange {
	list := c.pathChanges
	c.pathChanges = nil
	return list
}

// judgePaths decides which paths are broken, by the suspects' misses.
func (c *Core) judgePaths() {
	counts := make(map[schema.DataCentreID]PathChange)
	for _, t := range c.suspects {
		if t.DataCentre == c.home {
			continue
		}
		own, _ := t.answers.after(c.path(t.DataCentre).heard, false)
		if n := own + t.missedNear; n > 0 {
			x := counts[t.DataCentre]
			x.Misses, x.Targets = x.Misses+n, x.Targets+1
			counts[t.DataCentre] = x
		}
	}
	for dc, p := range c.paths {
		x := counts[dc]
		broken := x.Misses >= pathMisses && x.Targets >= pathTargets
		if broken != p.broken {
			p.broken = broken
			x.DataCentre, x.Broken = dc, broken
			c.pathChanges = append(c.pathChanges, x)
		}
	}
}

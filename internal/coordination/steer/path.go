package steer

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

const (
	// A path counts as broken from pathMisses misses of pathTargets targets in a
	// data centre, without an answer of any target there. The misses expire, so
	// the path is tried again after missTTL.
	pathMisses  = 3
	pathTargets = 2
)

// path is the state of the network path between this data centre and another one's
// targets. It may be broken while those targets answer their own daemons, as a
// network fault may affect one direction only.
type path struct {
	// lastAnswer is when a target there last answered a daemon of this data
	// centre.
	lastAnswer clock.Milli
	// broken is set while new flows avoid the data centre. Open flows continue.
	broken bool
}

// path returns the state of the path to a data centre.
func (c *Core) path(dc schema.DataCentreID) *path {
	p := c.paths[dc]
	if p == nil {
		p = &path{lastAnswer: clock.Never}
		c.paths[dc] = p
	}
	return p
}

// recordPathAnswer records that a target answered a daemon of this data centre.
func (c *Core) recordPathAnswer(t *Target, at clock.Milli) {
	if t.DataCentre == c.localDC {
		return
	}
	p := c.path(t.DataCentre)
	p.lastAnswer = max(p.lastAnswer, at)
}

// PathChange records that a path broke or is no longer broken.
type PathChange struct {
	DataCentre schema.DataCentreID
	Broken     bool
	// Misses is the number of misses since the last answer, Targets the number
	// of targets that they belong to.
	Misses  int
	Targets int
}

// PathChanges returns the changes since the last call.
func (c *Core) PathChanges() []PathChange {
	list := c.pathChanges
	c.pathChanges = nil
	return list
}

// evaluatePaths decides which paths are broken, by the misses of the suspects.
func (c *Core) evaluatePaths() {
	counts := make(map[schema.DataCentreID]PathChange)
	for _, t := range c.suspects {
		if t.gone || t.DataCentre == c.localDC {
			continue
		}
		own, _ := t.answers.missesSince(c.path(t.DataCentre).lastAnswer, false)
		if n := own + t.localPeerMisses; n > 0 {
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

package fresh

import (
	"slices"

	"coltsfootdock/internal/clock"
)

const (
	// cutAfter is the silence of all other data centres that means a cut,
	// cutAfterLarge the same in a crowd whose summaries go to a few.
	cutAfter      = 600 * clock.Milli(1)
	cutAfterLarge = clock.Second
	// toldCutFor is how long word of a cut counts, cutHop what each telling
	// adds to its age, so that word told on and on does not live on.
	toldCutFor = 1500 * clock.Milli(1)
	cutHop     = 25 * clock.Milli(1)
)

// CutOff reports whether all daemons of other data centres fell silent at once,
// so that this data centre, or this daemon, is likely cut off from them.
func (c *Crowd) CutOff(now clock.Milli) bool {
	silence := cutAfter
	if len(c.list) > fullMesh {
		silence = cutAfterLarge
	}
	if now-c.far <= silence {
		return false
	}
	return slices.ContainsFunc(c.list, func(p *Peer) bool { return p.DataCentre != "" && p.DataCentre != c.dc && !p.leaving })
}

// FoundCut notes that this daemon finds itself cut off, if other data centres
// are silent.
func (c *Crowd) FoundCut(now clock.Milli) {
	if now-c.far > cutAfter {
		c.foundCut = now
	}
}

// TakeCut takes a peer's word that a daemon of this data centre found at a time
// that it is cut off.
func (c *Crowd) TakeCut(at clock.Milli) { c.foundCut = max(c.foundCut, at) }

// CutAge returns how long ago a daemon of this data centre found that it is cut
// off, to tell peers; negative if none did lately.
func (c *Crowd) CutAge(now clock.Milli) clock.Milli {
	if !c.ToldCut(now) {
		return -1
	}
	return now - c.foundCut + cutHop
}

// ToldCut reports whether a daemon of this data centre found lately that it is
// cut off, and this one hears no other data centre either.
func (c *Crowd) ToldCut(now clock.Milli) bool {
	return c.foundCut != clock.Never && now-c.foundCut <= toldCutFor && now-c.far > cutAfter
}

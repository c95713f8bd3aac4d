package fresh

import (
	"slices"

	"coltsfootdock/internal/clock"
)

const (
	// cutOffSilence is the silence of all other data centres after which this one
	// counts as cut off, cutOffSilenceLarge the same for a large peer set, where
	// each summary goes to only a few.
	cutOffSilence      = 600 * clock.Milli(1)
	cutOffSilenceLarge = clock.Second
	// cutOffReportTTL is the greatest age of a report of being cut off that is
	// used. Each daemon that passes a report on adds cutOffReportHopAge to its
	// age, so that a report expires even if peers pass it around in a circle.
	cutOffReportTTL    = 1500 * clock.Milli(1)
	cutOffReportHopAge = 25 * clock.Milli(1)
)

// CutOff reports whether all daemons of other data centres are silent, so that
// this data centre or this daemon is probably cut off from them.
func (c *Crowd) CutOff(now clock.Milli) bool {
	silence := cutOffSilence
	if len(c.ranked) > fullMeshSize {
		silence = cutOffSilenceLarge
	}
	if now-c.lastRemote <= silence {
		return false
	}
	return slices.ContainsFunc(c.ranked, func(p *Peer) bool { return p.DataCentre != "" && p.DataCentre != c.dc && !p.leaving })
}

// FoundCut records that this daemon finds itself cut off, unless it heard
// another data centre of late.
func (c *Crowd) FoundCut(now clock.Milli) {
	if now-c.lastRemote > cutOffSilence {
		c.cutOffAt = now
	}
}

// TakeCut records a peer's report that a daemon of this data centre found itself
// cut off at the given time.
func (c *Crowd) TakeCut(at clock.Milli) { c.cutOffAt = max(c.cutOffAt, at) }

// CutAge returns the age of the last report that a daemon of this data centre is
// cut off, as it is to be passed on to peers; negative if there is no current
// one.
func (c *Crowd) CutAge(now clock.Milli) clock.Milli {
	if !c.ToldCut(now) {
		return -1
	}
	return now - c.cutOffAt + cutOffReportHopAge
}

// ToldCut reports whether a daemon of this data centre found itself cut off
// within cutOffReportTTL and this daemon does not hear another data centre
// either.
func (c *Crowd) ToldCut(now clock.Milli) bool {
	return c.cutOffAt != clock.Never && now-c.cutOffAt <= cutOffReportTTL && now-c.lastRemote > cutOffSilence
}

package watch

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
func (ps *PeerSet) CutOff(now clock.Milli) bool {
	silence := cutOffSilence
	if len(ps.ranked) > fullMeshSize {
		silence = cutOffSilenceLarge
	}
	if now-ps.lastRemote <= silence {
		return false
	}
	return slices.ContainsFunc(ps.ranked, func(p *Peer) bool { return p.DataCentre != "" && p.DataCentre != ps.dc && !p.leaving })
}

// RecordCutOff records that this daemon finds itself cut off, unless it heard
// another data centre of late.
func (ps *PeerSet) RecordCutOff(now clock.Milli) {
	if now-ps.lastRemote > cutOffSilence {
		ps.cutOffAt = now
	}
}

// RecordCutOffReport records a peer's report that a daemon of this data centre
// found itself cut off at the given time.
func (ps *PeerSet) RecordCutOffReport(at clock.Milli) { ps.cutOffAt = max(ps.cutOffAt, at) }

// CutOffReportAge returns the age of the last report that a daemon of this data
// centre is cut off, as it is to be passed on to peers; negative if there is no
// current one.
func (ps *PeerSet) CutOffReportAge(now clock.Milli) clock.Milli {
	if !ps.CutOffReported(now) {
		return -1
	}
	return now - ps.cutOffAt + cutOffReportHopAge
}

// CutOffReported reports whether a daemon of this data centre found itself cut off
// within cutOffReportTTL and this daemon does not hear another data centre
// either.
func (ps *PeerSet) CutOffReported(now clock.Milli) bool {
	return ps.cutOffAt != clock.Never && now-ps.cutOffAt <= cutOffReportTTL && now-ps.lastRemote > cutOffSilence
}

package watch

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// eraSettleTime is how long after a new era daemons pull from each other if they hold
// different objects at one revision, instead of listing: they may keep what the store
// lost. Targets write again within two seconds of the store's return.
const eraSettleTime = 3 * clock.Second

// RecordEra records an era of the store that an answer or a peer shows, and reports
// whether it is a new one. What was known of the topics in former eras proves nothing for
// it: they are listed again, by the reader at once and by the others unless they get a
// snapshot from a peer.
func (r *Reader) RecordEra(now clock.Milli, era uint16) bool {
	if era <= r.era {
		return false
	}
	r.era, r.eraAt = era, now
	known := false
	for t := range fleet.Topics {
		if r.revs[t] == 0 || r.revs[t].Era() == era {
			continue
		}
		known = true
		if !r.relist[t] {
			r.historyLostAt = now
		}
		r.relist[t], r.doubtLost[t] = true, false
	}
	r.unproved = nil
	r.announce = r.announce || known
	return known
}

// Era returns the newest era of the store that is known.
func (r *Reader) Era() uint16 { return r.era }

// settles reports whether daemons may still hold different objects after a drill.
func (r *Reader) settles(now clock.Milli) bool {
	return r.era != 0 && now-r.eraAt < eraSettleTime
}

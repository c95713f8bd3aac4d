package soak

import (
	"time"

	"coltsfootdock/internal/standin/plat"
)

// maxStaleBehind is how old the answers to requests for stale data may be.
const maxStaleBehind = 6 * time.Second

// namedReading is a reading of the store's protocol.
type namedReading struct {
	name    string
	reading plat.Reading
}

// readings lists the readings of the store's protocol that the daemons must bear. Its
// order is fixed, since a seed selects one by index.
var readings = []namedReading{
	{"as the stand-in reads it", plat.Reading{}},
	{"old items beside the current revision", plat.Reading{StaleBehind: maxStaleBehind, StaleItemsOnly: true}},
	{"stale lists", plat.Reading{StaleBehind: maxStaleBehind}},
	{"watches pass what they do not tell", plat.Reading{HushedPassesChanges: true}},
	{"events newest first", plat.Reading{NewestFirst: true}},
	{"watches know their kind alone", plat.Reading{KindRevision: true}},
	{"removed objects as last written", plat.Reading{RemovedAsWritten: true}},
	{"all at once", plat.Reading{StaleBehind: maxStaleBehind, StaleItemsOnly: true, HushedPassesChanges: true, NewestFirst: true, RemovedAsWritten: true}},
}

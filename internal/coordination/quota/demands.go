package quota

import (
	"cmp"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// demandTTL is how long the demand of another data centre counts. It arrives through
// several daemons, so it is older than a peer's own report.
const demandTTL = 3 * clock.Second

// Demand is what the clients of a data centre want processed, as last known.
type Demand struct {
	DataCentre schema.DataCentreID
	// Rate is the number of requests a second, with those that wait.
	Rate float64
	// At is when the data centre's daemons had that demand.
	At clock.Milli
}

// Demands holds the demands of the other data centres on one pool, sorted by name. The
// zero value is ready for use.
type Demands struct {
	list []Demand
}

// Hear records a demand unless a newer one of the data centre is known.
func (d *Demands) Hear(x Demand) {
	at, found := slices.BinarySearchFunc(d.list, x.DataCentre, func(y Demand, dc schema.DataCentreID) int { return cmp.Compare(y.DataCentre, dc) })
	switch {
	case !found:
		d.list = slices.Insert(d.list, at, x)
	case x.At > d.list[at].At:
		d.list[at] = x
	}
}

// Expire drops the demands that are too old to count.
func (d *Demands) Expire(now clock.Milli) {
	d.list = slices.DeleteFunc(d.list, func(x Demand) bool { return now-x.At > demandTTL })
}

// Rate returns the demand of a data centre, zero if none counts.
func (d *Demands) Rate(now clock.Milli, dc schema.DataCentreID) float64 {
	for i := range d.list {
		if x := &d.list[i]; x.DataCentre == dc && now-x.At <= demandTTL {
			return x.Rate
		}
	}
	return 0
}

// Newest returns the demands, newest first.
func (d *Demands) Newest() []Demand {
	list := slices.Clone(d.list)
	slices.SortStableFunc(list, func(x, y Demand) int { return cmp.Compare(y.At, x.At) })
	return list
}

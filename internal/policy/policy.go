// Package policy defines the operator's choices about load that exceeds what a pool can
// process and about slow targets. Package setup reads them from a file.
package policy

import "coltsfootdock/pkg/schema"

// Policy holds the operator's choices about load that exceeds what a pool can process
// and about slow targets. The zero value turns all of them off.
type Policy struct {
	Limits Limits
	Shares Shares
	Speed  Speed
}

// Limits configures how daemons limit the requests in flight at a pool.
type Limits struct {
	// Fleet makes daemons that hear only a sample of their peers compute their limits
	// from the request rates that peers report, and place new flows on a subset of the
	// targets.
	Fleet bool
}

// Shares configures who gets a pool's capacity while there is too little of it.
type Shares struct {
	// DataCentres divides it among the data centres whose clients compete for it.
	DataCentres bool
	// Routes divides each daemon's part among the routes that compete for it, by
	// RouteWeights; the weight of a route that is not listed is 1.
	Routes       bool
	RouteWeights map[schema.Name]int
}

// Speed configures how targets that are slower or faster than their pool are used.
type Speed struct {
	// Learn makes the capacity of a target follow the latency measured over the last
	// seconds, and withholds new flows from targets that leave requests unanswered.
	Learn bool
}

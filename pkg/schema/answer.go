package schema

// Stored is an object with its version, as the administration API returns it.
type Stored[T any] struct {
	Version Version
	Value   T
}

// Change is the response to an edit.
type Change struct {
	// Version is the object's version after the edit. After a dry run it is the
	// unchanged current version.
	Version Version
	// Stored is set if the platform has stored the edit.
	Stored bool
	// DryRun is set if nothing was written.
	DryRun bool `json:",omitempty"`
	// InForce lists the daemons whose view has reached the version, Waiting
	// those whose view has not yet.
	InForce []VMID
	Waiting []VMID
	// Warnings describe settings that are valid but probably a mistake.
	Warnings []string `json:",omitempty"`
}

// Problem is the response to a failed request.
type Problem struct {
	Error string
	// Version is the current version after a conflict.
	Version Version `json:",omitempty"`
	// Unknown is set if the edit may have taken effect. Repeating it with the
	// same operation ID is safe.
	Unknown bool `json:",omitempty"`
}

// DaemonStatus is a daemon's state as observed by another daemon.
type DaemonStatus struct {
	ID         VMID
	DataCentre DataCentreID
	Revision   Version
	Alive      bool
	Ready      bool
	Out        bool
	// SilenceMilliseconds is the time since the daemon's last heartbeat,
	// negative if none was received.
	SilenceMilliseconds int64
}

// TargetStatus is the state of a target of a service.
type TargetStatus struct {
	ID         TargetID
	DataCentre DataCentreID
	// State is "unknown", "failed", "starting", "draining", "shedding" or
	// "ready".
	State string
	// Buckets is the number of buckets whose new flows go to the target.
	Buckets int
	// Rate limits new flows while the target ramps up.
	Rate PerSecond `json:",omitempty"`
	// OpenFlows is the number of open flows that the target reports.
	OpenFlows uint32
	// Closed is set while the target accepts no new flows.
	Closed bool
}

// ServiceStatus is the state of a route with its pool and placement.
type ServiceStatus struct {
	Route   Name
	Service string
	// Pool is set if the route has a pool. Placement is the placement's version.
	Pool      bool
	Placement Version
	// Moving is the number of buckets whose flows may have records.
	Moving int
	// Imbalance is the largest number of open flows of a target divided by the
	// mean, over the targets that accept new flows; zero if there are no flows.
	Imbalance float64
	Targets   []TargetStatus
}

// Status is a daemon's view of the whole system.
type Status struct {
	ID       VMID
	Revision Version
	// Fresh is set while the daemon's lease on the view is valid.
	Fresh bool
	// AgeMilliseconds is the time since the platform last confirmed the view,
	// negative if it never did.
	AgeMilliseconds int64
	// Records is the number of flow records that the daemon holds.
	Records  int
	Daemons  []DaemonStatus
	Services []ServiceStatus
}

package schema

// Stored is one object with its version, as the administration API shows it.
type Stored[T any] struct {
	Version Version
	Value   T
}

// Change is the answer to an edit.
type Change struct {
	// Version is the object's version after the edit, the current one for a
	// dry run.
	Version Version
	// Stored is set once the platform holds the edit.
	Stored bool
	// DryRun is set if nothing was written.
	DryRun bool `json:",omitempty"`
	// InForce and Waiting list the daemons whose view has and has not
	// reached the version yet.
	InForce []VMID
	Waiting []VMID
	// Warnings tell what is allowed but unlikely to be meant.
	Warnings []string `json:",omitempty"`
}

// Problem is the answer to a call that failed.
type Problem struct {
	Error string
	// Version is the current version after a conflict.
	Version Version `json:",omitempty"`
	// Unknown is set if the edit may have taken effect. Repeating it with the
	// same operation id is safe.
	Unknown bool `json:",omitempty"`
}

// DaemonStatus is one daemon as another one sees it.
type DaemonStatus struct {
	ID         VMID
	DataCentre DataCentreID
	Revision   Version
	Alive      bool
	Ready      bool
	Out        bool
	// SilenceMilliseconds is the time since its last heartbeat; negative if
	// there was none.
	SilenceMilliseconds int64
}

// TargetStatus is one target of a service.
type TargetStatus struct {
	ID         TargetID
	DataCentre DataCentreID
	// State is "unknown", "failed", "starting", "draining", "shedding" or
	// "ready".
	State string
	// Buckets is the number of buckets whose new flows open on the target.
	Buckets int
	// Rate limits opens while the target ramps up.
	Rate PerSecond `json:",omitempty"`
	// OpenFlows is what the target reports.
	OpenFlows uint32
	// Closed is set while the target takes no new flows.
	Closed bool
}

// ServiceStatus is one route with its pool and placement.
type ServiceStatus struct {
	Route     Name
	Service   string
	Pool      bool
	Placement Version
	// Moving is the number of buckets whose flows may have records.
	Moving int
	// Imbalance is the largest number of open flows of a target over the
	// mean, of those that take new flows; zero without flows.
	Imbalance float64
	Targets   []TargetStatus
}

// Status is a daemon's view of the whole system.
type Status struct {
	ID       VMID
	Revision Version
	// Fresh is set while the view lease holds.
	Fresh bool
	// AgeMilliseconds is the age of the platform's last confirmation;
	// negative if there is none.
	AgeMilliseconds int64
	Records         int
	Daemons         []DaemonStatus
	Services        []ServiceStatus
}

package setup

import (
	"net/netip"

	"github.com/pelletier/go-toml/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/policy"
	"coltsfootdock/pkg/schema"
)

// Entry holds the settings of an entry daemon on a platform whose packets
// carry a cookie that identifies the target.
type Entry struct {
	// ID names the VM and DataCentre the data centre that it runs in.
	ID         schema.VMID
	DataCentre schema.DataCentreID
	// Data is the listening address for packets, Ready for readiness checks,
	// Peer (UDP and TCP) for other daemons and Metrics for metrics.
	Data    netip.AddrPort
	Ready   netip.AddrPort
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are the addresses of daemons to contact first; some may be stale.
	Seeds  []netip.Addr
	Bounds Bounds
	// MemoryMB is the VM's memory limit in MB, zero if it is not known.
	MemoryMB int
	// Policy is that of the policy file, the default one if there is none.
	Policy policy.Policy
}

// Bounds are the longest times that the deployment allows.
type Bounds struct {
	// Apply is the limit until a new configuration is in force, Drain until
	// the draining of a target is and Out until the mark of a data centre is.
	Apply clock.Milli
	Drain clock.Milli
	Out   clock.Milli
	// Grace is the limit for a graceful stop.
	Grace clock.Milli
	// FlowLife is the maximum lifetime of a flow.
	FlowLife clock.Milli
}

// Print returns the settings as TOML.
func (e *Entry) Print() (string, error) {
	data, err := toml.Marshal(e)
	return string(data), err
}

// Check returns an error that names the first invalid field. file is the path
// of the settings file, for the message.
func (e *Entry) Check(file string) error {
	if err := schema.CheckName("ID", string(e.ID)); err != nil {
		return Invalid.New("%s: %s", file, err)
	}
	if err := schema.CheckName("DataCentre", string(e.DataCentre)); err != nil {
		return Invalid.New("%s: %s", file, err)
	}
	addrs := []struct {
		key   string
		value netip.AddrPort
	}{{"Data", e.Data}, {"Ready", e.Ready}, {"Peer", e.Peer}, {"Store", e.Store}}
	for _, a := range addrs {
		if !a.value.IsValid() || a.value.Port() == 0 {
			return Invalid.New(`%s: %s: missing address; allowed is "IP:port"`, file, a.key)
		}
	}
	durations := []struct {
		key   string
		value clock.Milli
	}{
		{"Apply", e.Bounds.Apply}, {"Drain", e.Bounds.Drain}, {"Out", e.Bounds.Out}, {"Grace", e.Bounds.Grace},
		{"FlowLife", e.Bounds.FlowLife},
	}
	for _, s := range durations {
		if s.value <= 0 {
			return Invalid.New("%s: Bounds.%s: %d ms must be more than 0", file, s.key, s.value)
		}
	}
	return nil
}

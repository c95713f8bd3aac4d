package setup

import (
	"net/netip"

	"github.com/pelletier/go-toml/v2"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// Entry holds the settings of an entry daemon on a platform whose packets
// carry a cookie.
type Entry struct {
	// ID names the VM and DataCentre the data centre that it runs in.
	ID         schema.VMID
	DataCentre schema.DataCentreID
	// Data receives the packets, Ready tells whether to send any, Peer (UDP
	// and TCP) receives other daemons, Metrics serves the metrics.
	Data    netip.AddrPort
	Ready   netip.AddrPort
	Peer    netip.AddrPort
	Metrics netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Seeds are addresses of daemons to begin with; they may be stale.
	Seeds []netip.Addr
	// Bounds of the deployment.
	Bounds Bounds
	// MemoryMB is the VM's limit, zero if none is known.
	MemoryMB int
}

// Bounds are the spans within which the deployment expects effects.
type Bounds struct {
	// Apply is how soon a configuration, Drain a draining target, Out a data
	// centre's mark is to be in force.
	Apply clock.Milli
	Drain clock.Milli
	Out   clock.Milli
	// Grace is how long a stop may take.
	Grace clock.Milli
	// FlowLife is how long a flow lives at most.
	FlowLife clock.Milli
}

// Print returns the settings as TOML.
func (e *Entry) Print() (string, error) {
	data, err := toml.Marshal(e)
	return string(data), err
}

// Check returns an error that names the first unusable field. File is the
// settings file that they come from.
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
	spans := []struct {
		key   string
		value clock.Milli
	}{
		{"Apply", e.Bounds.Apply}, {"Drain", e.Bounds.Drain}, {"Out", e.Bounds.Out}, {"Grace", e.Bounds.Grace},
		{"FlowLife", e.Bounds.FlowLife},
	}
	for _, s := range spans {
		if s.value <= 0 {
			return Invalid.New("%s: Bounds.%s: %d ms must be more than 0", file, s.key, s.value)
		}
	}
	return nil
}

package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// BeliefPath is where a daemon tells what it believes, beside its metrics. The
// query key "client", an address and port, adds the flows of a client.
const BeliefPath = "/belief"

// Belief is what a daemon believes at a moment. Spans are in milliseconds;
// negative ones mean never.
type Belief struct {
	ID         schema.VMID
	DataCentre schema.DataCentreID
	Ready      bool
	Leaving    bool
	// Deaf is set if no target answers, CutOff if all other data centres are
	// silent, Withdrawn if the daemon left the rotation for that.
	Deaf      bool
	CutOff    bool
	Withdrawn bool
	Peers     int
	Rank      int
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	Topics        []TopicBelief
	Targets       []steer.TargetBelief
	Flows         []steer.FlowBelief `json:",omitempty"`
}

// TopicBelief is how far a topic is known, and how old that is.
type TopicBelief struct {
	Topic string
	Rev   schema.Version
	Age   clock.Milli
}

// belief returns what the daemon believes now.
func (d *Daemon) belief(client netip.AddrPort) *Belief {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	b := &Belief{
		ID: d.cfg.ID, DataCentre: d.cfg.DataCentre, Ready: d.isReady(), Leaving: d.leaving,
		Deaf: d.core.Deaf(now), CutOff: d.crowd.CutOff(now), Withdrawn: d.withdrawn(),
		Peers: d.crowd.Members(now), Rank: d.crowd.Rank(now), Targets: d.core.Beliefs(now),
	}
	if t := d.core.Book().Table(); t != nil {
		b.ConfigVersion = t.Version
	}
	for t := fleet.Topic(0); t < fleet.Topics; t++ {
		b.Topics = append(b.Topics, TopicBelief{Topic: t.String(), Rev: d.core.Book().Rev(t), Age: ageOf(d.reader.Age(now, t))})
	}
	if client.Addr().Is4() {
		b.Flows = d.core.FlowsOf(now, client.Addr().As4(), client.Port())
	}
	return b
}

func (d *Daemon) beliefHandler(w http.ResponseWriter, r *http.Request) {
	var client netip.AddrPort
	if text := r.URL.Query().Get("client"); text != "" {
		var err error
		if client, err = netip.ParseAddrPort(text); err != nil {
			http.Error(w, "client "+text+" is not an address and port", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.belief(client)) // a reader that went away
}

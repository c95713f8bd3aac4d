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

// BeliefPath is the HTTP path, on the metrics address, that serves a Belief as
// JSON. The query key "client", an IP:port, adds the flows of that client.
const BeliefPath = "/belief"

// Belief is a snapshot of a daemon's view of the deployment. Ages and other
// spans are in milliseconds; a negative one means never.
type Belief struct {
	ID         schema.VMID
	DataCentre schema.DataCentreID
	Ready      bool
	Leaving    bool
	// Deaf is set if no target answers, CutOff if all daemons of other data
	// centres are silent, Withdrawn if the daemon reports not ready because it
	// is cut off.
	Deaf      bool
	CutOff    bool
	Withdrawn bool
	// Peers is the number of peers that are not known to be gone, Rank this
	// daemon's position in the order in which daemons read the store.
	Peers int
	Rank  int
	// ConfigVersion is the version of the configuration in force, zero if there
	// is none.
	ConfigVersion int64
	// ConfigTable is the revision of the configuration's object.
	ConfigTable schema.Version
	// Era is the era of the store that this daemon knows, zero if the store had no drill
	// that it can tell. It is part of all revisions, in their high 16 bits.
	Era     uint16
	Topics  []TopicBelief
	Fleet   []PeerBelief
	Targets []steer.TargetBelief
	Pools   []steer.PoolBelief
	Flows   []steer.FlowBelief `json:",omitempty"`
}

// TopicBelief is the revision of a topic and the time since it was confirmed as
// current.
type TopicBelief struct {
	Topic string
	Rev   schema.Version
	Age   clock.Milli
	Sum   fleet.Sum
	// Kept is the number of objects of which this daemon keeps newer knowledge than the
	// store has after its return from an older copy.
	Kept int `json:",omitempty"`
	// From is from whom the last change came: "store" or a peer's address; empty
	// if there was none.
	From string `json:",omitempty"`
	// Proved is the revision up to which the replica was shown to be complete, ProofAge
	// the age of the state of the store that it was shown to hold, ProvedBy from whom
	// that came.
	Proved   schema.Version
	ProofAge clock.Milli
	ProvedBy string `json:",omitempty"`
}

// PeerBelief is what a peer's last summary states of its view.
type PeerBelief struct {
	ID            schema.VMID
	DataCentre    schema.DataCentreID
	Silence       clock.Milli
	ConfigVersion int64
	// ConfigRev is the revision of the configuration, ConfigAge the time since it
	// was confirmed.
	ConfigRev schema.Version
	ConfigAge clock.Milli
	// TargetsRev is the revision of the targets, TargetsProved the one up to which
	// they were shown to be complete, TargetsProofAge the age of that state.
	TargetsRev      schema.Version
	TargetsProved   schema.Version
	TargetsProofAge clock.Milli
	// Differs lists the topics of which the peer holds other objects than this
	// daemon although both are complete up to the same revision.
	Differs []string `json:",omitempty"`
}

// belief returns a snapshot of the daemon's view, with the flows of client if
// it is an IPv4 address and port.
func (d *Daemon) belief(client netip.AddrPort) *Belief {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	b := &Belief{
		ID: d.cfg.ID, DataCentre: d.cfg.DataCentre, Ready: d.isReady(), Leaving: d.leaving,
		Deaf: d.core.NoTargetAnswers(now), CutOff: d.membership.CutOff(now), Withdrawn: d.withdrawn(),
		Peers: d.membership.Members(now), Rank: d.membership.Rank(now), Targets: d.core.Beliefs(now), Pools: d.core.PoolBeliefs(),
	}
	b.ConfigVersion, b.ConfigTable = d.configVersion()
	b.Era = d.reader.Era()
	for t := range fleet.Topics {
		b.Topics = append(b.Topics, TopicBelief{
			Topic: t.String(), Rev: d.core.Replica().Rev(t), Age: wireAge(d.reader.Age(now, t)), Sum: d.core.Replica().Sum(t), Kept: d.core.Replica().Kept(t), From: d.learnedFrom[t],
			Proved: d.reader.Proof(t).Rev, ProofAge: wireAge(d.reader.ProofAge(now, t)), ProvedBy: d.provedBy[t],
		})
	}
	b.Fleet = d.fleetBelief(now)
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
			http.Error(w, "client "+text+" is not an IP:port", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d.belief(client)) // fails only if the client disconnected
}

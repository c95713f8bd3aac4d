package entry

import (
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// viewOf returns the view that a peer's summary states.
func viewOf(now clock.Milli, s *digest.Summary) watch.View {
	v := watch.View{ConfigVersion: s.ConfigVersion}
	for t, x := range s.Topics {
		v.Revs[t], v.Sums[t], v.Grounded[t], v.Confirmed[t] = x.Rev, x.Sum, x.Grounded, clock.Never
		if x.Age >= 0 {
			v.Confirmed[t] = now - x.Age
		}
		v.Proofs[t] = proofOf(now, x.Rev-x.Unproved, x.ProofAge)
	}
	return v
}

// proofOf returns the proof that a peer states, by its revision and its age.
func proofOf(now clock.Milli, rev schema.Version, age clock.Milli) watch.Proof {
	if age < 0 {
		return watch.Proof{Rev: rev, At: clock.Never}
	}
	return watch.Proof{Rev: rev, At: now - age}
}

// view returns the daemon's own view. The caller holds d.mu.
func (d *Daemon) view(now clock.Milli) watch.View {
	v := watch.View{Revs: d.core.Replica().Revs(), Sums: d.core.Replica().Sums()}
	v.ConfigVersion, _ = d.configVersion()
	for t := range fleet.Topics {
		v.Grounded[t], v.Confirmed[t], v.Proofs[t] = d.reader.Grounded(t), now-d.reader.Age(now, t), d.reader.Proof(t)
	}
	return v
}

// compareViews records the view that a peer's summary states and reports whether to
// pull from the peer. The caller holds d.mu.
func (d *Daemon) compareViews(now clock.Milli, from netip.AddrPort, s *digest.Summary) bool {
	own, theirs := d.view(now), viewOf(now, s)
	d.membership.RecordView(from, theirs)
	if d.core.KnowsDeployment() && slices.Contains(theirs.Revs[:], 0) {
		d.membership.Announce(now, from)
	}
	behind := false
	for t := range fleet.Topics {
		d.noteEra(now, theirs.Revs[t].Era(), string(s.ID))
	}
	for t := range fleet.Topics {
		if theirs.Grounded[t] && own.Revs[t] == theirs.Revs[t] && own.Sums[t] == theirs.Sums[t] {
			d.adoptProof(t, theirs.Proofs[t], string(s.ID))
		}
		switch {
		case own.Differs(&theirs, t):
			d.logDifference(s.ID, &own, &theirs, t)
			behind = d.reader.RecordDifference(now, t, theirs.Proofs[t]) || behind
		case theirs.Grounded[t] && !own.Grounded[t] && own.Sums[t] != theirs.Sums[t]:
			behind = true
		case theirs.Grounded[t]:
			behind = d.reader.RecordPeerRevision(now, t, theirs.Revs[t], theirs.Confirmed[t]) || behind
		case own.Revs[t] == 0 && theirs.Revs[t] != 0:
			behind = true // better than nothing
		}
	}
	return behind
}

// adoptProof records a proof of a topic that a peer has and this daemon's replica meets.
// The caller holds d.mu.
func (d *Daemon) adoptProof(t fleet.Topic, p watch.Proof, from string) {
	before := d.reader.Proof(t)
	d.reader.AdoptProof(t, p)
	if d.reader.Proof(t) != before {
		d.provedBy[t] = from
		d.core.Replica().Prove(t, d.reader.Proof(t).Rev)
	}
}

// logDifference counts and logs that a peer holds other objects of a topic than this
// daemon although both are complete up to the same revision. The caller holds d.mu.
func (d *Daemon) logDifference(peer schema.VMID, own, theirs *watch.View, t fleet.Topic) {
	d.metrics.viewsDiffer[t].Inc()
	d.log.sampledf("views: topic=%s revision=%d differs from peer=%s: sum=%016x theirs=%016x version=%d theirs=%d",
		t, own.Revs[t], peer, uint64(own.Sums[t]), uint64(theirs.Sums[t]), own.ConfigVersion, theirs.ConfigVersion)
}

// fleetBelief returns what the peers' last summaries state of their views. The caller
// holds d.mu.
func (d *Daemon) fleetBelief(now clock.Milli) []PeerBelief {
	var list []PeerBelief
	own := d.view(now)
	d.membership.Views(now, func(p *watch.Peer, v *watch.View) {
		b := PeerBelief{
			ID: p.ID, DataCentre: p.DataCentre, Silence: now - p.Heard(),
			ConfigVersion: v.ConfigVersion, ConfigRev: v.Revs[fleet.Config], ConfigAge: wireAge(now - v.Confirmed[fleet.Config]),
			TargetsRev: v.Revs[fleet.Targets], TargetsProved: v.Proofs[fleet.Targets].Rev, TargetsProofAge: wireAge(now - v.Proofs[fleet.Targets].At),
		}
		for t := range fleet.Topics {
			if own.Differs(v, t) {
				b.Differs = append(b.Differs, t.String())
			}
		}
		list = append(list, b)
	})
	return list
}

// otherVersions returns how many peers state another version of the configuration
// than this daemon has in force. The caller holds d.mu.
func (d *Daemon) otherVersions(now clock.Milli) int {
	n := 0
	own, _ := d.configVersion()
	d.membership.Views(now, func(_ *watch.Peer, v *watch.View) {
		if v.ConfigVersion != own {
			n++
		}
	})
	return n
}

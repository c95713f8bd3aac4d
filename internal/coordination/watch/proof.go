package watch

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// Proof is what a replica was shown to hold of a topic: all changes up to the revision
// Rev, and all that the store had acknowledged at the time At. A replica that claims a
// higher revision may lack changes after Rev.
type Proof struct {
	// Rev is zero and At is Never if nothing was shown.
	Rev schema.Version
	At  clock.Milli
}

// maxClaims bounds the revisions of the targets that wait to be proved.
const maxClaims = 32

// claim is a revision of the targets and the time from which it was held.
type claim struct {
	at  clock.Milli
	rev schema.Version
}

// noProof is the proof of a replica that rests on no current list.
var noProof = Proof{At: clock.Never}

// merge returns the proof of a replica that holds all that two proofs show.
func (p Proof) merge(other Proof) Proof {
	return Proof{Rev: max(p.Rev, other.Rev), At: max(p.At, other.At)}
}

// Proof returns what the replica of a topic was shown to hold.
func (r *Reader) Proof(t fleet.Topic) Proof { return r.proofs[t] }

// ProofAge returns the age of the state of the store that the replica of a topic was
// shown to hold.
func (r *Reader) ProofAge(now clock.Milli, t fleet.Topic) clock.Milli { return now - r.proofs[t].At }

// AdoptProof records a peer's proof of a topic. The replica must hold all that the
// peer's replica holds.
func (r *Reader) AdoptProof(t fleet.Topic, p Proof) {
	if !r.isLater(p.At, r.proofs[t].At) {
		p.At = clock.Never
	}
	r.prove(t, p)
}

// prove records a proof of a topic.
func (r *Reader) prove(t fleet.Topic, p Proof) {
	if p.Rev > r.proofs[t].Rev {
		r.announce = true // whoever waits for it would read the store
		r.relist[t], r.doubtLost[t] = false, false
	}
	if float64(p.At-r.proofs[t].At) > float64(r.bounds[t])*lateProofFraction {
		r.announce = true
	}
	r.proofs[t] = r.proofs[t].merge(p)
	r.dropProvedClaims()
}

// recordProof records what a read shows that began at the given time, other than a
// stale list. Rev is the revision of the answer.
func (r *Reader) recordProof(began clock.Milli, c Call, rev schema.Version) {
	switch {
	case c.List:
		r.prove(c.Topic, Proof{rev, began})
	case c.Since <= r.proofs[c.Topic].Rev:
		r.prove(c.Topic, Proof{r.claimedBefore(began - watchSilence), began - watchSilence})
	}
}

// claimedBefore returns the newest revision of the targets that was claimed until a
// time.
func (r *Reader) claimedBefore(at clock.Milli) schema.Version {
	rev := schema.Version(0)
	for _, c := range r.unproved {
		if c.at <= at {
			rev = c.rev
		}
	}
	return rev
}

// noteClaim records the revision of the targets that is claimed but not proved.
func (r *Reader) noteClaim(now clock.Milli) {
	rev, last := r.revs[fleet.Targets], r.proofs[fleet.Targets].Rev
	n := len(r.unproved)
	if n > 0 {
		last = r.unproved[n-1].rev
	}
	switch {
	case rev <= last:
	case n == maxClaims:
		r.unproved[n-1] = claim{now, rev} // as if the last claim had been made now
	default:
		r.unproved = append(r.unproved, claim{now, rev})
	}
}

// dropProvedClaims drops the claims that are proved.
func (r *Reader) dropProvedClaims() {
	for len(r.unproved) > 0 && r.unproved[0].rev <= r.proofs[fleet.Targets].Rev {
		r.unproved = r.unproved[1:]
	}
}

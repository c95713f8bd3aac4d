package entry

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
)

// keptWait is how long a new daemon waits for a peer before it is ready if the store had a
// drill: what it read may be older than what peers keep. Seeds answer a first summary at
// once and a pull takes a few round trips; a longer wait would cost clients a
// retransmission if no peer answers.
const keptWait = 300 * clock.Milli(1)

// awaitsKept reports whether this daemon should not be ready yet as peers may keep newer
// knowledge than the store has. The caller holds d.mu.
func (d *Daemon) awaitsKept() bool {
	return d.reader.Era() != 0 && !d.removalsPulled && !d.membership.Empty() && d.lastTick-d.startedAt < keptWait
}

// noteEra records an era of the store that an answer or a peer shows. The caller holds
// d.mu.
func (d *Daemon) noteEra(now clock.Milli, era uint16, from string) {
	before, r := d.reader.Era(), d.core.Replica()
	d.store.SeeEra(era)
	if d.reader.RecordEra(now, era) {
		d.log.infof("era: the store returned from an older copy: era=%d before=%d from=%s config=%d targets=%d outs=%d; topics are listed again",
			era, before, from, r.Rev(fleet.Config).Revision(), r.Rev(fleet.Targets).Revision(), r.Rev(fleet.Outs).Revision())
	}
}

// logKept logs what the replica keeps against a store that returned from an older copy,
// and what it no longer keeps. The caller holds d.mu.
func (d *Daemon) logKept() {
	for _, n := range d.core.Replica().TakeNotes() {
		verb := "kept"
		if n.Ended {
			verb = "given up"
		}
		d.log.infof("era: %s: topic=%s name=%s reason=%q known=%d/%d store=%d/%d",
			verb, n.Topic, n.Name, n.Reason, n.Known.Era(), n.Known.Revision(), n.Listed.Era(), n.Listed.Revision())
	}
}

// endKept drops the kept objects that the store still lacks after their bounds. The caller
// holds d.mu.
func (d *Daemon) endKept(now clock.Milli) {
	if d.reader.Era() == 0 {
		return
	}
	var confirmed [fleet.Topics]clock.Milli
	for t := range fleet.Topics {
		confirmed[t] = now - d.reader.Age(now, t)
	}
	d.summaryUrgent = d.core.EndKept(now, confirmed) || d.summaryUrgent
	d.logKept()
}

package entry

import (
	"context"

	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/transport/reach"
)

// proberCount is the number of concurrent probers: one for each probe that the
// core may have under way.
const proberCount = steer.MaxProbes

// runProbes connects to the targets that the core wants probed and reports the
// outcomes to it.
func (d *Daemon) runProbes(ctx context.Context) error {
	return duty.Consume(ctx, d.probeQueue, func(p steer.Probe) {
		reached, linked := reach.CheckBeside(ctx, p.Address, p.Control)
		o := outcomeOf(reached)
		p.Linked = linked
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.clock.Now()
		d.metrics.probes[o].Inc()
		if d.core.ProbeDone(now, p, o) {
			d.log.sampledf("probe: target=%s address=%s outcome=%s linked=%t took=%dms dead=%t", p.ID, p.Address, o, p.Linked, now-p.Began, o != steer.Accepted)
		}
	})
}

// outcomeOf converts the result of a connection attempt to a probe outcome.
func outcomeOf(o reach.Outcome) steer.Outcome {
	switch o {
	case reach.Open:
		return steer.Accepted
	case reach.Refused:
		return steer.Refused
	case reach.Failed:
		return steer.Failed
	default:
		return steer.Silent
	}
}

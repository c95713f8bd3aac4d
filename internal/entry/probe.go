package entry

import (
	"context"

	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/transport/reach"
)

// probers is the number of probes made at the same time.
const probers = steer.MaxProbes

// probe makes the probes that the core asks for.
func (d *Daemon) probe(ctx context.Context) error {
	return duty.Drain(ctx, d.probes, func(p steer.Probe) {
		o := outcomeOf(reach.Try(ctx, p.Address))
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.clock.Now()
		d.metrics.probes[o].Inc()
		if d.core.Probed(now, p, o) {
			d.log.sampled("probe: target=%s address=%s outcome=%s took=%dms dead=%t", p.ID, p.Address, o, now-p.Began, o != steer.Accepted)
		}
	})
}

// outcomeOf returns what the end of an attempt means for a target.
func outcomeOf(e reach.End) steer.Outcome {
	switch e {
	case reach.Open:
		return steer.Accepted
	case reach.Refused:
		return steer.Refused
	default:
		return steer.Silent
	}
}

package entry

import (
	"reflect"
	"runtime/debug"

	"coltsfootdock/internal/clock"
)

const (
	// memoryLimitQuarters is the soft memory limit of the Go runtime, in quarters
	// of the VM's memory; near it the garbage collector runs more often.
	memoryLimitQuarters = 3
	// removedTargetMargin is how long a removed target is remembered beyond the
	// maximum life of a flow, so that its last flows can still be recognised.
	removedTargetMargin = clock.Minute
)

// applyLimits applies the bounds and limits of the settings.
func (d *Daemon) applyLimits() {
	d.reader.SetBounds(topicBounds(d.cfg.Bounds))
	d.core.SetPolicy(d.cfg.Policy)
	d.core.Replica().SetRetention(d.cfg.Bounds.FlowLife + removedTargetMargin)
	if d.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(d.cfg.MemoryMB) << 20 / 4 * memoryLimitQuarters)
	}
}

// Reload reads the settings again and applies those that can change while the
// daemon runs: bounds, seeds and limits. Invalid settings change nothing. The
// reason, such as "signal", is logged; a reload because of "file" is periodic
// and doesn't log that nothing changed.
func (d *Daemon) Reload(reason string) {
	cfg, err := d.adapter.LoadSettings()
	if err != nil {
		d.log.sampledf("reload: by=%s: settings not taken: %s", reason, err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	cfg.Metrics = d.cfg.Metrics // the command line sets it, not the file
	if reflect.DeepEqual(cfg, d.loaded) {
		if reason != "file" {
			d.log.infof("reload: by=%s: nothing changed", reason)
		}
		return
	}
	loaded := *cfg
	d.loaded = &loaded
	if cfg.Data != d.cfg.Data || cfg.Ready != d.cfg.Ready || cfg.Peer != d.cfg.Peer || cfg.Store != d.cfg.Store || cfg.ID != d.cfg.ID {
		d.log.infof("reload: by=%s: ID and addresses stay until the next start", reason)
	}
	cfg.Data, cfg.Ready, cfg.Peer, cfg.Store = d.cfg.Data, d.cfg.Ready, d.cfg.Peer, d.cfg.Store
	cfg.ID, cfg.DataCentre = d.cfg.ID, d.cfg.DataCentre
	d.cfg = cfg
	d.applyLimits()
	d.membership.SetSeeds(seedAddrs(cfg))
	d.log.infof("reload: by=%s: settings applied; bound=%dms seeds=%d", reason, tightestBound(cfg.Bounds), len(cfg.Seeds))
}

package entry

import (
	"reflect"
	"runtime/debug"

	"coltsfootdock/internal/clock"
)

const (
	// memoryPart is the part of the VM's memory, in quarters, at which the
	// collector works harder.
	memoryPart = 3
	// keepAfter is how long a target that is gone is remembered after the last
	// of its flows has ended.
	keepAfter = clock.Minute
)

// useLimits takes over the bounds and limits of the settings.
func (d *Daemon) useLimits() {
	d.reader.SetBound(tightest(d.cfg.Bounds))
	d.core.Book().Keep(d.cfg.Bounds.FlowLife + keepAfter)
	if d.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(d.cfg.MemoryMB) << 20 / 4 * memoryPart)
	}
}

// Reload reads the settings again and takes over what can change while the
// daemon runs: bounds, seeds and limits. Why tells what asked for it. Settings
// that can't be used change nothing.
func (d *Daemon) Reload(why string) {
	cfg, err := d.wire.Load()
	if err != nil {
		d.log.sampled("reload: by=%s: settings not taken: %s", why, err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	cfg.Metrics = d.cfg.Metrics
	if reflect.DeepEqual(cfg, d.loaded) {
		if why != "file" {
			d.log.event("reload: by=%s: nothing changed", why)
		}
		return
	}
	loaded := *cfg
	d.loaded = &loaded
	if cfg.Data != d.cfg.Data || cfg.Ready != d.cfg.Ready || cfg.Peer != d.cfg.Peer || cfg.Store != d.cfg.Store || cfg.ID != d.cfg.ID {
		d.log.event("reload: by=%s: ID and addresses stay until the next start", why)
	}
	cfg.Data, cfg.Ready, cfg.Peer, cfg.Store = d.cfg.Data, d.cfg.Ready, d.cfg.Peer, d.cfg.Store
	cfg.ID, cfg.DataCentre = d.cfg.ID, d.cfg.DataCentre
	d.cfg = cfg
	d.useLimits()
	d.crowd.SetSeeds(seedAddrs(cfg))
	d.log.event("reload: by=%s: settings taken; bound=%dms seeds=%d", why, tightest(cfg.Bounds), len(cfg.Seeds))
}

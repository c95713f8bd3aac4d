package plat

import (
	"maps"
	"slices"
	"time"

	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// Reading says what the store does where the protocol leaves it open. Stores of
// every reading follow the protocol.
type Reading struct {
	// StaleBehind is how old the answers to requests for stale data are. With
	// StaleItemsOnly only their items are: the revision beside them is the current
	// one.
	StaleBehind    time.Duration
	StaleItemsOnly bool
	// NewestFirst orders the events of an answer from the newest to the oldest.
	NewestFirst bool
	// RemovedAsWritten gives the object of a removal the revision of its last write
	// instead of that of the removal.
	RemovedAsWritten bool
	// KindRevision makes watches answer with the revision of the last change of
	// their kind instead of the store's.
	KindRevision bool
	// HushedPassesChanges makes watches that hear nothing answer with the current
	// revision, past the changes that they don't tell. Otherwise they answer with the
	// revision that they were asked for.
	HushedPassesChanges bool
}

// pastList is the state of a kind until a time.
type pastList struct {
	until    time.Time
	revision schema.Version
	objects  map[key]platform.Object
}

// pastRetention is how long past states are kept beyond Reading.StaleBehind.
const pastRetention = time.Second

// SetReading sets the store's reading.
func (p *Platform) SetReading(r Reading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = r
}

// HushWatches makes watches hear nothing for a time. Then the history is dropped and
// waiting watches end.
func (p *Platform) HushWatches(d time.Duration) {
	p.mu.Lock()
	p.hushed = true
	p.mu.Unlock()
	time.AfterFunc(d, func() {
		p.mu.Lock()
		p.hushed = false
		p.mu.Unlock()
		p.Compact()
	})
}

// keepPast keeps the state of a kind for stale lists before it changes. The caller
// holds the lock.
func (p *Platform) keepPast(kind string) {
	if p.reading.StaleBehind == 0 {
		return
	}
	past := pastList{until: time.Now(), revision: p.revision, objects: maps.Clone(p.objects)}
	maps.DeleteFunc(past.objects, func(k key, _ platform.Object) bool { return k.kind != kind })
	p.past[kind] = slices.DeleteFunc(append(p.past[kind], past), func(l pastList) bool {
		return time.Since(l.until) > p.reading.StaleBehind+pastRetention
	})
}

// pastPage returns the page of a kind as of Reading.StaleBehind ago.
func (p *Platform) pastPage(kind, after string) platform.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := time.Now().Add(-p.reading.StaleBehind)
	objects, revision := p.objects, p.revision
	for _, l := range p.past[kind] {
		if l.until.After(at) {
			objects, revision = l.objects, l.revision
			break
		}
	}
	if p.reading.StaleItemsOnly {
		revision = p.revision
	}
	return pageOf(objects, revision, kind, after)
}

// applyReading changes the answer to a watch as the reading says. The caller holds
// the lock.
func (p *Platform) applyReading(kind string, since schema.Version, c *platform.Changes) {
	switch {
	case p.hushed:
		c.Events = []platform.Event{}
		if !p.reading.HushedPassesChanges {
			c.StoreRevision = since
		}
		return
	case p.reading.KindRevision:
		c.StoreRevision = since
		for i := range p.history {
			if p.history[i].key.kind == kind {
				c.StoreRevision = max(c.StoreRevision, p.history[i].rev)
			}
		}
	}
	if p.reading.NewestFirst {
		slices.Reverse(c.Events)
	}
}

package plat

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// undoRetention is how far back a drill can return: longer than the copies of the
// platform's store, which are some seconds old.
const undoRetention = time.Minute

// undo holds the state of an object before a change.
type undo struct {
	at       time.Time
	key      key
	revision schema.Version
	object   platform.Object
	existed  bool
}

// keepUndo records the state of an object before a change. The caller holds the lock.
func (p *Platform) keepUndo(k key) {
	o, ok := p.objects[k]
	p.undos = append(p.undos, undo{at: time.Now(), key: k, revision: p.revision, object: o, existed: ok})
	if old := slices.IndexFunc(p.undos, func(u undo) bool { return time.Since(u.at) <= undoRetention }); old > 0 {
		p.undos = slices.Delete(p.undos, 0, old)
	}
}

// SetEra sets the era that answers state.
func (p *Platform) SetEra(era uint16) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era = era
}

// Drill returns the store to its state of some time ago and starts the next era. It
// assigns the revisions since then again. If forget is set, the history of changes is
// lost too. The leases of objects start again.
func (p *Platform) Drill(age time.Duration, forget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := time.Now().Add(-age)
	for n := len(p.undos); n > 0 && p.undos[n-1].at.After(since); n-- {
		u := p.undos[n-1]
		p.undos = p.undos[:n-1]
		p.revision = u.revision
		if u.existed {
			p.objects[u.key] = u.object
		} else {
			delete(p.objects, u.key)
		}
	}
	clear(p.lastWrite)
	for k := range p.objects {
		p.lastWrite[k] = time.Now()
	}
	p.history = slices.DeleteFunc(p.history, func(c change) bool { return c.rev > p.revision })
	if forget {
		p.history, p.historyStart = nil, p.revision+1
	}
	p.historyStart = min(p.historyStart, p.revision+1)
	clear(p.stale)
	clear(p.past)
	p.era++
	p.notifyWatches()
}

// eraWriter sets the header of the era in an answer. It drops the connection of a call
// that a drill interrupts, as the store is unavailable then.
type eraWriter struct {
	http.ResponseWriter
	p   *Platform
	era uint16
}

// newEraWriter returns the writer of the answer to a call that begins now.
func (p *Platform) newEraWriter(w http.ResponseWriter) *eraWriter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &eraWriter{ResponseWriter: w, p: p, era: p.era}
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(code int) {
	w.p.mu.Lock()
	interrupted := w.era != w.p.era
	w.p.mu.Unlock()
	if interrupted {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.EraHeader, strconv.Itoa(int(w.era)))
	w.ResponseWriter.WriteHeader(code)
}

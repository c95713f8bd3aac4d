// Package plat is a stand-in for the platform's store. It keeps objects by kind and
// name under one revision counter and offers conditional updates, long-polling
// watches over a history that can be compacted, and injectable faults.
package plat

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// FirstRevision is the revision of an empty store; the first write increments it.
const FirstRevision schema.Version = 1

const (
	maxValue = 1 << 20 // bytes
	maxWatch = 30 * time.Second
	pageSize = 500
	// maxHistory is the greatest number of changes in the history.
	maxHistory = 10000
	// maxStaleness is how old a page may be in the answer to a request that allows
	// stale data.
	maxStaleness = 2 * time.Second
)

// stalePage is a page of a list and the time at which it was read.
type stalePage struct {
	at   time.Time
	list platform.List
}

// Calls counts the calls by outcome.
type Calls struct {
	Reads, Writes, Refused int
}

// key identifies an object.
type key struct{ kind, name string }

// change is one entry of the history.
type change struct {
	key     key
	rev     schema.Version
	deleted bool
	object  platform.Object
}

// Platform is an in-memory store. It is safe for concurrent use.
type Platform struct {
	mux *http.ServeMux
	mu  sync.Mutex
	// changed is closed and replaced when the history changes.
	changed   chan struct{}
	revision  schema.Version
	objects   map[key]platform.Object
	lastWrite map[key]time.Time
	lifetimes map[string]time.Duration
	history   []change
	// historyStart is the revision at which the retained history starts. Earlier
	// changes have been dropped.
	historyStart schema.Version
	// stale holds the last pages that requests for stale data received, by kind and
	// name after which the page starts.
	stale   map[key]stalePage
	reading Reading
	// past holds the past states of kinds for Reading.StaleBehind, the oldest first.
	past map[string][]pastList
	// hushed is set while watches hear nothing.
	hushed bool
	fault  Fault
	// writeFault meets writeShare of the writes, which chance selects.
	writeFault WriteFault
	writeShare float64
	chance     *rand.Rand
	reads      *rate.Limiter
	writes     *rate.Limiter
	calls      Calls
	// era counts the drills. undos are the changes that a drill may revert, the oldest
	// first.
	era   uint16
	undos []undo
}

// New returns an empty platform without faults.
func New() *Platform {
	p := &Platform{
		mux:          http.NewServeMux(),
		changed:      make(chan struct{}),
		objects:      make(map[key]platform.Object),
		lastWrite:    make(map[key]time.Time),
		lifetimes:    make(map[string]time.Duration),
		stale:        make(map[key]stalePage),
		past:         make(map[string][]pastList),
		chance:       rand.New(rand.NewPCG(1, 1)),
		revision:     FirstRevision,
		era:          1,
		historyStart: FirstRevision,
	}
	p.mux.HandleFunc("GET "+platform.ObjectsPath+"{kind}", p.list)
	p.mux.HandleFunc("GET "+platform.ObjectsPath+"{kind}/{name}", p.get)
	p.mux.HandleFunc("POST "+platform.ObjectsPath+"{kind}", p.create)
	p.mux.HandleFunc("PUT "+platform.ObjectsPath+"{kind}/{name}", p.replace)
	p.mux.HandleFunc("DELETE "+platform.ObjectsPath+"{kind}/{name}", p.remove)
	p.mux.HandleFunc("POST /fault", p.setFault)
	p.mux.HandleFunc("POST /compact", func(w http.ResponseWriter, _ *http.Request) {
		p.Compact()
		writeJSON(w, http.StatusOK, struct{}{})
	})
	p.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		calls := p.calls
		p.mu.Unlock() // the writer locks it to read the era
		writeJSON(w, http.StatusOK, calls)
	})
	return p
}

// Compact drops the history, so that watches from an earlier revision fail.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history, p.historyStart = nil, p.revision+1
	p.notifyWatches()
}

// Expire sets the time after which Sweep removes the objects of a kind that have
// not been written.
func (p *Platform) Expire(kind string, lifetime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lifetimes[kind] = lifetime
}

// Sweep removes the expired objects.
func (p *Platform) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, at := range p.lastWrite {
		if lifetime := p.lifetimes[k.kind]; lifetime > 0 && time.Since(at) > lifetime {
			p.drop(k)
		}
	}
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	control := r.URL.Path == "/fault" || r.URL.Path == "/calls" || r.URL.Path == "/compact"
	answer := p.newEraWriter(w)
	if !control && !p.admit(r) {
		http.Error(answer, "the platform is down or over its rate", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(answer, r)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has(platform.QueryWatch) {
		p.watch(w, r)
		return
	}
	after := r.URL.Query().Get(platform.QueryAfter)
	if r.URL.Query().Get(platform.QueryStale) == "1" {
		writeJSON(w, http.StatusOK, p.staleList(r.PathValue("kind"), after))
		return
	}
	writeJSON(w, http.StatusOK, p.listAfter(r.PathValue("kind"), after))
}

// staleList returns a page that is at most maxStaleness old.
func (p *Platform) staleList(kind, after string) platform.List {
	k := key{kind, after}
	p.mu.Lock()
	s, ok := p.stale[k]
	past := p.reading.StaleBehind > 0
	p.mu.Unlock()
	if past {
		return p.pastPage(kind, after)
	}
	if ok && time.Since(s.at) < maxStaleness {
		return s.list
	}
	s = stalePage{at: time.Now(), list: p.listAfter(kind, after)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale[k] = s
	return s.list
}

// listAfter returns the page of a kind's objects whose names follow a name.
func (p *Platform) listAfter(kind, after string) platform.List {
	p.mu.Lock()
	defer p.mu.Unlock()
	return pageOf(p.objects, p.revision, kind, after)
}

// pageOf returns the page of a kind's objects whose names follow a name.
func pageOf(objects map[key]platform.Object, revision schema.Version, kind, after string) platform.List {
	l := platform.List{Items: []json.RawMessage{}, StoreRevision: revision}
	var names []string
	for k := range objects {
		if k.kind == kind && k.name > after {
			names = append(names, k.name)
		}
	}
	slices.Sort(names)
	if len(names) > pageSize {
		names, l.HasMore = names[:pageSize], true
	}
	for _, n := range names {
		l.Items = append(l.Items, encode(objects[key{kind, n}]))
	}
	return l
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get(platform.QueryWatch), 10, 64)
	wait, waitErr := strconv.ParseUint(r.URL.Query().Get(platform.QueryWait), 10, 32)
	if err != nil || waitErr != nil {
		http.Error(w, "watch must be a revision, and the wait milliseconds", http.StatusBadRequest)
		return
	}
	deadline := time.After(min(clock.Milli(wait).Duration(), maxWatch))
	timedOut := false
	for {
		c, available, changed := p.since(r.PathValue("kind"), schema.Version(since))
		if !available {
			http.Error(w, "these changes are no longer kept", http.StatusGone)
			return
		}
		if timedOut || len(c.Events) > 0 {
			writeJSON(w, http.StatusOK, c)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns a kind's changes after a revision and the channel that is closed
// at the next change. It reports false if the history no longer covers the
// revision.
func (p *Platform) since(kind string, rev schema.Version) (platform.Changes, bool, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := platform.Changes{Events: []platform.Event{}, StoreRevision: p.revision}
	if rev+1 < p.historyStart || rev > p.revision {
		return c, false, nil
	}
	for i := range p.history {
		if h := &p.history[i]; h.rev > rev && h.key.kind == kind {
			c.Events = append(c.Events, platform.Event{Deleted: h.deleted, Object: encode(h.object)})
		}
	}
	p.applyReading(kind, rev, &c)
	return c, true, p.changed
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[requestKey(r)]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func requestKey(r *http.Request) key { return key{r.PathValue("kind"), r.PathValue("name")} }

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	k := key{r.PathValue("kind"), o.Meta.Name}
	p.write(w, func() (platform.Object, bool) {
		if old, exists := p.objects[k]; exists {
			return old, false
		}
		return p.put(k, o), true
	})
}

func (p *Platform) replace(w http.ResponseWriter, r *http.Request) {
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	k := requestKey(r)
	p.mu.Lock()
	_, exists := p.objects[k]
	p.mu.Unlock()
	if !exists {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	p.write(w, func() (platform.Object, bool) {
		old := p.objects[k]
		if o.Meta.Rev != 0 && old.Meta.Rev != o.Meta.Rev {
			return old, false
		}
		return p.put(k, o), true
	})
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	k := requestKey(r)
	rev, _ := strconv.ParseUint(r.URL.Query().Get(platform.QueryRev), 10, 64)
	p.write(w, func() (platform.Object, bool) {
		old, exists := p.objects[k]
		if !exists || rev != 0 && old.Meta.Rev != schema.Version(rev) {
			return old, false
		}
		p.drop(k)
		return old, true
	})
}

// readObject reads an object from a request's body. If that fails, it answers the
// request and reports false.
func readObject(w http.ResponseWriter, r *http.Request) (platform.Object, bool) {
	var o platform.Object
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return o, false
	}
	if err := json.Unmarshal(data, &o); err != nil || o.Meta.Name == "" {
		http.Error(w, "the body must be an object with a name", http.StatusBadRequest)
		return o, false
	}
	return o, true
}

// Put writes an object of any kind unconditionally, as the platform's own writers
// do, and returns its revision.
func (p *Platform) Put(kind, name string, spec any) schema.Version {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs of the stand-ins are always encodable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.put(key{kind, name}, platform.Object{Meta: platform.Meta{Name: name}, Spec: data}).Meta.Rev
}

// Drop removes an object of any kind.
func (p *Platform) Drop(kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(key{kind, name})
}

// put stores an object. The caller holds the lock.
func (p *Platform) put(k key, o platform.Object) platform.Object {
	p.lastWrite[k] = time.Now()
	if old, ok := p.objects[k]; ok && string(old.Spec) == string(o.Spec) {
		return old // an unchanged object keeps its revision
	}
	p.keepPast(k.kind)
	p.keepUndo(k)
	p.revision++
	o.Meta.Rev = p.revision
	p.objects[k] = o
	p.record(change{key: k, rev: p.revision, object: o})
	return o
}

// drop removes an object. The caller holds the lock.
func (p *Platform) drop(k key) {
	o, ok := p.objects[k]
	if !ok {
		return
	}
	p.keepPast(k.kind)
	p.keepUndo(k)
	p.revision++
	delete(p.objects, k)
	delete(p.lastWrite, k)
	if !p.reading.RemovedAsWritten {
		o.Meta.Rev = p.revision
	}
	p.record(change{key: k, rev: p.revision, deleted: true, object: o})
}

// record appends a change to the history and drops the oldest beyond maxHistory.
// The caller holds the lock.
func (p *Platform) record(c change) {
	p.history = append(p.history, c)
	if n := len(p.history) - maxHistory; n > 0 {
		p.historyStart = p.history[n-1].rev + 1
		p.history = slices.Clone(p.history[n:])
	}
	p.notifyWatches()
}

// notifyWatches wakes the waiting watches. The caller holds the lock.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Names returns the sorted names of a kind's objects.
func (p *Platform) Names(kind string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for k := range p.objects {
		if k.kind == kind {
			names = append(names, k.name)
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	return names
}

func encode(o platform.Object) json.RawMessage {
	data, err := json.Marshal(o)
	if err != nil {
		panic(err) // a decoded object can always be encoded
	}
	return data
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller closed the connection
}

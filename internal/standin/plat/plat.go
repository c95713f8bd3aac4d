// Package plat is a stand-in for the platform's object API: versions,
// conditional updates, waiting watches, and faults that a test sets.
package plat

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

const (
	maxValue = 1 << 20
	maxWatch = 30 * time.Second
)

// Fault is what goes wrong with calls.
type Fault struct {
	// Down refuses all calls.
	Down bool
	// DelayMilliseconds holds every call back.
	DelayMilliseconds int
	// LoseAnswers executes that many writes without answering them.
	LoseAnswers int
	// ReadsPerSecond and WritesPerSecond cap the calls; zero means no cap.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Calls counts what the platform served.
type Calls struct {
	Reads, Writes, Refused int
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mux      *http.ServeMux
	mu       sync.Mutex
	changed  chan struct{}
	revision schema.Version
	objects  map[object.ID]object.Object
	fault    Fault
	reads    *rate.Limiter
	writes   *rate.Limiter
	calls    Calls
}

// New returns an empty platform without faults.
func New() *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		objects: make(map[object.ID]object.Object),
	}
	p.mux.HandleFunc("GET /objects", p.list)
	p.mux.HandleFunc("GET /objects/{kind}/{name}", p.get)
	p.mux.HandleFunc("PUT /objects/{kind}/{name}", p.write)
	p.mux.HandleFunc("DELETE /objects/{kind}/{name}", p.write)
	p.mux.HandleFunc("POST /fault", p.setFault)
	p.mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		answer(w, http.StatusOK, p.calls)
	})
	return p
}

// SetFault replaces the faults.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.reads, p.writes = nil, nil
	if f.ReadsPerSecond > 0 {
		p.reads = rate.NewLimiter(rate.Limit(f.ReadsPerSecond), int(f.ReadsPerSecond)+1)
	}
	if f.WritesPerSecond > 0 {
		p.writes = rate.NewLimiter(rate.Limit(f.WritesPerSecond), int(f.WritesPerSecond)+1)
	}
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
	answer(w, http.StatusOK, f)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/fault" && r.URL.Path != "/calls" && !p.admit(r) {
		http.Error(w, "the platform is down or over its rate", http.StatusServiceUnavailable)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// admit applies the faults that come before a call.
func (p *Platform) admit(r *http.Request) bool {
	p.mu.Lock()
	f := p.fault
	limit := p.reads
	if r.Method != http.MethodGet {
		limit = p.writes
	}
	ok := !f.Down && (limit == nil || limit.Allow())
	if !ok {
		p.calls.Refused++
	} else if r.Method == http.MethodGet {
		p.calls.Reads++
	} else {
		p.calls.Writes++
	}
	p.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	return ok
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	since, err := number(r, "since")
	if err != nil {
		http.Error(w, "since must be a revision", http.StatusBadRequest)
		return
	}
	wait, err := number(r, "wait")
	if err != nil {
		http.Error(w, "wait must be milliseconds", http.StatusBadRequest)
		return
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWatch))
	for {
		l, changed := p.since(schema.Version(since))
		if wait == 0 || l.Revision > schema.Version(since) {
			answer(w, http.StatusOK, l)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func number(r *http.Request, key string) (uint64, error) {
	text := r.URL.Query().Get(key)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (p *Platform) since(rev schema.Version) (object.List, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := object.List{Revision: p.revision}
	for _, o := range p.objects {
		if o.Version > rev {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, p.changed
}

func id(r *http.Request) object.ID {
	return object.ID{Kind: object.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[id(r)]
	p.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (p *Platform) write(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	o := object.Object{Kind: id(r).Kind, Name: id(r).Name, Data: data, Deleted: r.Method == http.MethodDelete}
	if o.Deleted {
		o.Data = nil
	}
	o, ok, lost := p.put(o, schema.Version(expect))
	switch {
	case lost:
		panic(http.ErrAbortHandler) // the connection breaks without an answer
	case !ok:
		http.Error(w, "version is "+strconv.FormatUint(uint64(o.Version), 10), http.StatusConflict)
	default:
		answer(w, http.StatusOK, o)
	}
}

// put writes an object if its version is still expect. It returns the object
// that stands afterwards and whether the answer is to be lost.
func (p *Platform) put(o object.Object, expect schema.Version) (_ object.Object, ok, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.objects[o.ID()]
	if old.Deleted {
		old.Version = 0
	}
	if old.Version != expect {
		return old, false, false
	}
	p.revision++
	o.Version = p.revision
	p.objects[o.ID()] = o
	close(p.changed)
	p.changed = make(chan struct{})
	if p.fault.LoseAnswers > 0 {
		p.fault.LoseAnswers--
		return o, true, true
	}
	return o, true, false
}

func answer(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the caller hung up
}

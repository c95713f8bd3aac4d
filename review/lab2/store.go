//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeHistory is how long the store keeps its changes and past states.
const storeHistory = 20 * time.Second

// object is an object of the store.
type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Rev        uint64   `json:"rev"`
		CreatedAt  int64    `json:"createdAt"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
	rev     uint64
	at      time.Time
}

// store is a stand-in of the platform's store. It serves lists and watches; its other
// writers are in this process.
type store struct {
	mu       sync.Mutex
	rev      uint64
	firstRev uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
	// staleBy is how old the answers are to calls that allow old data.
	staleBy time.Duration
	down    bool
	server  *http.Server
	addr    string
	// calls counts the calls by their outcome.
	calls map[string]int
	logf  func(format string, args ...any)
}

func newStore(addr string) (*store, error) {
	s := &store{rev: 100, firstRev: 100, objects: make(map[string]map[string]object), changed: make(chan struct{}), calls: make(map[string]int), addr: addr}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /coltsfootdock/objects/{kind}", s.read)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put replaces the spec of an object, or creates it, and returns when that was done. A
// write that changes nothing does not count.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // all specs of this program can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, known := s.objects[kind][name]
	if known && string(o.Spec) == string(data) {
		return time.Now()
	}
	s.rev++
	o.Meta.Name, o.Meta.Rev, o.Spec, o.Status = name, s.rev, data, json.RawMessage("null")
	o.Meta.Finalizers = []string{}
	if !known {
		o.Meta.CreatedAt = time.Now().Unix()
	}
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind, rev: s.rev})
	return time.Now()
}

// remove removes an object, if it is there.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	o.Meta.Rev = s.rev
	s.record(event{Deleted: true, Object: o, kind: kind, rev: s.rev})
}

// record adds a change to the history. The caller holds s.mu.
func (s *store) record(e event) {
	e.at = time.Now()
	s.events = append(s.events, e)
	for len(s.events) > 0 && time.Since(s.events[0].at) > storeHistory {
		s.firstRev = s.events[0].rev
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown sets whether the store refuses all calls.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// setStaleBy sets how old the answers are to calls that allow old data.
func (s *store) setStaleBy(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleBy = d
}

// count counts a call and logs it. The caller holds s.mu.
func (s *store) count(outcome string) {
	s.calls[outcome]++
	if s.logf != nil {
		s.logf("call of the store: %s, revision %d", outcome, s.rev)
	}
}

// read answers a list or a watch.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	kind := r.PathValue("kind")
	s.mu.Lock()
	if s.down {
		s.count("503 " + kind)
		s.mu.Unlock()
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
		return
	}
	if q.Has("watch") {
		s.mu.Unlock()
		s.watch(w, r, kind)
		return
	}
	at := time.Now()
	if q.Get("serializable") == "1" {
		at = at.Add(-s.staleBy)
		s.count("stale list " + kind)
	} else {
		s.count("list " + kind)
	}
	items, rev := s.stateAt(kind, at)
	s.mu.Unlock()
	after := q.Get("after")
	items = slices.DeleteFunc(items, func(o object) bool { return o.Meta.Name <= after })
	answer(w, map[string]any{"items": items, "hasMore": false, "storeRevision": rev})
}

// stateAt returns the objects of a kind as they were at a time, sorted by name, and the
// revision of that time. The caller holds s.mu.
func (s *store) stateAt(kind string, at time.Time) ([]object, uint64) {
	state := make(map[string]object)
	for name, o := range s.objects[kind] {
		state[name] = o
	}
	rev := s.rev
	for i := len(s.events) - 1; i >= 0 && s.events[i].at.After(at); i-- {
		rev = s.events[i].rev - 1
		if s.events[i].kind != kind {
			continue
		}
		name := s.events[i].Object.Meta.Name
		delete(state, name)
		for j := i - 1; j >= 0; j-- {
			if e := s.events[j]; e.kind == kind && e.Object.Meta.Name == name {
				if !e.Deleted {
					state[name] = e.Object
				}
				break
			}
		}
	}
	list := make([]object, 0, len(state))
	for _, o := range state {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y object) int {
		if x.Meta.Name < y.Meta.Name {
			return -1
		}
		return 1
	})
	return list, rev
}

// watch answers a call for the changes of a kind since a revision.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "watch and waitMs must be numbers", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		if s.down {
			s.count("503 watch " + kind)
			s.mu.Unlock()
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return
		}
		if since < s.firstRev {
			s.count("410 " + kind)
			s.mu.Unlock()
			http.Error(w, "this history is gone", http.StatusGone)
			return
		}
		list := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				list = append(list, e)
			}
		}
		rev, changed := s.rev, s.changed
		if done || len(list) > 0 {
			s.count("watch " + kind)
			s.mu.Unlock()
			answer(w, map[string]any{"events": list, "storeRevision": rev})
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that left reads nothing
}

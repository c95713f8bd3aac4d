//go:build review

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath   = "/coltsfootdock/objects/"
	storeLatency  = 4 * time.Millisecond
	maxStoreWatch = 30 * time.Second
)

type meta struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedAt  int64    `json:"createdAt"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta `json:"meta"`
	Spec   any  `json:"spec"`
	Status any  `json:"status"`
}

type event struct {
	Deleted bool   `json:"deleted"`
	Object  object `json:"object"`
	kind    string
	rev     uint64
}

// store is the platform's store: objects by kind and name under one revision counter.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	history []event
	changed chan struct{}
	down    bool
	reads   int
	refused int
	// lastReads are the callers of all reads, in their order.
	lastReads []int
}

func newStore() *store {
	return &store{rev: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// serve answers calls on a listener until it is closed.
// caller is the number of the daemon that calls there.
func (s *store) serve(l net.Listener, caller int) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectsPath+"{kind}", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, caller) })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no such call", http.StatusNotFound) })
	server := &http.Server{Handler: mux}
	_ = server.Serve(l)
	_ = server.Close()
}

// setDown makes the store answer every call, of backends too, with 503.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object and returns its revision. It reports false while the store is down.
func (s *store) put(kind, name string, spec any) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, false
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Meta.CreatedAt = time.Now().UnixMilli()
	}
	s.rev++
	o.Meta.Name, o.Meta.Rev, o.Meta.Finalizers, o.Spec = name, s.rev, []string{}, spec
	s.objects[kind][name] = o
	s.history = append(s.history, event{Object: o, kind: kind, rev: s.rev})
	s.notify()
	return s.rev, true
}

// read answers a list or a watch.
func (s *store) read(w http.ResponseWriter, r *http.Request, caller int) {
	time.Sleep(storeLatency)
	q, kind := r.URL.Query(), r.PathValue("kind")
	s.mu.Lock()
	s.reads++
	s.lastReads = append(s.lastReads, caller)
	if s.down {
		s.refused++
		s.mu.Unlock()
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if !q.Has("watch") {
		items := make([]object, 0, len(s.objects[kind]))
		for _, o := range s.objects[kind] {
			if o.Meta.Name > q.Get("after") {
				items = append(items, o)
			}
		}
		rev := s.rev
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
		writeJSON(w, map[string]any{"items": items, "hasMore": false, "storeRevision": rev})
		return
	}
	s.mu.Unlock()
	since, err := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "bad watch", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxStoreWatch))
	defer deadline.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, rev, changed, down := s.since(kind, since), s.rev, s.changed, s.down
		s.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the events of a kind after a revision. The caller holds s.mu.
func (s *store) since(kind string, since uint64) []event {
	list := []event{}
	for _, e := range s.history {
		if e.kind == kind && e.rev > since {
			list = append(list, e)
		}
	}
	return list
}

func writeJSON(w io.Writer, v any) {
	if h, ok := w.(http.ResponseWriter); ok {
		h.Header().Set("Content-Type", "application/json")
	}
	_ = json.NewEncoder(w).Encode(v)
}

// reader returns the daemon that made most of the last ten reads.
func (s *store) reader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[int]int)
	best := 0
	for _, c := range s.lastReads[max(0, len(s.lastReads)-10):] {
		if counts[c]++; counts[c] > counts[best] {
			best = c
		}
	}
	return best
}

// counts returns the numbers of reads and of those that were refused.
func (s *store) counts() (reads, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.refused
}

// Package record stores which target a flow was opened on, for the flows
// whose bucket does not tell.
//
// Invariants: the store never holds more than its limit; a record is dropped
// only after the flow was idle for the idle limit, or when it is replaced.
// A full store refuses new records, and the caller then places the flow where
// none is needed.
package record

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Record tells the target of one flow.
type Record struct {
	Target schema.Handle
	// Established is set once a packet other than a first one passed.
	Established bool
	// Opened is when the record was made here.
	Opened clock.Milli
	// Seen is when a packet of the flow last passed here.
	Seen clock.Milli
	// Fresh is when the flow's homes last agreed on the record; clock.Never if
	// it is only proposed.
	Fresh clock.Milli
}

// Confirmed reports whether the flow's homes agreed on the record.
func (r Record) Confirmed() bool {
	return r.Fresh != clock.Never
}

// Store is a bounded map of records. It is not safe for concurrent use.
type Store struct {
	limit   int
	idle    clock.Milli
	records map[flow.Key]Record
	full    clock.Milli
}

// New returns a store for at most limit records that drops a record after
// idle without a packet.
func New(limit int, idle clock.Milli) *Store {
	return &Store{
		limit:   limit,
		idle:    idle,
		records: make(map[flow.Key]Record),
		full:    clock.Never,
	}
}

// Get returns the record of a flow.
func (s *Store) Get(k flow.Key) (Record, bool) {
	r, ok := s.records[k]
	return r, ok
}

// Put stores a record and reports whether there was room.
func (s *Store) Put(now clock.Milli, k flow.Key, t schema.Handle) bool {
	r, ok := s.records[k]
	if !ok && len(s.records) >= s.limit {
		s.full = now
		return false
	}
	if r.Target != t {
		r.Opened, r.Established = now, false
	}
	r.Target, r.Seen, r.Fresh = t, now, now
	s.records[k] = r
	return true
}

// Propose stores a record that is not confirmed and reports whether there was
// room. It replaces no confirmed record of the same target.
func (s *Store) Propose(now clock.Milli, k flow.Key, t schema.Handle) bool {
	if r, ok := s.records[k]; ok && r.Target == t {
		return true
	}
	if !s.Put(now, k, t) {
		return false
	}
	r := s.records[k]
	r.Fresh = clock.Never
	s.records[k] = r
	return true
}

// Doubt makes proposals of the records that mine does not hold for: this
// daemon is no longer told of changes to them.
func (s *Store) Doubt(mine func(flow.Key) bool) {
	for k, r := range s.records {
		if !mine(k) {
			r.Fresh = clock.Never
			s.records[k] = r
		}
	}
}

// Touch notes that a packet of the flow passed, and whether it was a first one.
func (s *Store) Touch(now clock.Milli, k flow.Key, first bool) {
	r, ok := s.records[k]
	if !ok || now-r.Seen < clock.Second && (first || r.Established) {
		return
	}
	r.Seen = now
	r.Established = r.Established || !first
	s.records[k] = r
}

// Delete drops a record.
func (s *Store) Delete(k flow.Key) {
	delete(s.records, k)
}

// Full reports whether a record was refused within the idle limit.
func (s *Store) Full(now clock.Milli) bool {
	return now-s.full < s.idle
}

// Expire drops the records that were idle for too long and returns how many.
func (s *Store) Expire(now clock.Milli) int {
	n := 0
	for k, r := range s.records {
		if now-r.Seen > s.idle {
			delete(s.records, k)
			n++
		}
	}
	return n
}

// Len returns the number of records.
func (s *Store) Len() int {
	return len(s.records)
}

// Each calls f for every record.
func (s *Store) Each(f func(flow.Key, Record)) {
	for k, r := range s.records {
		f(k, r)
	}
}

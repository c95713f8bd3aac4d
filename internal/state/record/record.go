// Package record stores the targets of flows whose target can't be derived from
// their bucket.
//
// Invariants:
//   - The store never holds more records than its limit. When it is full, it
//     rejects new records, and the caller must choose a target for which the flow
//     needs no record.
//   - The store drops a record by itself only after its flow was idle for longer
//     than the idle limit; otherwise records are only replaced or deleted.
package record

import (
	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// Record holds the target of a flow.
type Record struct {
	Target schema.Handle
	// Established is set once a packet other than an opening one was seen.
	Established bool
	// CreatedAt is when this daemon created the record for this target.
	CreatedAt clock.Milli
	// LastSeen is when this daemon last saw a packet of the flow.
	LastSeen clock.Milli
	// ConfirmedAt is when the flow's homes last agreed on the record; clock.Never
	// if the record is only proposed.
	ConfirmedAt clock.Milli
}

// Confirmed reports whether the flow's homes agreed on the record.
func (r Record) Confirmed() bool {
	return r.ConfirmedAt != clock.Never
}

// touchInterval is the resolution of Record.LastSeen.
const touchInterval = clock.Second

// Store is a bounded map of records. It is not safe for concurrent use.
type Store struct {
	limit   int
	idle    clock.Milli
	records map[flow.Key]Record
	// lastRejected is when a record was last rejected because the store was full.
	lastRejected clock.Milli
}

// New returns a store for at most limit records. A record expires if its flow
// had no packet for longer than idle.
func New(limit int, idle clock.Milli) *Store {
	return &Store{
		limit:        limit,
		idle:         idle,
		records:      make(map[flow.Key]Record),
		lastRejected: clock.Never,
	}
}

// Get returns the record of a flow.
func (s *Store) Get(k flow.Key) (Record, bool) {
	r, ok := s.records[k]
	return r, ok
}

// Put stores a confirmed record. It reports false if the store is full.
func (s *Store) Put(now clock.Milli, k flow.Key, t schema.Handle) bool {
	r, ok := s.records[k]
	if !ok && len(s.records) >= s.limit {
		s.lastRejected = now
		return false
	}
	if r.Target != t {
		r.CreatedAt, r.Established = now, false
	}
	r.Target, r.LastSeen, r.ConfirmedAt = t, now, now
	s.records[k] = r
	return true
}

// Propose stores an unconfirmed record. It reports false if the store is full.
// An existing record with the same target is kept as it is.
func (s *Store) Propose(now clock.Milli, k flow.Key, t schema.Handle) bool {
	if r, ok := s.records[k]; ok && r.Target == t {
		return true
	}
	if !s.Put(now, k, t) {
		return false
	}
	r := s.records[k]
	r.ConfirmedAt = clock.Never
	s.records[k] = r
	return true
}

// Unconfirm marks the records for which isHome reports false as unconfirmed:
// this daemon no longer receives changes to them.
func (s *Store) Unconfirm(isHome func(flow.Key) bool) {
	for k, r := range s.records {
		if !isHome(k) {
			r.ConfirmedAt = clock.Never
			s.records[k] = r
		}
	}
}

// Touch records that a packet of the flow was seen and whether it was an
// opening one. It skips updates within a second that would change only the
// time.
func (s *Store) Touch(now clock.Milli, k flow.Key, opening bool) {
	r, ok := s.records[k]
	if !ok || now-r.LastSeen < touchInterval && (opening || r.Established) {
		return
	}
	r.LastSeen = now
	r.Established = r.Established || !opening
	s.records[k] = r
}

// Delete deletes a record.
func (s *Store) Delete(k flow.Key) {
	delete(s.records, k)
}

// RecentlyRejected reports whether a record was rejected for lack of room less
// than the idle limit ago.
func (s *Store) RecentlyRejected(now clock.Milli) bool {
	return now-s.lastRejected < s.idle
}

// Expire deletes the records of flows that were idle for longer than the idle
// limit and returns their number.
func (s *Store) Expire(now clock.Milli) int {
	n := 0
	for k, r := range s.records {
		if now-r.LastSeen > s.idle {
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

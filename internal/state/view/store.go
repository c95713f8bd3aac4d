// Package view holds what a daemon believes about the agreed state: the
// objects of the platform up to one revision, and the service table that is
// compiled from them.
//
// Invariants: the revision never decreases; an object is replaced only by a
// higher version of itself; a change that grants something (a new open
// target, an address under a new pool) takes effect only after the grace
// period since it was learned here, while a change that forbids something
// takes effect at once.
package view

import (
	"slices"
	"strings"

	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

// Store holds the newest known version of every object.
type Store struct {
	revision schema.Version
	objects  map[object.ID]object.Object
	// decoded holds the decoded forms of current objects.
	decoded map[object.ID]any
}

// NewStore returns an empty store at revision zero.
func NewStore() *Store {
	return &Store{
		objects: make(map[object.ID]object.Object),
		decoded: make(map[object.ID]any),
	}
}

// Revision returns the revision up to which the store is complete.
func (s *Store) Revision() schema.Version {
	return s.revision
}

// Merge takes a list that is complete from the revision since. It returns the
// identities that changed. A list that starts after the store's revision has
// a gap and is refused, as is one that ends before it.
func (s *Store) Merge(since schema.Version, l object.List) ([]object.ID, bool) {
	if since > s.revision || l.Revision < s.revision {
		return nil, false
	}
	var changed []object.ID
	for _, o := range l.Objects {
		if old := s.objects[o.ID()]; o.Version < old.Version || o.Version == old.Version && o.Deleted == old.Deleted {
			continue
		}
		s.objects[o.ID()] = o
		delete(s.decoded, o.ID())
		changed = append(changed, o.ID())
	}
	if l.Full {
		changed = append(changed, s.sweep(l)...)
	}
	s.revision = l.Revision
	return changed, true
}

// sweep marks the objects that a full list lacks as removed.
func (s *Store) sweep(l object.List) []object.ID {
	listed := make(map[object.ID]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.ID()] = true
	}
	var removed []object.ID
	for id, o := range s.objects {
		if !listed[id] && !o.Deleted && o.Version <= l.Revision {
			o.Deleted, o.Version, o.Data = true, l.Revision, nil
			s.objects[id] = o
			delete(s.decoded, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// Since returns the objects changed after a revision, oldest first.
func (s *Store) Since(rev schema.Version) object.List {
	l := object.List{Revision: s.revision}
	for _, o := range s.objects {
		if o.Version > rev {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b object.Object) int {
		return int(a.Version) - int(b.Version)
	})
	return l
}

// Get returns a live object.
func (s *Store) Get(id object.ID) (object.Object, bool) {
	o, ok := s.objects[id]
	return o, ok && !o.Deleted
}

// Version returns an object's version, zero if it does not exist.
func (s *Store) Version(id object.ID) schema.Version {
	o, ok := s.Get(id)
	if !ok {
		return 0
	}
	return o.Version
}

// Kind returns the live objects of a kind, by name.
func (s *Store) Kind(k object.Kind) []object.Object {
	var list []object.Object
	for id, o := range s.objects {
		if id.Kind == k && !o.Deleted {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b object.Object) int {
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// All decodes the live objects of a kind, by name, and passes over those that
// do not decode.
func All[T any, P schema.Checker[T]](s *Store, k object.Kind) []*T {
	var list []*T
	for _, o := range s.Kind(k) {
		if v, ok := Decoded[T, P](s, o); ok {
			list = append(list, v)
		}
	}
	return list
}

// Decoded returns the decoded form of an object of the store, which must not
// be changed. It reports false if the object does not decode.
func Decoded[T any, P schema.Checker[T]](s *Store, o object.Object) (*T, bool) {
	if v, ok := s.decoded[o.ID()].(*T); ok {
		return v, true
	}
	v, err := schema.Decode[T, P](o.Data)
	if err != nil {
		return nil, false
	}
	s.decoded[o.ID()] = v
	return v, true
}

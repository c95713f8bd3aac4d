// Package view holds a daemon's copy of the shared configuration: the stored
// objects up to one revision, and the service table compiled from them.
//
// Invariants:
//   - The revision never decreases.
//   - An object is replaced only by a higher version of itself.
//   - A change that permits something (a target for new flows, an address in a new
//     pool) takes effect only after a grace period from its arrival at this
//     daemon. A change that forbids something takes effect at once.
package view

import (
	"slices"
	"strings"

	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

// Store holds the latest known version of every object.
type Store struct {
	revision schema.Version
	objects  map[object.ID]object.Object
	// decoded caches the decoded form of current objects.
	decoded map[object.ID]any
}

// NewStore returns an empty store at revision zero.
func NewStore() *Store {
	return &Store{
		objects: make(map[object.ID]object.Object),
		decoded: make(map[object.ID]any),
	}
}

// Revision returns the revision up to which the store has every change.
func (s *Store) Revision() schema.Version {
	return s.revision
}

// Merge applies a list that has every change after the revision since, and
// returns the IDs of the changed objects. It rejects a list that starts after
// the store's revision, which would leave a gap, and one that ends before it.
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
		changed = append(changed, s.deleteUnlisted(l)...)
	}
	s.revision = l.Revision
	return changed, true
}

// deleteUnlisted marks objects that are missing from a full list as deleted and
// returns their IDs.
func (s *Store) deleteUnlisted(l object.List) []object.ID {
	listed := make(map[object.ID]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.ID()] = true
	}
	var deleted []object.ID
	for id, o := range s.objects {
		if !listed[id] && !o.Deleted && o.Version <= l.Revision {
			o.Deleted, o.Version, o.Data = true, l.Revision, nil
			s.objects[id] = o
			delete(s.decoded, id)
			deleted = append(deleted, id)
		}
	}
	return deleted
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

// Get returns an object unless it is deleted.
func (s *Store) Get(id object.ID) (object.Object, bool) {
	o, ok := s.objects[id]
	return o, ok && !o.Deleted
}

// Version returns an object's version, or zero if it does not exist.
func (s *Store) Version(id object.ID) schema.Version {
	o, ok := s.Get(id)
	if !ok {
		return 0
	}
	return o.Version
}

// Kind returns the objects of a kind that are not deleted, sorted by name.
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

// All returns the decoded objects of a kind that are not deleted, sorted by
// name. Objects that can't be decoded are skipped.
func All[T any, P schema.Checker[T]](s *Store, k object.Kind) []*T {
	var list []*T
	for _, o := range s.Kind(k) {
		if v, ok := Decoded[T, P](s, o); ok {
			list = append(list, v)
		}
	}
	return list
}

// Decoded returns the decoded form of an object of the store. It is shared, so
// the caller must not modify it. Decoded reports false if the object can't be
// decoded.
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

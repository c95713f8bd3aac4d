// Package object defines the objects that coltsfootdock stores in the
// platform's store, and the client for that store. All access to the store goes
// through this client.
//
// The store identifies an object by kind and name. A single revision counter
// covers the whole store; an object's version is the revision of its last
// write. All objects changed since a revision, read together with the store's
// current revision, form a consistent snapshot.
package object

import (
	"encoding/json"

	"coltsfootdock/pkg/schema"
)

// Kind is the kind of an object.
type Kind string

// Kinds of objects.
const (
	Route      Kind = "route"
	Pool       Kind = "pool"
	VM         Kind = "vm"
	DataCentre Kind = "datacentre"
	Member     Kind = "member"
	Placement  Kind = "placement"
	Homes      Kind = "homes"
)

// Object is a stored object. Deleted objects are kept as tombstones.
type Object struct {
	Kind    Kind
	Name    string
	Version schema.Version
	Deleted bool            `json:",omitempty"`
	Data    json.RawMessage `json:",omitempty"`
}

// List is the result of a read: the objects changed since the requested
// revision, and the store's revision.
type List struct {
	// Full is set if the list has all existing objects; any other object was
	// deleted.
	Full     bool `json:",omitempty"`
	Revision schema.Version
	Objects  []Object
}

// ID identifies an object in the store.
type ID struct {
	Kind Kind
	Name string
}

// ID returns the object's ID.
func (o *Object) ID() ID {
	return ID{Kind: o.Kind, Name: o.Name}
}

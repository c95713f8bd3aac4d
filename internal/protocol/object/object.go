// Package object holds the system's objects in the platform's store and the
// client of that store, the only one.
//
// The platform keeps objects by kind and name. One revision counter covers
// the whole store; an object's version is the revision of its last write. A
// read of all objects changed since a revision, with the store's revision at
// that moment, is a consistent view.
package object

import (
	"encoding/json"

	"coltsfootdock/pkg/schema"
)

// Kind is the type of an object.
type Kind string

// Kinds that the system keeps.
const (
	Route      Kind = "route"
	Pool       Kind = "pool"
	VM         Kind = "vm"
	DataCentre Kind = "datacentre"
	Member     Kind = "member"
	Placement  Kind = "placement"
	Homes      Kind = "homes"
)

// Object is one stored object. A deleted object stays as a tombstone.
type Object struct {
	Kind    Kind
	Name    string
	Version schema.Version
	Deleted bool            `json:",omitempty"`
	Data    json.RawMessage `json:",omitempty"`
}

// List is the answer to a read: the objects changed since the revision that
// was asked for, and the store's revision.
type List struct {
	// Full is set if the list holds all objects, so that those which it lacks
	// were removed.
	Full     bool `json:",omitempty"`
	Revision schema.Version
	Objects  []Object
}

// ID identifies an object in the store.
type ID struct {
	Kind Kind
	Name string
}

// ID returns the object's identity.
func (o *Object) ID() ID {
	return ID{Kind: o.Kind, Name: o.Name}
}

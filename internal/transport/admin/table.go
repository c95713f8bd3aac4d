package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

// resource is a type of object that the API reads and edits.
type resource[T any] interface {
	schema.Checker[T]
	Edits() *schema.Edit
	Key() string
	Owner() *schema.Team
}

// problem is the response to an edit that failed.
type problem struct {
	code    int
	text    string
	version schema.Version // the stored version, after a version conflict
	unknown bool           // the edit may have been applied
}

func (p *problem) write(w http.ResponseWriter) {
	reply(w, p.code, schema.Problem{Error: p.text, Version: p.version, Unknown: p.unknown})
}

// edit is one change of one object.
type edit struct {
	id          object.ID
	operation   schema.OperationID
	expect      schema.Version
	conditional bool // the object must be at version expect
	dryRun      bool
	rights      rights
	// data returns the object's new data for its recorded edits. If data is nil,
	// the object is deleted.
	data func(schema.Edit) json.RawMessage
}

// crossCheck checks a valid object against the other objects and returns
// warnings or an error.
type crossCheck[T any] func(*view.Store, *T) ([]string, error)

func noCheck(*view.Store, *schema.Mark) ([]string, error) { return nil, nil }

// handle registers the handlers of one kind of object.
func handle[T any, P resource[T]](a *API, path string, kind object.Kind, check crossCheck[T]) {
	a.mux.HandleFunc("GET "+path, a.authenticated(func(w http.ResponseWriter, _ *http.Request, _ rights) {
		reply(w, http.StatusOK, list[T, P](a, kind))
	}))
	a.mux.HandleFunc("GET "+path+"/{name}", a.authenticated(func(w http.ResponseWriter, r *http.Request, _ rights) {
		for _, s := range list[T, P](a, kind) {
			if P(&s.Value).Key() == r.PathValue("name") {
				reply(w, http.StatusOK, s)
				return
			}
		}
		fail(w, http.StatusNotFound, fmt.Sprintf("%s %q does not exist", kind, r.PathValue("name")))
	}))
	a.mux.HandleFunc("PUT "+path+"/{name}", a.authenticated(func(w http.ResponseWriter, r *http.Request, caller rights) {
		put[T, P](a, w, r, caller, kind, check)
	}))
	a.mux.HandleFunc("DELETE "+path+"/{name}", a.authenticated(func(w http.ResponseWriter, r *http.Request, caller rights) {
		e, prob := newEdit(r, kind, caller)
		if prob != nil {
			prob.write(w)
			return
		}
		a.finish(w, r, e, ownerAndEdits[T, P], nil)
	}))
}

// list returns the objects of a kind in the daemon's view. It leaves out objects
// that can't be decoded.
func list[T any, P resource[T]](a *API, kind object.Kind) []schema.Stored[T] {
	stored := []schema.Stored[T]{}
	a.core.With(func(_ clock.Milli, m *daemon.Machine) {
		for _, o := range m.View().Store().Kind(kind) {
			if v, err := schema.Decode[T, P](o.Data); err == nil {
				stored = append(stored, schema.Stored[T]{Version: o.Version, Value: *v})
			}
		}
	})
	return stored
}

// newEdit returns the edit that a request describes, without data.
func newEdit(r *http.Request, kind object.Kind, caller rights) (edit, *problem) {
	e := edit{
		id:        object.ID{Kind: kind, Name: r.PathValue("name")},
		operation: schema.OperationID(r.Header.Get("Operation-Id")),
		dryRun:    r.URL.Query().Get("DryRun") != "",
		rights:    caller,
	}
	if err := schema.CheckName("name", e.id.Name); err != nil {
		return e, &problem{code: http.StatusBadRequest, text: message(err)}
	}
	if e.operation == "" {
		return e, &problem{code: http.StatusBadRequest, text: "the Operation-Id header is missing; it identifies retries of the same edit"}
	}
	if err := schema.CheckName("Operation-Id", string(e.operation)); err != nil {
		return e, &problem{code: http.StatusBadRequest, text: message(err)}
	}
	if match := r.Header.Get("If-Match"); match != "" {
		v, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			return e, &problem{code: http.StatusBadRequest, text: fmt.Sprintf("If-Match %q must be a version number", match)}
		}
		e.expect, e.conditional = schema.Version(v), true
	}
	if (kind == object.VM || kind == object.DataCentre) && !caller.Operator {
		return e, &problem{code: http.StatusForbidden, text: "editing marks needs an operator's token"}
	}
	return e, nil
}

// message returns the text of an error without its type.
func message(err error) string {
	var x *errorx.Error
	if errors.As(err, &x) {
		return x.Message()
	}
	return err.Error()
}

// put handles a PUT request.
func put[T any, P resource[T]](a *API, w http.ResponseWriter, r *http.Request, caller rights, kind object.Kind, check crossCheck[T]) {
	e, prob := newEdit(r, kind, caller)
	if prob != nil {
		prob.write(w)
		return
	}
	v, prob := decodeBody[T, P](r)
	if prob != nil {
		prob.write(w)
		return
	}
	if P(v).Key() != e.id.Name {
		fail(w, http.StatusBadRequest, fmt.Sprintf("Name %q differs from %q in the path", P(v).Key(), e.id.Name))
		return
	}
	if team := P(v).Owner(); team != nil {
		if *team == "" {
			*team = caller.Team
		}
		if !caller.mayEdit(*team) {
			fail(w, http.StatusForbidden, fmt.Sprintf("the token belongs to team %q, not %q", caller.Team, *team))
			return
		}
	}
	var warnings []string
	var err error
	a.core.With(func(_ clock.Milli, m *daemon.Machine) { warnings, err = check(m.View().Store(), v) })
	if err != nil {
		fail(w, http.StatusUnprocessableEntity, message(err))
		return
	}
	e.data = func(old schema.Edit) json.RawMessage {
		*P(v).Edits() = old.After(e.operation)
		data, _ := json.Marshal(v) // encoding a decoded value can't fail
		return data
	}
	a.finish(w, r, e, ownerAndEdits[T, P], warnings)
}

// decodeBody decodes and checks the object in a request's body.
func decodeBody[T any, P resource[T]](r *http.Request) (*T, *problem) {
	var buf bytes.Buffer
	if _, err := buf.ReadFrom(r.Body); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, &problem{code: http.StatusRequestEntityTooLarge, text: fmt.Sprintf("the body is larger than %d bytes", large.Limit)}
		}
		return nil, &problem{code: http.StatusBadRequest, text: "the body can't be read"}
	}
	v := new(T)
	dec := json.NewDecoder(&buf)
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return nil, &problem{code: http.StatusBadRequest, text: fmt.Sprintf("the body is not valid: %s", err)}
	}
	if err := P(v).Check(); err != nil {
		return nil, &problem{code: http.StatusBadRequest, text: message(err)}
	}
	return v, nil
}

// ownerAndEdits returns the team and the recorded edits of a stored object, or
// none if the object can't be decoded.
func ownerAndEdits[T any, P resource[T]](o object.Object) (schema.Team, schema.Edit) {
	v, err := schema.Decode[T, P](o.Data)
	if err != nil {
		return "", schema.Edit{}
	}
	team := schema.Team("")
	if t := P(v).Owner(); t != nil {
		team = *t
	}
	return team, *P(v).Edits()
}

const (
	maxAttempts  = 4
	defaultWait  = 4 * time.Second
	maxWait      = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

// finish applies an edit, waits until it is in force and writes the response.
func (a *API) finish(w http.ResponseWriter, r *http.Request, e edit, read ownerReader, warnings []string) {
	version, prob := a.apply(r.Context(), e, read)
	if prob != nil {
		prob.write(w)
		return
	}
	change := schema.Change{Version: version, Stored: !e.dryRun, DryRun: e.dryRun, Warnings: warnings}
	if !e.dryRun {
		change.InForce, change.Waiting = a.awaitInForce(r, version)
	}
	reply(w, http.StatusOK, change)
}

// ownerReader is the type of ownerAndEdits.
type ownerReader func(object.Object) (schema.Team, schema.Edit)

// apply writes an edit. If the platform's response is lost, it reads the object
// again: the operation ID shows whether the write was applied.
func (a *API) apply(ctx context.Context, e edit, read ownerReader) (schema.Version, *problem) {
	var lastErr error
	sent := false
	for range maxAttempts {
		o, err := a.core.Platform.Get(ctx, e.id)
		if err != nil {
			lastErr = err
			continue
		}
		version, done, prob := a.precheck(o, e, read, sent)
		if prob != nil || done {
			return version, prob
		}
		_, old := read(o)
		sent = true
		if version, err = a.write(ctx, e, o.Version, old); err == nil {
			return version, nil
		}
		lastErr = err
	}
	if errorx.IsOfType(lastErr, object.Conflict) {
		return 0, &problem{code: http.StatusConflict, text: "concurrent edits changed the object; read it again and retry"}
	}
	return 0, &problem{
		code:    http.StatusServiceUnavailable,
		text:    fmt.Sprintf("the platform can't be reached: %s", message(lastErr)),
		unknown: sent,
	}
}

// precheck compares an edit with the stored object o. It reports whether the edit
// is complete without a write, or the problem that prevents it. sent reports
// whether a write was sent before.
func (a *API) precheck(o object.Object, e edit, read ownerReader, sent bool) (schema.Version, bool, *problem) {
	team, edits := read(o)
	switch {
	case o.Version != 0 && edits.Has(e.operation):
		return o.Version, true, nil
	case e.data == nil && o.Version == 0 && sent:
		return 0, true, nil // an earlier attempt deleted the object
	case e.data == nil && o.Version == 0:
		return 0, false, &problem{code: http.StatusNotFound, text: fmt.Sprintf("%s %q does not exist", e.id.Kind, e.id.Name)}
	case o.Version != 0 && !e.rights.mayEdit(team):
		return 0, false, &problem{code: http.StatusForbidden, text: fmt.Sprintf("%s %q belongs to team %q", e.id.Kind, e.id.Name, team)}
	case e.conditional && o.Version != e.expect:
		return 0, false, &problem{
			code:    http.StatusConflict,
			text:    fmt.Sprintf("%s %q is at version %d, not %d", e.id.Kind, e.id.Name, o.Version, e.expect),
			version: o.Version,
		}
	}
	return o.Version, e.dryRun, nil
}

// write sends one conditional update to the platform.
func (a *API) write(ctx context.Context, e edit, expect schema.Version, old schema.Edit) (schema.Version, error) {
	if e.data == nil {
		return a.core.Platform.Delete(ctx, e.id, expect)
	}
	return a.core.Platform.Put(ctx, e.id, expect, e.data(old))
}

// awaitInForce waits until the views of all live daemons have reached a version,
// within the caller's time limit, and returns the daemons that have and have not.
func (a *API) awaitInForce(r *http.Request, v schema.Version) (inForce, waiting []schema.VMID) {
	wait := defaultWait
	if text := r.URL.Query().Get("Wait"); text != "" {
		if d, err := time.ParseDuration(text); err == nil {
			wait = min(d, maxWait)
		}
	}
	deadline := time.Now().Add(wait)
	for {
		a.core.With(func(now clock.Milli, m *daemon.Machine) { inForce, waiting = m.Reached(now, v) })
		if len(waiting) == 0 || time.Now().After(deadline) {
			return inForce, waiting
		}
		select {
		case <-r.Context().Done():
			return inForce, waiting
		case <-time.After(pollInterval):
		}
	}
}

// checkRoute rejects a route whose service another route has, and warns about a
// route without a pool.
func checkRoute(s *view.Store, r *schema.Route) ([]string, error) {
	for _, other := range view.All[schema.Route](s, object.Route) {
		if other.Name != r.Name && other.Service() == r.Service() {
			return nil, schema.Invalid.New("route %q already has the address %s", other.Name, r.Service().Key())
		}
	}
	if _, ok := s.Get(object.ID{Kind: object.Pool, Name: string(r.Name)}); !ok {
		return []string{fmt.Sprintf("no pool is named %q; the route carries no traffic", r.Name)}, nil
	}
	return nil, nil
}

// checkPool rejects a VNI, target address or target ID that another pool has, and
// warns about a pool without a route or without targets.
func checkPool(s *view.Store, p *schema.Pool) ([]string, error) {
	for _, other := range view.All[schema.Pool](s, object.Pool) {
		if other.Name == p.Name {
			continue
		}
		if other.VNI == p.VNI {
			return nil, schema.Invalid.New("pool %q already has VNI %d", other.Name, p.VNI)
		}
		for i := range p.Targets {
			t := &p.Targets[i]
			for _, o := range other.Targets {
				if o.Address == t.Address || o.ID == t.ID {
					return nil, schema.Invalid.New("target %q at %s is in pool %q as %q", t.ID, t.Address, other.Name, o.ID)
				}
			}
		}
	}
	var warnings []string
	if _, ok := s.Get(object.ID{Kind: object.Route, Name: string(p.Name)}); !ok {
		warnings = append(warnings, fmt.Sprintf("no route is named %q; the pool gets no traffic", p.Name))
	}
	if len(p.Targets) == 0 {
		warnings = append(warnings, fmt.Sprintf("pool %q has no targets", p.Name))
	}
	return warnings, nil
}

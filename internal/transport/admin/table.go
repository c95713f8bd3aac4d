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

// row is a domain type that operators edit.
type row[T any] interface {
	schema.Checker[T]
	Edits() *schema.Edit
	Key() string
	Owner() *schema.Team
}

// problem is a refused edit.
type problem struct {
	code    int
	text    string
	version schema.Version
	unknown bool
}

func (p *problem) write(w http.ResponseWriter) {
	reply(w, p.code, schema.Problem{Error: p.text, Version: p.version, Unknown: p.unknown})
}

// edit is one change of one object.
type edit struct {
	id     object.ID
	op     schema.OperationID
	expect schema.Version
	strict bool // the caller named the version that it saw
	dry    bool
	rights rights
	// data makes the object's new form from its old edits; nil deletes it.
	data func(schema.Edit) json.RawMessage
}

// check looks at a valid row in the light of the others and returns warnings,
// or an error.
type check[T any] func(*view.Store, *T) ([]string, error)

func noCheck(*view.Store, *schema.Mark) ([]string, error) { return nil, nil }

// table serves one table of the API.
func table[T any, P row[T]](a *API, path string, kind object.Kind, c check[T]) {
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
	a.mux.HandleFunc("PUT "+path+"/{name}", a.authenticated(func(w http.ResponseWriter, r *http.Request, who rights) {
		put[T, P](a, w, r, who, kind, c)
	}))
	a.mux.HandleFunc("DELETE "+path+"/{name}", a.authenticated(func(w http.ResponseWriter, r *http.Request, who rights) {
		e, bad := newEdit(r, kind, who)
		if bad != nil {
			bad.write(w)
			return
		}
		a.finish(w, r, e, owner[T, P], nil)
	}))
}

func list[T any, P row[T]](a *API, kind object.Kind) []schema.Stored[T] {
	rows := []schema.Stored[T]{}
	a.core.With(func(_ clock.Milli, m *daemon.Machine) {
		for _, o := range m.View().Store().Kind(kind) {
			if v, err := schema.Decode[T, P](o.Data); err == nil {
				rows = append(rows, schema.Stored[T]{Version: o.Version, Value: *v})
			}
		}
	})
	return rows
}

func newEdit(r *http.Request, kind object.Kind, who rights) (edit, *problem) {
	e := edit{
		id:     object.ID{Kind: kind, Name: r.PathValue("name")},
		op:     schema.OperationID(r.Header.Get("Operation-Id")),
		dry:    r.URL.Query().Get("DryRun") != "",
		rights: who,
	}
	if err := schema.CheckName("name", e.id.Name); err != nil {
		return e, &problem{code: http.StatusBadRequest, text: message(err)}
	}
	if e.op == "" {
		return e, &problem{code: http.StatusBadRequest, text: "the Operation-Id header is missing; it makes a retry safe"}
	}
	if err := schema.CheckName("Operation-Id", string(e.op)); err != nil {
		return e, &problem{code: http.StatusBadRequest, text: message(err)}
	}
	if match := r.Header.Get("If-Match"); match != "" {
		v, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			return e, &problem{code: http.StatusBadRequest, text: fmt.Sprintf("If-Match %q must be a version number", match)}
		}
		e.expect, e.strict = schema.Version(v), true
	}
	if (kind == object.VM || kind == object.DataCentre) && !who.Operator {
		return e, &problem{code: http.StatusForbidden, text: "marks need an operator's token"}
	}
	return e, nil
}

func message(err error) string {
	var x *errorx.Error
	if errors.As(err, &x) {
		return x.Message()
	}
	return err.Error()
}

func put[T any, P row[T]](a *API, w http.ResponseWriter, r *http.Request, who rights, kind object.Kind, c check[T]) {
	e, bad := newEdit(r, kind, who)
	if bad != nil {
		bad.write(w)
		return
	}
	v, bad := body[T, P](r)
	if bad != nil {
		bad.write(w)
		return
	}
	if P(v).Key() != e.id.Name {
		fail(w, http.StatusBadRequest, fmt.Sprintf("Name %q differs from %q in the path", P(v).Key(), e.id.Name))
		return
	}
	if team := P(v).Owner(); team != nil {
		if *team == "" {
			*team = who.Team
		}
		if !who.owns(*team) {
			fail(w, http.StatusForbidden, fmt.Sprintf("the token is of team %q, not %q", who.Team, *team))
			return
		}
	}
	var warnings []string
	var err error
	a.core.With(func(_ clock.Milli, m *daemon.Machine) { warnings, err = c(m.View().Store(), v) })
	if err != nil {
		fail(w, http.StatusUnprocessableEntity, message(err))
		return
	}
	e.data = func(old schema.Edit) json.RawMessage {
		*P(v).Edits() = old.After(e.op)
		data, _ := json.Marshal(v) // a value that was decoded encodes
		return data
	}
	a.finish(w, r, e, owner[T, P], warnings)
}

func body[T any, P row[T]](r *http.Request) (*T, *problem) {
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

// owner returns the team and edits of a stored object.
func owner[T any, P row[T]](o object.Object) (schema.Team, schema.Edit) {
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
	editTries   = 4
	defaultWait = 4 * time.Second
	maxWait     = 30 * time.Second
	pollEvery   = 50 * time.Millisecond
)

// finish applies an edit and answers the caller.
func (a *API) finish(w http.ResponseWriter, r *http.Request, e edit, read reader, warnings []string) {
	version, bad := a.apply(r.Context(), e, read)
	if bad != nil {
		bad.write(w)
		return
	}
	change := schema.Change{Version: version, Stored: !e.dry, DryRun: e.dry, Warnings: warnings}
	if !e.dry {
		change.InForce, change.Waiting = a.await(r, version)
	}
	reply(w, http.StatusOK, change)
}

type reader func(object.Object) (schema.Team, schema.Edit)

// apply writes an edit. After a lost answer it reads the object again: the
// operation id tells whether the write took effect.
func (a *API) apply(ctx context.Context, e edit, read reader) (schema.Version, *problem) {
	var last error
	sent := false
	for range editTries {
		o, err := a.core.Platform.Get(ctx, e.id)
		if err != nil {
			last = err
			continue
		}
		version, done, bad := a.judge(o, e, read, sent)
		if bad != nil || done {
			return version, bad
		}
		_, old := read(o)
		sent = true
		if version, err = a.write(ctx, e, o.Version, old); err == nil {
			return version, nil
		}
		last = err
	}
	if errorx.IsOfType(last, object.Conflict) {
		return 0, &problem{code: http.StatusConflict, text: "the object is being edited by others; read it again"}
	}
	return 0, &problem{
		code:    http.StatusServiceUnavailable,
		text:    fmt.Sprintf("the platform can't be reached: %s", message(last)),
		unknown: sent,
	}
}

// judge decides whether an edit is done, refused or to be written.
func (a *API) judge(o object.Object, e edit, read reader, sent bool) (schema.Version, bool, *problem) {
	team, edits := read(o)
	switch {
	case o.Version != 0 && edits.Has(e.op):
		return o.Version, true, nil
	case e.data == nil && o.Version == 0 && sent:
		return 0, true, nil // the deletion took effect
	case e.data == nil && o.Version == 0:
		return 0, false, &problem{code: http.StatusNotFound, text: fmt.Sprintf("%s %q does not exist", e.id.Kind, e.id.Name)}
	case o.Version != 0 && !e.rights.owns(team):
		return 0, false, &problem{code: http.StatusForbidden, text: fmt.Sprintf("%s %q is of team %q", e.id.Kind, e.id.Name, team)}
	case e.strict && o.Version != e.expect:
		return 0, false, &problem{
			code:    http.StatusConflict,
			text:    fmt.Sprintf("%s %q is at version %d, not %d", e.id.Kind, e.id.Name, o.Version, e.expect),
			version: o.Version,
		}
	}
	return o.Version, e.dry, nil
}

func (a *API) write(ctx context.Context, e edit, expect schema.Version, old schema.Edit) (schema.Version, error) {
	if e.data == nil {
		return a.core.Platform.Delete(ctx, e.id, expect)
	}
	return a.core.Platform.Put(ctx, e.id, expect, e.data(old))
}

// await waits until all live daemons have reached a revision, for as long as
// the caller allows, and tells which have.
func (a *API) await(r *http.Request, v schema.Version) (in, waiting []schema.VMID) {
	wait := defaultWait
	if text := r.URL.Query().Get("Wait"); text != "" {
		if d, err := time.ParseDuration(text); err == nil {
			wait = min(d, maxWait)
		}
	}
	deadline := time.Now().Add(wait)
	for {
		a.core.With(func(now clock.Milli, m *daemon.Machine) { in, waiting = m.Reached(now, v) })
		if len(waiting) == 0 || time.Now().After(deadline) {
			return in, waiting
		}
		select {
		case <-r.Context().Done():
			return in, waiting
		case <-time.After(pollEvery):
		}
	}
}

// checkRoute refuses a second route at one address and warns of a route
// without a pool.
func checkRoute(s *view.Store, r *schema.Route) ([]string, error) {
	for _, other := range view.All[schema.Route](s, object.Route) {
		if other.Name != r.Name && other.Service() == r.Service() {
			return nil, schema.Invalid.New("route %q has the address %s already", other.Name, r.Service().Key())
		}
	}
	if _, ok := s.Get(object.ID{Kind: object.Pool, Name: string(r.Name)}); !ok {
		return []string{fmt.Sprintf("no pool is named %q; the route carries no traffic", r.Name)}, nil
	}
	return nil, nil
}

// checkPool refuses a target address or VNI of another pool and warns of a
// pool without a route or targets.
func checkPool(s *view.Store, p *schema.Pool) ([]string, error) {
	for _, other := range view.All[schema.Pool](s, object.Pool) {
		if other.Name == p.Name {
			continue
		}
		if other.VNI == p.VNI {
			return nil, schema.Invalid.New("pool %q has VNI %d already", other.Name, p.VNI)
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

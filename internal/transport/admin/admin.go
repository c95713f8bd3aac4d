// Package admin serves the administration API of a daemon over HTTP.
//
// Reads are served from the daemon's view. Edits are written to the platform as
// conditional updates that carry an operation ID, so that a retry after a lost
// response is recognised and not applied twice. The response says whether the
// platform has stored the edit, on which daemons it is in force and which
// daemons' views have not reached it yet.
package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"sync/atomic"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

const maxBody = 1 << 20 // bytes of a request

// Core holds what the API needs from its daemon.
type Core struct {
	// With calls a function while the decision core is locked.
	With     func(func(now clock.Milli, m *daemon.Machine))
	Platform *object.Client
	Now      func() clock.Milli
	Metrics  func(io.Writer)
	PProf    bool
}

// API is the handler of the administration API.
type API struct {
	core Core
	mux  *http.ServeMux
	// tokens is nil if no tokens file is in use; every caller then has an
	// operator's rights.
	tokens atomic.Pointer[tokens]
}

// New returns the API of a daemon.
func New(c Core) *API {
	a := &API{core: c, mux: http.NewServeMux()}
	handle[schema.Route](a, "/v1/routes", object.Route, checkRoute)
	handle[schema.Pool](a, "/v1/pools", object.Pool, checkPool)
	handle[schema.Mark](a, "/v1/vms", object.VM, noCheck)
	handle[schema.Mark](a, "/v1/datacentres", object.DataCentre, noCheck)
	a.mux.HandleFunc("GET /v1/status", a.authenticated(a.status))
	a.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, struct{ Healthy bool }{true})
	})
	a.mux.HandleFunc("GET /readyz", a.readiness)
	a.mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { c.Metrics(w) })
	if c.PProf {
		a.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		a.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	a.mux.ServeHTTP(w, r)
}

func (a *API) readiness(w http.ResponseWriter, _ *http.Request) {
	ready := false
	a.core.With(func(now clock.Milli, m *daemon.Machine) { ready = m.Ready(now) })
	code := http.StatusOK
	if !ready {
		code = http.StatusServiceUnavailable
	}
	reply(w, code, struct{ Ready bool }{ready})
}

func (a *API) status(w http.ResponseWriter, _ *http.Request, _ rights) {
	var s schema.Status
	a.core.With(func(now clock.Milli, m *daemon.Machine) { s = m.Status(now) })
	reply(w, http.StatusOK, s)
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has closed the connection
}

// fail writes a response with an error message.
func fail(w http.ResponseWriter, code int, text string) {
	reply(w, code, schema.Problem{Error: text})
}

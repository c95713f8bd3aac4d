// Package probe requests the health and load of targets over HTTP.
package probe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"coltsfootdock/internal/coordination/health"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/pkg/schema"
)

const (
	timeout   = 900 * time.Millisecond
	maxAnswer = 4096 // bytes
)

// Answer is the JSON response of a target's health endpoint.
type Answer struct {
	// State is "starting", "ready", "shedding" or "draining".
	State string
	// Incarnation is different for each run of the target's process.
	Incarnation uint64
	// Open is the number of open connections.
	Open uint32
}

// states maps the values of Answer.State.
var states = map[string]peer.TargetState{
	"starting": peer.Starting,
	"ready":    peer.Ready,
	"shedding": peer.Shedding,
	"draining": peer.Draining,
}

// Prober sends health probes to targets. It reuses connections.
type Prober struct {
	http *http.Client
}

// New returns a Prober; Close frees its connections.
func New() *Prober {
	return &Prober{http: &http.Client{Timeout: timeout}}
}

// Close closes the idle connections.
func (p *Prober) Close() {
	p.http.CloseIdleConnections()
}

// Probe requests the health of a target once. A response that can't be decoded,
// has an unknown state or a status other than 200 counts as failed.
func (p *Prober) Probe(ctx context.Context, h schema.Handle, t schema.Target) health.Result {
	failed := health.Result{Target: h}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Health.String()+"/health", nil)
	if err != nil {
		return failed
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return failed
	}
	defer resp.Body.Close()
	var a Answer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&a); err != nil {
		return failed
	}
	state, ok := states[a.State]
	if !ok || resp.StatusCode != http.StatusOK {
		return failed
	}
	return health.Result{Target: h, OK: true, State: state, Incarnation: a.Incarnation, OpenFlows: a.Open}
}

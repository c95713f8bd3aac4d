// Package client calls the administration API of a daemon.
//
// An edit carries an operation id. If the answer is lost, the client repeats
// the edit with the same id, which the API recognises; an edit is therefore
// neither applied twice nor reported failed when it took effect.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"crypto/rand"

	"github.com/joomcode/errorx"

	"coltsfootdock/pkg/schema"
)

var (
	namespace = errorx.NewNamespace("client")
	// Refused is the type of an edit or call that the API refused.
	Refused = namespace.NewType("refused")
	// Conflict is the type of an edit that lost a race.
	Conflict = namespace.NewType("conflict")
	// Unavailable is the type of a call that got no answer, or that the
	// platform's outage prevents.
	Unavailable = namespace.NewType("unavailable")
	// Missing is the type of a call for an object that does not exist.
	Missing = namespace.NewType("missing")
)

const (
	tries      = 3
	retryAfter = 300 * time.Millisecond
	timeout    = 40 * time.Second
	maxAnswer  = 64 << 20
)

// Client calls one or more daemons; any of them serves.
type Client struct {
	bases []string
	token string
	http  *http.Client
}

// Option changes a client.
type Option func(*Client)

// WithToken sends a team's token.
func WithToken(t string) Option {
	return func(c *Client) { c.token = t }
}

// WithHTTP replaces the HTTP client, such as for its TLS settings.
func WithHTTP(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// New returns a client of the daemons at the base URLs.
func New(bases []string, opts ...Option) *Client {
	c := &Client{bases: bases, http: &http.Client{Timeout: timeout}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Edit says how an edit is made.
type Edit struct {
	// Expect is the version that the object must have, if Strict is set;
	// zero means that it must not exist.
	Expect schema.Version
	Strict bool
	// DryRun checks the edit without writing it.
	DryRun bool
	// Wait bounds the wait for the edit to come into force; zero means the
	// API's default.
	Wait time.Duration
	// Operation identifies the edit; empty means a new id.
	Operation schema.OperationID
}

// table is the API's path of a domain type.
func table[T any]() string {
	switch any(*new(T)).(type) {
	case schema.Route:
		return "/v1/routes"
	default:
		return "/v1/pools"
	}
}

// List returns all routes or all pools.
func List[T schema.Route | schema.Pool](ctx context.Context, c *Client) ([]schema.Stored[T], error) {
	var rows []schema.Stored[T]
	err := c.call(ctx, http.MethodGet, table[T](), nil, nil, &rows)
	return rows, err
}

// Get returns one route or pool.
func Get[T schema.Route | schema.Pool](ctx context.Context, c *Client, name schema.Name) (schema.Stored[T], error) {
	var row schema.Stored[T]
	err := c.call(ctx, http.MethodGet, table[T]()+"/"+url.PathEscape(string(name)), nil, nil, &row)
	return row, err
}

// Put stores a route or pool under its name.
func Put[T schema.Route | schema.Pool](ctx context.Context, c *Client, name schema.Name, v T, e Edit) (schema.Change, error) {
	return c.edit(ctx, http.MethodPut, table[T]()+"/"+url.PathEscape(string(name)), v, e)
}

// Remove deletes a route or pool.
func Remove[T schema.Route | schema.Pool](ctx context.Context, c *Client, name schema.Name, e Edit) (schema.Change, error) {
	return c.edit(ctx, http.MethodDelete, table[T]()+"/"+url.PathEscape(string(name)), nil, e)
}

// Marks of the API.
const (
	VMs         = "vms"
	DataCentres = "datacentres"
)

// Marks returns the marks of a kind, VMs or DataCentres.
func (c *Client) Marks(ctx context.Context, kind string) ([]schema.Stored[schema.Mark], error) {
	var rows []schema.Stored[schema.Mark]
	err := c.call(ctx, http.MethodGet, "/v1/"+kind, nil, nil, &rows)
	return rows, err
}

// Mark takes a VM or data centre out of service or back in.
func (c *Client) Mark(ctx context.Context, kind, name string, out bool, e Edit) (schema.Change, error) {
	return c.edit(ctx, http.MethodPut, "/v1/"+kind+"/"+url.PathEscape(name), schema.Mark{Name: name, Out: out}, e)
}

// Status returns the view of the first daemon that answers.
func (c *Client) Status(ctx context.Context) (schema.Status, error) {
	var s schema.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &s)
	return s, err
}

func (c *Client) edit(ctx context.Context, method, path string, v any, e Edit) (schema.Change, error) {
	var body []byte
	if v != nil {
		var err error
		if body, err = json.Marshal(v); err != nil {
			return schema.Change{}, Refused.Wrap(err, "value can't be encoded")
		}
	}
	if e.Operation == "" {
		e.Operation = schema.OperationID("op-" + rand.Text())
	}
	h := http.Header{"Operation-Id": {string(e.Operation)}}
	if e.Strict {
		h.Set("If-Match", strconv.FormatUint(uint64(e.Expect), 10))
	}
	query := url.Values{}
	if e.DryRun {
		query.Set("DryRun", "1")
	}
	if e.Wait != 0 {
		query.Set("Wait", e.Wait.String())
	}
	var change schema.Change
	err := c.call(ctx, method, path+"?"+query.Encode(), h, body, &change)
	return change, err
}

// call tries the daemons in turn. Calls are safe to repeat: reads change
// nothing and edits carry their operation id.
func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte, answer any) error {
	var err error
	for try := range tries * max(1, len(c.bases)) {
		if try > 0 {
			select {
			case <-ctx.Done():
				return Unavailable.Wrap(ctx.Err(), "%s %s", method, path)
			case <-time.After(retryAfter):
			}
		}
		base := strings.TrimSuffix(c.bases[try%len(c.bases)], "/")
		err = c.once(ctx, method, base+path, h, body, answer)
		if err == nil || !errorx.IsOfType(err, Unavailable) {
			return err
		}
	}
	return err
}

func (c *Client) once(ctx context.Context, method, url string, h http.Header, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Refused.Wrap(err, "call can't be made")
	}
	for k, v := range h {
		req.Header[k] = v
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Unavailable.Wrap(err, "daemon does not answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Unavailable.Wrap(err, "daemon's answer broke off")
	}
	if resp.StatusCode/100 == 2 {
		if err := json.Unmarshal(data, answer); err != nil {
			return Unavailable.Wrap(err, "daemon's answer is not JSON")
		}
		return nil
	}
	return problem(resp.StatusCode, data)
}

func problem(code int, data []byte) error {
	p := schema.Problem{Error: fmt.Sprintf("status %d", code)}
	_ = json.Unmarshal(data, &p) // the status alone must do
	switch code {
	case http.StatusConflict:
		return Conflict.New("%s", p.Error)
	case http.StatusNotFound:
		return Missing.New("%s", p.Error)
	case http.StatusServiceUnavailable:
		return Unavailable.New("%s", p.Error)
	}
	return Refused.New("%s", p.Error)
}

// Package client is a client of the daemons' administration API.
//
// Every edit carries an operation ID. If the response is lost, the client
// retries the edit with the same ID, and the API recognises the retry.
// Therefore an edit is never applied twice, and an edit that took effect is not
// reported as failed.
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
	// Refused is the type of errors of requests that the API rejected.
	Refused = namespace.NewType("refused")
	// Conflict is the type of errors of edits that expect another version of
	// the object than the current one.
	Conflict = namespace.NewType("conflict")
	// Unavailable is the type of errors of requests that got no response, or
	// that failed because the platform is unavailable.
	Unavailable = namespace.NewType("unavailable")
	// Missing is the type of errors of requests for an object that does not
	// exist.
	Missing = namespace.NewType("missing")
)

const (
	triesPerDaemon = 3
	retryDelay     = 300 * time.Millisecond
	// requestTimeout is longer than the API's longest wait for an edit to come
	// into force, which is 30 s.
	requestTimeout   = 40 * time.Second
	maxResponseBytes = 64 << 20
)

// Client sends requests to one of several equivalent daemons. It tries them in
// order.
type Client struct {
	baseURLs []string
	token    string
	http     *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithToken authenticates requests with a team's token.
func WithToken(t string) Option {
	return func(c *Client) { c.token = t }
}

// WithHTTPClient replaces the HTTP client, for example to configure TLS.
func WithHTTPClient(h *http.Client) Option {
	return func(c *Client) { c.http = h }
}

// New returns a client of the daemons with the given base URLs.
func New(baseURLs []string, opts ...Option) *Client {
	c := &Client{baseURLs: baseURLs, http: &http.Client{Timeout: requestTimeout}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Edit holds the options of an edit.
type Edit struct {
	// Expect is the version that the object must have if Strict is set; zero
	// means that the object must not exist.
	Expect schema.Version
	Strict bool
	// DryRun validates the edit without storing it.
	DryRun bool
	// Wait is how long the API may wait for the edit to come into force on all
	// daemons; zero means the API's default.
	Wait time.Duration
	// Operation identifies the edit; a new ID is generated if it is empty.
	Operation schema.OperationID
}

// collectionPath returns the API's path of the objects of a type.
func collectionPath[T any]() string {
	switch any(*new(T)).(type) {
	case schema.Route:
		return "/v1/routes"
	default:
		return "/v1/pools"
	}
}

// List returns all routes or all pools.
func List[T schema.Route | schema.Pool](ctx context.Context, c *Client) ([]schema.Stored[T], error) {
	var objects []schema.Stored[T]
	err := c.call(ctx, http.MethodGet, collectionPath[T](), nil, nil, &objects)
	return objects, err
}

// Get returns one route or pool.
func Get[T schema.Route | schema.Pool](ctx context.Context, c *Client, name schema.Name) (schema.Stored[T], error) {
	var object schema.Stored[T]
	err := c.call(ctx, http.MethodGet, collectionPath[T]()+"/"+url.PathEscape(string(name)), nil, nil, &object)
	return object, err
}

// Put stores a route or pool under its name.
func Put[T schema.Route | schema.Pool](ctx context.Context, c *Client, name schema.Name, v T, e Edit) (schema.Change, error) {
	return c.edit(ctx, http.MethodPut, collectionPath[T]()+"/"+url.PathEscape(string(name)), v, e)
}

// Remove deletes a route or pool.
func Remove[T schema.Route | schema.Pool](ctx context.Context, c *Client, name schema.Name, e Edit) (schema.Change, error) {
	return c.edit(ctx, http.MethodDelete, collectionPath[T]()+"/"+url.PathEscape(string(name)), nil, e)
}

// Kinds of marks, as path segments of the API.
const (
	VMs         = "vms"
	DataCentres = "datacentres"
)

// Marks returns all marks of a kind, VMs or DataCentres.
func (c *Client) Marks(ctx context.Context, kind string) ([]schema.Stored[schema.Mark], error) {
	var objects []schema.Stored[schema.Mark]
	err := c.call(ctx, http.MethodGet, "/v1/"+kind, nil, nil, &objects)
	return objects, err
}

// Mark takes a VM or a data centre out of service, or puts it back in.
func (c *Client) Mark(ctx context.Context, kind, name string, out bool, e Edit) (schema.Change, error) {
	return c.edit(ctx, http.MethodPut, "/v1/"+kind+"/"+url.PathEscape(name), schema.Mark{Name: name, Out: out}, e)
}

// Status returns the system's state as seen by the first daemon that responds.
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
			return schema.Change{}, Refused.Wrap(err, "can't encode the value")
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

// call sends a request to the daemons in turn until one of them executes or
// rejects it, and decodes the response into result. Retries are safe: reads
// change nothing, and edits carry an operation ID.
func (c *Client) call(ctx context.Context, method, path string, h http.Header, body []byte, result any) error {
	var err error
	for try := range triesPerDaemon * max(1, len(c.baseURLs)) {
		if try > 0 {
			select {
			case <-ctx.Done():
				return Unavailable.Wrap(ctx.Err(), "%s %s", method, path)
			case <-time.After(retryDelay):
			}
		}
		base := strings.TrimSuffix(c.baseURLs[try%len(c.baseURLs)], "/")
		err = c.send(ctx, method, base+path, h, body, result)
		if err == nil || !errorx.IsOfType(err, Unavailable) {
			return err
		}
	}
	return err
}

// send sends one request to one daemon.
func (c *Client) send(ctx context.Context, method, url string, h http.Header, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Refused.Wrap(err, "can't create the request")
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Unavailable.Wrap(err, "can't read the daemon's response")
	}
	if resp.StatusCode/100 == 2 {
		if err := json.Unmarshal(data, result); err != nil {
			return Unavailable.Wrap(err, "daemon's response is not valid JSON")
		}
		return nil
	}
	return responseError(resp.StatusCode, data)
}

// responseError returns the error of a response with a status other than 2xx.
func responseError(code int, data []byte) error {
	p := schema.Problem{Error: fmt.Sprintf("status %d", code)}
	_ = json.Unmarshal(data, &p) // without a JSON body, the error names only the status
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

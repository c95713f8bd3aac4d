package object

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

var (
	namespace = errorx.NewNamespace("object")
	// Conflict is the type of a refused conditional update.
	Conflict = namespace.NewType("conflict")
	// Unavailable is the type of an outage, a timeout or a lost answer: the
	// call may have taken effect.
	Unavailable = namespace.NewType("unavailable")
	// Compacted is the type of a refusal to tell changes that the platform no
	// longer keeps.
	Compacted = namespace.NewType("compacted")
)

const (
	defaultTimeout = 1500 * time.Millisecond
	maxAnswer      = 64 << 20
	maxPages       = 1000
	// ownKind is the platform's kind of all objects of the system's own. One
	// kind for all makes a list of them consistent.
	ownKind = "coltsfootdock"
	// atOnce is the wait of a call that is to answer without news too.
	atOnce = 1 * clock.Milli(1)
)

// Client calls the platform's store. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Option changes how a Client works.
type Option func(*Client)

// WithTimeout limits a call, beside the time that it waits for news.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string, opts ...Option) *Client {
	c := &Client{base: base, timeout: defaultTimeout, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// nameOf returns the platform's name of an object.
func nameOf(id ID) string { return string(id.Kind) + "." + id.Name }

// idOf returns the identity of an object with a platform's name.
func idOf(name string) (ID, bool) {
	kind, rest, ok := strings.Cut(name, ".")
	return ID{Kind: Kind(kind), Name: rest}, ok
}

// objectOf returns the system's form of an object. It reports false if the
// object is not one of the system's.
func objectOf(raw []byte) (Object, bool) {
	var o platform.Object
	if err := json.Unmarshal(raw, &o); err != nil {
		return Object{}, false
	}
	id, ok := idOf(o.Meta.Name)
	return Object{Kind: id.Kind, Name: id.Name, Version: o.Meta.Rev, Data: o.Spec}, ok
}

// Changes returns the objects changed since a revision. If the platform no
// longer knows which, the list is full.
func (c *Client) Changes(ctx context.Context, since schema.Version) (List, error) {
	if since == 0 {
		return c.list(ctx)
	}
	body, err := c.get(ctx, platform.KindWatchPath(ownKind, since, atOnce), atOnce)
	if errorx.IsOfType(err, Compacted) {
		return c.list(ctx)
	}
	if err != nil {
		return List{}, err
	}
	var answer platform.Changes
	if err := json.Unmarshal(body, &answer); err != nil {
		return List{}, Unavailable.Wrap(err, "platform's answer is not JSON")
	}
	l := List{Revision: answer.StoreRevision}
	for _, e := range answer.Events {
		if o, ok := objectOf(e.Object); ok {
			o.Deleted = e.Deleted
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

// list returns all objects. Its revision is that of the first page: changes
// since then may be missing.
func (c *Client) list(ctx context.Context) (List, error) {
	l := List{Full: true}
	after := ""
	for range maxPages {
		body, err := c.get(ctx, platform.KindListPath(ownKind, after), 0)
		if err != nil {
			return List{}, err
		}
		var page platform.List
		if err := json.Unmarshal(body, &page); err != nil {
			return List{}, Unavailable.Wrap(err, "platform's answer is not JSON")
		}
		if after == "" {
			l.Revision = page.StoreRevision
		}
		for _, raw := range page.Items {
			if o, ok := objectOf(raw); ok {
				l.Objects = append(l.Objects, o)
				after = nameOf(o.ID())
			}
		}
		if !page.HasMore || len(page.Items) == 0 {
			return l, nil
		}
	}
	return List{}, Unavailable.New("platform's list has more than %d pages", maxPages)
}

// Put writes an object if its version is still expect; zero creates it. It
// returns the new version.
func (c *Client) Put(ctx context.Context, id ID, expect schema.Version, data json.RawMessage) (schema.Version, error) {
	body, err := json.Marshal(platform.Object{Meta: platform.Meta{Name: nameOf(id), Rev: expect}, Spec: data})
	if err != nil {
		return 0, Unavailable.Wrap(err, "%s %q can't be encoded", id.Kind, id.Name)
	}
	method, path := http.MethodPut, platform.ObjectPath(ownKind, nameOf(id), 0)
	if expect == 0 {
		method, path = http.MethodPost, platform.KindListPath(ownKind, "")
	}
	answer, _, err := c.call(ctx, method, path, body, 0)
	if err != nil {
		return 0, err
	}
	o, ok := objectOf(answer)
	if !ok {
		return 0, Unavailable.New("platform's answer to a write of %s %q names no object", id.Kind, id.Name)
	}
	return o.Version, nil
}

// Delete removes an object if its version is still expect. It returns a
// revision that has the removal.
func (c *Client) Delete(ctx context.Context, id ID, expect schema.Version) (schema.Version, error) {
	if _, _, err := c.call(ctx, http.MethodDelete, platform.ObjectPath(ownKind, nameOf(id), expect), nil, 0); err != nil {
		return 0, err
	}
	l, err := c.Changes(ctx, expect)
	return l.Revision, err
}

// Get returns one object; its version is zero if it does not exist.
func (c *Client) Get(ctx context.Context, id ID) (Object, error) {
	body, status, err := c.call(ctx, http.MethodGet, platform.ObjectPath(ownKind, nameOf(id), 0), nil, 0)
	if status == http.StatusNotFound {
		return Object{Kind: id.Kind, Name: id.Name}, nil
	}
	if err != nil {
		return Object{}, err
	}
	o, ok := objectOf(body)
	if !ok {
		return Object{}, Unavailable.New("platform's answer names no object of the system")
	}
	return o, nil
}

func (c *Client) get(ctx context.Context, path string, wait clock.Milli) ([]byte, error) {
	body, _, err := c.call(ctx, http.MethodGet, path, nil, wait)
	return body, err
}

// call makes one call, which may wait for news for so long, and returns the
// body and status of the answer.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait clock.Milli) ([]byte, int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, Unavailable.Wrap(err, "%s %s", method, path)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, Unavailable.Wrap(err, "platform does not answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return nil, resp.StatusCode, Unavailable.Wrap(err, "platform's answer broke off")
	case resp.StatusCode == http.StatusConflict:
		return nil, resp.StatusCode, Conflict.New("object was changed: %s", bytes.TrimSpace(data))
	case resp.StatusCode == http.StatusGone:
		return nil, resp.StatusCode, Compacted.New("%s: changes are no longer kept", path)
	case resp.StatusCode/100 != 2:
		return nil, resp.StatusCode, Unavailable.New("platform answered %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, resp.StatusCode, nil
}

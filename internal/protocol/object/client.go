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
	// Conflict is the error type for a conditional write that was rejected
	// because the object had changed.
	Conflict = namespace.NewType("conflict")
	// Unavailable is the error type for an outage, a timeout, or a lost or
	// invalid response. The request may have taken effect.
	Unavailable = namespace.NewType("unavailable")
	// Compacted is the error type for a request for changes that the store no
	// longer keeps.
	Compacted = namespace.NewType("compacted")
)

const (
	defaultTimeout = 1500 * time.Millisecond
	// maxResponse limits the size of a response, in bytes.
	maxResponse = 64 << 20
	maxPages    = 1000
	// storeKind is the store's kind for all of coltsfootdock's own objects. They
	// share one kind so that a single request reads a consistent list.
	storeKind = "coltsfootdock"
	// minWait makes a watch request respond at once, even without changes.
	minWait = clock.Milli(1)
)

// Client accesses the platform's store. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	eras    *eras
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a request. The time that a request waits for
// changes is added to it.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// NewClient returns a client for the store at a base URL.
func NewClient(base string, opts ...Option) *Client {
	c := &Client{base: base, timeout: defaultTimeout, eras: new(eras), http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Within returns a client that shares the connections of c and whose requests have
// another timeout.
func (c *Client) Within(d time.Duration) *Client {
	x := *c
	x.timeout = d
	return &x
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// storeName returns the name of an object in the store.
func storeName(id ID) string { return string(id.Kind) + "." + id.Name }

// parseStoreName returns the ID of the object with a name in the store. It
// reports false if the name has no kind.
func parseStoreName(name string) (ID, bool) {
	kind, rest, ok := strings.Cut(name, ".")
	return ID{Kind: Kind(kind), Name: rest}, ok
}

// decodeObject decodes an object from its form in the store. It reports false
// if it can't be decoded or its name has no kind.
func decodeObject(raw []byte, era uint16) (Object, bool) {
	var o platform.Object
	if err := json.Unmarshal(raw, &o); err != nil {
		return Object{}, false
	}
	id, ok := parseStoreName(o.Meta.Name)
	return Object{Kind: id.Kind, Name: id.Name, Version: inEra(era, o.Meta.Rev), Data: o.Spec}, ok
}

// Changes returns the objects changed since a revision. If the store no longer
// keeps these changes, or the revision is of another era, it returns a full list.
func (c *Client) Changes(ctx context.Context, since schema.Version) (List, error) {
	if since == 0 || since.Era() != c.Era() {
		return c.list(ctx)
	}
	body, era, err := c.get(ctx, platform.KindWatchPath(storeKind, since, minWait), minWait)
	if err == nil && era != since.Era() {
		return c.list(ctx)
	}
	if errorx.IsOfType(err, Compacted) {
		return c.list(ctx)
	}
	if err != nil {
		return List{}, err
	}
	var response platform.Changes
	if err := json.Unmarshal(body, &response); err != nil {
		return List{}, Unavailable.Wrap(err, "platform store's response is not valid JSON")
	}
	l := List{Revision: inEra(era, response.StoreRevision)}
	for _, e := range response.Events {
		if o, ok := decodeObject(e.Object, era); ok {
			o.Deleted = e.Deleted
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

// list returns all objects. Its revision is that of the first page: later
// changes may be missing from the list.
func (c *Client) list(ctx context.Context) (List, error) {
	l := List{Full: true}
	after := ""
	listEra := uint16(0)
	for n := range maxPages {
		body, era, err := c.get(ctx, platform.KindListPath(storeKind, after), 0)
		if err != nil {
			return List{}, err
		}
		var page platform.List
		if err := json.Unmarshal(body, &page); err != nil {
			return List{}, Unavailable.Wrap(err, "platform store's response is not valid JSON")
		}
		if n == 0 {
			l.Revision, listEra = inEra(era, page.StoreRevision), era
		}
		if era != listEra {
			return List{}, Unavailable.New("platform store's list has pages of eras %d and %d", listEra, era)
		}
		for _, raw := range page.Items {
			if o, ok := decodeObject(raw, era); ok {
				l.Objects = append(l.Objects, o)
				after = storeName(o.ID())
			}
		}
		if !page.HasMore || len(page.Items) == 0 {
			return l, nil
		}
	}
	return List{}, Unavailable.New("platform store's list has more than %d pages", maxPages)
}

// Put writes an object if its version is expect; zero creates the object. It
// returns the new version. A version of an older era than the known one conflicts without
// a call.
func (c *Client) Put(ctx context.Context, id ID, expect schema.Version, data json.RawMessage) (schema.Version, error) {
	if err := c.checkEra(expect); err != nil {
		return 0, err
	}
	body, err := json.Marshal(platform.Object{Meta: platform.Meta{Name: storeName(id), Rev: schema.Version(expect.Revision())}, Spec: data})
	if err != nil {
		return 0, Unavailable.Wrap(err, "can't encode %s %q", id.Kind, id.Name)
	}
	method, path := http.MethodPut, platform.ObjectPath(storeKind, storeName(id), 0)
	if expect == 0 {
		method, path = http.MethodPost, platform.KindListPath(storeKind, "")
	}
	response, _, era, err := c.call(ctx, method, path, body, 0)
	if err != nil {
		return 0, err
	}
	if err := checkWriteEra(expect, era); err != nil {
		return 0, err
	}
	o, ok := decodeObject(response, era)
	if !ok {
		return 0, Unavailable.New("platform store's response to a write of %s %q is not a valid object", id.Kind, id.Name)
	}
	return o.Version, nil
}

// checkEra returns an error if a version is not of the store's era, as far as it is known.
func (c *Client) checkEra(expect schema.Version) error {
	if expect != 0 && expect.Era() != c.Era() {
		return Conflict.New("version %d is of era %d, the store has era %d", expect.Revision(), expect.Era(), c.Era())
	}
	return nil
}

// checkWriteEra returns an error if a conditional write was answered in another era than
// its condition is of: the same revision may have been assigned to another state.
func checkWriteEra(expect schema.Version, era uint16) error {
	if expect != 0 && expect.Era() != era {
		return Unavailable.New("the condition was of era %d, the store answered in era %d", expect.Era(), era)
	}
	return nil
}

// Delete deletes an object if its version is expect. It returns a revision that
// includes the deletion. A version of an older era than the known one conflicts without a
// call.
func (c *Client) Delete(ctx context.Context, id ID, expect schema.Version) (schema.Version, error) {
	if err := c.checkEra(expect); err != nil {
		return 0, err
	}
	_, _, era, err := c.call(ctx, http.MethodDelete, platform.ObjectPath(storeKind, storeName(id), expect), nil, 0)
	if err == nil {
		err = checkWriteEra(expect, era)
	}
	if err != nil {
		return 0, err
	}
	l, err := c.Changes(ctx, expect)
	return l.Revision, err
}

// Get returns one object; its version is zero if it does not exist.
func (c *Client) Get(ctx context.Context, id ID) (Object, error) {
	body, status, era, err := c.call(ctx, http.MethodGet, platform.ObjectPath(storeKind, storeName(id), 0), nil, 0)
	if status == http.StatusNotFound {
		return Object{Kind: id.Kind, Name: id.Name}, nil
	}
	if err != nil {
		return Object{}, err
	}
	o, ok := decodeObject(body, era)
	if !ok {
		return Object{}, Unavailable.New("platform store's response is not a valid object")
	}
	return o, nil
}

// get returns the body of an answer and the era that it is of.
func (c *Client) get(ctx context.Context, path string, wait clock.Milli) ([]byte, uint16, error) {
	body, _, era, err := c.call(ctx, http.MethodGet, path, nil, wait)
	return body, era, err
}

// call sends a request and returns the body, the status and the era of the response.
// The store may wait at most wait for a change before it responds. A response of an older
// era than the known one is discarded.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait clock.Milli) ([]byte, int, uint16, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, 0, Unavailable.Wrap(err, "%s %s", method, path)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, 0, Unavailable.Wrap(err, "platform store did not respond")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, resp.StatusCode, 0, Unavailable.Wrap(err, "can't read the platform store's response")
	}
	header, stated := platform.ParseEra(resp.Header)
	era, current := c.eras.observe(header, stated)
	switch {
	case !current:
		return nil, resp.StatusCode, era, Unavailable.New("discarded a response of era %d, the store has era %d", era, c.Era())
	case resp.StatusCode == http.StatusConflict:
		return nil, resp.StatusCode, era, Conflict.New("object was changed: %s", bytes.TrimSpace(data))
	case resp.StatusCode == http.StatusGone:
		return nil, resp.StatusCode, era, Compacted.New("%s: changes are no longer kept", path)
	case resp.StatusCode/100 != 2:
		return nil, resp.StatusCode, era, Unavailable.New("platform store responded with status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return data, resp.StatusCode, era, nil
}

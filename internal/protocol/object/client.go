package object

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"coltsfootdock/pkg/schema"
)

var (
	namespace = errorx.NewNamespace("object")
	// Conflict is the type of a refused conditional update.
	Conflict = namespace.NewType("conflict")
	// Unavailable is the type of an outage, a timeout or a lost answer: the
	// call may have taken effect.
	Unavailable = namespace.NewType("unavailable")
)

const (
	callTimeout = 1500 * time.Millisecond
	maxAnswer   = 64 << 20
)

// Client calls the platform's object API.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Changes returns the objects changed since a revision.
func (c *Client) Changes(ctx context.Context, since schema.Version) (List, error) {
	var l List
	url := c.base + "/objects?since=" + strconv.FormatUint(uint64(since), 10)
	_, err := c.call(ctx, http.MethodGet, url, "", nil, &l)
	return l, err
}

// Put writes an object if its version is still expect; zero creates it. It
// returns the new version.
func (c *Client) Put(ctx context.Context, id ID, expect schema.Version, data json.RawMessage) (schema.Version, error) {
	var o Object
	_, err := c.call(ctx, http.MethodPut, c.url(id), match(expect), data, &o)
	return o.Version, err
}

// Delete removes an object if its version is still expect.
func (c *Client) Delete(ctx context.Context, id ID, expect schema.Version) (schema.Version, error) {
	var o Object
	_, err := c.call(ctx, http.MethodDelete, c.url(id), match(expect), nil, &o)
	return o.Version, err
}

// Get returns one object; its version is zero if it does not exist.
func (c *Client) Get(ctx context.Context, id ID) (Object, error) {
	var o Object
	status, err := c.call(ctx, http.MethodGet, c.url(id), "", nil, &o)
	if status == http.StatusNotFound {
		return Object{Kind: id.Kind, Name: id.Name}, nil
	}
	return o, err
}

func (c *Client) url(id ID) string {
	return c.base + "/objects/" + string(id.Kind) + "/" + id.Name
}

func match(v schema.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

func (c *Client) call(ctx context.Context, method, url, ifMatch string, body []byte, answer any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, Unavailable.Wrap(err, "%s %s", method, url)
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, Unavailable.Wrap(err, "platform does not answer")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return resp.StatusCode, Unavailable.Wrap(err, "platform's answer broke off")
	}
	switch {
	case resp.StatusCode == http.StatusConflict:
		return resp.StatusCode, Conflict.New("object was changed: %s", bytes.TrimSpace(data))
	case resp.StatusCode/100 != 2:
		return resp.StatusCode, Unavailable.New("platform answered %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return resp.StatusCode, Unavailable.Wrap(err, "platform's answer is not JSON")
	}
	return resp.StatusCode, nil
}

package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/daemon"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// fixture is an API with a stand-in platform. The daemon's view is updated from
// the platform before each use.
type fixture struct {
	t        *testing.T
	platform *plat.Platform
	api      *API
	url      string
	client   *client.Client
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, platform: plat.New()}
	p := httptest.NewServer(f.platform)
	t.Cleanup(p.Close)
	objects := object.NewClient(p.URL)
	m := daemon.New(0, schema.Member{ID: "vm-1", DataCentre: "dc"}, 1)
	var mu sync.Mutex
	f.api = New(Core{
		Platform: objects,
		Now:      func() clock.Milli { return 1 },
		With: func(use func(clock.Milli, *daemon.Machine)) {
			mu.Lock()
			defer mu.Unlock()
			since := m.View().Revision()
			if l, err := objects.Changes(context.Background(), since); err == nil {
				m.ReadDone(1, 1, since, &l)
			}
			use(1, m)
		},
	})
	s := httptest.NewServer(f.api)
	t.Cleanup(s.Close)
	f.url = s.URL
	f.client = client.New([]string{s.URL})
	return f
}

func route(name string, last byte) schema.Route {
	return schema.Route{Name: schema.Name(name), Address: netip.AddrFrom4([4]byte{198, 51, 100, last}), Port: 443, Protocol: schema.QUIC}
}

// call sends a request and returns the status code and the error message.
func (f *fixture) call(method, path, token, body string, header ...string) (int, string) {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Operation-Id", "op-test")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	var p schema.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p.Error
}

const (
	teamToken     = "token-of-team-engraving"
	operatorToken = "token-of-the-operators"
)

func (f *fixture) loadTokens() {
	path := filepath.Join(f.t.TempDir(), "tokens.toml")
	text := fmt.Sprintf("[[Tokens]]\nToken = %q\nTeam = \"engraving\"\n[[Tokens]]\nToken = %q\nOperator = true\n", teamToken, operatorToken)
	require.NoError(f.t, os.WriteFile(path, []byte(text), 0o644))
	require.ErrorContains(f.t, f.api.LoadTokens(path), "only its owner may read it")
	require.NoError(f.t, os.Chmod(path, 0o600))
	require.NoError(f.t, f.api.LoadTokens(path))
}

// Guards against accepting invalid, unauthorised or conflicting requests, and
// against error messages that don't name the fault.
func TestInvalidRequests(t *testing.T) {
	f := newFixture(t)
	other := route("mugs", 9)
	other.Team = "mugs"
	_, err := client.Put(context.Background(), f.client, "mugs", other, client.Edit{Wait: -1})
	require.NoError(t, err)
	f.loadTokens()
	valid := `{"Name":"desk","Address":"198.51.100.1","Port":443,"Protocol":"quic"}`
	tests := []struct {
		name, method, path, token, body string
		header                          []string
		code                            int
		want                            string
	}{
		{"no token", "PUT", "/v1/routes/desk", "", valid, nil, 401, "needs a valid token"},
		{"wrong token", "GET", "/v1/status", "x", "", nil, 401, "needs a valid token"},
		{"bad JSON", "PUT", "/v1/routes/desk", teamToken, "{", nil, 400, "not valid"},
		{"unknown field", "PUT", "/v1/routes/desk", teamToken, `{"Nmae":"desk"}`, nil, 400, "Nmae"},
		{"bad address", "PUT", "/v1/routes/desk", teamToken, strings.Replace(valid, "198", "1980", 1), nil, 400, "not valid"},
		{"bad protocol", "PUT", "/v1/routes/desk", teamToken, strings.Replace(valid, "quic", "udp", 1), nil, 400, `must be "tcp" or "quic"`},
		{"oversized body", "PUT", "/v1/routes/desk", teamToken, strings.Repeat(" ", maxBody+1), nil, 413, "larger than"},
		{"name differs from path", "PUT", "/v1/routes/other", teamToken, valid, nil, 400, "differs"},
		{"no operation id", "PUT", "/v1/routes/desk", teamToken, valid, []string{"Operation-Id", ""}, 400, "Operation-Id"},
		{"bad version", "PUT", "/v1/routes/desk", teamToken, valid, []string{"If-Match", "new"}, 400, "version number"},
		{"other team's new route", "PUT", "/v1/routes/desk", teamToken, strings.Replace(valid, "{", `{"Team":"mugs",`, 1), nil, 403, "team"},
		{"other team's route", "DELETE", "/v1/routes/mugs", teamToken, "", nil, 403, `belongs to team "mugs"`},
		{"mark by a team", "PUT", "/v1/datacentres/dc", teamToken, `{"Name":"dc","Out":true}`, nil, 403, "operator"},
		{"address in use", "PUT", "/v1/routes/desk", teamToken, strings.Replace(valid, "100.1", "100.9", 1), nil, 422, `"mugs"`},
		{"missing object", "DELETE", "/v1/pools/none", teamToken, "", nil, 404, "does not exist"},
		{"bad path name", "PUT", "/v1/routes/..%2fx", teamToken, valid, nil, 400, "may hold"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, text := f.call(tt.method, tt.path, tt.token, tt.body, tt.header...)
			require.Equal(t, tt.code, code, text)
			require.Contains(t, text, tt.want)
		})
	}
}

// Guards against applying an edit twice, or reporting it as failed, when the
// platform applies a write but its response is lost.
func TestLostResponse(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	f.platform.SetFault(plat.Fault{LoseAnswers: 1})
	c, err := client.Put(ctx, f.client, "desk", route("desk", 1), client.Edit{Wait: -1})
	require.NoError(t, err)
	require.True(t, c.Stored)
	got, err := client.Get[schema.Route](ctx, f.client, "desk")
	require.NoError(t, err)
	require.Equal(t, plat.FirstRevision+1, got.Version, "the edit must be written once")
	f.platform.SetFault(plat.Fault{LoseAnswers: 1})
	_, err = client.Remove[schema.Route](ctx, f.client, "desk", client.Edit{Wait: -1})
	require.NoError(t, err)
	_, err = client.Get[schema.Route](ctx, f.client, "desk")
	require.True(t, errorx.IsOfType(err, client.Missing))
}

// Guards against a retry that undoes a later edit: an operator repeats an edit
// after another operator has changed the object.
func TestRetryAfterOtherEdit(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	edit := client.Edit{Operation: "op-mine", Wait: -1}
	_, err := client.Put(ctx, f.client, "desk", route("desk", 1), edit)
	require.NoError(t, err)
	_, err = client.Put(ctx, f.client, "desk", route("desk", 2), client.Edit{Operation: "op-other", Wait: -1})
	require.NoError(t, err)
	c, err := client.Put(ctx, f.client, "desk", route("desk", 1), edit)
	require.NoError(t, err)
	require.True(t, c.Stored)
	got, err := client.Get[schema.Route](ctx, f.client, "desk")
	require.NoError(t, err)
	require.Equal(t, route("desk", 2).Address, got.Value.Address)
	require.Equal(t, plat.FirstRevision+2, got.Version)
}

// Guards against reporting an edit as stored while the platform is unavailable.
func TestPlatformUnavailable(t *testing.T) {
	f := newFixture(t)
	f.platform.SetFault(plat.Fault{Down: true})
	_, err := client.Put(context.Background(), f.client, "desk", route("desk", 1), client.Edit{Wait: -1})
	require.True(t, errorx.IsOfType(err, client.Unavailable), "an edit that was not stored must fail: %v", err)
	f.platform.SetFault(plat.Fault{})
	routes, err := client.List[schema.Route](context.Background(), f.client)
	require.NoError(t, err)
	require.Empty(t, routes)
}

// Guards against lost updates: two operators edit a pool concurrently, each with
// the version it has read. One edit is stored, the other gets a conflict.
func TestConcurrentEdits(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	pool := schema.Pool{Name: "desk", VNI: 1}
	first, err := client.Put(ctx, f.client, "desk", pool, client.Edit{Wait: -1})
	require.NoError(t, err)
	const rounds = 10
	version, stored := first.Version, 0
	for range rounds {
		var wg sync.WaitGroup
		results := make([]error, 2)
		versions := make([]schema.Version, 2)
		for i := range results {
			wg.Go(func() {
				edited := pool
				edited.ColdRate = schema.PerSecond(i + 1)
				var c schema.Change
				c, results[i] = client.Put(ctx, f.client, "desk", edited, client.Edit{Strict: true, Expect: version, Wait: -1})
				versions[i] = c.Version
			})
		}
		wg.Wait()
		for i, err := range results {
			if err == nil {
				stored++
				version = versions[i]
				continue
			}
			require.True(t, errorx.IsOfType(err, client.Conflict), err)
		}
	}
	require.Equal(t, rounds, stored, "exactly one edit must be stored in each round")
}

func TestDryRunAndWarnings(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	c, err := client.Put(ctx, f.client, "desk", route("desk", 1), client.Edit{DryRun: true})
	require.NoError(t, err)
	require.False(t, c.Stored)
	require.Contains(t, c.Warnings[0], "no pool is named")
	routes, err := client.List[schema.Route](ctx, f.client)
	require.NoError(t, err)
	require.Empty(t, routes)
}

// Guards against revoked tokens that stay valid and against losing all tokens to
// an invalid file: the tokens file changes while the daemon runs, becomes invalid
// and is removed.
func TestReloadTokens(t *testing.T) {
	f := newFixture(t)
	changed, err := f.api.ReloadTokens()
	require.NoError(t, err)
	require.False(t, changed, "no tokens file is in use")
	f.loadTokens()
	path := f.api.tokens.Load().path
	allowed := func(token string) bool {
		code, _ := f.call("GET", "/v1/status", token, "")
		return code == 200
	}
	at := time.Now()
	write := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		at = at.Add(time.Minute) // the file system's timestamps may be coarse
		require.NoError(t, os.Chtimes(path, at, at))
	}
	require.True(t, allowed(teamToken))
	const next = "the-next-token-of-the-team"
	write(fmt.Sprintf("[[Tokens]]\nToken = %q\nTeam = \"engraving\"\n", next))
	require.True(t, allowed(teamToken), "the file must not be reloaded before ReloadTokens")
	changed, err = f.api.ReloadTokens()
	require.NoError(t, err)
	require.True(t, changed)
	require.False(t, allowed(teamToken))
	require.True(t, allowed(next))

	write("[[Tokens]]\nToken = \"short\"\n")
	_, err = f.api.ReloadTokens()
	require.ErrorContains(t, err, "shorter than")
	_, err = f.api.ReloadTokens()
	require.NoError(t, err, "the error must be returned once")
	require.True(t, allowed(next))
	require.NoError(t, os.Remove(path))
	_, err = f.api.ReloadTokens()
	require.ErrorContains(t, err, "can't be read")
	require.True(t, allowed(next))
	write(fmt.Sprintf("[[Tokens]]\nToken = %q\nOperator = true\n", operatorToken))
	changed, err = f.api.ReloadTokens()
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, allowed(operatorToken))
	require.False(t, allowed(next))
}

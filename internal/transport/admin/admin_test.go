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

// bench is an API before a stand-in platform. Its daemon's view is read anew
// before each use.
type bench struct {
	t        *testing.T
	platform *plat.Platform
	api      *API
	url      string
	client   *client.Client
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, platform: plat.New()}
	p := httptest.NewServer(b.platform)
	t.Cleanup(p.Close)
	objects := object.NewClient(p.URL)
	m := daemon.New(0, schema.Member{ID: "vm-1", DataCentre: "dc"}, 1)
	var mu sync.Mutex
	b.api = New(Core{
		Platform: objects,
		Now:      func() clock.Milli { return 1 },
		With: func(f func(clock.Milli, *daemon.Machine)) {
			mu.Lock()
			defer mu.Unlock()
			since := m.View().Revision()
			if l, err := objects.Changes(context.Background(), since); err == nil {
				m.ReadDone(1, 1, since, &l)
			}
			f(1, m)
		},
	})
	s := httptest.NewServer(b.api)
	t.Cleanup(s.Close)
	b.url = s.URL
	b.client = client.New([]string{s.URL})
	return b
}

func route(name string, last byte) schema.Route {
	return schema.Route{Name: schema.Name(name), Address: netip.AddrFrom4([4]byte{198, 51, 100, last}), Port: 443, Protocol: schema.QUIC}
}

// call sends a raw request and returns status and body.
func (b *bench) call(method, path, token, body string, header ...string) (int, string) {
	req, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	req.Header.Set("Operation-Id", "op-test")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	var p schema.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	return resp.StatusCode, p.Error
}

const (
	teamToken     = "token-of-team-engraving"
	operatorToken = "token-of-the-operators"
)

func (b *bench) loadTokens() {
	path := filepath.Join(b.t.TempDir(), "tokens.toml")
	text := fmt.Sprintf("[[Tokens]]\nToken = %q\nTeam = \"engraving\"\n[[Tokens]]\nToken = %q\nOperator = true\n", teamToken, operatorToken)
	require.NoError(b.t, os.WriteFile(path, []byte(text), 0o644))
	require.ErrorContains(b.t, b.api.LoadTokens(path), "only its owner may read it")
	require.NoError(b.t, os.Chmod(path, 0o600))
	require.NoError(b.t, b.api.LoadTokens(path))
}

func TestHostileInput(t *testing.T) {
	b := newBench(t)
	other := route("mugs", 9)
	other.Team = "mugs"
	_, err := client.Put(context.Background(), b.client, "mugs", other, client.Edit{Wait: -1})
	require.NoError(t, err)
	b.loadTokens()
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
		{"other name", "PUT", "/v1/routes/other", teamToken, valid, nil, 400, "differs"},
		{"no operation id", "PUT", "/v1/routes/desk", teamToken, valid, []string{"Operation-Id", ""}, 400, "Operation-Id"},
		{"bad version", "PUT", "/v1/routes/desk", teamToken, valid, []string{"If-Match", "new"}, 400, "version number"},
		{"other team's new route", "PUT", "/v1/routes/desk", teamToken, strings.Replace(valid, "{", `{"Team":"mugs",`, 1), nil, 403, "team"},
		{"other team's route", "DELETE", "/v1/routes/mugs", teamToken, "", nil, 403, `of team "mugs"`},
		{"mark by a team", "PUT", "/v1/datacentres/dc", teamToken, `{"Name":"dc","Out":true}`, nil, 403, "operator"},
		{"address in use", "PUT", "/v1/routes/desk", teamToken, strings.Replace(valid, "100.1", "100.9", 1), nil, 422, `"mugs"`},
		{"missing object", "DELETE", "/v1/pools/none", teamToken, "", nil, 404, "does not exist"},
		{"bad path name", "PUT", "/v1/routes/..%2fx", teamToken, valid, nil, 400, "may hold"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			code, text := b.call(tt.method, tt.path, tt.token, tt.body, tt.header...)
			require.Equal(t, tt.code, code, text)
			require.Contains(t, text, tt.want)
		})
	}
}

// TestLostAnswer proves that an edit whose answer is lost is neither applied
// twice nor reported failed.
func TestLostAnswer(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	b.platform.SetFault(plat.Fault{LoseAnswers: 1})
	c, err := client.Put(ctx, b.client, "desk", route("desk", 1), client.Edit{Wait: -1})
	require.NoError(t, err)
	require.True(t, c.Stored)
	again, err := client.Get[schema.Route](ctx, b.client, "desk")
	require.NoError(t, err)
	require.Equal(t, plat.FirstRevision+1, again.Version, "written once")
	b.platform.SetFault(plat.Fault{LoseAnswers: 1})
	_, err = client.Remove[schema.Route](ctx, b.client, "desk", client.Edit{Wait: -1})
	require.NoError(t, err)
	_, err = client.Get[schema.Route](ctx, b.client, "desk")
	require.True(t, errorx.IsOfType(err, client.Missing))
}

// TestRetryAfterAnotherEdit proves that a retry is recognised also after
// another operator's edit, and does not undo it.
func TestRetryAfterAnotherEdit(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	mine := client.Edit{Operation: "op-mine", Wait: -1}
	_, err := client.Put(ctx, b.client, "desk", route("desk", 1), mine)
	require.NoError(t, err)
	_, err = client.Put(ctx, b.client, "desk", route("desk", 2), client.Edit{Operation: "op-other", Wait: -1})
	require.NoError(t, err)
	c, err := client.Put(ctx, b.client, "desk", route("desk", 1), mine)
	require.NoError(t, err)
	require.True(t, c.Stored)
	row, err := client.Get[schema.Route](ctx, b.client, "desk")
	require.NoError(t, err)
	require.Equal(t, route("desk", 2).Address, row.Value.Address)
	require.Equal(t, plat.FirstRevision+2, row.Version)
}

func TestPlatformDown(t *testing.T) {
	b := newBench(t)
	b.platform.SetFault(plat.Fault{Down: true})
	_, err := client.Put(context.Background(), b.client, "desk", route("desk", 1), client.Edit{Wait: -1})
	require.True(t, errorx.IsOfType(err, client.Unavailable), "never a false success: %v", err)
	b.platform.SetFault(plat.Fault{})
	rows, err := client.List[schema.Route](context.Background(), b.client)
	require.NoError(t, err)
	require.Empty(t, rows)
}

// TestOperatorRace lets two operators edit one pool at the same moment, each
// from the version that it saw: one wins, the other gets a conflict, and no
// edit is lost.
func TestOperatorRace(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	pool := schema.Pool{Name: "desk", VNI: 1}
	first, err := client.Put(ctx, b.client, "desk", pool, client.Edit{Wait: -1})
	require.NoError(t, err)
	version, won := first.Version, 0
	for range 10 {
		var wg sync.WaitGroup
		results := make([]error, 2)
		versions := make([]schema.Version, 2)
		for i := range results {
			wg.Go(func() {
				mine := pool
				mine.ColdRate = schema.PerSecond(i + 1)
				var c schema.Change
				c, results[i] = client.Put(ctx, b.client, "desk", mine, client.Edit{Strict: true, Expect: version, Wait: -1})
				versions[i] = c.Version
			})
		}
		wg.Wait()
		for i, err := range results {
			if err == nil {
				won++
				version = versions[i]
				continue
			}
			require.True(t, errorx.IsOfType(err, client.Conflict), err)
		}
	}
	require.Equal(t, 10, won, "exactly one edit wins each race")
}

func TestDryRunAndWarnings(t *testing.T) {
	b := newBench(t)
	ctx := context.Background()
	c, err := client.Put(ctx, b.client, "desk", route("desk", 1), client.Edit{DryRun: true})
	require.NoError(t, err)
	require.False(t, c.Stored)
	require.Contains(t, c.Warnings[0], "no pool is named")
	rows, err := client.List[schema.Route](ctx, b.client)
	require.NoError(t, err)
	require.Empty(t, rows)
}

// The tokens file changes while the daemon runs; one that can't be used changes
// nothing.
func TestTokensAreReadAgain(t *testing.T) {
	b := newBench(t)
	changed, err := b.api.ReloadTokens()
	require.NoError(t, err)
	require.False(t, changed, "no file is in use")
	b.loadTokens()
	path := b.api.tokens.Load().path
	allowed := func(token string) bool {
		code, _ := b.call("GET", "/v1/status", token, "")
		return code == 200
	}
	at := time.Now()
	write := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		at = at.Add(time.Minute) // file times may be coarse
		require.NoError(t, os.Chtimes(path, at, at))
	}
	require.True(t, allowed(teamToken))
	const next = "the-next-token-of-the-team"
	write(fmt.Sprintf("[[Tokens]]\nToken = %q\nTeam = \"engraving\"\n", next))
	require.True(t, allowed(teamToken), "not read yet")
	changed, err = b.api.ReloadTokens()
	require.NoError(t, err)
	require.True(t, changed)
	require.False(t, allowed(teamToken))
	require.True(t, allowed(next))

	write("[[Tokens]]\nToken = \"short\"\n")
	_, err = b.api.ReloadTokens()
	require.ErrorContains(t, err, "shorter than")
	_, err = b.api.ReloadTokens()
	require.NoError(t, err, "named once")
	require.True(t, allowed(next))
	require.NoError(t, os.Remove(path))
	_, err = b.api.ReloadTokens()
	require.ErrorContains(t, err, "can't be read")
	require.True(t, allowed(next))
	write(fmt.Sprintf("[[Tokens]]\nToken = %q\nOperator = true\n", operatorToken))
	changed, err = b.api.ReloadTokens()
	require.NoError(t, err)
	require.True(t, changed)
	require.True(t, allowed(operatorToken))
	require.False(t, allowed(next))
}

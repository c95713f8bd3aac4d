package admin

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"

	"coltsfootdock/pkg/schema"
)

var (
	namespace = errorx.NewNamespace("admin")
	// BadTokens is the type of errors about the tokens file.
	BadTokens = namespace.NewType("bad_tokens")
)

// rights is what a token allows.
type rights struct {
	Team schema.Team
	// Operator may edit every team's tables and the marks.
	Operator bool
}

// owns reports whether the rights cover an object of a team.
func (r rights) owns(t schema.Team) bool {
	return r.Operator || r.Team == t
}

type tokensFile struct {
	Tokens []struct {
		Token    string
		Team     schema.Team
		Operator bool
	}
}

// tokens are what a tokens file held.
type tokens struct {
	path   string
	stamp  time.Time
	rights map[string]rights
}

const minToken = 16

// LoadTokens reads the teams' tokens from a TOML file that only its owner may
// read. Without it the API takes every call as an operator's.
func (a *API) LoadTokens(path string) error {
	t, err := readTokens(path)
	if err == nil {
		a.tokens.Store(t)
	}
	return err
}

// ReloadTokens reads the tokens again if their file changed, and reports whether
// it did. A file that can't be used changes nothing; it is named once.
func (a *API) ReloadTokens() (bool, error) {
	old := a.tokens.Load()
	if old == nil {
		return false, nil
	}
	info, err := os.Stat(old.path)
	if err != nil {
		return false, a.keepTokens(time.Time{}, BadTokens.New("tokens file %q can't be read", old.path))
	}
	if info.ModTime().Equal(old.stamp) {
		return false, nil
	}
	if err := a.LoadTokens(old.path); err != nil {
		return false, a.keepTokens(info.ModTime(), err)
	}
	return true, nil
}

// keepTokens goes on with the tokens as they are, and returns the error unless
// it was returned for this state of the file before.
func (a *API) keepTokens(stamp time.Time, err error) error {
	old := a.tokens.Load()
	if old.stamp.Equal(stamp) {
		return nil
	}
	a.tokens.Store(&tokens{path: old.path, stamp: stamp, rights: old.rights})
	return err
}

func readTokens(path string) (*tokens, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, BadTokens.New("tokens file %q can't be read", path)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, BadTokens.New("tokens file %q has mode %04o; only its owner may read it, use 0600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, BadTokens.New("tokens file %q can't be read", path)
	}
	var f tokensFile
	if err := toml.Unmarshal(data, &f); err != nil {
		return nil, BadTokens.New("tokens file %q: %s", path, err)
	}
	all := &tokens{path: path, stamp: info.ModTime(), rights: make(map[string]rights)}
	for i, t := range f.Tokens {
		if len(t.Token) < minToken {
			return nil, BadTokens.New("tokens file %q: token %d is shorter than %d characters", path, i+1, minToken)
		}
		if t.Team == "" && !t.Operator {
			return nil, BadTokens.New("tokens file %q: token %d needs a Team or Operator = true", path, i+1)
		}
		all.rights[t.Token] = rights{Team: t.Team, Operator: t.Operator}
	}
	return all, nil
}

type handler func(http.ResponseWriter, *http.Request, rights)

// authenticated calls h with the rights of the caller's token.
func (a *API) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		known := a.tokens.Load()
		if known == nil {
			h(w, r, rights{Operator: true})
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got, ok := known.rights[token]
		if !ok {
			fail(w, http.StatusUnauthorized, "the call needs a valid token in the Authorization header")
			return
		}
		h(w, r, got)
	}
}

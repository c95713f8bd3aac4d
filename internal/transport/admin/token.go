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

// rights are the permissions of a token.
type rights struct {
	Team schema.Team
	// Operator allows edits of all teams' objects and of the marks.
	Operator bool
}

// mayEdit reports whether the rights allow edits of a team's objects.
func (r rights) mayEdit(t schema.Team) bool {
	return r.Operator || r.Team == t
}

// tokensFile is the form of the tokens file.
type tokensFile struct {
	Tokens []struct {
		Token    string
		Team     schema.Team
		Operator bool
	}
}

// tokens holds the content of a tokens file.
type tokens struct {
	path string
	// checked is the modification time of the file when it was last read, valid
	// or not; zero after os.Stat failed.
	checked time.Time
	rights  map[string]rights
}

const minToken = 16 // bytes

// LoadTokens reads the teams' tokens from a TOML file that only its owner may
// access. Without a tokens file every caller has an operator's rights.
func (a *API) LoadTokens(path string) error {
	t, err := readTokens(path)
	if err == nil {
		a.tokens.Store(t)
	}
	return err
}

// ReloadTokens reloads the tokens if their file has changed, and reports whether
// it did. If the file is invalid, the tokens stay as they are; the error is
// returned once for each state of the file.
func (a *API) ReloadTokens() (bool, error) {
	old := a.tokens.Load()
	if old == nil {
		return false, nil
	}
	info, err := os.Stat(old.path)
	if err != nil {
		return false, a.keepTokens(time.Time{}, BadTokens.New("tokens file %q can't be read", old.path))
	}
	if info.ModTime().Equal(old.checked) {
		return false, nil
	}
	if err := a.LoadTokens(old.path); err != nil {
		return false, a.keepTokens(info.ModTime(), err)
	}
	return true, nil
}

// keepTokens keeps the current tokens and returns the error, or nil if it was
// returned for this state of the file before.
func (a *API) keepTokens(modified time.Time, err error) error {
	old := a.tokens.Load()
	if old.checked.Equal(modified) {
		return nil
	}
	a.tokens.Store(&tokens{path: old.path, checked: modified, rights: old.rights})
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
	loaded := &tokens{path: path, checked: info.ModTime(), rights: make(map[string]rights)}
	for i, t := range f.Tokens {
		if len(t.Token) < minToken {
			return nil, BadTokens.New("tokens file %q: token %d is shorter than %d bytes", path, i+1, minToken)
		}
		if t.Team == "" && !t.Operator {
			return nil, BadTokens.New("tokens file %q: token %d needs a Team or Operator = true", path, i+1)
		}
		loaded.rights[t.Token] = rights{Team: t.Team, Operator: t.Operator}
	}
	return loaded, nil
}

// handler handles a call with the rights of its caller.
type handler func(http.ResponseWriter, *http.Request, rights)

// authenticated calls h with the rights of the caller's token.
func (a *API) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		loaded := a.tokens.Load()
		if loaded == nil {
			h(w, r, rights{Operator: true})
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		caller, ok := loaded.rights[token]
		if !ok {
			fail(w, http.StatusUnauthorized, "the call needs a valid token in the Authorization header")
			return
		}
		h(w, r, caller)
	}
}

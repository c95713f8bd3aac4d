package admin

import (
	"net/http"
	"os"
	"strings"

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

const minToken = 16

// LoadTokens reads the teams' tokens from a TOML file that only its owner may
// read. Without it the API takes every call as an operator's.
func (a *API) LoadTokens(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return BadTokens.New("tokens file %q can't be read", path)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return BadTokens.New("tokens file %q has mode %04o; only its owner may read it, use 0600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return BadTokens.New("tokens file %q can't be read", path)
	}
	var f tokensFile
	if err := toml.Unmarshal(data, &f); err != nil {
		return BadTokens.New("tokens file %q: %s", path, err)
	}
	tokens := make(map[string]rights)
	for i, t := range f.Tokens {
		if len(t.Token) < minToken {
			return BadTokens.New("tokens file %q: token %d is shorter than %d characters", path, i+1, minToken)
		}
		if t.Team == "" && !t.Operator {
			return BadTokens.New("tokens file %q: token %d needs a Team or Operator = true", path, i+1)
		}
		tokens[t.Token] = rights{Team: t.Team, Operator: t.Operator}
	}
	a.tokens = tokens
	return nil
}

type handler func(http.ResponseWriter, *http.Request, rights)

// authenticated calls h with the rights of the caller's token.
func (a *API) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if a.tokens == nil {
			h(w, r, rights{Operator: true})
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got, ok := a.tokens[token]
		if !ok {
			fail(w, http.StatusUnauthorized, "the call needs a valid token in the Authorization header")
			return
		}
		h(w, r, got)
	}
}

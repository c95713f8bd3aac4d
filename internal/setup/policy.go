package setup

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"coltsfootdock/internal/policy"
)

const maxRouteWeight = 100

// LoadPolicy reads and checks a policy file.
func LoadPolicy(path string) (*policy.Policy, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Invalid.New("%s: policy file can't be read: %s", path, errors.Unwrap(err))
	}
	return ParsePolicy(path, data)
}

// ParsePolicy decodes and checks a policy; path is used in errors. It reports the first
// problem.
func ParsePolicy(path string, data []byte) (*policy.Policy, error) {
	var p policy.Policy
	dec := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return nil, decodeError(path, err)
	}
	for _, x := range policyProblems(&p) {
		return nil, Invalid.New("%s:%d: %s: %s", path, lineOf(data, x.key, x.nth), x.key, x.text)
	}
	return &p, nil
}

// policyProblems checks the values in the order in which errors are reported.
func policyProblems(p *policy.Policy) []problem {
	var list []problem
	add := func(key, format string, args ...any) {
		list = append(list, problem{key: key, nth: 1, text: fmt.Sprintf(format, args...)})
	}
	for _, name := range slices.Sorted(maps.Keys(p.Shares.RouteWeights)) {
		if w := p.Shares.RouteWeights[name]; w < 1 || w > maxRouteWeight {
			add("RouteWeights", "weight %d of route %q must be 1 to %d", w, name, maxRouteWeight)
		}
	}
	return list
}

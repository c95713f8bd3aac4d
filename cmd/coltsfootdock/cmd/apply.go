package cmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"

	"github.com/joomcode/errorx"
	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// tables is the file that apply reads.
type tables struct {
	Routes []schema.Route
	Pools  []schema.Pool
}

// apply stores the routes and pools of a file. What the file does not name
// stays.
func (a *app) apply() *ffcli.Command {
	r := a.remoteFlags("apply")
	return r.command("apply", "apply [flags] FILE.toml", "store the routes and pools of a file, and print what changes",
		func(ctx context.Context, c *client.Client, args []string) error {
			path, err := oneName(args, "file")
			if err != nil {
				return err
			}
			t, err := readTables(path)
			if err != nil {
				return err
			}
			for _, p := range t.Pools {
				if err := applyRow(ctx, r, c, "pool", p.Name, p); err != nil {
					return err
				}
			}
			for _, route := range t.Routes {
				if err := applyRow(ctx, r, c, "route", route.Name, route); err != nil {
					return err
				}
			}
			return nil
		})
}

func readTables(path string) (*tables, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(fmt.Sprintf("file %q can't be read", path))
	}
	var t tables
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&t); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			row, _ := strict.Errors[0].Position()
			return nil, usageError(fmt.Sprintf("%s:%d: unknown key %q", path, row, strict.Errors[0].Key()))
		}
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, _ := bad.Position()
			return nil, usageError(fmt.Sprintf("%s:%d: %s", path, row, bad))
		}
		return nil, usageError(fmt.Sprintf("%s: %s", path, err))
	}
	return &t, t.check(path)
}

// check checks every row before any is stored.
func (t *tables) check(path string) error {
	for i := range t.Routes {
		if err := t.Routes[i].Check(); err != nil {
			return usageError(fmt.Sprintf("%s: %s", path, text(err)))
		}
	}
	for i := range t.Pools {
		if err := t.Pools[i].Check(); err != nil {
			return usageError(fmt.Sprintf("%s: %s", path, text(err)))
		}
	}
	return nil
}

// applyRow prints the difference of one row and stores it if there is one.
func applyRow[T schema.Route | schema.Pool](ctx context.Context, r *remote, c *client.Client, what string, name schema.Name, v T) error {
	old, err := client.Get[T](ctx, c, name)
	if errorx.IsOfType(err, client.Missing) {
		old, err = schema.Stored[T]{}, nil
	}
	if err != nil {
		return err
	}
	lines := diff(old.Value, v)
	if len(lines) == 0 {
		fmt.Fprintf(r.out, "%s %s: no change\n", what, name)
		return nil
	}
	for _, l := range lines {
		fmt.Fprintf(r.out, "%s %s: %s\n", what, name, l)
	}
	e := r.edit()
	e.Strict, e.Expect = true, old.Version
	change, err := client.Put(ctx, c, name, v, e)
	return r.changed(what+" "+string(name), change, err)
}

// diff lists the fields that differ, but for the record of edits and a team
// that the file leaves to the API.
func diff(old, v any) []string {
	var lines []string
	a, b := reflect.ValueOf(old), reflect.ValueOf(v)
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if name == "Edit" || name == "Team" && y == schema.Team("") || reflect.DeepEqual(x, y) {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %v -> %v", name, x, y))
	}
	return lines
}

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

// tables is the content of the file that apply reads.
type tables struct {
	Routes []schema.Route
	Pools  []schema.Pool
}

// applyCommand stores the routes and pools of a file. Objects that the file does
// not name are not changed.
func (a *app) applyCommand() *ffcli.Command {
	r := a.remoteFlags("apply")
	return r.command("apply", "apply [flags] FILE.toml", "store the routes and pools of a file and print the changed fields",
		func(ctx context.Context, c *client.Client, args []string) error {
			path, err := oneArg(args, "file")
			if err != nil {
				return err
			}
			t, err := readTables(path)
			if err != nil {
				return err
			}
			for _, p := range t.Pools {
				if err := applyObject(ctx, r, c, "pool", p.Name, p); err != nil {
					return err
				}
			}
			for _, route := range t.Routes {
				if err := applyObject(ctx, r, c, "route", route.Name, route); err != nil {
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
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			row, _ := unknown.Errors[0].Position()
			return nil, usageError(fmt.Sprintf("%s:%d: unknown key %q", path, row, unknown.Errors[0].Key()))
		}
		var invalid *toml.DecodeError
		if errors.As(err, &invalid) {
			row, _ := invalid.Position()
			return nil, usageError(fmt.Sprintf("%s:%d: %s", path, row, invalid))
		}
		return nil, usageError(fmt.Sprintf("%s: %s", path, err))
	}
	return &t, t.check(path)
}

// check validates all objects, so that none is stored if one is invalid.
func (t *tables) check(path string) error {
	for i := range t.Routes {
		if err := t.Routes[i].Check(); err != nil {
			return usageError(fmt.Sprintf("%s: %s", path, errorMessage(err)))
		}
	}
	for i := range t.Pools {
		if err := t.Pools[i].Check(); err != nil {
			return usageError(fmt.Sprintf("%s: %s", path, errorMessage(err)))
		}
	}
	return nil
}

// applyObject stores a route or pool if it differs from the stored one, and
// prints the fields that change. Kind is "route" or "pool".
func applyObject[T schema.Route | schema.Pool](ctx context.Context, r *remote, c *client.Client, kind string, name schema.Name, v T) error {
	old, err := client.Get[T](ctx, c, name)
	if errorx.IsOfType(err, client.Missing) {
		old, err = schema.Stored[T]{}, nil
	}
	if err != nil {
		return err
	}
	lines := diff(old.Value, v)
	if len(lines) == 0 {
		fmt.Fprintf(r.out, "%s %s: no change\n", kind, name)
		return nil
	}
	for _, l := range lines {
		fmt.Fprintf(r.out, "%s %s: %s\n", kind, name, l)
	}
	e := r.editOptions()
	e.Strict, e.Expect = true, old.Version
	change, err := client.Put(ctx, c, name, v, e)
	return r.printChange(kind+" "+string(name), change, err)
}

// diff returns a line for each field that differs. It skips the record of
// edits, and Team if the file names none: the API then sets it.
func diff(old, v any) []string {
	var lines []string
	oldStruct, newStruct := reflect.ValueOf(old), reflect.ValueOf(v)
	for i := range oldStruct.NumField() {
		name := oldStruct.Type().Field(i).Name
		before, after := oldStruct.Field(i).Interface(), newStruct.Field(i).Interface()
		if name == "Edit" || name == "Team" && after == schema.Team("") || reflect.DeepEqual(before, after) {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %v -> %v", name, before, after))
	}
	return lines
}

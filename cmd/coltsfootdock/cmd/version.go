package cmd

import (
	"context"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const release = "0.1.0"

// version prints the release.
func (a *app) version() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "coltsfootdock version",
		ShortHelp:  "print the version",
		Exec: func(context.Context, []string) error {
			fmt.Fprintf(a.out, "coltsfootdock %s %s\n", release, runtime.Version())
			return nil
		},
	}
}

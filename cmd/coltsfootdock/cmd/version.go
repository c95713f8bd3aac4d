package cmd

import (
	"context"
	"fmt"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const release = "0.1.0"

// versionCommand prints the versions of the program and of Go.
func (a *app) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "coltsfootdock version",
		ShortHelp:  "print the versions of coltsfootdock and Go",
		Exec: func(context.Context, []string) error {
			fmt.Fprintf(a.out, "coltsfootdock %s %s\n", release, runtime.Version())
			return nil
		},
	}
}

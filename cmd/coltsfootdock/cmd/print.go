package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// print prints the settings in force, defaults included.
func (a *app) print() *ffcli.Command {
	fs, load := a.settingsFlags("print")
	return &ffcli.Command{
		Name:       "print",
		ShortUsage: "coltsfootdock print --config FILE",
		ShortHelp:  "print the effective settings",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			text, err := cfg.Print()
			fmt.Fprint(a.out, text)
			return err
		},
	}
}

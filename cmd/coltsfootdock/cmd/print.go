package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// printCommand prints the effective settings, including defaults.
func (a *app) printCommand() *ffcli.Command {
	fs, load := a.settingsFlags("print")
	return &ffcli.Command{
		Name:       "print",
		ShortUsage: "coltsfootdock print --config FILE",
		ShortHelp:  "print the effective settings, including defaults",
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

package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// checkCommand validates a settings file without starting a daemon.
func (a *app) checkCommand() *ffcli.Command {
	fs, load := a.settingsFlags("check")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "coltsfootdock check --config FILE",
		ShortHelp:  "validate a settings file",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			fmt.Fprintf(a.out, "settings of %s are valid\n", cfg.ID)
			return nil
		},
	}
}

package cmd

import (
	"context"
	"errors"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/serve"
	"coltsfootdock/internal/setup"
)

// serveCommand runs an entry daemon. The first SIGTERM or SIGINT starts a
// graceful stop.
func (a *app) serveCommand() *ffcli.Command {
	fs, load := a.settingsFlags("serve")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "coltsfootdock serve --config FILE",
		ShortHelp:  "run an entry daemon",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			d, err := serve.New(*cfg)
			if err != nil {
				return err
			}
			stop := context.AfterFunc(ctx, d.Leave)
			defer stop()
			err = d.Serve(context.WithoutCancel(ctx))
			if errors.Is(err, context.Canceled) {
				return nil
			}
			return err
		},
	}
}

// settingsFlags returns a flag set with --config and a function that loads the
// file that the flag names.
func (a *app) settingsFlags(name string) (*flag.FlagSet, func() (*setup.Settings, error)) {
	fs := flag.NewFlagSet("coltsfootdock "+name, flag.ContinueOnError)
	fs.SetOutput(a.err)
	path := fs.String("config", "", "settings file in TOML")
	return fs, func() (*setup.Settings, error) {
		if *path == "" {
			return nil, usageError("--config FILE is missing")
		}
		return setup.Load(*path)
	}
}

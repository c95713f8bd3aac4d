package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/serve"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/standin/demo"
)

func demoCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin demo", flag.ContinueOnError)
	name := fs.String("deployment", "lin", "built-in deployment: lin or caroni")
	level := fs.String("log", "error", "log level of the daemons")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "standin demo [--deployment lin|caroni]",
		ShortHelp:  "run a complete system with QUIC sessions for half a minute",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			d, ok := demo.Deployments[*name]
			if !ok {
				return fmt.Errorf("deployment %q does not exist; must be lin or caroni", *name)
			}
			summary, err := demo.Run(ctx, d, out, serve.NewLogger(setup.Log{Level: *level}))
			if err != nil {
				return err
			}
			fmt.Fprintln(out, summary)
			if !summary.Good() {
				return errFailed
			}
			return nil
		},
	}
}

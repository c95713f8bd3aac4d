// Package cmd holds the subcommands of standin, one a file.
package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// errFailed ends the program with exit code 1 after the command told why.
var errFailed = errors.New("failed")

// Main runs the program and returns its exit code: 0 for success, 1 for a
// failure, 2 for wrong arguments.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "standin <subcommand> [flags]",
		FlagSet:     flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{demoCommand(out), platformCommand(out), fabricCommand(out), targetCommand(out), clientCommand(out), soakCommand(out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(args); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(errOut, "standin:", err)
		}
		return 2
	}
	err := root.Run(ctx)
	switch {
	case err == nil || errors.Is(err, context.Canceled):
		return 0
	case errors.Is(err, errFailed):
		return 1
	case errors.Is(err, flag.ErrHelp):
		return 2
	}
	fmt.Fprintln(errOut, "standin:", err)
	return 1
}

// Package cmd implements the subcommands of standin.
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

// errFailed ends the program with exit code 1 and without a message, after the
// command has printed the reason.
var errFailed = errors.New("failed")

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs the program and returns its exit code: 0 for success, 1 for a
// failure, 2 for invalid arguments.
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
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil || errors.Is(err, context.Canceled):
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailure
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	fmt.Fprintln(errOut, "standin:", err)
	return exitFailure
}

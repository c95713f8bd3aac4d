package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/standin/plat"
)

func platformCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin platform", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7900", "TCP address of the object API")
	reads := fs.Float64("reads", 0, "maximum reads per second; 0 means no limit")
	writes := fs.Float64("writes", 0, "maximum writes per second; 0 means no limit")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "standin platform [flags]",
		ShortHelp:  "serve the object API; POST /fault sets outages, delays and lost responses",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			s, err := plat.Listen(*listen)
			if err != nil {
				return err
			}
			s.SetFault(plat.Fault{ReadsPerSecond: *reads, WritesPerSecond: *writes})
			fmt.Fprintln(out, "platform: listens at", s.URL())
			return s.Serve(ctx)
		},
	}
}

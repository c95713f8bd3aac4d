package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/standin/fabric"
)

func fabricCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin fabric", flag.ContinueOnError)
	listen := fs.String("listen", "127.0.0.1:7800", "UDP address that clients send to, as IP:port")
	platform := fs.String("platform", "http://127.0.0.1:7900", "base URL of the platform")
	lag := fs.Duration("lag", 300*time.Millisecond, "time between updates of the list of daemons")
	seed := fs.Uint64("seed", 1, "seed of the random choice of daemons")
	return &ffcli.Command{
		Name:       "fabric",
		ShortUsage: "standin fabric [flags]",
		ShortHelp:  "forward every packet to a random daemon",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			addr, err := netip.ParseAddrPort(*listen)
			if err != nil {
				return fmt.Errorf("--listen %q must be IP:port", *listen)
			}
			f, err := fabric.Listen(addr, *platform, *lag, *seed)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, "fabric: listens at", f.Addr())
			return f.Serve(ctx)
		},
	}
}

package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/standin/client"
	"coltsfootdock/pkg/schema"
)

func clientCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin client", flag.ContinueOnError)
	fabric := fs.String("fabric", "127.0.0.1:7800", "UDP address of the fabric")
	service := fs.String("service", "198.51.100.1:443", "service address")
	pool := fs.String("pool", "desk", "pool that must answer")
	sessions := fs.Int("sessions", 10, "sessions at once")
	length := fs.Duration("for", 5*time.Second, "how long the sessions last")
	interval := fs.Duration("interval", 200*time.Millisecond, "time between a session's requests")
	size := fs.Int("bytes", 2000, "size of an answer")
	prefix := fs.String("prefix", "client", "prefix of the request ids")
	return &ffcli.Command{
		Name:       "client",
		ShortUsage: "standin client [flags]",
		ShortHelp:  "open sessions and check every answer",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			via, err := netip.ParseAddrPort(*fabric)
			if err != nil {
				return fmt.Errorf("--fabric %q must be IP:port", *fabric)
			}
			addr, err := netip.ParseAddrPort(*service)
			if err != nil {
				return fmt.Errorf("--service %q must be IP:port", *service)
			}
			ctx, cancel := context.WithTimeout(ctx, *length)
			defer cancel()
			var res client.Result
			client.Load{
				Fabric:  via,
				Service: schema.Service{Address: addr.Addr(), Port: addr.Port(), Protocol: schema.QUIC},
				Pool:    schema.Name(*pool), Sessions: *sessions, Spread: *length / 5,
				Interval: *interval, Bytes: *size, Prefix: *prefix,
			}.Run(ctx, &res)
			for _, e := range res.Errors {
				fmt.Fprintln(out, "client:", e)
			}
			fmt.Fprintf(out, "opened %d finished %d broken %d refused %d\n",
				res.Opened.Load(), res.Finished.Load(), res.Broken.Load(), res.Refused.Load())
			if res.Broken.Load() > 0 {
				return errFailed
			}
			return nil
		},
	}
}

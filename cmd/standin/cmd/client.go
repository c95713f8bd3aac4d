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

// startSpreadDivisor spreads the starts of sessions over the first fifth of the
// run.
const startSpreadDivisor = 5

func clientCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin client", flag.ContinueOnError)
	fabric := fs.String("fabric", "127.0.0.1:7800", "UDP address of the fabric as IP:port")
	service := fs.String("service", "198.51.100.1:443", "service address as IP:port")
	pool := fs.String("pool", "desk", "pool whose targets must answer")
	sessions := fs.Int("sessions", 10, "number of concurrent sessions")
	length := fs.Duration("for", 5*time.Second, "how long the sessions last")
	interval := fs.Duration("interval", 200*time.Millisecond, "time between a session's requests")
	size := fs.Int("bytes", 2000, "size of a response in bytes")
	prefix := fs.String("prefix", "client", "prefix of the request IDs")
	return &ffcli.Command{
		Name:       "client",
		ShortUsage: "standin client [flags]",
		ShortHelp:  "open QUIC sessions and check every response",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			fabricAddr, err := netip.ParseAddrPort(*fabric)
			if err != nil {
				return fmt.Errorf("--fabric %q must be IP:port", *fabric)
			}
			serviceAddr, err := netip.ParseAddrPort(*service)
			if err != nil {
				return fmt.Errorf("--service %q must be IP:port", *service)
			}
			ctx, cancel := context.WithTimeout(ctx, *length)
			defer cancel()
			var result client.Result
			client.Load{
				Fabric:  fabricAddr,
				Service: schema.Service{Address: serviceAddr.Addr(), Port: serviceAddr.Port(), Protocol: schema.QUIC},
				Pool:    schema.Name(*pool), Sessions: *sessions, Spread: *length / startSpreadDivisor,
				Interval: *interval, Bytes: *size, Prefix: *prefix,
			}.Run(ctx, &result)
			for _, e := range result.Errors {
				fmt.Fprintln(out, "client:", e)
			}
			fmt.Fprintf(out, "opened %d finished %d broken %d refused %d\n",
				result.Opened.Load(), result.Finished.Load(), result.Broken.Load(), result.Refused.Load())
			if result.Broken.Load() > 0 {
				return errFailed
			}
			return nil
		},
	}
}

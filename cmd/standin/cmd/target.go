package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/standin/target"
	"coltsfootdock/pkg/schema"
)

func targetCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin target", flag.ContinueOnError)
	id := fs.String("id", "desk-1", "target ID")
	pool := fs.String("pool", "desk", "pool that the target serves")
	vni := fs.Uint("vni", 101, "Geneve VNI of the pool")
	address := fs.String("address", "127.0.0.1:6100", "UDP address for Geneve packets, as IP:port")
	health := fs.String("health", "127.0.0.1:6101", "TCP address of the health endpoint, as IP:port")
	slots := fs.Int("slots", 4, "maximum number of concurrent requests")
	lag := fs.Duration("health-lag", 0, "maximum age of the health endpoint's response")
	starting := fs.Duration("starting", 0, "how long the target reports the state starting")
	return &ffcli.Command{
		Name:       "target",
		ShortUsage: "standin target [flags]",
		ShortHelp:  "serve sessions; the health address serves GET /health, GET /report and POST /say/STATE",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg := target.Config{
				ID: schema.TargetID(*id), Pool: schema.Name(*pool), VNI: schema.VNI(*vni),
				Slots: *slots, Starting: *starting, HealthLag: *lag,
			}
			var err error
			if cfg.Address, err = netip.ParseAddrPort(*address); err != nil {
				return fmt.Errorf("--address %q must be IP:port", *address)
			}
			if cfg.Health, err = netip.ParseAddrPort(*health); err != nil {
				return fmt.Errorf("--health %q must be IP:port", *health)
			}
			t, err := target.Listen(cfg)
			if err != nil {
				return err
			}
			fmt.Fprintln(out, "target: listens at", cfg.Address)
			return t.Serve(ctx)
		},
	}
}

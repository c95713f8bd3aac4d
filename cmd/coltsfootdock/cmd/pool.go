package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// pool holds the commands on the table of pools.
func (a *app) pool() *ffcli.Command {
	return a.group("pool", "list, show, set and remove pools",
		list(a, "pool", func(s schema.Stored[schema.Pool]) string {
			return fmt.Sprintf("%-20s VNI %d, %d targets, version %d", s.Value.Name, s.Value.VNI, len(s.Value.Targets), s.Version)
		}),
		show[schema.Pool](a, "pool"),
		a.poolSet(),
		remove[schema.Pool](a, "pool"))
}

// poolSet creates a pool or changes its settings; its targets stay.
func (a *app) poolSet() *ffcli.Command {
	r := a.remoteFlags("pool set")
	vni := r.fs.Uint("vni", 0, "Geneve identifier of the pool")
	cold := r.fs.Float64("cold-rate", 0, "opens a second that a target bears after its start; 0 means the default")
	team := r.fs.String("team", "", "team that owns the pool")
	return r.command("set", "pool set [flags] NAME", "create a pool or change its settings",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneName(args, "pool")
			if err != nil {
				return err
			}
			return r.editPool(ctx, c, schema.Name(name), func(p *schema.Pool) error {
				if *vni != 0 {
					p.VNI = schema.VNI(*vni)
				}
				if *cold != 0 {
					p.ColdRate = schema.PerSecond(*cold)
				}
				if *team != "" {
					p.Team = schema.Team(*team)
				}
				return nil
			}, true)
		})
}

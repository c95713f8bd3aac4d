package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// poolCommand holds the commands on pools.
func (a *app) poolCommand() *ffcli.Command {
	return a.group("pool", "list, show, set and remove pools",
		listCommand(a, "pool", func(s schema.Stored[schema.Pool]) string {
			return fmt.Sprintf("%-20s VNI %d, %d targets, version %d", s.Value.Name, s.Value.VNI, len(s.Value.Targets), s.Version)
		}),
		showCommand[schema.Pool](a, "pool"),
		a.poolSetCommand(),
		removeCommand[schema.Pool](a, "pool"))
}

// poolSetCommand creates a pool or changes its settings, but not its targets.
func (a *app) poolSetCommand() *ffcli.Command {
	r := a.remoteFlags("pool set")
	vni := r.fs.Uint("vni", 0, "Geneve VNI of the pool; 0 keeps the current one")
	coldRate := r.fs.Float64("cold-rate", 0, "limit of new flows per second for a target after its start; 0 keeps the current limit, a new pool gets the default")
	team := r.fs.String("team", "", "team that owns the pool; empty keeps the current one")
	return r.command("set", "pool set [flags] NAME", "create a pool or change its settings",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneArg(args, "pool")
			if err != nil {
				return err
			}
			return r.editPool(ctx, c, schema.Name(name), func(p *schema.Pool) error {
				if *vni != 0 {
					p.VNI = schema.VNI(*vni)
				}
				if *coldRate != 0 {
					p.ColdRate = schema.PerSecond(*coldRate)
				}
				if *team != "" {
					p.Team = schema.Team(*team)
				}
				return nil
			}, true)
		})
}

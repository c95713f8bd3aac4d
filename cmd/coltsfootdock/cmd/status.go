package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
)

// statusCommand prints a daemon's view of the system.
func (a *app) statusCommand() *ffcli.Command {
	r := a.remoteFlags("status")
	return r.command("status", "status [flags]", "show the state of daemons, routes and targets",
		func(ctx context.Context, c *client.Client, _ []string) error {
			s, err := c.Status(ctx)
			if err != nil {
				return err
			}
			r.printValue(s, func() {
				fmt.Fprintf(r.out, "seen by %s at revision %d, confirmed %d ms ago, fresh %t, %d flow records\n",
					s.ID, s.Revision, s.AgeMilliseconds, s.Fresh, s.Records)
				for _, d := range s.Daemons {
					fmt.Fprintf(r.out, "daemon %-12s %-14s revision %-6d alive %-5t ready %-5t out %-5t silent %d ms\n",
						d.ID, d.DataCentre, d.Revision, d.Alive, d.Ready, d.Out, d.SilenceMilliseconds)
				}
				for _, service := range s.Services {
					fmt.Fprintf(r.out, "route %s %s: pool %t, placement %d, %d buckets move, imbalance %.2f\n",
						service.Route, service.Service, service.Pool, service.Placement, service.Moving, service.Imbalance)
					for _, t := range service.Targets {
						fmt.Fprintf(r.out, "  target %-14s %-14s %-9s closed %-5t buckets %-4d rate %-5g flows %d\n",
							t.ID, t.DataCentre, t.State, t.Closed, t.Buckets, t.Rate, t.OpenFlows)
					}
				}
			})
			return nil
		})
}

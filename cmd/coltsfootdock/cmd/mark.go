package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// marks returns the commands that take things of a kind out of service.
func (a *app) marks(group, kind, what string, preview func(*remote, context.Context, *client.Client, string) error) *ffcli.Command {
	mark := func(verb, help string, out bool) *ffcli.Command {
		r := a.remoteFlags(group + " " + verb)
		return r.command(verb, group+" "+verb+" [flags] NAME", help,
			func(ctx context.Context, c *client.Client, args []string) error {
				name, err := oneName(args, what)
				if err != nil {
					return err
				}
				if out && preview != nil && !*r.json {
					if err := preview(r, ctx, c, name); err != nil {
						return err
					}
				}
				change, err := r.progress(func(e client.Edit) (schema.Change, error) {
					return c.Mark(ctx, kind, name, out, e)
				})
				return r.changed(what+" "+name, change, err)
			})
	}
	r := a.remoteFlags(group + " list")
	list := r.command("list", group+" list [flags]", "list the marks",
		func(ctx context.Context, c *client.Client, _ []string) error {
			rows, err := c.Marks(ctx, kind)
			if err != nil {
				return err
			}
			r.show(rows, func() {
				for _, row := range rows {
					fmt.Fprintf(r.out, "%-20s out %-5t version %d\n", row.Value.Name, row.Value.Out, row.Version)
				}
			})
			return nil
		})
	return a.group(group, "take a "+what+" out of service or back in",
		mark("out", "take a "+what+" out of service", true),
		mark("in", "put a "+what+" back in service", false), list)
}

// vm holds the commands on VMs, a daemon's or a target's.
func (a *app) vm() *ffcli.Command {
	return a.marks("vm", client.VMs, "VM", nil)
}

// dataCentre holds the commands on data centres.
func (a *app) dataCentre() *ffcli.Command {
	return a.marks("datacentre", client.DataCentres, "data centre", previewOut)
}

// previewOut prints what taking a data centre out will do.
func previewOut(r *remote, ctx context.Context, c *client.Client, name string) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	for _, service := range s.Services {
		var there, left int
		var flows uint32
		for _, t := range service.Targets {
			if t.DataCentre == schema.DataCentreID(name) {
				there++
				flows += t.OpenFlows
			} else if !t.Closed {
				left++
			}
		}
		fmt.Fprintf(r.out, "route %s: %d targets are there with %d flows, which are given up; %d open targets are left\n",
			service.Route, there, flows, left)
	}
	return nil
}

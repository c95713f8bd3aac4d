package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// markCommands returns the commands that take the objects of a kind of marks out
// of service and put them back in. Noun names such an object in messages;
// preview, if not nil, prints the effects before an object is taken out.
func (a *app) markCommands(group, kind, noun string, preview func(*remote, context.Context, *client.Client, string) error) *ffcli.Command {
	setMark := func(verb, help string, out bool) *ffcli.Command {
		r := a.remoteFlags(group + " " + verb)
		return r.command(verb, group+" "+verb+" [flags] NAME", help,
			func(ctx context.Context, c *client.Client, args []string) error {
				name, err := oneArg(args, noun)
				if err != nil {
					return err
				}
				if out && preview != nil && !*r.json {
					if err := preview(r, ctx, c, name); err != nil {
						return err
					}
				}
				change, err := r.putUntilInForce(func(e client.Edit) (schema.Change, error) {
					return c.Mark(ctx, kind, name, out, e)
				})
				return r.printChange(noun+" "+name, change, err)
			})
	}
	r := a.remoteFlags(group + " list")
	list := r.command("list", group+" list [flags]", "list the marks of "+noun+"s",
		func(ctx context.Context, c *client.Client, _ []string) error {
			marks, err := c.Marks(ctx, kind)
			if err != nil {
				return err
			}
			r.printValue(marks, func() {
				for _, m := range marks {
					fmt.Fprintf(r.out, "%-20s out %-5t version %d\n", m.Value.Name, m.Value.Out, m.Version)
				}
			})
			return nil
		})
	return a.group(group, "take a "+noun+" out of service or back in",
		setMark("out", "take a "+noun+" out of service", true),
		setMark("in", "put a "+noun+" back in service", false), list)
}

// vmCommand holds the commands on the VMs of daemons and targets.
func (a *app) vmCommand() *ffcli.Command {
	return a.markCommands("vm", client.VMs, "VM", nil)
}

// dataCentreCommand holds the commands on data centres.
func (a *app) dataCentreCommand() *ffcli.Command {
	return a.markCommands("datacentre", client.DataCentres, "data centre", previewOut)
}

// previewOut prints the targets and flows that taking a data centre out affects.
func previewOut(r *remote, ctx context.Context, c *client.Client, name string) error {
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	for _, service := range s.Services {
		var inCentre, remaining int
		var flows uint32
		for _, t := range service.Targets {
			if t.DataCentre == schema.DataCentreID(name) {
				inCentre++
				flows += t.OpenFlows
			} else if !t.Closed {
				remaining++
			}
		}
		fmt.Fprintf(r.out, "route %s: %d targets with %d open flows are in the data centre, and these flows are not preserved; %d other targets accept new flows\n",
			service.Route, inCentre, flows, remaining)
	}
	return nil
}

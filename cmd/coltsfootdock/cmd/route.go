package cmd

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// routeCommand holds the commands on routes.
func (a *app) routeCommand() *ffcli.Command {
	return a.group("route", "list, show, set and remove routes",
		listCommand(a, "route", func(s schema.Stored[schema.Route]) string {
			r := s.Value
			return fmt.Sprintf("%-20s %s %s version %d", r.Name, netip.AddrPortFrom(r.Address, r.Port), r.Protocol, s.Version)
		}),
		showCommand[schema.Route](a, "route"),
		a.routeSetCommand(),
		removeCommand[schema.Route](a, "route"))
}

func (a *app) routeSetCommand() *ffcli.Command {
	r := a.remoteFlags("route set")
	address := r.fs.String("address", "", "service address as IP:port")
	protocol := r.fs.String("protocol", "quic", "transport protocol, tcp or quic")
	team := r.fs.String("team", "", "team that owns the route")
	return r.command("set", "route set [flags] NAME", "create or replace a route",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneArg(args, "route")
			if err != nil {
				return err
			}
			addr, err := netip.ParseAddrPort(*address)
			if err != nil {
				return usageError(fmt.Sprintf("--address %q must be IP:port", *address))
			}
			v := schema.Route{
				Name: schema.Name(name), Address: addr.Addr(), Port: addr.Port(),
				Protocol: schema.Protocol(*protocol), Team: schema.Team(*team),
			}
			if err := v.Check(); err != nil {
				return err
			}
			change, err := r.putUntilInForce(func(e client.Edit) (schema.Change, error) {
				return client.Put(ctx, c, v.Name, v, e)
			})
			return r.printChange("route "+name, change, err)
		})
}

// listCommand lists the objects of type T, one line each.
func listCommand[T schema.Route | schema.Pool](a *app, kind string, line func(schema.Stored[T]) string) *ffcli.Command {
	r := a.remoteFlags(kind + " list")
	return r.command("list", kind+" list [flags]", "list all "+kind+"s",
		func(ctx context.Context, c *client.Client, _ []string) error {
			objects, err := client.List[T](ctx, c)
			if err != nil {
				return err
			}
			r.printValue(objects, func() {
				for _, o := range objects {
					fmt.Fprintln(r.out, line(o))
				}
			})
			return nil
		})
}

// showCommand prints an object of type T as JSON.
func showCommand[T schema.Route | schema.Pool](a *app, kind string) *ffcli.Command {
	r := a.remoteFlags(kind + " show")
	return r.command("show", kind+" show [flags] NAME", "show a "+kind+" as JSON",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneArg(args, kind)
			if err != nil {
				return err
			}
			object, err := client.Get[T](ctx, c, schema.Name(name))
			if err != nil {
				return err
			}
			*r.json = true
			r.printValue(object, nil)
			return nil
		})
}

// removeCommand deletes an object of type T.
func removeCommand[T schema.Route | schema.Pool](a *app, kind string) *ffcli.Command {
	r := a.remoteFlags(kind + " remove")
	return r.command("remove", kind+" remove [flags] NAME", "remove a "+kind,
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneArg(args, kind)
			if err != nil {
				return err
			}
			change, err := client.Remove[T](ctx, c, schema.Name(name), r.editOptions())
			return r.printChange(kind+" "+name, change, err)
		})
}

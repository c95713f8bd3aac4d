package cmd

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// route holds the commands on the table of routes.
func (a *app) route() *ffcli.Command {
	return a.group("route", "list, show, set and remove routes",
		list(a, "route", func(s schema.Stored[schema.Route]) string {
			r := s.Value
			return fmt.Sprintf("%-20s %s %s version %d", r.Name, netip.AddrPortFrom(r.Address, r.Port), r.Protocol, s.Version)
		}),
		show[schema.Route](a, "route"),
		a.routeSet(),
		remove[schema.Route](a, "route"))
}

func (a *app) routeSet() *ffcli.Command {
	r := a.remoteFlags("route set")
	address := r.fs.String("address", "", "service address IP:port")
	protocol := r.fs.String("protocol", "quic", "tcp or quic")
	team := r.fs.String("team", "", "team that owns the route")
	return r.command("set", "route set [flags] NAME", "create or replace a route",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneName(args, "route")
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
			change, err := r.progress(func(e client.Edit) (schema.Change, error) {
				return client.Put(ctx, c, v.Name, v, e)
			})
			return r.changed("route "+name, change, err)
		})
}

// list lists one table.
func list[T schema.Route | schema.Pool](a *app, what string, line func(schema.Stored[T]) string) *ffcli.Command {
	r := a.remoteFlags(what + " list")
	return r.command("list", what+" list [flags]", "list all",
		func(ctx context.Context, c *client.Client, _ []string) error {
			rows, err := client.List[T](ctx, c)
			if err != nil {
				return err
			}
			r.show(rows, func() {
				for _, row := range rows {
					fmt.Fprintln(r.out, line(row))
				}
			})
			return nil
		})
}

// show prints one row as JSON.
func show[T schema.Route | schema.Pool](a *app, what string) *ffcli.Command {
	r := a.remoteFlags(what + " show")
	return r.command("show", what+" show [flags] NAME", "show one as JSON",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneName(args, what)
			if err != nil {
				return err
			}
			row, err := client.Get[T](ctx, c, schema.Name(name))
			if err != nil {
				return err
			}
			*r.json = true
			r.show(row, nil)
			return nil
		})
}

// remove deletes one row.
func remove[T schema.Route | schema.Pool](a *app, what string) *ffcli.Command {
	r := a.remoteFlags(what + " remove")
	return r.command("remove", what+" remove [flags] NAME", "remove one",
		func(ctx context.Context, c *client.Client, args []string) error {
			name, err := oneName(args, what)
			if err != nil {
				return err
			}
			change, err := client.Remove[T](ctx, c, schema.Name(name), r.edit())
			return r.changed(what+" "+name, change, err)
		})
}

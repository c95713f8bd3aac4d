package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"github.com/joomcode/errorx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// target holds the commands on the targets of a pool.
func (a *app) target() *ffcli.Command {
	return a.group("target", "set, drain, undrain and remove targets of a pool",
		a.targetSet(),
		a.targetEdit("drain", "stop new flows to a target and keep the established ones", func(p *schema.Pool, i int) {
			p.Targets[i].Drain = true
		}),
		a.targetEdit("undrain", "let new flows go to a target again", func(p *schema.Pool, i int) {
			p.Targets[i].Drain = false
		}),
		a.targetEdit("remove", "remove a target; its flows end", func(p *schema.Pool, i int) {
			p.Targets = slices.Delete(p.Targets, i, i+1)
		}))
}

func (a *app) targetSet() *ffcli.Command {
	r := a.remoteFlags("target set")
	address := r.fs.String("address", "", "Geneve address IP:port")
	health := r.fs.String("health", "", "health endpoint IP:port")
	dc := r.fs.String("datacentre", "", "data centre of the target")
	weight := r.fs.Uint("weight", 0, "share of new flows")
	return r.command("set", "target set [flags] POOL ID", "add or replace a target",
		func(ctx context.Context, c *client.Client, args []string) error {
			if len(args) != 2 {
				return usageError("name a pool and a target")
			}
			t := schema.Target{ID: schema.TargetID(args[1]), DataCentre: schema.DataCentreID(*dc), Weight: uint16(*weight)}
			var err error
			if t.Address, err = netip.ParseAddrPort(*address); err != nil {
				return usageError(fmt.Sprintf("--address %q must be IP:port", *address))
			}
			if *health != "" {
				if t.Health, err = netip.ParseAddrPort(*health); err != nil {
					return usageError(fmt.Sprintf("--health %q must be IP:port", *health))
				}
			}
			return r.editPool(ctx, c, schema.Name(args[0]), func(p *schema.Pool) error {
				if old := p.Find(t.ID); old != nil {
					*old = t
				} else {
					p.Targets = append(p.Targets, t)
				}
				return nil
			}, false)
		})
}

func (a *app) targetEdit(verb, help string, change func(*schema.Pool, int)) *ffcli.Command {
	r := a.remoteFlags("target " + verb)
	return r.command(verb, "target "+verb+" [flags] POOL ID", help,
		func(ctx context.Context, c *client.Client, args []string) error {
			if len(args) != 2 {
				return usageError("name a pool and a target")
			}
			return r.editPool(ctx, c, schema.Name(args[0]), func(p *schema.Pool) error {
				i := slices.IndexFunc(p.Targets, func(t schema.Target) bool { return string(t.ID) == args[1] })
				if i < 0 {
					return usageError(fmt.Sprintf("target %q does not exist in pool %q", args[1], p.Name))
				}
				change(p, i)
				return nil
			}, false)
		})
}

// editPool reads a pool, changes it and writes it if it is still the same.
func (r *remote) editPool(ctx context.Context, c *client.Client, name schema.Name, change func(*schema.Pool) error, create bool) error {
	row, err := client.Get[schema.Pool](ctx, c, name)
	if errorx.IsOfType(err, client.Missing) && create {
		row, err = schema.Stored[schema.Pool]{Value: schema.Pool{Name: name}}, nil
	}
	if err != nil {
		return err
	}
	p := row.Value
	if err := change(&p); err != nil {
		return err
	}
	if err := p.Check(); err != nil {
		return err
	}
	done, err := r.progress(func(e client.Edit) (schema.Change, error) {
		if !e.Strict {
			e.Strict, e.Expect = true, row.Version
		}
		return client.Put(ctx, c, name, p, e)
	})
	return r.changed("pool "+string(name), done, err)
}

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

// targetCommand holds the commands on the targets of a pool.
func (a *app) targetCommand() *ffcli.Command {
	return a.group("target", "set, drain, undrain and remove targets of a pool",
		a.targetSetCommand(),
		a.targetEditCommand("drain", "send no new flows to a target and keep the established ones", func(p *schema.Pool, i int) {
			p.Targets[i].Drain = true
		}),
		a.targetEditCommand("undrain", "send new flows to a target again", func(p *schema.Pool, i int) {
			p.Targets[i].Drain = false
		}),
		a.targetEditCommand("remove", "remove a target; its flows end", func(p *schema.Pool, i int) {
			p.Targets = slices.Delete(p.Targets, i, i+1)
		}))
}

func (a *app) targetSetCommand() *ffcli.Command {
	r := a.remoteFlags("target set")
	address := r.fs.String("address", "", "IP:port where the target receives Geneve packets")
	health := r.fs.String("health", "", "IP:port of the HTTP health endpoint")
	dc := r.fs.String("datacentre", "", "data centre of the target")
	weight := r.fs.Uint("weight", 0, "relative share of new flows; 0 means 1")
	return r.command("set", "target set [flags] POOL ID", "add or replace a target",
		func(ctx context.Context, c *client.Client, args []string) error {
			if len(args) != 2 {
				return usageError(fmt.Sprintf("expected two arguments (pool and target), got %d", len(args)))
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

// targetEditCommand returns a command that applies change to a target, given by
// its pool and its index there.
func (a *app) targetEditCommand(verb, help string, change func(*schema.Pool, int)) *ffcli.Command {
	r := a.remoteFlags("target " + verb)
	return r.command(verb, "target "+verb+" [flags] POOL ID", help,
		func(ctx context.Context, c *client.Client, args []string) error {
			if len(args) != 2 {
				return usageError(fmt.Sprintf("expected two arguments (pool and target), got %d", len(args)))
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

// editPool reads a pool, applies change to it and stores it if the stored pool
// still has the version that was read. If create is set, a missing pool is
// created.
func (r *remote) editPool(ctx context.Context, c *client.Client, name schema.Name, change func(*schema.Pool) error, create bool) error {
	stored, err := client.Get[schema.Pool](ctx, c, name)
	if errorx.IsOfType(err, client.Missing) && create {
		stored, err = schema.Stored[schema.Pool]{Value: schema.Pool{Name: name}}, nil
	}
	if err != nil {
		return err
	}
	p := stored.Value
	if err := change(&p); err != nil {
		return err
	}
	if err := p.Check(); err != nil {
		return err
	}
	result, err := r.putUntilInForce(func(e client.Edit) (schema.Change, error) {
		if !e.Strict {
			e.Strict, e.Expect = true, stored.Version
		}
		return client.Put(ctx, c, name, p, e)
	})
	return r.printChange("pool "+string(name), result, err)
}

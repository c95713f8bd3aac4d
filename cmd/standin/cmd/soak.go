package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/standin/soak"
)

// soakCommand runs daemons as processes under random faults and checks what the
// load balancer guarantees.
func soakCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin soak", flag.ContinueOnError)
	var opts soak.Options
	fs.StringVar(&opts.Daemon, "daemon", "", "path of the coltsfootdock executable")
	fs.StringVar(&opts.Dir, "dir", "", "directory for settings and logs; a new temporary one if empty")
	fs.Uint64Var(&opts.Seed, "seed", 1, "seed of the faults")
	fs.DurationVar(&opts.For, "for", 30*time.Second, "how long faults are injected")
	fs.DurationVar(&opts.Bound, "bound", 0, "time within which drains and versions must be in force; zero if the seed selects it")
	fs.IntVar(&opts.Daemons, "daemons", 6, "number of daemons")
	fs.IntVar(&opts.Targets, "targets", 12, "number of targets")
	fs.IntVar(&opts.Clients, "clients", 24, "number of client hosts")
	fs.IntVar(&opts.KeptFlows, "kept", 4, "number of flows that each client keeps open until their targets have gone")
	fs.IntVar(&opts.Slot, "slot", 0, "number from 0 to 40 that selects the address range; concurrent soaks need different ones")
	fs.IntVar(&opts.Reading, "reading", -1, "index of the reading of the store's protocol; negative if the seed selects it")
	faults := fs.String("faults", "", "parts of the names of the faults to inject, separated by commas; all if empty")
	fs.BoolVar(&opts.WithoutOutages, "without-outages", false, "leave out the faults inside an outage of the store, unless --faults names them")
	seeds := fs.String("seeds", "", "first and last seed, such as 100-149: play them in series, print a line each and the sum")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "standin soak --daemon PATH [flags]",
		ShortHelp:  "run daemons as processes under random faults and check the guarantees",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if opts.Daemon == "" {
				return errors.New("--daemon PATH is missing")
			}
			if opts.Dir == "" {
				dir, err := os.MkdirTemp("", "soak")
				if err != nil {
					return err
				}
				opts.Dir = dir
			}
			if *faults != "" {
				opts.Faults = strings.Split(*faults, ",")
			}
			if *seeds != "" {
				return playSeries(ctx, out, opts, *seeds)
			}
			r, err := soak.Run(ctx, opts)
			if err != nil {
				return err
			}
			if *asJSON {
				if err := json.NewEncoder(out).Encode(r); err != nil {
					return err
				}
			} else {
				r.Print(out)
			}
			if len(r.Broken) > 0 {
				return errFailed
			}
			return nil
		},
	}
}

// playSeries runs a soak test for each seed of a range, one after the other, and
// prints a line for each and the sum. The logs of sound runs are removed, the result
// of each other run is kept beside its logs.
func playSeries(ctx context.Context, out io.Writer, opts soak.Options, seeds string) error {
	var first, last uint64
	if _, err := fmt.Sscanf(seeds, "%d-%d", &first, &last); err != nil || last < first {
		return fmt.Errorf("--seeds %q: want two numbers as in 100-149", seeds)
	}
	dir, plays, broken := opts.Dir, 0, 0
	for opts.Seed = first; opts.Seed <= last; opts.Seed++ {
		opts.Dir = filepath.Join(dir, fmt.Sprint(opts.Seed))
		if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
			return err
		}
		r, err := soak.Run(ctx, opts)
		if err != nil {
			return err
		}
		plays++
		r.PrintLine(out)
		if len(r.Broken) > 0 {
			broken++
			if err := keepResult(r, opts.Dir); err != nil {
				return err
			}
			continue
		}
		if err := os.RemoveAll(opts.Dir); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d seeds, %d with violated guarantees; their logs: %s\n", plays, broken, dir)
	if broken > 0 {
		return errFailed
	}
	return nil
}

// keepResult writes a result to a file in a directory.
func keepResult(r *soak.Result, dir string) error {
	f, err := os.Create(filepath.Join(dir, "result.txt"))
	if err != nil {
		return err
	}
	r.Print(f)
	return f.Close()
}

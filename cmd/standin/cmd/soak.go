package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/standin/soak"
)

// soak runs the daemons as processes under random faults.
func soakCommand(out io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("standin soak", flag.ContinueOnError)
	var o soak.Options
	fs.StringVar(&o.Daemon, "daemon", "", "path of the coltsfootdock program")
	fs.StringVar(&o.Dir, "dir", "", "directory for settings and logs; a new temporary one if empty")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the faults")
	fs.DurationVar(&o.For, "for", 30*time.Second, "how long faults strike")
	fs.IntVar(&o.Daemons, "daemons", 6, "number of daemons")
	fs.IntVar(&o.Targets, "targets", 12, "number of targets")
	fs.IntVar(&o.Clients, "clients", 24, "number of client hosts")
	fs.IntVar(&o.Slot, "slot", 0, "number that tells soaks apart which run beside each other, 0 to 40")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "standin soak --daemon PATH [flags]",
		ShortHelp:  "run daemons as processes under random faults and check the promises",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if o.Daemon == "" {
				return errors.New("--daemon PATH is missing")
			}
			if o.Dir == "" {
				dir, err := os.MkdirTemp("", "soak")
				if err != nil {
					return err
				}
				o.Dir = dir
			}
			r, err := soak.Run(ctx, o)
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

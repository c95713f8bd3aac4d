package cmd

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/entry"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/transport/edge"
	"coltsfootdock/platform"
)

// heapGrowth is by how many percent the heap may grow between two collections.
// Entry VMs have little memory, and what a daemon keeps is small.
const heapGrowth = 20

// entry runs an entry daemon on the users' platform, whose settings file the
// environment names. The first SIGTERM or SIGINT starts a graceful stop,
// SIGHUP reads the settings again.
func (a *app) entry() *ffcli.Command {
	fs := flag.NewFlagSet("coltsfootdock entry", flag.ContinueOnError)
	fs.SetOutput(a.err)
	path := fs.String("config", "", "settings file of the platform")
	check := fs.Bool("check", false, "check the settings, print what is derived from them, and end")
	port := fs.Uint("metrics-port", 0, "port of the metrics, on the daemon's own address; 0 serves none")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "coltsfootdock entry --config FILE",
		ShortHelp:  "run an entry daemon on the users' platform",
		FlagSet:    fs,
		Options:    envPrefix,
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" {
				return usageError("--config FILE is missing, and " + platform.SettingsVariable + " is not set")
			}
			load := func() (*setup.Entry, error) { return platform.LoadSettings(*path) }
			cfg, err := load()
			if err != nil {
				return err
			}
			if *check {
				text, err := cfg.Print()
				if err == nil {
					fmt.Fprint(a.out, text)
				}
				return err
			}
			if *port > 0 {
				cfg.Metrics = netip.AddrPortFrom(cfg.Peer.Addr(), uint16(*port))
			}
			return runEntry(ctx, cfg, load, a)
		},
	}
}

func runEntry(ctx context.Context, cfg *setup.Entry, load func() (*setup.Entry, error), a *app) error {
	debug.SetGCPercent(heapGrowth)
	d, err := entry.New(cfg, platformWire(load), entry.NewLogger(a.out))
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-hup:
				d.Reload("signal")
			case <-done:
				return
			}
		}
	}()
	stop := context.AfterFunc(ctx, d.Leave)
	defer stop()
	return d.Serve(context.WithoutCancel(ctx))
}

// platformWire joins the daemon to the platform's forms.
func platformWire(load func() (*setup.Entry, error)) entry.Wire {
	return entry.Wire{
		Packets: edge.Wire{
			Prefix:    platform.PrefixSize,
			MaxPacket: platform.MaxPacket,
			Decode:    platform.Decode,
			Address:   platform.Address,
			Reset:     platform.Reset,
			Client:    platform.ClientAddress,
		},
		ReadyPath: platform.ReadyPath,
		Load:      load,
	}
}

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

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/entry"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/transport/edge"
	"coltsfootdock/platform"
)

// heapGrowthPercent is how much the heap may grow between garbage collections.
// It is low because entry VMs have little memory; the daemon's live heap is
// small.
const heapGrowthPercent = 20

// entryCommand runs an entry daemon on the users' platform. The settings file is
// named by a flag or an environment variable. The first SIGTERM or SIGINT starts
// a graceful stop, SIGHUP reloads the settings.
func (a *app) entryCommand() *ffcli.Command {
	fs := flag.NewFlagSet("coltsfootdock entry", flag.ContinueOnError)
	fs.SetOutput(a.err)
	path := fs.String("config", "", "settings file that the platform provides")
	check := fs.Bool("check", false, "validate the settings, print the effective ones and exit")
	policyPath := fs.String("policy", "", "policy file; without one, the default policy applies")
	port := fs.Uint("metrics-port", 0, "port of the metrics endpoint on the daemon's peer address; 0 disables it")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "coltsfootdock entry --config FILE [--policy FILE]",
		ShortHelp:  "run an entry daemon on the users' platform",
		FlagSet:    fs,
		Options:    envPrefix,
		Exec: func(ctx context.Context, _ []string) error {
			start := entry.ProcessStart{Main: clock.SinceProcessStart()}
			if *path == "" {
				return usageError("--config FILE is missing, and " + platform.SettingsVariable + " is not set")
			}
			loadSettings := func() (*setup.Entry, error) { return loadEntry(*path, *policyPath) }
			cfg, err := loadSettings()
			if err != nil {
				return err
			}
			start.Settings = clock.SinceProcessStart()
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
			adapter := platformAdapter(loadSettings)
			adapter.Start = start
			return runEntry(ctx, cfg, adapter, a)
		},
	}
}

// loadEntry reads the platform's settings and the policy, which has a file of its own as
// the platform writes the settings.
func loadEntry(settingsPath, policyPath string) (*setup.Entry, error) {
	cfg, err := platform.LoadSettings(settingsPath)
	if err != nil {
		return nil, err
	}
	if policyPath == "" {
		return cfg, nil
	}
	p, err := setup.LoadPolicy(policyPath)
	if err != nil {
		return nil, err
	}
	cfg.Policy = *p
	return cfg, nil
}

func runEntry(ctx context.Context, cfg *setup.Entry, adapter entry.PlatformAdapter, a *app) error {
	debug.SetGCPercent(heapGrowthPercent)
	d, err := entry.New(cfg, adapter, entry.NewLogger(a.out))
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

// platformAdapter returns the platform's packet format, ready path and settings
// loader in the form that the daemon takes.
func platformAdapter(loadSettings func() (*setup.Entry, error)) entry.PlatformAdapter {
	return entry.PlatformAdapter{
		Packets: edge.Format{
			Prefix:      platform.PrefixSize,
			MaxPacket:   platform.MaxPacketSize,
			Decode:      platform.Decode,
			WriteHeader: platform.WriteTargetHeader,
			Reset:       platform.Reset,
			Client:      platform.ClientAddress,
		},
		ReadyPath:    platform.ReadyPath,
		LoadSettings: loadSettings,
	}
}

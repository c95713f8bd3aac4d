package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/entry"
	"coltsfootdock/pkg/client"
)

const (
	explainTimeout = 5 * time.Second
	// maxBelief bounds the size of an answer in bytes.
	maxBelief = 64 << 20
)

// explain tells what an entry daemon believes of a target or a client's flows,
// and why.
func (a *app) explain() *ffcli.Command {
	fs := flag.NewFlagSet("coltsfootdock explain", flag.ContinueOnError)
	metrics := fs.String("metrics", "", "IP:port of the daemon's metrics")
	asJSON := fs.Bool("json", false, "print all that the daemon believes as JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "coltsfootdock explain --metrics IP:PORT [--json] [TARGET | CLIENT-IP:PORT]",
		ShortHelp:  "tell why an entry daemon decides on a target or flow as it does",
		FlagSet:    fs,
		Options:    envPrefix,
		Exec: func(ctx context.Context, args []string) error {
			if _, err := netip.ParseAddrPort(*metrics); err != nil {
				return usageError(fmt.Sprintf("--metrics %q must be IP:port", *metrics))
			}
			if len(args) > 1 {
				return usageError("one target or client at most")
			}
			what := strings.Join(args, "")
			b, err := fetchBelief(ctx, *metrics, what)
			if err != nil {
				return err
			}
			if *asJSON {
				enc := json.NewEncoder(a.out)
				enc.SetIndent("", "  ")
				return enc.Encode(b)
			}
			return printBelief(a.out, b, what)
		},
	}
}

// fetchBelief asks a daemon what it believes.
func fetchBelief(ctx context.Context, addr, what string) (*entry.Belief, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	u := "http://" + addr + entry.BeliefPath
	if _, err := netip.ParseAddrPort(what); err == nil {
		u += "?client=" + url.QueryEscape(what)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, client.Unavailable.Wrap(err, "daemon at %s does not answer", addr)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBelief))
	if err != nil {
		return nil, fmt.Errorf("daemon's answer broke off: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("daemon answered %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
	}
	b := new(entry.Belief)
	if err := json.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("daemon's answer is not a belief: %w", err)
	}
	return b, nil
}

// printBelief prints the daemon's state, and what was asked for: a target, a
// client's flows with their targets, or all targets if what is empty.
func printBelief(w io.Writer, b *entry.Belief, what string) error {
	fmt.Fprintf(w, "daemon %s in %s: ready %t, leaving %t, deaf %t, cut off %t, %d peers, rank %d, configuration %d\n",
		b.ID, b.DataCentre, b.Ready, b.Leaving, b.Deaf, b.CutOff, b.Peers, b.Rank, b.ConfigVersion)
	for _, t := range b.Topics {
		fmt.Fprintf(w, "  %s: revision %d, confirmed %s\n", t.Topic, t.Rev, ago(t.Age))
	}
	if _, err := netip.ParseAddrPort(what); err == nil {
		return printFlows(w, b, what)
	}
	found := false
	for i := range b.Targets {
		if t := &b.Targets[i]; what == "" || string(t.ID) == what {
			found = true
			printTarget(w, t)
		}
	}
	if !found && what != "" {
		return fmt.Errorf("daemon %s knows no target %q", b.ID, what)
	}
	return nil
}

// ago tells how long ago something was; negative spans mean never.
func ago(d clock.Milli) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", d)
}

func printFlows(w io.Writer, b *entry.Belief, client string) error {
	if len(b.Flows) == 0 {
		return fmt.Errorf("daemon %s remembers no flow of client %s", b.ID, client)
	}
	for _, f := range b.Flows {
		fmt.Fprintf(w, "flow %s to %s, route %s: target %s, opening %t, a request waits for %d ms, seen %d ms ago; next packet: %s\n",
			f.Client, f.Service, f.Route, f.Target, f.Opening, f.Asked, f.Seen, f.Next)
		for i := range b.Targets {
			if t := &b.Targets[i]; t.ID == f.Target {
				printTarget(w, t)
			}
		}
	}
	return nil
}

func printTarget(w io.Writer, t *steer.TargetBelief) {
	fmt.Fprintf(w, "target %s of %s in %s at %s, cookie %s: takes new flows %t, load %.2f, %d flows and %d requests here, %d and %d at peers, heard %s\n",
		t.ID, t.Pool, t.DataCentre, t.Address, t.Cookie, t.Takes, t.Load, t.Flows, t.Busy, t.PeerFlows, t.PeerBusy, ago(t.Heard))
	for _, why := range t.Why {
		fmt.Fprintf(w, "  %s\n", why)
	}
}

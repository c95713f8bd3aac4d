package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
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
	// maxBeliefBytes bounds the size of the daemon's response.
	maxBeliefBytes = 64 << 20
)

// explainCommand prints the state that an entry daemon holds of targets or of a
// client's flows, and the reasons for its decisions.
func (a *app) explainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("coltsfootdock explain", flag.ContinueOnError)
	metrics := fs.String("metrics", "", "IP:port of the daemon's metrics endpoint")
	asJSON := fs.Bool("json", false, "print the daemon's whole response as JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "coltsfootdock explain --metrics IP:PORT [--json] [TARGET | CLIENT-IP:PORT]",
		ShortHelp:  "show an entry daemon's state of targets or flows, with the reasons for its decisions",
		FlagSet:    fs,
		Options:    envPrefix,
		Exec: func(ctx context.Context, args []string) error {
			if _, err := netip.ParseAddrPort(*metrics); err != nil {
				return usageError(fmt.Sprintf("--metrics %q must be IP:port", *metrics))
			}
			if len(args) > 1 {
				return usageError(fmt.Sprintf("expected at most one argument (target or client), got %d", len(args)))
			}
			query := strings.Join(args, "")
			b, err := fetchBelief(ctx, *metrics, query)
			if err != nil {
				return err
			}
			if *asJSON {
				enc := json.NewEncoder(a.out)
				enc.SetIndent("", "  ")
				return enc.Encode(b)
			}
			return printBelief(a.out, b, query)
		},
	}
}

// fetchBelief requests a daemon's belief: its state of all targets, and of a
// client's flows if query is the client's IP:port.
func fetchBelief(ctx context.Context, addr, query string) (*entry.Belief, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	u := "http://" + addr + entry.BeliefPath
	if _, err := netip.ParseAddrPort(query); err == nil {
		u += "?client=" + url.QueryEscape(query)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBeliefBytes))
	if err != nil {
		return nil, fmt.Errorf("can't read the daemon's response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("daemon responded with status %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
	}
	b := new(entry.Belief)
	if err := json.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("can't decode the daemon's response: %w", err)
	}
	return b, nil
}

// printBelief prints the daemon's state, followed by the target that query names,
// the flows and their targets of the client that query names, or all targets if
// query is empty.
func printBelief(w io.Writer, b *entry.Belief, query string) error {
	fmt.Fprintf(w, "daemon %s in %s: ready %t, leaving %t, deaf %t, cut off %t, %d peers, rank %d, configuration %d\n",
		b.ID, b.DataCentre, b.Ready, b.Leaving, b.Deaf, b.CutOff, b.Peers, b.Rank, b.ConfigVersion)
	for _, t := range b.Topics {
		fmt.Fprintf(w, "  %s: revision %d, confirmed %s; proved up to %d as of %s, by %s\n", t.Topic, t.Rev, ago(t.Age), t.Proved, ago(t.ProofAge), orNone(t.ProvedBy))
	}
	for i := range b.Fleet {
		printPeer(w, &b.Fleet[i])
	}
	for i := range b.Pools {
		printPool(w, &b.Pools[i])
	}
	if _, err := netip.ParseAddrPort(query); err == nil {
		return printFlows(w, b, query)
	}
	found := false
	for i := range b.Targets {
		if t := &b.Targets[i]; query == "" || string(t.ID) == query {
			found = true
			printTarget(w, t)
		}
	}
	if !found && query != "" {
		return fmt.Errorf("daemon %s has no target %q", b.ID, query)
	}
	return nil
}

// printPeer prints what a peer's last summary states of its view.
func printPeer(w io.Writer, p *entry.PeerBelief) {
	fmt.Fprintf(w, "peer %s in %s: configuration %d at revision %d, confirmed %s; targets at revision %d, proved up to %d as of %s; heard %s",
		p.ID, p.DataCentre, p.ConfigVersion, p.ConfigRev, ago(p.ConfigAge), p.TargetsRev, p.TargetsProved, ago(p.TargetsProofAge), ago(p.Silence))
	if len(p.Differs) > 0 {
		fmt.Fprintf(w, "; other objects at the same revision: %s", strings.Join(p.Differs, ", "))
	}
	fmt.Fprintln(w)
}

// orNone returns a name, or "none" if it is empty.
func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

// ago formats the time since an event; a negative one means that the event never
// happened.
func ago(d clock.Milli) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", d)
}

func printFlows(w io.Writer, b *entry.Belief, client string) error {
	if len(b.Flows) == 0 {
		return fmt.Errorf("daemon %s has no flow of client %s", b.ID, client)
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

// printPool prints the limit of this daemon's requests at a pool and what it follows
// from.
func printPool(w io.Writer, p *steer.PoolBelief) {
	if p.Limit == 0 {
		fmt.Fprintf(w, "pool %s: no target gets new flows, requests don't wait\n", p.Pool)
		return
	}
	fmt.Fprintf(w, "pool %s: %d requests in flight of at most %.1f, %d wait here; limit: %.1f at the same time, times %.2f, times this daemon's share of %.3f; usually %.0f ms\n",
		p.Pool, p.InFlight, p.Limit, p.Waiting, p.Capacity, p.Depth, p.Share, p.Usual)
	if p.Demand > 0 {
		fmt.Fprintf(w, "  demand of the fleet %.0f slots by %d reports, limit corrected by %.2f\n", p.Demand, p.Reports, p.Correction)
	}
	for _, x := range p.DataCentres {
		fmt.Fprintf(w, "  data centre %s: demand %.0f slots, share %.0f, weight %.0f\n", x.DataCentre, x.Demand, x.Part, x.Weight)
	}
	for _, x := range p.Routes {
		fmt.Fprintf(w, "  route %s: %d in flight, part %.1f by weight %.0f, %d wait, served at %.0f a second", x.Route, x.InFlight, x.Part, x.Weight, x.Waiting, x.Rate)
		for _, rule := range slices.Sorted(maps.Keys(x.Rejected)) {
			fmt.Fprintf(w, ", %d new flows rejected as %s", x.Rejected[rule], rule)
		}
		fmt.Fprintln(w)
	}
}

func printTarget(w io.Writer, t *steer.TargetBelief) {
	fmt.Fprintf(w, "target %s of %s in %s at %s, cookie %s: takes new flows %t, load %.2f, %d flows and %d requests here, %d and %d at peers, heard %s\n",
		t.ID, t.Pool, t.DataCentre, t.Address, t.Cookie, t.Takes, t.Load, t.Flows, t.Busy, t.PeerFlows, t.PeerBusy, ago(t.Heard))
	for _, why := range t.Why {
		fmt.Fprintf(w, "  %s\n", why)
	}
	if t.Proof.Suspicious() {
		fmt.Fprintf(w, "  proof for resets of its flows: %s; %s\n", t.Proof.Kind, t.Proof)
	}
}

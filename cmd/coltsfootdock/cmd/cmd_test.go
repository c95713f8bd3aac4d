package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/entry"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	invalid := filepath.Join(dir, "invalid.toml")
	require.NoError(t, os.WriteFile(invalid, []byte("ID = \"vm-1\"\nSped = 1\n"), 0o600))
	duplicate := filepath.Join(dir, "duplicate.toml")
	text := "[[Pools]]\nName = \"desk\"\nVNI = 1\n"
	for range 2 {
		text += "[[Pools.Targets]]\nID = \"a\"\nAddress = \"127.0.0.1:1\"\nDataCentre = \"dc\"\n"
	}
	require.NoError(t, os.WriteFile(duplicate, []byte(text), 0o600))
	invalidBoot := filepath.Join(dir, "boot.toml")
	require.NoError(t, os.WriteFile(invalidBoot, []byte("nodeName = \"x\"\nip = 10\n"), 0o600))
	const unusedURL = "http://127.0.0.1:1" // no daemon listens on this port
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no subcommand", nil, exitUsage, ""},
		{"unknown flag", []string{"status", "--nosuch"}, exitUsage, "nosuch"},
		{"version", []string{"version"}, exitOK, release},
		{"valid settings", []string{"check", "--config", "../../../examples/lin/vm-1.toml"}, exitOK, "valid"},
		{"effective settings", []string{"print", "--config", "../../../examples/caroni/vm-1.toml"}, exitOK, "IdleSeconds = 900"},
		{"unknown key", []string{"check", "--config", invalid}, exitUsage, "invalid.toml:2: Sped: unknown key"},
		{"platform's settings", []string{"entry", "--check", "--config", "../../../examples/platform/boot.toml"}, exitOK, "Data = '127.0.0.1:8172'"},
		{"platform's settings, invalid", []string{"entry", "--check", "--config", invalidBoot}, exitUsage, "boot.toml:2: ip: "},
		{"platform's settings, missing", []string{"entry"}, exitUsage, "--config FILE is missing"},
		{"missing settings", []string{"serve"}, exitUsage, "--config FILE is missing"},
		{"invalid address", []string{"route", "set", "--address", "desk", "desk"}, exitUsage, "must be IP:port"},
		{"invalid protocol", []string{"route", "set", "--address", "127.0.0.1:1", "--protocol", "udp", "desk"}, exitUsage, `must be "tcp" or "quic"`},
		{"no name", []string{"vm", "out"}, exitUsage, "expected exactly one argument (VM), got 0"},
		{"unreachable", []string{"status", "--daemons", unusedURL}, exitUnreachable, "does not answer"},
		{"explain, no address", []string{"explain", "i-01"}, exitUsage, "must be IP:port"},
		{"explain, unreachable", []string{"explain", "--metrics", "127.0.0.1:1"}, exitUnreachable, "does not answer"},
		{"explain, two arguments", []string{"explain", "--metrics", "127.0.0.1:1", "a", "b"}, exitUsage, "expected at most one argument (target or client), got 2"},
		{"duplicate target", []string{"apply", "--daemons", unusedURL, duplicate}, exitUsage, `duplicate target ID "a"`},
		{"missing token file", []string{"status", "--token-file", filepath.Join(dir, "none")}, exitUsage, "can't be read"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tt.code, Main(tt.args, &out, &out), out.String())
			require.Contains(t, out.String(), tt.want)
		})
	}
}

// TestExampleTables checks that the tables in examples/ are valid and complete.
func TestExampleTables(t *testing.T) {
	for _, deployment := range []string{"lin", "caroni"} {
		tables, err := readTables("../../../examples/" + deployment + "/tables.toml")
		require.NoError(t, err)
		require.Len(t, tables.Routes, 2)
		require.Len(t, tables.Pools[0].Targets, 14)
		require.Len(t, tables.Pools[1].Targets, 4)
	}
}

func TestExplain(t *testing.T) {
	b := entry.Belief{
		ID: "vm-1", DataCentre: "a", Ready: true,
		Topics:  []entry.TopicBelief{{Topic: "targets", Rev: 7, Age: 40}},
		Targets: []steer.TargetBelief{{ID: "i-1", Pool: "desk", Why: []string{"draining by its entry of revision 6"}}, {ID: "i-2"}, {ID: "i-4", Proof: steer.ResetProof{Kind: steer.ByProbe, Removal: steer.Vanished, Gone: true, GoneAge: 30, GoneRev: 9}}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := b
		if r.URL.Query().Get("client") == "100.64.0.1:7" {
			got.Flows = []steer.FlowBelief{{Client: "100.64.0.1:7", Target: "i-1", Next: "reset: target_gone"}}
		}
		require.NoError(t, json.NewEncoder(w).Encode(got))
	}))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	tests := []struct {
		query, want, absent string
		code                int
	}{
		{"i-1", "draining by its entry of revision 6", "i-2", exitOK},
		{"", "target i-2", "nobody", exitOK},
		{"i-4", "proof for resets of its flows: probe; entry=vanished/9/30ms", "i-1", exitOK},
		{"i-3", `daemon vm-1 has no target "i-3"`, "i-1", exitFailure},
		{"100.64.0.1:7", "next packet: reset: target_gone", "i-2", exitOK},
		{"100.64.0.1:8", "daemon vm-1 has no flow of client 100.64.0.1:8", "i-2", exitFailure},
	}
	for _, tt := range tests {
		t.Run(tt.query, func(t *testing.T) {
			args := []string{"explain", "--metrics", addr}
			if tt.query != "" {
				args = append(args, tt.query)
			}
			var out bytes.Buffer
			require.Equal(t, tt.code, Main(args, &out, &out), out.String())
			require.Contains(t, out.String(), tt.want)
			require.Contains(t, out.String(), "targets: revision 7, confirmed 40 ms ago")
			require.NotContains(t, out.String(), tt.absent)
		})
	}
}

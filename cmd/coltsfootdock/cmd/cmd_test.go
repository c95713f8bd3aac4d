package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("ID = \"vm-1\"\nSped = 1\n"), 0o600))
	dup := filepath.Join(dir, "dup.toml")
	text := "[[Pools]]\nName = \"desk\"\nVNI = 1\n"
	for range 2 {
		text += "[[Pools.Targets]]\nID = \"a\"\nAddress = \"127.0.0.1:1\"\nDataCentre = \"dc\"\n"
	}
	require.NoError(t, os.WriteFile(dup, []byte(text), 0o600))
	boot := filepath.Join(dir, "boot.toml")
	require.NoError(t, os.WriteFile(boot, []byte("nodeName = \"x\"\nip = 10\n"), 0o600))
	const nobody = "http://127.0.0.1:1" // no daemon listens there
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
		{"unknown key", []string{"check", "--config", bad}, exitUsage, "bad.toml:2: Sped: unknown key"},
		{"platform's settings", []string{"entry", "--check", "--config", "../../../examples/platform/boot.toml"}, exitOK, "Data = '127.0.0.1:8172'"},
		{"platform's settings, bad", []string{"entry", "--check", "--config", boot}, exitUsage, "boot.toml:2: ip: "},
		{"platform's settings, missing", []string{"entry"}, exitUsage, "--config FILE is missing"},
		{"missing settings", []string{"serve"}, exitUsage, "--config FILE is missing"},
		{"bad address", []string{"route", "set", "--address", "desk", "desk"}, exitUsage, "must be IP:port"},
		{"bad protocol", []string{"route", "set", "--address", "127.0.0.1:1", "--protocol", "udp", "desk"}, exitUsage, `must be "tcp" or "quic"`},
		{"no name", []string{"vm", "out"}, exitUsage, "name one VM"},
		{"unreachable", []string{"status", "--daemons", nobody}, exitUnreachable, "does not answer"},
		{"duplicate target", []string{"apply", "--daemons", nobody, dup}, exitUsage, `target ID "a" stands twice`},
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

// TestExampleTables checks the tables in examples/.
func TestExampleTables(t *testing.T) {
	for _, shop := range []string{"lin", "caroni"} {
		tables, err := readTables("../../../examples/" + shop + "/tables.toml")
		require.NoError(t, err)
		require.Len(t, tables.Routes, 2)
		require.Len(t, tables.Pools[0].Targets, 14)
		require.Len(t, tables.Pools[1].Targets, 4)
	}
}

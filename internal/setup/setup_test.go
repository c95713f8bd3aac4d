package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `ID = "vm-1"
DataCentre = "taipei"
Data = "127.0.0.1:6081"
Peer = "127.0.0.1:7001"
Admin = "127.0.0.1:7101"
Platform = "http://127.0.0.1:7900"
`

func TestParse(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"valid", validSettings, ""},
		{"unknown key", validSettings + "Sped = 3\n", "vm.toml:7: Sped: unknown key"},
		{"missing address", strings.Replace(validSettings, "Data = \"127.0.0.1:6081\"\n", "", 1), "vm.toml:1: Data: missing address; allowed is"},
		{"bad address", strings.Replace(validSettings, "127.0.0.1:7001", "localhost", 1), "vm.toml:4: Peer:"},
		{"bad URL", strings.Replace(validSettings, "http://", "", 1), "vm.toml:6: Platform:"},
		{"bad name", strings.Replace(validSettings, "vm-1", "vm 1", 1), "vm.toml:1: ID:"},
		{"value out of range", validSettings + "IdleSeconds = 1\n", "vm.toml:7: IdleSeconds: 1 must be 3 to 86400"},
		{"wrong type", validSettings + "MaxRecords = \"many\"\n", "vm.toml:7: MaxRecords"},
		{"bad log level", validSettings + "[Log]\nLevel = \"loud\"\n", "vm.toml:8: Level:"},
		{"duplicate name", validSettings + "\n[[Peers]]\nID = \"vm-1\"\nDataCentre = \"taipei\"\nData = \"127.0.0.1:1\"\nPeer = \"127.0.0.1:2\"\n",
			`vm.toml:9: ID: "vm-1" is used twice`},
		{"incomplete TLS section", validSettings + "[AdminTLS]\nKey = \"k\"\n", "vm.toml:7: [AdminTLS]:"},
		{"not TOML", "ID = \n", "vm.toml:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("vm.toml", []byte(tt.text))
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestPrintRoundTrip(t *testing.T) {
	s, err := Parse("vm.toml", []byte(validSettings))
	require.NoError(t, err)
	text, err := s.Print()
	require.NoError(t, err)
	parsed, err := Parse("printed.toml", []byte(text))
	require.NoError(t, err, text)
	reprinted, err := parsed.Print()
	require.NoError(t, err)
	require.Equal(t, text, reprinted)
}

// TestExamplesLoad checks the settings in examples/.
func TestExamplesLoad(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/vm-*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		_, err := Load(f)
		require.NoError(t, err)
	}
	_, err = Load(filepath.Join(t.TempDir(), "missing.toml"))
	require.ErrorContains(t, err, "can't be read")
	require.False(t, os.IsNotExist(err), "Load must not wrap the error of os.ReadFile")
}

package setup

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const valid = `ID = "vm-1"
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
		{"valid", valid, ""},
		{"unknown key", valid + "Sped = 3\n", "vm.toml:7: Sped: unknown key"},
		{"missing address", strings.Replace(valid, "Data = \"127.0.0.1:6081\"\n", "", 1), "vm.toml:1: Data: missing address; allowed is"},
		{"bad address", strings.Replace(valid, "127.0.0.1:7001", "localhost", 1), "vm.toml:4: Peer:"},
		{"bad URL", strings.Replace(valid, "http://", "", 1), "vm.toml:6: Platform:"},
		{"bad name", strings.Replace(valid, "vm-1", "vm 1", 1), "vm.toml:1: ID:"},
		{"value out of range", valid + "IdleSeconds = 1\n", "vm.toml:7: IdleSeconds: 1 must be 3 to 86400"},
		{"wrong type", valid + "MaxRecords = \"many\"\n", "vm.toml:7: MaxRecords"},
		{"bad log level", valid + "[Log]\nLevel = \"loud\"\n", "vm.toml:8: Level:"},
		{"duplicate name", valid + "\n[[Peers]]\nID = \"vm-1\"\nDataCentre = \"taipei\"\nData = \"127.0.0.1:1\"\nPeer = \"127.0.0.1:2\"\n",
			`vm.toml:9: ID: "vm-1" stands twice`},
		{"half a TLS section", valid + "[AdminTLS]\nKey = \"k\"\n", "vm.toml:7: [AdminTLS]:"},
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

func TestPrintedSettingsParse(t *testing.T) {
	s, err := Parse("vm.toml", []byte(valid))
	require.NoError(t, err)
	text, err := s.Print()
	require.NoError(t, err)
	again, err := Parse("printed.toml", []byte(text))
	require.NoError(t, err, text)
	twice, err := again.Print()
	require.NoError(t, err)
	require.Equal(t, text, twice)
}

// TestExamples checks the settings in examples/.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/vm-*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		_, err := Load(f)
		require.NoError(t, err)
	}
	_, err = Load(filepath.Join(t.TempDir(), "missing.toml"))
	require.ErrorContains(t, err, "can't be read")
	require.False(t, os.IsNotExist(err), "the error is the package's own")
}

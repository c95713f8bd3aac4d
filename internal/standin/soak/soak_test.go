package soak

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSoak runs a short soak test with real processes. The seed determines the
// injected faults. Seeds that have found a defect stay in the list.
func TestSoak(t *testing.T) {
	dir, program := t.TempDir(), buildDaemon(t)
	for _, x := range []struct {
		seed           uint64
		withoutOutages bool
	}{{7, true}, {7, false}} {
		seed := x.seed
		r, err := Run(t.Context(), Options{
			Daemon: program, Dir: dir, Seed: seed, WithoutOutages: x.withoutOutages, Bound: 3 * time.Second, For: 12 * time.Second, Daemons: 6, Targets: 12, Clients: 12, KeptFlows: 4, Slot: 40, Reading: -1,
		})
		require.NoError(t, err)
		r.Print(os.Stdout)
		require.Empty(t, r.Broken, "seed %d", seed)
		require.Positive(t, r.Served)
	}
}

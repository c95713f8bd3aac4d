package flow

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
)

func TestAgeOfCopies(t *testing.T) {
	for n, age := range map[uint32]clock.Milli{0: 0, 1: 200, 2: 600, 3: 1400} {
		require.Equal(t, age, (&Segment{Retransmissions: n}).Age())
	}
	require.Positive(t, (&Segment{Retransmissions: 1 << 31}).Age())
}

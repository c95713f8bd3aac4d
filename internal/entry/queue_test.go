package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/state/flow"
)

func TestPacketQueueIsBounded(t *testing.T) {
	q := packetQueue{flows: make(map[flow.Tuple][]queuedPacket)}
	s := flow.Segment{Seq: 1, Len: 100}
	require.True(t, q.add(make([]byte, 100), &s))
	require.True(t, q.add(make([]byte, 100), &s))
	require.Equal(t, 100, q.bytes, "a retransmission adds nothing")
	for range maxQueuedPerFlow - 1 {
		s.Seq += 100
		require.True(t, q.add(make([]byte, 100), &s))
	}
	s.Seq += 100
	require.False(t, q.add(make([]byte, 100), &s))
	require.Len(t, q.take(s.Tuple), maxQueuedPerFlow)
	require.Zero(t, q.bytes)
	require.Empty(t, q.take(s.Tuple))
	for q.add(make([]byte, 64<<10), &s) {
		s.Tuple.ClientPort++
	}
	require.LessOrEqual(t, q.bytes, maxQueuedBytes)
}

package watch

import (
	"fmt"
	"testing"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// BenchmarkPeerSet measures the cost of the peer set on each tick and for each
// summary, by the number of daemons.
func BenchmarkPeerSet(b *testing.B) {
	for _, n := range []int{7, 80, 300, 1000} {
		ps := NewPeerSet(addr(0), "a", nil, 1)
		for i := 1; i < n; i++ {
			ps.RecordSummary(start, addr(i), schema.VMID(fmt.Sprint(i)), dcOf(i), 1, 1, false)
		}
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			for b.Loop() {
				ps.Alive(start)
				ps.Rank(start)
			}
		})
		b.Run(fmt.Sprintf("recipients/%d", n), func(b *testing.B) {
			for b.Loop() {
				ps.Recipients(start + clock.Milli(1))
			}
		})
	}
}

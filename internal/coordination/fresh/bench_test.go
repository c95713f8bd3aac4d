package fresh

import (
	"fmt"
	"testing"

	"coltsfootdock/internal/clock"
	"coltsfootdock/pkg/schema"
)

// BenchmarkCrowd measures the cost of the peer set on each tick and for each
// summary, by the number of daemons.
func BenchmarkCrowd(b *testing.B) {
	for _, n := range []int{7, 80, 300, 1000} {
		c := NewCrowd(addr(0), "a", nil, 1)
		for i := 1; i < n; i++ {
			c.Summary(start, addr(i), schema.VMID(fmt.Sprint(i)), dcOf(i), 1, 1, false)
		}
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.Alive(start)
				c.Rank(start)
			}
		})
		b.Run(fmt.Sprintf("audience/%d", n), func(b *testing.B) {
			for b.Loop() {
				c.Audience(start + clock.Milli(1))
			}
		})
	}
}

package daemon

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/pkg/schema"
)

// chaos applies random disturbances. At most one daemon is lost without a
// stop within recovery, the time that its records need to get a second home
// again; any number may leave, join, freeze or be cut off.
type chaos struct {
	w        *world
	p        *schema.Pool
	joined   int
	lastKill clock.Milli
}

const recovery = 6 * clock.Second

func (c *chaos) live() []*node {
	var list []*node
	for _, n := range c.w.nodes {
		if !n.dead && !n.left && !n.frozen {
			list = append(list, n)
		}
	}
	return list
}

func (c *chaos) step(t *rapid.T) {
	w := c.w
	live := c.live()
	n := live[rapid.IntRange(0, len(live)-1).Draw(t, "daemon")]
	i := rapid.IntRange(0, len(c.p.Targets)-1).Draw(t, "target")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		c.p.Targets[i].Drain = !c.p.Targets[i].Drain
		w.store(object.Pool, "desk", c.p)
	case 1:
		if len(c.p.Targets) < 20 {
			add(w, c.p)
		}
	case 2:
		c.p.Targets[i].Weight = uint16(rapid.IntRange(1, 4).Draw(t, "weight"))
		w.store(object.Pool, "desk", c.p)
	case 3:
		c.joined++
		if len(live) < 9 {
			w.join(fmt.Sprintf("new-%d", c.joined), n.member.DataCentre)
		}
	case 4:
		if len(live) > 5 && w.now-c.lastKill > recovery {
			c.lastKill = w.now
			n.leave()
		}
	case 5:
		if len(live) > 5 && w.now-c.lastKill > recovery {
			c.lastKill = w.now
			n.kill()
		}
	case 6:
		n.freeze(clock.Milli(rapid.IntRange(100, 8000).Draw(t, "freeze")))
	case 7:
		n.cutOff = !n.cutOff
	case 8:
		w.plat.down = !w.plat.down
	case 9:
		w.plat.delay = clock.Milli(rapid.IntRange(0, 1500).Draw(t, "delay"))
		w.plat.lose = rapid.IntRange(0, 2).Draw(t, "lost answers")
	}
	w.run(clock.Milli(rapid.IntRange(10, 4000).Draw(t, "pause")))
}

// TestChaos applies random sequences of edits, joins, stops, kills, freezes,
// cuts and platform faults, with messages lost, to a running system.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		w, p := today(seed, 300, 60, 80*clock.Second)
		w.loss = 0.05
		c := &chaos{w: w, p: p, lastKill: clock.Never}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			c.step(t)
		}
		w.plat.down, w.plat.delay, w.loss = false, 0, 0
		for _, n := range w.nodes {
			n.cutOff = false
		}
		w.run(30 * clock.Second)
		require.Zero(t, w.stats.wrongPool)
		require.Zero(t, w.stats.broken, w.why)
	})
}

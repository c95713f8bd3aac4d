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

// chaos applies random changes and failures. Within recoveryTime at most one
// daemon stops or is killed; any number of daemons may join, freeze or be cut
// off.
type chaos struct {
	w          *simulation
	pool       *schema.Pool
	joined     int
	lastLossAt clock.Milli
}

// recoveryTime is the time that the records of a lost daemon need to be
// stored at a second home again.
const recoveryTime = 6 * clock.Second

func (c *chaos) running() []*node {
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
	live := c.running()
	n := live[rapid.IntRange(0, len(live)-1).Draw(t, "daemon")]
	i := rapid.IntRange(0, len(c.pool.Targets)-1).Draw(t, "target")
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0:
		c.pool.Targets[i].Drain = !c.pool.Targets[i].Drain
		w.storeObject(object.Pool, "desk", c.pool)
	case 1:
		if len(c.pool.Targets) < 20 {
			storeNewTarget(w, c.pool)
		}
	case 2:
		c.pool.Targets[i].Weight = uint16(rapid.IntRange(1, 4).Draw(t, "weight"))
		w.storeObject(object.Pool, "desk", c.pool)
	case 3:
		c.joined++
		if len(live) < 9 {
			w.addDaemon(fmt.Sprintf("new-%d", c.joined), n.member.DataCentre)
		}
	case 4:
		if len(live) > 5 && w.now-c.lastLossAt > recoveryTime {
			c.lastLossAt = w.now
			n.leave()
		}
	case 5:
		if len(live) > 5 && w.now-c.lastLossAt > recoveryTime {
			c.lastLossAt = w.now
			n.kill()
		}
	case 6:
		n.freeze(clock.Milli(rapid.IntRange(100, 8000).Draw(t, "freeze")))
	case 7:
		n.cutOff = !n.cutOff
	case 8:
		w.platform.down = !w.platform.down
	case 9:
		w.platform.answerDelay = clock.Milli(rapid.IntRange(0, 1500).Draw(t, "delay"))
		w.platform.lostWriteAnswers = rapid.IntRange(0, 2).Draw(t, "lost answers")
	}
	w.run(clock.Milli(rapid.IntRange(10, 4000).Draw(t, "pause")))
}

// TestChaos applies random sequences of edits, joins, stops, kills, freezes,
// cuts and platform failures to a running system that also loses messages.
func TestChaos(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1000).Draw(t, "seed")
		w, p := newLoadedSimulation(seed, 300, 60, 80*clock.Second)
		w.lossRate = 0.05
		c := &chaos{w: w, pool: p, lastLossAt: clock.Never}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			c.step(t)
		}
		w.platform.down, w.platform.answerDelay, w.lossRate = false, 0, 0
		for _, n := range w.nodes {
			n.cutOff = false
		}
		w.run(30 * clock.Second)
		require.Zero(t, w.stats.wrongPool)
		require.Zero(t, w.stats.broken, w.failures)
	})
}

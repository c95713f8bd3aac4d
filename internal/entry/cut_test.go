package entry

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// Load: a daemon starts in a data centre that is out and cut off. Its peers
// found that no target takes their flows; if it became ready, the fabric would
// hand packets to all daemons there again. Found by trouble-3 of
// tordikandja-lb-grown: 1,200 requests late, as five daemons were restarted
// during such a cut.
func TestDaemonThatStartsInACutStaysOut(t *testing.T) {
	b := newBed(t)
	b.deploy()
	b.store.Put("evacuations", "a", struct{}{})
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := b.daemon
	now := d.clock.Now() + clock.Second
	seq := uint64(0)
	peers := map[schema.DataCentreID]netip.AddrPort{
		"a": netip.MustParseAddrPort("10.9.0.1:1"),
		"b": netip.MustParseAddrPort("10.9.1.1:1"),
	}
	hear := func(dc schema.DataCentreID, cut clock.Milli) {
		seq++
		d.take(peers[dc], &digest.Summary{ID: "vm-9", DataCentre: dc, Incarnation: 1, Seq: seq, Trouble: -1, Heard: -1, Cut: cut})
		now = d.clock.Now()
		d.judgeCut(now)
	}
	hear("a", -1)
	require.True(t, d.isReady(), "nobody found a cut")
	hear("a", 0)
	require.False(t, d.isReady())
	require.Positive(t, d.summary(now, nil, false).Cut, "told on, older by what the telling takes")
	hear("b", -1)
	require.True(t, d.isReady(), "another data centre is heard")
	require.Negative(t, d.summary(now, nil, false).Cut)
	hear("a", 0)
	require.True(t, d.isReady(), "it was heard just now")
}

// Load: the same, but this data centre's targets take new flows, or nobody
// found the cut lately.
func TestWordOfACutBindsOnlyDaemonsOfNoUse(t *testing.T) {
	b := newBed(t)
	b.deploy()
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := b.daemon
	now := d.clock.Now()
	d.crowd.TakeCut(now)
	d.judgeCut(now)
	require.True(t, d.isReady(), "its own target serves")
	b.store.Put("evacuations", "a", struct{}{})
	b.readOnce(t, fleet.Outs)
	d.judgeCut(now)
	require.False(t, d.isReady())
	d.judgeCut(now + 2*clock.Second)
	require.True(t, d.isReady(), "nobody found a cut since")
}

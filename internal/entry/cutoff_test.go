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

// A daemon starts in a data centre that is out and cut off from the others, and
// its peers there have found that no target accepts new flows. If it became
// ready, the fabric would send packets to all daemons of that data centre again.
// Restarting five daemons during such a partition once delayed 1,200 requests.
func TestDaemonStartedWhileCutOffStaysUnready(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	f.store.Put("evacuations", "a", struct{}{})
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := f.daemon
	now := d.clock.Now() + clock.Second
	seq := uint64(0)
	peers := map[schema.DataCentreID]netip.AddrPort{
		"a": netip.MustParseAddrPort("10.9.0.1:1"),
		"b": netip.MustParseAddrPort("10.9.1.1:1"),
	}
	hear := func(dc schema.DataCentreID, age clock.Milli) {
		seq++
		d.handleSummary(peers[dc], &digest.Summary{ID: "vm-9", DataCentre: dc, Incarnation: 1, Seq: seq, StoreFailureAge: -1, TargetAnswerAge: -1, CutOffAge: age})
		now = d.clock.Now()
		d.updateCutOff(now)
	}
	hear("a", -1)
	require.True(t, d.isReady(), "no peer reported being cut off")
	hear("a", 0)
	require.False(t, d.isReady())
	require.Positive(t, d.buildSummary(now, nil, false).CutOffAge, "the report is passed on, with its age increased by the transmission time")
	hear("b", -1)
	require.True(t, d.isReady(), "another data centre was heard")
	require.Negative(t, d.buildSummary(now, nil, false).CutOffAge)
	hear("a", 0)
	require.True(t, d.isReady(), "another data centre was heard recently")
}

// A peer's report that the data centre is cut off must not make a daemon
// unready if a target of the data centre accepts new flows, or if the report
// has expired.
func TestCutOffReportAppliesOnlyWithoutLocalTargets(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := f.daemon
	now := d.clock.Now()
	d.membership.RecordCutOffReport(now)
	d.updateCutOff(now)
	require.True(t, d.isReady(), "a local target accepts flows")
	f.store.Put("evacuations", "a", struct{}{})
	f.readTopics(t, fleet.Outs)
	d.updateCutOff(now)
	require.False(t, d.isReady())
	d.updateCutOff(now + 2*clock.Second)
	require.True(t, d.isReady(), "the report has expired")
}

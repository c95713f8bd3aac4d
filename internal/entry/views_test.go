package entry

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/platform"
)

// peerSummary returns the summary of a peer that holds what the daemon holds.
func (f *fixture) peerSummary(seq uint64) *digest.Summary {
	d := f.daemon
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.buildSummary(d.clock.Now(), nil, false)
	s.ID, s.Incarnation, s.Seq = "vm-2", 2, seq
	return s
}

// An operator must see which daemon holds an old version while it states the newest
// revision, and by which version each flow was decided.
func TestFleetViewNamesVersionsAndDifferences(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	d, from := f.daemon, netip.MustParseAddrPort("127.0.0.2:7720")
	same := f.peerSummary(1)
	d.handleSummary(from, same)
	b := d.belief(netip.AddrPort{})
	require.Len(t, b.Fleet, 1)
	require.Equal(t, int64(1), b.Fleet[0].ConfigVersion)
	require.Empty(t, b.Fleet[0].Differs)
	old := f.peerSummary(2)
	old.ConfigVersion = 0
	old.Topics[fleet.Config].Sum++
	d.handleSummary(from, old)
	b = d.belief(netip.AddrPort{})
	require.Equal(t, []string{"config"}, b.Fleet[0].Differs)
	require.Equal(t, uint64(1), d.metrics.viewsDiffer[fleet.Config].Get())
	s := flow.Segment{Open: true, Tuple: flow.Tuple{ServiceAddress: [4]byte{198, 18, 0, 1}, ServicePort: 80}}
	d.handlePacket(append(make([]byte, platform.PrefixSize), platform.EncodePacket(make([]byte, platform.MaxPacketSize), &s, false, false, nil)...), &s)
	d.log.close()
	require.Contains(t, f.log.String(), "config: version=1 table=2 before=0 revision=3 from=store")
	require.Contains(t, f.log.String(), "views: topic=config revision=3 differs from peer=vm-2")
	require.Contains(t, f.log.String(), "reason=opened version=1 table=2 config=3/")
}

// A version that can't be read must be named in the log however many lines other
// objects cause.
func TestUnreadableConfigurationIsNeverSampledOut(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	for range sampledBurst + 1 {
		f.daemon.log.sampledf("line")
	}
	f.store.Put("config", "main", "no table")
	f.readTopics(t, fleet.Config)
	f.daemon.log.close()
	require.Contains(t, f.log.String(), "config: left out:")
}

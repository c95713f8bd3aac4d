package entry

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/watch"
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
	require.Regexp(t, `proved=3/\d+ms/store entry=\d+/\d+ms`, f.log.String())
}

// TestProofIsNamedApartFromTheClaim guards against views that only claim to be complete:
// nothing would tell them from those that were shown to be (DRAIN, incident 38).
func TestProofIsNamedApartFromTheClaim(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := f.daemon
	rev := d.core.Replica().Rev(fleet.Targets)
	d.mu.Lock()
	now := d.clock.Now()
	d.finishRead(now, watch.Call{Topic: fleet.Targets, Since: rev, Wait: 1}, &fleet.Update{Topic: fleet.Targets, Since: rev, Rev: rev + 4}, nil)
	d.mu.Unlock()
	b := d.belief(netip.AddrPort{}).Topics[fleet.Targets]
	require.Equal(t, rev+4, b.Rev)
	require.Equal(t, rev, b.Proved)
	require.Equal(t, "store", b.ProvedBy)
	s := f.peerSummary(1)
	require.EqualValues(t, 4, s.Topics[fleet.Targets].Unproved)
	s.Topics[fleet.Targets].Unproved = 1
	d.handleSummary(netip.MustParseAddrPort("127.0.0.2:7720"), s)
	b = d.belief(netip.AddrPort{}).Topics[fleet.Targets]
	require.Equal(t, rev+3, b.Proved, "a peer with the same objects has proved more")
	require.Equal(t, "vm-2", b.ProvedBy)
	s.Topics[fleet.Targets].Unproved = rev + 5
	require.Error(t, s.Check())
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
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Config, fleet.Outs)
	require.False(t, f.daemon.isFresh(f.daemon.clock.Now()), "no flow is refused by an older version")
	f.deploy()
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	require.True(t, f.daemon.isFresh(f.daemon.clock.Now()))
	f.daemon.log.close()
	require.Equal(t, 1, strings.Count(f.log.String(), "config: left out:"))
}

// secondDaemon returns another daemon of the fixture's store.
func (f *fixture) secondDaemon(t *testing.T) *fixture {
	g := &fixture{store: f.store, log: &syncBuffer{}, cfg: f.cfg}
	g.cfg.ID, g.cfg.Data, g.cfg.Ready, g.cfg.Peer = "vm-2", freeAddr(t), freeAddr(t), freeAddr(t)
	d, err := g.newDaemon()
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	g.daemon = d
	return g
}

// servePulls serves the daemon's pulls until it is closed.
func (f *fixture) servePulls() {
	go func() { _ = http.Serve(f.daemon.pullListener, f.daemon.pullHandler()) }() // ends when the daemon closes the listener
}

// hear passes a daemon's summary to this one and makes the pull that follows from it,
// if any.
func (f *fixture) hear(t *testing.T, from *fixture) {
	d := from.daemon
	d.mu.Lock()
	s := d.buildSummary(d.clock.Now(), nil, false)
	d.mu.Unlock()
	f.daemon.handleSummary(d.cfg.Peer, s)
	select {
	case addr := <-f.daemon.pullQueue:
		require.NoError(t, f.daemon.pullFrom(t.Context(), &http.Client{Timeout: pullTimeout}, addr))
	default:
	}
}

// TestDaemonsAtOneRevisionMergeWhatTheyHold guards against one false claim that
// spreads: daemons that passed a change by a peer's word never got it (CONFIG, DRAIN
// and EVAC at all daemons but one).
func TestDaemonsAtOneRevisionMergeWhatTheyHold(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	g := f.secondDaemon(t)
	for _, x := range []*fixture{f, g} {
		x.servePulls()
		x.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	}
	passed := f.daemon.core.Replica().Rev(fleet.Targets) + 5
	for range 4 {
		f.store.Put("other", "x", time.Now().UnixNano())
	}
	f.store.Put("servers", "i-01", platform.NewTargetSpec("desk", "127.0.0.1:9", "a", 2, true, 1))
	f.store.Put("servers", "i-02", platform.NewTargetSpec("desk", "127.0.0.1:8", "a", 2, false, 1))
	f.store.Put("config", "main", platform.TableSpec{Version: 2})
	f.store.Put("evacuations", "z", struct{}{})
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	now := g.daemon.clock.Now()
	for topic := range fleet.Topics {
		rev := f.daemon.core.Replica().Rev(topic)
		require.Greater(t, rev, passed)
		g.daemon.apply(now, &fleet.Update{Topic: topic, Since: 1, Rev: rev}, "a watch that told nothing")
		g.daemon.reader.Advance(topic, rev, now-clock.Second)
	}
	g.daemon.reader.InvalidateAges()
	before := g.daemon.reader.OldestAge(g.daemon.clock.Now())
	g.hear(t, f)
	require.Equal(t, f.daemon.core.Replica().Sums(), g.daemon.core.Replica().Sums())
	require.True(t, g.daemon.core.Replica().Entry("i-01").Target.Draining)
	require.GreaterOrEqual(t, g.daemon.reader.OldestAge(g.daemon.clock.Now()), before, "a daemon that holds other objects confirms nothing")
	g.hear(t, f)
	require.Less(t, g.daemon.reader.OldestAge(g.daemon.clock.Now()), before)
	g.store.Drop("servers", "i-02")
	g.readTopics(t, fleet.Targets)
	f.daemon.apply(now, &fleet.Update{Topic: fleet.Targets, Since: 1, Rev: g.daemon.core.Replica().Rev(fleet.Targets)}, "a watch that told nothing")
	f.daemon.reader.Advance(fleet.Targets, g.daemon.core.Replica().Rev(fleet.Targets), now)
	g.hear(t, f)
	require.True(t, g.daemon.core.Replica().Entry("i-02").Gone, "a peer that missed the removal brings nothing back")
	f.hear(t, g)
	require.True(t, f.daemon.core.Replica().Entry("i-02").Gone)
}

// A process that stood still doubts its view until a read that began later confirms it,
// whatever the summaries say that waited meanwhile.
func TestPausedDaemonDoubtsItsView(t *testing.T) {
	f := newFixture(t)
	f.deploy()
	f.readTopics(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := f.daemon
	now := d.lastTick
	d.notePause(now + pauseThreshold)
	require.Equal(t, clock.Never, d.resumedAt, "no pause")
	now += clock.Second
	d.notePause(now)
	require.Equal(t, now, d.resumedAt)
	d.reader.Advance(fleet.Targets, d.core.Replica().Rev(fleet.Targets), now-5)
	d.endDoubt(now + 5)
	require.True(t, d.core.Doubtful())
	d.notePause(now + 10)
	require.Equal(t, now, d.resumedAt, "the same pause")
	d.reader.Advance(fleet.Targets, d.core.Replica().Rev(fleet.Targets), now+queuedSummaries+1)
	d.endDoubt(now + 200)
	require.False(t, d.core.Doubtful())
	d.core.SetDoubtful(true)
	d.reader.InvalidateAges()
	d.endDoubt(now + doubtTimeout + 1)
	require.False(t, d.core.Doubtful(), "the store and all peers are silent")
}

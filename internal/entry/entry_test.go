package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/fresh"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/transport/edge"
	"coltsfootdock/pkg/schema"
	"coltsfootdock/platform"
)

// safeBuffer is a log output that a test reads while it is written.
type safeBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *safeBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *safeBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// free returns a loopback address that is free for TCP and UDP.
func free(t *testing.T) netip.AddrPort {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		require.NoError(t, l.Close())
		if err == nil {
			require.NoError(t, u.Close())
			return addr
		}
	}
}

// bed is a daemon beside a stand-in store. Its duties do not run.
type bed struct {
	daemon *Daemon
	store  *plat.Platform
	log    *safeBuffer
	cfg    setup.Entry
	load   error
}

func newBed(t *testing.T) *bed {
	b := &bed{store: plat.New(), log: &safeBuffer{}}
	s := httptest.NewServer(b.store)
	t.Cleanup(s.Close)
	span := 3 * clock.Second
	b.cfg = setup.Entry{
		ID: "vm-1", DataCentre: "a",
		Store: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")),
		Bounds: setup.Bounds{
			Apply: span, Drain: span, Out: span, Grace: 2 * span, FlowLife: clock.Minute,
		},
	}
	var d *Daemon
	err := error(syscall.EADDRINUSE)
	for errors.Is(err, syscall.EADDRINUSE) { // another process may take a free port first
		b.cfg.Data, b.cfg.Ready, b.cfg.Peer = free(t), free(t), free(t)
		d, err = b.open()
	}
	require.NoError(t, err)
	t.Cleanup(func() { _ = d.Close() })
	b.daemon = d
	return b
}

// open makes a daemon with the bed's settings.
func (b *bed) open() (*Daemon, error) {
	cfg := b.cfg
	return New(&cfg, Wire{
		Packets: edge.Wire{
			Prefix: platform.PrefixSize, MaxPacket: platform.MaxPacket,
			Decode: platform.Decode, Address: platform.Address, Reset: platform.Reset, Client: platform.ClientAddress,
		},
		ReadyPath: "/ready",
		Load: func() (*setup.Entry, error) {
			cfg := b.cfg
			return &cfg, b.load
		},
	}, NewLogger(b.log))
}

func (b *bed) deploy() {
	b.store.Put("config", "main", platform.TableSpec{
		Version: 1, Routes: []platform.RouteSpec{platform.RouteEntry("r", "198.18.0.1", "80", "desk", true)},
	})
	b.store.Put("servers", "i-01", platform.TargetEntry("desk", "127.0.0.1:9", "a", 2, false, 1))
}

func (b *bed) isReady() int {
	w := httptest.NewRecorder()
	b.daemon.readyHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
	return w.Code
}

func TestReadyOnceTheDeploymentIsKnown(t *testing.T) {
	b := newBed(t)
	b.deploy()
	require.Equal(t, http.StatusServiceUnavailable, b.isReady())
	b.readOnce(t, fleet.Targets, fleet.Config)
	require.Equal(t, http.StatusServiceUnavailable, b.isReady())
	b.readOnce(t, fleet.Outs)
	require.Equal(t, http.StatusOK, b.isReady())
	b.daemon.leaving = true
	require.Equal(t, http.StatusServiceUnavailable, b.isReady())
}

// Load: all daemons were killed; packets come before the deployment is known.
func TestHeldPacketsAreDecidedOnceItIs(t *testing.T) {
	b := newBed(t)
	b.deploy()
	d := b.daemon
	s := flow.Segment{Open: true, Tuple: flow.Tuple{Address: [4]byte{198, 18, 0, 1}, Port: 80}}
	buf := append(make([]byte, platform.PrefixSize), platform.Pack(make([]byte, platform.MaxPacket), &s, false, false, nil)...)
	for range 2 * maxHeld {
		d.packet(buf, &s)
	}
	require.Len(t, d.held, maxHeld, "bounded")
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	require.Zero(t, len(d.held))
	require.Equal(t, http.StatusOK, b.isReady())
	d.log.close()
	require.Contains(t, b.log.String(), "target=i-01")
}

// readOnce lists topics, each once.
func (b *bed) readOnce(t *testing.T, topics ...fleet.Topic) {
	d := b.daemon
	for _, topic := range topics {
		began := d.clock.Now()
		c := fresh.Call{Topic: topic, List: true}
		u, err := d.read(t.Context(), c)
		require.NoError(t, err)
		d.mu.Lock()
		d.readDone(began, c, u, nil)
		d.mu.Unlock()
	}
}

func TestPeersGetWhatTheyLack(t *testing.T) {
	b := newBed(t)
	b.deploy()
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	get := func(query string) (int, []byte) {
		w := httptest.NewRecorder()
		b.daemon.newsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, newsPath+query, nil))
		body, err := io.ReadAll(w.Result().Body)
		require.NoError(t, err)
		return w.Code, body
	}
	code, body := get("?targets=0&config=0&outs=0")
	require.Equal(t, http.StatusOK, code)
	n, err := digest.Decode[digest.News](body)
	require.NoError(t, err)
	require.Len(t, n.Updates, 3)
	_, body = get("?targets=99&config=99&outs=99")
	n, err = digest.Decode[digest.News](body)
	require.NoError(t, err)
	require.Empty(t, n.Updates)
	code, _ = get("?targets=x&config=0&outs=0")
	require.Equal(t, http.StatusBadRequest, code)
}

// Load: the settings file is broken for a while, and changes what can't
// change.
// stuck is a peer that does not read what it is told.
type stuck struct {
	http.ResponseWriter
	began, goOn chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	s.began <- struct{}{}
	<-s.goOn
	return s.ResponseWriter.Write(p)
}

// Load: a new configuration is told to dozens of peers at once over a link of
// 10 Mbit/s. Flows' packets waited there for half a second (hunt-34e2-7 of
// lin-crest-grown).
func TestFewPeersAreToldNewsAtOnce(t *testing.T) {
	b := newBed(t)
	b.deploy()
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	h := b.daemon.newsHandler()
	ask := func(w http.ResponseWriter) {
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, newsPath+"?config=0&targets=0&outs=0", nil))
	}
	began, goOn := make(chan struct{}), make(chan struct{})
	var wg sync.WaitGroup
	for range maxServed {
		wg.Go(func() { ask(&stuck{ResponseWriter: httptest.NewRecorder(), began: began, goOn: goOn}) })
		<-began
	}
	w := httptest.NewRecorder()
	ask(w)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	close(goOn)
	wg.Wait()
	w = httptest.NewRecorder()
	ask(w)
	require.Equal(t, http.StatusOK, w.Code)
}

func TestReload(t *testing.T) {
	b := newBed(t)
	d := b.daemon
	b.load = errors.New("boot.toml:3: bad")
	b.cfg.Bounds.Apply = clock.Second
	d.Reload("signal")
	require.Equal(t, 3*clock.Second, d.cfg.Bounds.Apply, "settings that can't be used change nothing")
	b.load = nil
	b.cfg.ID = "other"
	d.Reload("signal")
	require.Equal(t, clock.Second, d.cfg.Bounds.Apply)
	require.Equal(t, "vm-1", string(d.cfg.ID))
	d.Reload("signal")
	d.log.close()
	text := b.log.String()
	require.Contains(t, text, "settings not taken: boot.toml:3: bad")
	require.Contains(t, text, "ID and addresses stay")
	require.Contains(t, text, "nothing changed")
}

// Load: the log's reader stands still while packets pour in.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	m := &meters{omitted: newMeters(&Daemon{}).omitted}
	l := newLines(NewLogger(w), "vm-1", m)
	for range 10 * ringLines {
		l.event("line")
	}
	require.Positive(t, m.omitted.Get())
	for range 1000 {
		l.sampled("line")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // the reader goes on
	l.close()
}

func FuzzMessages(f *testing.F) {
	good, err := digest.Encode(&digest.Summary{ID: "vm-1", DataCentre: "a"})
	require.NoError(f, err)
	news, err := digest.Encode(&digest.News{Updates: []fleet.Update{{Topic: fleet.Outs, Full: true, Rev: 3}}, Ages: []clock.Milli{5}})
	require.NoError(f, err)
	f.Add(good)
	f.Add(news)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := digest.Decode[digest.Summary](data); err == nil {
			require.NotEmpty(t, s.ID)
		}
		if n, err := digest.Decode[digest.News](data); err == nil {
			b := fleet.NewBook()
			for i := range n.Updates {
				b.Apply(1, &n.Updates[i])
			}
		}
	})
}

// Load: this daemon's data centre is cut off and its own targets are gone:
// new flows reach nobody from here, but would from other data centres.
func TestDaemonThatIsCutOffLeavesRotation(t *testing.T) {
	b := newBed(t)
	b.deploy()
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	d := b.daemon
	now := d.clock.Now() + clock.Second
	hear := func(seq uint64) {
		require.True(t, d.crowd.Summary(now, netip.MustParseAddrPort("10.9.0.1:1"), "vm-9", "b", 1, seq, false))
	}
	port := uint16(1000)
	entry := d.core.Book().Entry("i-01")
	old := flow.Segment{Tuple: flow.Tuple{ClientPort: 1, Address: [4]byte{198, 18, 0, 1}, Port: 80}, Ack: 1, Cookie: uint32(entry.Target.Code())}
	d.core.Decide(now, &old, true)
	opens := func() {
		for range 5 {
			port++
			s := flow.Segment{Open: true, Tuple: flow.Tuple{ClientPort: port, Address: [4]byte{198, 18, 0, 1}, Port: 80}}
			d.core.Decide(now, &s, true)
			s.Copy = 1
			d.core.Decide(now+200, &s, true)
		}
		now += 600
		// A flow from before goes on.
		old.Ack += 100
		d.core.Decide(now, &old, true)
		d.lastTick = now
	}
	hear(1)
	opens()
	d.judgeCut(now)
	require.True(t, d.isReady(), "other data centres are heard")
	now += 1000
	d.judgeCut(now)
	require.False(t, d.isReady())
	hear(2)
	d.judgeCut(now)
	require.True(t, d.isReady(), "heard again")
	now += 1000
	opens()
	d.judgeCut(now)
	require.False(t, d.isReady())
	now += cutFor + 1
	d.judgeCut(now)
	require.True(t, d.isReady(), "tries again: nobody else may be there")
}

func TestBeliefIsTold(t *testing.T) {
	b := newBed(t)
	b.deploy()
	b.readOnce(t, fleet.Targets, fleet.Config, fleet.Outs)
	s := flow.Segment{Open: true, Tuple: flow.Tuple{Client: [4]byte{100, 64, 0, 1}, ClientPort: 7, Address: [4]byte{198, 18, 0, 1}, Port: 80}}
	b.daemon.core.Decide(b.daemon.clock.Now()+1, &s, true)
	ask := func(query string) (int, *Belief) {
		w := httptest.NewRecorder()
		b.daemon.metrics.handler(b.daemon.beliefHandler).ServeHTTP(w, httptest.NewRequest(http.MethodGet, BeliefPath+query, nil))
		got := new(Belief)
		if w.Code == http.StatusOK {
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), got))
		}
		return w.Code, got
	}
	code, got := ask("?client=100.64.0.1:7")
	require.Equal(t, http.StatusOK, code)
	require.True(t, got.Ready)
	require.Len(t, got.Targets, 1)
	require.Len(t, got.Flows, 1)
	require.Equal(t, got.Targets[0].ID, got.Flows[0].Target)
	require.Len(t, got.Topics, int(fleet.Topics))
	code, got = ask("")
	require.Equal(t, http.StatusOK, code)
	require.Empty(t, got.Flows)
	code, _ = ask("?client=nobody")
	require.Equal(t, http.StatusBadRequest, code)
}

// Load: a daemon uses more targets than one datagram holds.
func TestLargeSummaryIsSentWithoutLoads(t *testing.T) {
	s := &digest.Summary{ID: "vm-1", DataCentre: "a", Seq: 1, Trouble: -1}
	for i := range 1000 {
		s.Loads = append(s.Loads, fleet.Load{Code: fleet.Code(1<<31 + i), Flows: 300, Busy: 9, Heard: 2000})
	}
	data := encodeSummary(s)
	require.LessOrEqual(t, len(data), digest.MaxSize)
	got, err := digest.Decode[digest.Summary](data)
	require.NoError(t, err)
	require.Empty(t, got.Loads)
	require.True(t, got.Misses, "it replaces no earlier loads")
	s.Loads = s.Loads[:100]
	got, err = digest.Decode[digest.Summary](encodeSummary(s))
	require.NoError(t, err)
	require.Len(t, got.Loads, 100)
}

// Load: a daemon that just started, with thousands of targets, is asked by one
// that is a little behind. It can't tell what was removed in between, and telling
// everything would be dear.
func TestNewDaemonTellsNotEverything(t *testing.T) {
	b := newBed(t)
	list := func(n int) {
		u := fleet.Update{Topic: fleet.Targets, Full: true, Rev: 1000}
		for i := range n {
			u.Targets = append(u.Targets, fleet.Target{ID: schema.TargetID(fmt.Sprintf("i-%05d", i)), Num: uint64(i), Born: 1, Rev: 10})
		}
		b.daemon.core.Apply(1, &u)
		b.daemon.reader.Learn(fleet.Targets, 1000, b.daemon.clock.Now())
	}
	list(maxWhole)
	since := [fleet.Topics]schema.Version{fleet.Targets: 990}
	n := b.daemon.newsSince(since, false, false)
	require.Len(t, n.Updates, 1)
	require.True(t, n.Updates[0].Full, "few targets are told whole")

	b = newBed(t)
	list(maxWhole + 1)
	require.Empty(t, b.daemon.newsSince(since, false, false).Updates)
	n = b.daemon.newsSince(since, false, true)
	require.Len(t, n.Updates, 1)
	require.Len(t, n.Updates[0].Targets, maxWhole+1, "one that nobody can tell the changes gets all")
	n = b.daemon.newsSince(since, true, false)
	require.Len(t, n.Updates, 1)
	require.Empty(t, n.Updates[0].Targets)
	require.Equal(t, schema.Version(990), n.Updates[0].Rev, "nothing beyond is told")
	require.Equal(t, clock.Milli(-1), n.Ages[0], "so its age says nothing")
	n = b.daemon.newsSince([fleet.Topics]schema.Version{}, false, false)
	require.Len(t, n.Updates[0].Targets, maxWhole+1, "one that knows nothing is told all")
	b.daemon.core.Apply(2, &fleet.Update{Topic: fleet.Targets, Since: 1000, Rev: 1002, Gone: []fleet.Gone{{Name: "i-00003", Rev: 1002}}})
	n = b.daemon.newsSince([fleet.Topics]schema.Version{fleet.Targets: 1001}, true, false)
	require.Equal(t, schema.Version(1002), n.Updates[0].Rev)
	require.Len(t, n.Updates[0].Gone, 1)
	require.Equal(t, uint64(3), n.Updates[0].Gone[0].Last.Num)
}

// Load: a daemon that stops does not run for a while. Packets that came meanwhile
// wait unread, so that the silence says nothing.
func TestStopAfterAPauseLooksForPackets(t *testing.T) {
	b := newBed(t)
	d := b.daemon
	d.leaving, d.leftAt = true, d.clock.Now()
	d.lastLook, d.lastPacket = d.leftAt, d.leftAt
	require.False(t, d.mayStop())
	d.clock.Skip(2 * clock.Second)
	require.False(t, d.mayStop(), "did not run")
	for range 5 {
		d.clock.Skip(quietFor / 4)
		if d.mayStop() {
			return
		}
	}
	t.Fatal("does not stop although no packet came")
}

// Package entry runs an entry daemon for flows that carry a cookie. It connects
// the decision logic of packages steer and watch, which do no I/O, to sockets,
// timers and the platform's store.
//
// One mutex guards the decision state and is held while one event is handled.
// The I/O runs in supervised services. The decision logic requests work from
// them through bounded channels.
package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/transport/edge"
	"coltsfootdock/internal/transport/sock"
)

const (
	tickInterval = 25 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process is
	// assumed to have been paused.
	pauseThreshold = 400 * clock.Milli(1)
	// peerBufferBytes is the socket buffer size for summaries, enough for a
	// burst from many peers.
	peerBufferBytes = 256 << 10
)

// PlatformAdapter is the platform's side of the daemon: its packet format, its readiness
// path and its settings.
type PlatformAdapter struct {
	Packets edge.Format
	// ReadyPath is the HTTP path at which the platform checks whether the daemon
	// accepts packets.
	ReadyPath string
	// LoadSettings reads the settings again.
	LoadSettings func() (*setup.Entry, error)
	// Start states when the steps of the start before New ended.
	Start ProcessStart
}

// Daemon is one entry daemon.
type Daemon struct {
	// cfg holds the settings in force.
	cfg *setup.Entry
	// loaded holds the settings as last read. It differs from cfg in the
	// settings that can't change while the daemon runs.
	loaded       *setup.Entry
	adapter      PlatformAdapter
	log          *asyncLog
	clock        *clock.Clock
	suspendMeter *clock.SuspendMeter
	metrics      *instruments

	// mu guards the decision state: the fields below up to startup.
	mu          sync.Mutex
	core        *steer.Core
	reader      *watch.Reader
	membership  *watch.PeerSet
	incarnation uint64
	// learnedFrom tells from whom the last change of each topic came: "store" or a
	// peer's address.
	learnedFrom [fleet.Topics]string
	// provedBy tells from whom the last proof of each topic came: "store", a peer's
	// ID or its address.
	provedBy [fleet.Topics]string
	// configUnread is set while the store's configuration can't be decoded, so that
	// the one in force is an older one.
	configUnread bool
	// seq is the sequence number of the last summary.
	seq      uint64
	lastTick clock.Milli
	// startedAt is when this daemon was created.
	startedAt clock.Milli
	// resumedAt is when this process last ran again after a pause, Never if it did
	// not pause.
	resumedAt clock.Milli
	// removalsPulled is set once a peer sent the removed targets that it
	// remembers.
	removalsPulled bool
	// cutOffSince is when this daemon found itself cut off, Never if it is not.
	cutOffSince clock.Milli
	// reportedCutOff is set while a peer's finding that this data centre is cut
	// off applies to this daemon.
	reportedCutOff bool
	// lastRegularSummary is when a summary with all loads was last sent,
	// lastSummary when any was.
	lastRegularSummary clock.Milli
	lastSummary        clock.Milli
	// summaryUrgent is set if the next summary should not wait for the regular
	// interval.
	summaryUrgent bool
	// storeFailedAt is when the store last failed, Never if it answered since.
	storeFailedAt clock.Milli
	// resets sums up the resets of open flows for the log.
	resets map[resetCause]*resetSum
	held   []heldPacket
	queued packetQueue
	// leaving is set during a graceful stop.
	leaving bool
	// leftAt is when the graceful stop began, lastStopCheck when mayStop was
	// last called.
	leftAt        clock.Milli
	lastStopCheck clock.Milli
	// lastPoolLog is when the pools that are short of capacity were last logged.
	lastPoolLog clock.Milli
	// lastPacket is when the last packet of a flow arrived.
	lastPacket clock.Milli
	wasReady   bool
	// wasKnown is set once the daemon knew the deployment.
	wasKnown bool
	startup  startup

	// lastConfigErrors is what was left out of the configuration when it was last
	// read. Only the reading goroutine uses it.
	lastConfigErrors string
	dataPlane        *edge.Plane
	peerConn         *sock.UDP
	// sendToPeer sends a message to a peer, deliver a packet to a target, reset the
	// reset of a flow to its client.
	sendToPeer      func(data []byte, to netip.AddrPort)
	deliver         func(b []byte, t *steer.Target)
	reset           func(e *steer.FlowReset)
	readyListener   net.Listener
	pullListener    net.Listener
	metricsListener net.Listener
	storeCalls      chan watch.Call
	pullQueue       chan netip.AddrPort
	probeQueue      chan steer.Probe
	leave           chan struct{}
	leaveOnce       sync.Once
	store           *object.Client
}

// New opens the sockets of a daemon. Call Serve to run it.
func New(cfg *setup.Entry, adapter PlatformAdapter, log *logrus.Logger) (*Daemon, error) {
	d := newDaemon(cfg, adapter, log, clock.New(), uint64(time.Now().UnixNano()))
	d.startup.recordProcess(d.clock.Now(), clock.SinceProcessStart(), adapter.Start)
	if err := d.listen(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	d.startup.end(stepSockets, d.clock.Now())
	return d, nil
}

// newDaemon returns a daemon without sockets. The incarnation differs between the
// starts of daemons.
func newDaemon(cfg *setup.Entry, adapter PlatformAdapter, log *logrus.Logger, c *clock.Clock, incarnation uint64) *Daemon {
	d := &Daemon{
		cfg:                cfg,
		adapter:            adapter,
		clock:              c,
		suspendMeter:       clock.NewSuspendMeter(),
		core:               steer.New(cfg.DataCentre, incarnation),
		reader:             watch.New(tightestBound(cfg.Bounds), incarnation),
		incarnation:        incarnation,
		lastRegularSummary: clock.Never,
		lastSummary:        clock.Never,
		lastPoolLog:        clock.Never,
		lastPacket:         clock.Never,
		cutOffSince:        clock.Never,
		resumedAt:          clock.Never,
		storeFailedAt:      clock.Never,
		storeCalls:         make(chan watch.Call, 1),
		pullQueue:          make(chan netip.AddrPort, 1),
		probeQueue:         make(chan steer.Probe, steer.MaxProbes),
		leave:              make(chan struct{}),
		resets:             make(map[resetCause]*resetSum),
		queued:             packetQueue{flows: make(map[flow.Tuple][]queuedPacket)},
		store:              object.NewClient("http://" + cfg.Store.String()),
	}
	d.core.SetUnconfirmed(true)
	d.sendToPeer, d.deliver, d.reset = d.send, d.sendToTarget, d.sendReset
	d.metrics = newInstruments(d)
	d.log = newAsyncLog(log, string(cfg.ID), d.metrics)
	d.membership = watch.NewPeerSet(cfg.Peer, cfg.DataCentre, seedAddrs(cfg), incarnation)
	d.applyLimits()
	d.lastTick = d.clock.Now()
	d.startup = newStartup(d.lastTick)
	d.startedAt = d.lastTick
	if !d.membership.Empty() {
		d.reader.AwaitPeers(d.lastTick) // a pull from a peer spares the store a full read
	}
	loaded := *cfg
	d.loaded = &loaded
	d.core.SetAdmitter(func(code fleet.Code) bool { return d.membership.Admits(d.lastTick, code) }, 1, d.membership.Sharers(d.lastTick))
	return d
}

// topicBounds returns the time within which a change of each topic must be in force.
func topicBounds(b setup.Bounds) [fleet.Topics]clock.Milli {
	return [fleet.Topics]clock.Milli{fleet.Targets: b.Drain, fleet.Config: b.Apply, fleet.Outs: b.Out}
}

// tightestBound returns the time within which every kind of update must be in
// force.
func tightestBound(b setup.Bounds) clock.Milli {
	return min(b.Apply, b.Drain, b.Out)
}

// seedAddrs returns the addresses at which the seeds receive summaries. All
// daemons use the same peer port.
func seedAddrs(cfg *setup.Entry) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, s := range cfg.Seeds {
		addrs = append(addrs, netip.AddrPortFrom(s, cfg.Peer.Port()))
	}
	return addrs
}

// listen opens all sockets. After an error, Close closes those that are open.
func (d *Daemon) listen() error {
	var err error
	if d.dataPlane, err = edge.Listen(d.cfg.Data, d.adapter.Packets, d.handlePacket, d.metrics.dataPlaneCounters()); err != nil {
		return err
	}
	if d.peerConn, err = sock.Listen("udp4", d.cfg.Peer, peerBufferBytes); err != nil {
		return err
	}
	if d.pullListener, err = net.Listen("tcp4", d.cfg.Peer.String()); err != nil {
		return err
	}
	if d.cfg.Metrics.IsValid() {
		if d.metricsListener, err = net.Listen("tcp4", d.cfg.Metrics.String()); err != nil {
			return err
		}
	}
	d.readyListener, err = net.Listen("tcp4", d.cfg.Ready.String())
	return err
}

// Close closes the sockets and flushes the log.
func (d *Daemon) Close() error {
	var closers []interface{ Close() error }
	if d.dataPlane != nil {
		closers = append(closers, d.dataPlane)
	}
	if d.peerConn != nil {
		closers = append(closers, d.peerConn)
	}
	for _, l := range []net.Listener{d.pullListener, d.metricsListener, d.readyListener} {
		if l != nil {
			closers = append(closers, l)
		}
	}
	err := duty.CloseAll(closers...)
	d.store.Close()
	d.log.close()
	return err
}

// Leave starts a graceful stop: the daemon reports not ready, handles the
// packets that still arrive, and ends once they cease or the grace period does.
func (d *Daemon) Leave() {
	d.leaveOnce.Do(func() { close(d.leave) })
}

// Serve runs the daemon until ctx ends or a graceful stop completes.
func (d *Daemon) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sup := suture.New("entry", suture.Spec{EventHook: func(e suture.Event) { d.log.infof("supervisor: %s", e) }})
	sup.Add(duty.Duty{Name: "packets", Run: d.dataPlane.Serve})
	sup.Add(duty.Duty{Name: "time", Run: d.runTicks})
	sup.Add(duty.Duty{Name: "reader", Run: d.runStoreReads})
	sup.Add(duty.Duty{Name: "peers", Run: d.receiveSummaries})
	sup.Add(duty.Duty{Name: "puller", Run: d.runPulls})
	for range proberCount {
		sup.Add(duty.Duty{Name: "prober", Run: d.runProbes})
	}
	sup.Add(duty.Duty{Name: "settings", Run: d.watchSettings})
	sup.Add(duty.Duty{Name: "ready", Run: duty.HTTP(d.readyListener, d.readyHandler())})
	sup.Add(duty.Duty{Name: "news", Run: duty.HTTP(d.pullListener, d.pullHandler())})
	if d.metricsListener != nil {
		sup.Add(duty.Duty{Name: "metrics", Run: duty.HTTP(d.metricsListener, d.metrics.handler(d.beliefHandler, d.writePoolMetrics))})
	}
	go d.awaitLeave(ctx, cancel)
	d.log.infof("start: incarnation=%d data=%s peer=%s store=%s seeds=%d bound=%dms",
		d.incarnation, d.cfg.Data, d.cfg.Peer, d.cfg.Store, len(d.cfg.Seeds), tightestBound(d.cfg.Bounds))
	err := sup.Serve(ctx)
	d.flushAllResets()
	d.log.infof("stop: done")
	err = errors.Join(err, d.Close())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// handlePacket decides one packet of the fabric and executes the verdict.
func (d *Daemon) handlePacket(b []byte, s *flow.Segment) {
	d.mu.Lock()
	now := d.clock.Now()
	d.lastPacket = now
	d.notePause(now)
	v := d.core.Decide(now, s, d.isFresh(now))
	d.execute(now, b, s, v)
	d.forwardReleased(d.core.Releases(now))
	d.mu.Unlock()
}

// isFresh reports whether configuration and targets were confirmed recently
// enough to refuse flows based on them.
func (d *Daemon) isFresh(now clock.Milli) bool {
	return !d.configUnread && d.reader.Fresh(now, fleet.Config) && d.reader.Fresh(now, fleet.Targets)
}

// execute executes the verdict on a packet. The caller holds d.mu.
func (d *Daemon) execute(now clock.Milli, b []byte, s *flow.Segment, v steer.Verdict) {
	d.metrics.countVerdict(&v)
	switch v.Action {
	case steer.Deliver:
		d.deliver(b, v.Target)
		d.startup.end(stepPacket, now)
	case steer.Reset:
		d.reset(&steer.FlowReset{Tuple: s.Tuple, Ack: s.Ack, Target: v.Target, Reason: v.Reason})
		if v.Target != nil { // the flow is open
			d.recordResetVerdict(now, s, &v)
		}
	case steer.Hold:
		d.hold(now, b, s)
		d.reader.EndAwait()
	case steer.Queue:
		d.queue(b, s)
	}
	if v.Changed {
		d.log.decision(now, s, &v, d.logView(now))
	}
}

func (d *Daemon) sendToTarget(b []byte, t *steer.Target) {
	d.dataPlane.Deliver(b, t.Address, t.Number, uint32(t.Code))
}

func (d *Daemon) sendReset(e *steer.FlowReset) { d.dataPlane.Reset(&e.Tuple, e.Ack) }

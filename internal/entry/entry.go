// Package entry runs an entry daemon for flows that carry a cookie: the
// sockets and duties around the decisions of steer and fresh.
//
// One lock guards the decisions and is held for one event. Duties are
// supervised services; what the decisions ask for reaches them through
// bounded rings.
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
	"coltsfootdock/internal/coordination/fresh"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/transport/edge"
	"coltsfootdock/internal/transport/sock"
)

const (
	tickEvery = 25 * time.Millisecond
	// pauseLimit is the time between two ticks that means this process did
	// not run.
	pauseLimit = 400 * clock.Milli(1)
	// peerBuffer holds the summaries of a large crowd.
	peerBuffer = 256 << 10
)

// Wire is the platform's side of the daemon.
type Wire struct {
	Packets edge.Wire
	// ReadyPath is where the platform asks whether the daemon takes packets.
	ReadyPath string
	// Load reads the settings again.
	Load func() (*setup.Entry, error)
}

// Daemon is one entry daemon.
type Daemon struct {
	cfg *setup.Entry
	// loaded are the settings as they were last read; cfg may differ in what
	// can't change while the daemon runs.
	loaded  *setup.Entry
	wire    Wire
	log     *lines
	clock   *clock.Clock
	suspend *clock.Suspend
	metrics *meters

	mu          sync.Mutex
	core        *steer.Core
	reader      *fresh.Reader
	crowd       *fresh.Crowd
	incarnation uint64
	seq         uint64
	lastTick    clock.Milli
	// recalled is set once a peer told the targets that are gone.
	recalled bool
	// cutAt is since when this daemon is of no use to new flows.
	cutAt clock.Milli
	// toldCut is set while that is known from peers.
	toldCut bool
	// lastTell is when loads were last told, lastNews when anything was.
	lastTell clock.Milli
	lastNews clock.Milli
	news     bool
	troubled clock.Milli
	held     []heldPacket
	leaving  bool
	// leftAt is when a graceful stop began, lastLook when it was last asked whether
	// packets still come.
	leftAt     clock.Milli
	lastLook   clock.Milli
	lastPacket clock.Milli
	wasReady   bool

	plane  *edge.Plane
	peers  *sock.UDP
	ready  net.Listener
	pull   net.Listener
	gauge  net.Listener
	calls  chan fresh.Call
	pulls  chan netip.AddrPort
	probes chan steer.Probe
	leave  chan struct{}
	once   sync.Once
	store  *object.Client
}

// New opens the sockets of a daemon. It runs once Serve is called.
func New(cfg *setup.Entry, w Wire, log *logrus.Logger) (*Daemon, error) {
	incarnation := uint64(time.Now().UnixNano())
	d := &Daemon{
		cfg:         cfg,
		wire:        w,
		clock:       clock.New(),
		suspend:     clock.NewSuspend(),
		core:        steer.New(cfg.DataCentre, incarnation),
		reader:      fresh.New(tightest(cfg.Bounds), incarnation),
		incarnation: incarnation,
		lastTell:    clock.Never,
		lastNews:    clock.Never,
		lastPacket:  clock.Never,
		cutAt:       clock.Never,
		troubled:    clock.Never,
		calls:       make(chan fresh.Call, 1),
		pulls:       make(chan netip.AddrPort, 1),
		probes:      make(chan steer.Probe, steer.MaxProbes),
		leave:       make(chan struct{}),
		store:       object.NewClient("http://"+cfg.Store.String(), object.WithTimeout(callTimeout)),
	}
	d.metrics = newMeters(d)
	d.log = newLines(log, string(cfg.ID), d.metrics)
	d.crowd = fresh.NewCrowd(cfg.Peer, cfg.DataCentre, seedAddrs(cfg), incarnation)
	d.useLimits()
	d.lastTick = d.clock.Now()
	if !d.crowd.Alone() {
		d.reader.Await(d.lastTick)
	}
	loaded := *cfg
	d.loaded = &loaded
	d.core.SetAdmitter(func(code fleet.Code) bool { return d.crowd.Admits(d.lastTick, code) }, 1)
	if err := d.open(); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// tightest returns the span within which every kind of news must be in force.
func tightest(b setup.Bounds) clock.Milli {
	return min(b.Apply, b.Drain, b.Out)
}

// seedAddrs returns where the seeds receive other daemons: all daemons use
// the same port.
func seedAddrs(cfg *setup.Entry) []netip.AddrPort {
	var list []netip.AddrPort
	for _, s := range cfg.Seeds {
		list = append(list, netip.AddrPortFrom(s, cfg.Peer.Port()))
	}
	return list
}

func (d *Daemon) open() error {
	var err error
	if d.plane, err = edge.Listen(d.cfg.Data, d.wire.Packets, d.packet, d.metrics.plane()); err != nil {
		return err
	}
	if d.peers, err = sock.Listen("udp4", d.cfg.Peer, peerBuffer); err != nil {
		return err
	}
	if d.pull, err = net.Listen("tcp4", d.cfg.Peer.String()); err != nil {
		return err
	}
	if d.cfg.Metrics.IsValid() {
		if d.gauge, err = net.Listen("tcp4", d.cfg.Metrics.String()); err != nil {
			return err
		}
	}
	d.ready, err = net.Listen("tcp4", d.cfg.Ready.String())
	return err
}

// Close frees the sockets.
func (d *Daemon) Close() error {
	var open []interface{ Close() error }
	if d.plane != nil {
		open = append(open, d.plane)
	}
	if d.peers != nil {
		open = append(open, d.peers)
	}
	for _, l := range []net.Listener{d.pull, d.gauge, d.ready} {
		if l != nil {
			open = append(open, l)
		}
	}
	err := duty.CloseAll(open...)
	d.store.Close()
	d.log.close()
	return err
}

// Leave starts a graceful stop: the daemon tells the platform to send no more
// packets, passes those that come, and ends when they cease.
func (d *Daemon) Leave() {
	d.once.Do(func() { close(d.leave) })
}

// Serve runs the daemon until ctx ends or a graceful stop is done.
func (d *Daemon) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sup := suture.New("entry", suture.Spec{EventHook: func(e suture.Event) { d.log.event("supervisor: %s", e) }})
	sup.Add(duty.Duty{Name: "packets", Run: d.plane.Serve})
	sup.Add(duty.Duty{Name: "time", Run: d.ticks})
	sup.Add(duty.Duty{Name: "reader", Run: d.reads})
	sup.Add(duty.Duty{Name: "peers", Run: d.hear})
	sup.Add(duty.Duty{Name: "puller", Run: d.pullNews})
	for range probers {
		sup.Add(duty.Duty{Name: "prober", Run: d.probe})
	}
	sup.Add(duty.Duty{Name: "settings", Run: d.watchSettings})
	sup.Add(duty.Duty{Name: "ready", Run: duty.HTTP(d.ready, d.readyHandler())})
	sup.Add(duty.Duty{Name: "news", Run: duty.HTTP(d.pull, d.newsHandler())})
	if d.gauge != nil {
		sup.Add(duty.Duty{Name: "metrics", Run: duty.HTTP(d.gauge, d.metrics.handler(d.beliefHandler))})
	}
	go d.awaitLeave(ctx, cancel)
	d.log.event("start: incarnation=%d data=%s peer=%s store=%s seeds=%d bound=%dms",
		d.incarnation, d.cfg.Data, d.cfg.Peer, d.cfg.Store, len(d.cfg.Seeds), tightest(d.cfg.Bounds))
	err := sup.Serve(ctx)
	d.log.event("stop: done")
	err = errors.Join(err, d.Close())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// packet handles one packet of the fabric.
func (d *Daemon) packet(b []byte, s *flow.Segment) {
	d.mu.Lock()
	now := d.clock.Now()
	d.lastPacket = now
	v := d.core.Decide(now, s, d.fresh(now))
	d.act(now, b, s, v)
	d.mu.Unlock()
}

// fresh reports whether configuration and targets are confirmed recently
// enough to refuse by them.
func (d *Daemon) fresh(now clock.Milli) bool {
	return d.reader.Fresh(now, fleet.Config) && d.reader.Fresh(now, fleet.Targets)
}

// act carries out a verdict. The lock is held.
func (d *Daemon) act(now clock.Milli, b []byte, s *flow.Segment, v steer.Verdict) {
	d.metrics.verdict(&v)
	switch v.Action {
	case steer.Deliver:
		d.plane.Deliver(b, v.Target.Address, v.Target.Num, uint32(v.Target.Code))
	case steer.Reset:
		d.plane.Reset(&s.Tuple, s.Ack)
	case steer.Hold:
		d.hold(now, b, s)
		d.reader.Want()
	}
	if v.Changed {
		d.log.decision(s, &v, d.reader.Age(now, fleet.Config), d.reader.Age(now, fleet.Targets), d.core.Book().Revs())
	}
}

// Package demo runs a complete system in one process: the platform, the fabric, the
// targets and the daemons are supervised services, with real sessions through them.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"coltsfootdock/internal/serve"
	"coltsfootdock/internal/setup"
	"coltsfootdock/internal/standin/fabric"
	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/standin/target"
	"coltsfootdock/pkg/client"
	"coltsfootdock/pkg/schema"
)

// Deployment describes the size of a system.
type Deployment struct {
	Name        string
	DataCentres []schema.DataCentreID
	Daemons     int
	// Desk and Proof are the numbers of targets in the two pools, DeskSlots is the
	// number of concurrent requests of each target.
	Desk      int
	DeskSlots int
	Proof     int
}

// Deployments are the built-in deployments. Their sizes are those of the first
// users' systems.
var Deployments = map[string]Deployment{
	"lin":    {Name: "lin", DataCentres: []schema.DataCentreID{"taipei", "taichung", "tainan"}, Daemons: 7, Desk: 14, DeskSlots: 4, Proof: 4},
	"caroni": {Name: "caroni", DataCentres: []schema.DataCentreID{"port-of-spain", "chaguanas", "san-fernando"}, Daemons: 6, Desk: 14, DeskSlots: 2, Proof: 4},
}

const (
	deskName     = "desk"
	proofName    = "proof"
	deskVNI      = 101
	proofVNI     = 102
	fabricLag    = 300 * time.Millisecond
	idleSeconds  = 60
	leaveSeconds = 2
)

// The two routes. Their service addresses need not be routable, because packets for
// them are encapsulated in Geneve.
var (
	deskRoute  = schema.Route{Name: deskName, Address: netip.MustParseAddr("198.51.100.1"), Port: 443, Protocol: schema.QUIC}
	proofRoute = schema.Route{Name: proofName, Address: netip.MustParseAddr("198.51.100.2"), Port: 443, Protocol: schema.QUIC}
)

// system is a running deployment.
type system struct {
	ctx      context.Context
	sup      *suture.Supervisor
	log      *logrus.Logger
	platform *plat.Server
	fabric   *fabric.Fabric
	targets  []*target.Target
	pools    [2]schema.Pool
	settings []setup.Settings
	daemons  []*serve.Daemon
	tokens   []suture.ServiceToken
	api      *client.Client
}

// freeAddrs returns n loopback addresses that are free for TCP and UDP. It holds
// all of them open until it has enough, so that none is returned twice.
func freeAddrs(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	var sockets []io.Closer
	defer func() {
		for _, c := range sockets {
			_ = c.Close()
		}
	}()
	for len(list) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		sockets = append(sockets, l)
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			continue // the UDP port is taken
		}
		sockets = append(sockets, u)
		list = append(list, addr)
	}
	return list, nil
}

// start creates and starts the system of a deployment.
func start(ctx context.Context, d Deployment, log *logrus.Logger) (*system, error) {
	s := &system{ctx: ctx, log: log}
	s.sup = suture.New("demo", suture.Spec{EventHook: func(e suture.Event) { log.Debugf("demo: %s", e) }})
	s.sup.ServeBackground(ctx)
	addrs, err := freeAddrs(3*d.Daemons + 2*(d.Desk+d.Proof))
	if err != nil {
		return nil, err
	}
	nextAddr := func() netip.AddrPort {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	if s.platform, err = plat.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.sup.Add(s.platform)
	s.pools[0] = schema.Pool{Name: deskName, VNI: deskVNI}
	s.pools[1] = schema.Pool{Name: proofName, VNI: proofVNI}
	for i := range d.Desk {
		if err := s.addTarget(&s.pools[0], d, i, d.DeskSlots, nextAddr); err != nil {
			return nil, err
		}
	}
	for i := range d.Proof {
		if err := s.addTarget(&s.pools[1], d, i, d.DeskSlots, nextAddr); err != nil {
			return nil, err
		}
	}
	for i := range d.Daemons {
		cfg := setup.Defaults()
		cfg.ID = schema.VMID(fmt.Sprintf("vm-%d", i+1))
		cfg.DataCentre = d.DataCentres[i%len(d.DataCentres)]
		cfg.Data, cfg.Peer, cfg.Admin = nextAddr(), nextAddr(), nextAddr()
		cfg.Platform = s.platform.URL()
		cfg.IdleSeconds, cfg.LeaveSeconds = idleSeconds, leaveSeconds
		s.settings = append(s.settings, cfg)
		s.daemons = append(s.daemons, nil)
		s.tokens = append(s.tokens, suture.ServiceToken{})
		if err := s.startDaemon(i); err != nil {
			return nil, err
		}
	}
	if s.fabric, err = fabric.Listen(netip.MustParseAddrPort("127.0.0.1:0"), s.platform.URL(), fabricLag, 1); err != nil {
		return nil, err
	}
	s.sup.Add(s.fabric)
	var bases []string
	for _, cfg := range s.settings {
		bases = append(bases, "http://"+cfg.Admin.String())
	}
	s.api = client.New(bases)
	return s, nil
}

func (s *system) addTarget(p *schema.Pool, d Deployment, i, slots int, nextAddr func() netip.AddrPort) error {
	t := schema.Target{
		ID:         schema.TargetID(fmt.Sprintf("%s-%d", p.Name, i+1)),
		Address:    nextAddr(),
		Health:     nextAddr(),
		DataCentre: d.DataCentres[i%len(d.DataCentres)],
	}
	run, err := target.Listen(target.Config{ID: t.ID, Pool: p.Name, VNI: p.VNI, Address: t.Address, Health: t.Health, Slots: slots})
	if err != nil {
		return err
	}
	p.Targets = append(p.Targets, t)
	s.targets = append(s.targets, run)
	s.sup.Add(run)
	return nil
}

func (s *system) startDaemon(i int) error {
	d, err := serve.New(s.settings[i], serve.WithLogger(s.log))
	if err != nil {
		return err
	}
	s.daemons[i] = d
	s.tokens[i] = s.sup.Add(noRestart{d})
	return nil
}

// noRestart is a service that is not restarted when it ends without an error.
type noRestart struct {
	*serve.Daemon
}

// Serve implements suture.Service.
func (o noRestart) Serve(ctx context.Context) error {
	if err := o.Daemon.Serve(ctx); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// configure writes the routes and pools and waits until sessions can be opened.
func (s *system) configure() error {
	e := client.Edit{}
	if err := s.await("daemons to answer", func() bool {
		st, err := s.api.Status(s.ctx)
		return err == nil && len(st.Daemons) == len(s.daemons) && s.fabric.DaemonCount() == len(s.daemons)
	}); err != nil {
		return err
	}
	for _, r := range []schema.Route{deskRoute, proofRoute} {
		if _, err := client.Put(s.ctx, s.api, r.Name, r, e); err != nil {
			return err
		}
	}
	for _, p := range s.pools {
		if _, err := client.Put(s.ctx, s.api, p.Name, p, e); err != nil {
			return err
		}
	}
	return s.await("the placements", func() bool {
		st, err := s.api.Status(s.ctx)
		if err != nil || len(st.Services) != 2 {
			return false
		}
		return st.Services[0].Placement != 0 && st.Services[1].Placement != 0
	})
}

const (
	awaitTimeout  = 12 * time.Second
	awaitInterval = 100 * time.Millisecond
)

func (s *system) await(what string, ready func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !ready() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %s for %s", awaitTimeout, what)
		}
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-time.After(awaitInterval):
		}
	}
	return nil
}

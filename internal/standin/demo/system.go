// Package demo runs a whole system in one process: platform, fabric, targets
// and daemons as supervised services, with real sessions through them.
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

// Deployment is the shape of a system.
type Deployment struct {
	Name        string
	DataCentres []schema.DataCentreID
	Daemons     int
	Desk        int
	DeskSlots   int
	Proof       int
}

// Deployments are the built-in ones, with the sizes of the first users.
var Deployments = map[string]Deployment{
	"lin":    {Name: "lin", DataCentres: []schema.DataCentreID{"taipei", "taichung", "tainan"}, Daemons: 7, Desk: 14, DeskSlots: 4, Proof: 4},
	"caroni": {Name: "caroni", DataCentres: []schema.DataCentreID{"port-of-spain", "chaguanas", "san-fernando"}, Daemons: 6, Desk: 14, DeskSlots: 2, Proof: 4},
}

const (
	deskName   = "desk"
	proofName  = "proof"
	deskVNI    = 101
	proofVNI   = 102
	fabricLag  = 300 * time.Millisecond
	idleLimit  = 60
	leaveLimit = 2
)

// Service addresses of the two routes. They are never on a wire: packets for
// them travel inside Geneve.
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

// ports returns n free addresses on the loopback interface.
func ports(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	var held []io.Closer
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for len(list) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			continue // the UDP port is taken
		}
		held = append(held, u)
		list = append(list, addr)
	}
	return list, nil
}

// start builds the system of a deployment.
func start(ctx context.Context, d Deployment, log *logrus.Logger) (*system, error) {
	s := &system{ctx: ctx, log: log}
	s.sup = suture.New("demo", suture.Spec{EventHook: func(e suture.Event) { log.Debugf("demo: %s", e) }})
	s.sup.ServeBackground(ctx)
	addrs, err := ports(3*d.Daemons + 2*(d.Desk+d.Proof))
	if err != nil {
		return nil, err
	}
	take := func() netip.AddrPort {
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
		if err := s.addTarget(&s.pools[0], d, i, d.DeskSlots, take); err != nil {
			return nil, err
		}
	}
	for i := range d.Proof {
		if err := s.addTarget(&s.pools[1], d, i, d.DeskSlots, take); err != nil {
			return nil, err
		}
	}
	for i := range d.Daemons {
		cfg := setup.Defaults()
		cfg.ID = schema.VMID(fmt.Sprintf("vm-%d", i+1))
		cfg.DataCentre = d.DataCentres[i%len(d.DataCentres)]
		cfg.Data, cfg.Peer, cfg.Admin = take(), take(), take()
		cfg.Platform = s.platform.URL()
		cfg.IdleSeconds, cfg.LeaveSeconds = idleLimit, leaveLimit
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

func (s *system) addTarget(p *schema.Pool, d Deployment, i, slots int, take func() netip.AddrPort) error {
	t := schema.Target{
		ID:         schema.TargetID(fmt.Sprintf("%s-%d", p.Name, i+1)),
		Address:    take(),
		Health:     take(),
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
	s.tokens[i] = s.sup.Add(once{d})
	return nil
}

// once is a service that is not started again when it ends well.
type once struct {
	*serve.Daemon
}

// Serve implements suture.Service.
func (o once) Serve(ctx context.Context) error {
	if err := o.Daemon.Serve(ctx); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// configure stores the tables and waits until sessions can be opened.
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
	awaitLimit = 12 * time.Second
	awaitEvery = 100 * time.Millisecond
)

func (s *system) await(what string, ready func() bool) error {
	deadline := time.Now().Add(awaitLimit)
	for !ready() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %s for %s", awaitLimit, what)
		}
		select {
		case <-s.ctx.Done():
			return s.ctx.Err()
		case <-time.After(awaitEvery):
		}
	}
	return nil
}

//go:build review

package main

import (
	"net/netip"
	"sync"
	"time"
)

// playCopies: the backends of a service are full. The operator lets a route name another
// service, and then some flows end at the full backends, so that these have room again.
// CONFIG: a daemon that has sent a new flow to the new service must not send a later
// opening packet to the old one.
func playCopies(l *lab, trouble bool) (bool, error) {
	const (
		rounds      = 8
		maxFlows    = 8
		downgrade   = 250 * time.Millisecond
		steps       = 4 // times at which flows end after a change
		roomEach    = 180 * time.Millisecond
		flowsEach   = 5
		holdersEach = maxFlows
	)
	held := netip.AddrPortFrom(l.service.Addr(), 8443)
	manifest := func(version int, service string) time.Time {
		return l.putManifest(version, 2, 0, route{l.service, service, "idempotent"}, route{held, otherService, "idempotent"})
	}
	if trouble {
		l.maxConns = map[string]int{otherService: maxFlows}
	}
	manifest(7, otherService)
	if err := l.deploy(2, 2, 20); err != nil {
		return false, err
	}
	limit := 0
	if trouble {
		limit = maxFlows
	}
	var full []*backend
	for _, z := range zones {
		b, err := l.addBackend(otherService, z, 5, limit)
		if err != nil {
			return false, err
		}
		full = append(full, b)
	}
	if err := l.addClients(12); err != nil {
		return false, err
	}
	time.Sleep(settle)
	holders := newHolders(l, held)
	defer holders.stopAll()
	stop := make(chan struct{})
	defer close(stop)
	broken := 0
	for round := range rounds {
		holders.fill(holdersEach * len(full))
		time.Sleep(1500 * time.Millisecond)
		if round == 0 {
			go l.openFlows(80, stop)
		}
		time.Sleep(time.Second)
		version := 8 + 2*round
		l.logf("round %d: the backends of the old service hold %d, %d and %d flows", round+1, full[0].flowsOf(), full[1].flowsOf(), full[2].flowsOf())
		acked := manifest(version, serviceName)
		l.logf("version %d is acknowledged: the route of port %d names the new service", version, l.service.Port())
		for range steps {
			time.Sleep(roomEach)
			l.logf("%d flows at the old service end, so that it has room", holders.stop(flowsEach))
		}
		time.Sleep(900 * time.Millisecond)
		broken += l.checkDowngrade(acked, downgrade, full)
		manifest(version+1, otherService)
		l.logf("version %d is acknowledged: the route names the old service again", version+1)
		time.Sleep(time.Second)
	}
	l.logRequests()
	l.logf("%d opening packets went back to the older version", broken)
	return broken > 0, nil
}

// checkDowngrade returns how many opening packets of the usual route the old service's
// backends took that were sent more than a bound after a backend of the new service took
// one through the same daemon.
func (l *lab) checkDowngrade(acked time.Time, bound time.Duration, old []*backend) int {
	effect := make(map[netip.Addr]time.Time)
	for _, b := range l.backends {
		if b.service != serviceName {
			continue
		}
		for _, o := range b.allOpenings() {
			if o.port == l.service.Port() && o.arrived.After(acked) && (effect[o.by].IsZero() || o.arrived.Before(effect[o.by])) {
				effect[o.by] = o.arrived
			}
		}
	}
	n := 0
	for _, b := range old {
		for _, o := range b.allOpenings() {
			if first := effect[o.by]; o.port == l.service.Port() && o.arrived.After(acked) && !first.IsZero() && o.sent.Sub(first) > bound {
				n++
				l.logf("%s of the old service took an opening packet through %s, sent %.3f s after the ack and %.3f s after the new service took one through that daemon", b.id, o.by, o.sent.Sub(acked).Seconds(), o.sent.Sub(first).Seconds())
			}
		}
	}
	return n
}

// allOpenings returns the opening packets that the running process took.
func (b *backend) allOpenings() []opening {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]opening(nil), b.opened...)
}

// holders are flows that stay open, with a request now and then.
type holders struct {
	l       *lab
	service netip.AddrPort
	wg      sync.WaitGroup
	list    []chan struct{}
}

func newHolders(l *lab, service netip.AddrPort) *holders { return &holders{l: l, service: service} }

// fill opens flows until n are open, as far as the backends take them.
func (h *holders) fill(n int) {
	for i := len(h.list); i < n; i++ {
		end := make(chan struct{})
		h.list = append(h.list, end)
		c := h.l.clients[i%len(h.l.clients)]
		h.wg.Go(func() { h.hold(c, end) })
		time.Sleep(15 * time.Millisecond)
	}
}

// hold keeps a flow open until end is closed.
func (h *holders) hold(c *client, end chan struct{}) {
	for {
		f := c.newFlow(h.service)
		ok := f.connect() == done
		for ok {
			select {
			case <-end:
				f.finish()
				return
			default:
			}
			ok = f.request("GET", 3*time.Second) == done && f.idle(50*time.Millisecond) == done
		}
		f.forget()
		select {
		case <-end:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// stop ends n of the flows and returns how many it ended.
func (h *holders) stop(n int) int {
	for _, end := range h.list[:n] {
		close(end)
	}
	h.list = h.list[n:]
	return n
}

func (h *holders) stopAll() {
	h.stop(len(h.list))
	h.wg.Wait()
}

// Package fabric is a stand-in for the network in front of the daemons. It sends
// every packet to a random daemon, chosen from a list that is refreshed only
// periodically and so may be stale.
package fabric

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/protocol/object"
	"coltsfootdock/internal/state/view"
	"coltsfootdock/pkg/schema"
)

const (
	maxPacket    = 9216
	socketBuffer = 4 << 20
	checkTimeout = 300 * time.Millisecond
	// maxFailedChecks is the number of consecutive failed checks after which a
	// daemon is removed from the list.
	maxFailedChecks = 2
)

// Fabric distributes packets at random among the daemons.
type Fabric struct {
	conn         *net.UDPConn
	platform     *object.Client
	http         *http.Client
	lag          time.Duration // time between two refreshes
	rand         *rand.Rand
	mu           sync.Mutex
	daemons      []netip.AddrPort
	failedChecks map[schema.VMID]int
	members      []*schema.Member
}

// Listen opens a fabric on a UDP address. It refreshes the platform's list of
// daemons and checks their readiness once every lag. The seed determines the choice
// of daemons.
func Listen(addr netip.AddrPort, platform string, lag time.Duration, seed uint64) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	return &Fabric{
		conn:         conn,
		platform:     object.NewClient(platform),
		http:         &http.Client{Timeout: checkTimeout},
		lag:          lag,
		rand:         rand.New(rand.NewPCG(seed, seed)),
		failedChecks: make(map[schema.VMID]int),
	}, nil
}

// Addr returns the address on which the fabric receives packets.
func (f *Fabric) Addr() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// DaemonCount returns the number of daemons on the list.
func (f *Fabric) DaemonCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.daemons)
}

// Serve distributes packets until ctx ends.
func (f *Fabric) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.refreshLoop(ctx) })
	buf := make([]byte, geneve.Headroom+maxPacket)
	var decoder geneve.Decoder
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf[geneve.Headroom:])
		if errors.Is(err, net.ErrClosed) {
			return ctx.Err()
		}
		if err != nil {
			continue
		}
		f.forward(&decoder, buf[:geneve.Headroom+n], from)
	}
}

// forward sends a client's packet to a random daemon, and a daemon's packet to its
// inner destination, the client.
func (f *Fabric) forward(decoder *geneve.Decoder, buf []byte, from netip.AddrPort) {
	var p geneve.Packet
	if _, fault := decoder.Decode(buf, &p); fault != geneve.OK {
		return
	}
	to, ok := f.randomDaemon()
	if f.isDaemon(from) {
		to, ok = netip.AddrPortFrom(netip.AddrFrom16(p.Key.Destination).Unmap(), p.Key.Port), true
	}
	if ok {
		_, _ = f.conn.WriteToUDPAddrPort(buf[geneve.Headroom:], to) // a failed write is a lost packet
	}
}

func (f *Fabric) isDaemon(a netip.AddrPort) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.daemons, a)
}

func (f *Fabric) randomDaemon() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.daemons) == 0 {
		return netip.AddrPort{}, false
	}
	return f.daemons[f.rand.IntN(len(f.daemons))], true
}

func (f *Fabric) refreshLoop(ctx context.Context) {
	t := time.NewTicker(f.lag)
	defer t.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// refresh reads the list of daemons, or keeps the last one while the platform is
// down, and removes the daemons that are not ready.
func (f *Fabric) refresh(ctx context.Context) {
	if l, err := f.platform.Changes(ctx, 0); err == nil {
		s := view.NewStore()
		s.Merge(0, l)
		f.members = view.All[schema.Member](s, object.Member)
	}
	var reachable []netip.AddrPort
	for _, m := range f.members {
		if f.ready(ctx, m) {
			f.failedChecks[m.ID] = 0
		} else {
			f.failedChecks[m.ID]++
		}
		if f.failedChecks[m.ID] < maxFailedChecks {
			reachable = append(reachable, m.Data)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = reachable
}

func (f *Fabric) ready(ctx context.Context, m *schema.Member) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Admin.String()+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

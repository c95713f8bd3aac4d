package watch

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	start = 100 * clock.Second
	bound = 3 * clock.Second
	// outBound is the bound of the outs in the model, as in the users' deployments.
	outBound = 5 * clock.Second
	step     = 50 * clock.Milli(1)
)

// store is a model of the platform's store.
type store struct {
	rev   schema.Version
	calls int
	// costTenths is the cost of the calls in tenths of a current read. A stale list
	// costs one.
	costTenths int
	// silent makes the reads of the given daemons fail after their timeout; down
	// does so for all daemons.
	silent      map[int]bool
	down        bool
	historyLost bool
	// historyFloor is the revision before which changes are dropped; historyLost
	// drops them all. fullLists counts the lists of targets that are not stale.
	historyFloor schema.Version
	fullLists    int
	// refuses makes every read fail without delay.
	refuses bool
}

// daemon is a reader with its peer set in a model network. One without peers sends
// and receives no summaries but reaches the store.
type daemon struct {
	n            int
	addr         netip.AddrPort
	reader       *Reader
	peers        *PeerSet
	seq          uint64
	call         *Call
	began        clock.Milli
	ends         clock.Milli
	dead         bool
	withoutPeers bool
	// historyFloor is the revision since which the daemon has the changes of the
	// targets.
	historyFloor schema.Version
}

// cluster is a model of daemons, their network and the store.
type cluster struct {
	now     clock.Milli
	store   store
	daemons []*daemon
	byAddr  map[netip.AddrPort]*daemon
	// partitioned reports whether two data centres can't reach each other. If nil,
	// all can.
	partitioned func(x, y schema.DataCentreID) bool
}

func addr(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1))
}

// dcOf distributes the daemons over three data centres.
func dcOf(n int) schema.DataCentreID { return schema.DataCentreID([]string{"a", "b", "c"}[n%3]) }

func newCluster(n int) *cluster {
	w := &cluster{now: start, byAddr: map[netip.AddrPort]*daemon{}, store: store{rev: 10, silent: map[int]bool{}}}
	for i := range n {
		w.join(i)
	}
	return w
}

func (w *cluster) join(n int) *daemon {
	d := &daemon{n: n, addr: addr(n), reader: New(bound, uint64(n*37)), peers: NewPeerSet(addr(n), dcOf(n), []netip.AddrPort{addr(0), addr(1)}, uint64(n))}
	d.reader.SetBounds([fleet.Topics]clock.Milli{fleet.Targets: bound, fleet.Config: bound, fleet.Outs: outBound})
	w.daemons = append(w.daemons, d)
	w.byAddr[d.addr] = d
	return d
}

func (w *cluster) run(d clock.Milli) {
	for end := w.now + d; w.now < end; {
		w.now += step
		for _, x := range w.daemons {
			if !x.dead {
				w.tick(x)
			}
		}
	}
}

func (w *cluster) tick(d *daemon) {
	d.peers.Forget(w.now)
	d.reader.SetRank(d.peers.Rank(w.now), d.peers.Alive(w.now) == 0)
	if d.call != nil && (w.now >= d.ends || w.store.tells(d)) {
		c := *d.call
		d.call = nil
		if w.store.refuses || w.store.down || w.store.silent[d.n] {
			d.reader.Done(w.now, d.began, c, Failed, 0)
		} else if c.Stale {
			d.reader.Done(w.now, d.began, c, Read, w.store.rev-5)
		} else if (w.store.historyLost || c.Since < w.store.historyFloor) && !c.List {
			d.reader.Done(w.now, d.began, c, HistoryLost, 0)
		} else {
			if c.List && c.Topic == fleet.Targets {
				d.historyFloor = w.store.rev
			}
			d.reader.Done(w.now, d.began, c, Read, w.store.rev)
		}
	}
	if d.call == nil {
		if c, ok := d.reader.Next(w.now); ok {
			w.store.calls++
			w.store.costTenths += 10
			if c.List && !c.Stale && c.Topic == fleet.Targets {
				w.store.fullLists++
			}
			if c.Stale {
				w.store.costTenths -= 9
			}
			d.call, d.began, d.ends = &c, w.now, w.now+c.Wait+step
			if w.store.refuses {
				d.ends = w.now
			}
			if w.store.down || w.store.silent[d.n] {
				d.ends = w.now + c.Wait + 700
			}
		}
	}
	if d.reader.TakeChanged() || d.peers.HasJoined() || (w.now/step)%5 == clock.Milli(d.n%5) {
		w.sendSummary(d)
	}
}

// tells reports whether the store answers a daemon's call for changes, as there are some.
func (s *store) tells(d *daemon) bool {
	return !d.call.List && d.call.Since < s.rev && !s.down && !s.silent[d.n]
}

// sendSummary sends a summary to its recipients. Peers fetch what they lack at once.
func (w *cluster) sendSummary(d *daemon) {
	if d.withoutPeers {
		return
	}
	d.seq++
	recipients, named := d.peers.Recipients(w.now)
	for _, to := range recipients {
		if x := w.byAddr[to]; x != nil {
			if x.dead || x.withoutPeers || w.partitioned != nil && w.partitioned(dcOf(d.n), dcOf(x.n)) {
				continue
			}
			if !x.peers.RecordSummary(w.now, d.addr, schema.VMID(fmt.Sprint(d.n)), dcOf(d.n), 1, d.seq, false) {
				continue
			}
			for _, n := range named {
				x.peers.RecordNeighbour(n.Heard(), n.Addr, n.DataCentre)
			}
			for t := range d.reader.revs {
				topic := fleet.Topic(t)
				if d.reader.revs[t] == x.reader.revs[t] {
					x.reader.AdoptProof(topic, d.reader.Proof(topic))
				}
				more := x.reader.RecordPeerRevision(w.now, topic, d.reader.revs[t], d.reader.confirmed[t])
				if more && (topic != fleet.Targets || x.reader.revs[t] >= d.historyFloor || x.reader.NeedsSnapshot(w.now, topic)) {
					if x.reader.revs[t] < d.historyFloor {
						x.historyFloor = d.reader.revs[t]
					}
					x.reader.Advance(topic, d.reader.revs[t], d.reader.confirmed[t])
					x.reader.AdoptProof(topic, d.reader.Proof(topic))
				}
			}
		}
	}
}

// loseFirstRanks ends the n daemons that precede all others in the order of ranks.
func (w *cluster) loseFirstRanks(n int) {
	byScore := slices.Clone(w.daemons)
	slices.SortFunc(byScore, func(x, y *daemon) int { return cmp.Compare(x.peers.score, y.peers.score) })
	for _, d := range byScore[:n] {
		d.dead = true
	}
}

// oldestAge returns the greatest age at any live daemon.
func (w *cluster) oldestAge() clock.Milli {
	age := clock.Milli(0)
	for _, d := range w.daemons {
		if !d.dead {
			age = max(age, d.reader.OldestAge(w.now))
		}
	}
	return age
}

// wrongAdmitters returns how many of 100 targets have no admitter or more than
// maxAdmitters.
func (w *cluster) wrongAdmitters(maxAdmitters int) int {
	wrong := 0
	for code := range fleet.Code(100) {
		n := 0
		for _, d := range w.daemons {
			if !d.dead && d.peers.Admits(w.now, 1+code<<20) {
				n++
			}
		}
		if n == 0 || n > maxAdmitters {
			wrong++
		}
	}
	return wrong
}

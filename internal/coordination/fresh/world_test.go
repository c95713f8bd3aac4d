package fresh

import (
	"fmt"
	"net/netip"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	start = 100 * clock.Second
	bound = 3 * clock.Second
	step  = 50 * clock.Milli(1)
)

// store is a model of the platform's store.
type store struct {
	rev   schema.Version
	calls int
	// tenths is what the calls cost; those that may be stale cost one.
	tenths int
	// silent makes every read fail after its time limit, for the daemons
	// named, or for all if the list is empty.
	silent map[int]bool
	down   bool
	lost   bool
	// floor is the revision before which the history is dropped, lists counts the
	// lists that may not be stale.
	floor schema.Version
	lists int
	// refuses makes every read fail at once.
	refuses bool
}

// daemon is a reader and its crowd in a model network.
type daemon struct {
	n      int
	addr   netip.AddrPort
	reader *Reader
	crowd  *Crowd
	seq    uint64
	call   *Call
	began  clock.Milli
	ends   clock.Milli
	dead   bool
	cut    bool
	// floor is the revision since which the daemon can tell the changes.
	floor schema.Version
}

type world struct {
	now     clock.Milli
	store   store
	daemons []*daemon
	at      map[netip.AddrPort]*daemon
	// apart tells which data centres can't reach each other; nil if all can.
	apart func(x, y schema.DataCentreID) bool
}

func addr(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250+1))
}

// dcOf spreads the daemons over three data centres.
func dcOf(n int) schema.DataCentreID { return schema.DataCentreID([]string{"a", "b", "c"}[n%3]) }

func newWorld(n int) *world {
	w := &world{now: start, at: map[netip.AddrPort]*daemon{}, store: store{rev: 10, silent: map[int]bool{}}}
	for i := range n {
		w.join(i)
	}
	return w
}

func (w *world) join(n int) *daemon {
	d := &daemon{n: n, addr: addr(n), reader: New(bound, uint64(n*37)), crowd: NewCrowd(addr(n), dcOf(n), []netip.AddrPort{addr(0), addr(1)}, uint64(n))}
	w.daemons = append(w.daemons, d)
	w.at[d.addr] = d
	return d
}

func (w *world) run(d clock.Milli) {
	for end := w.now + d; w.now < end; {
		w.now += step
		for _, x := range w.daemons {
			if !x.dead {
				w.tick(x)
			}
		}
	}
}

func (w *world) tick(d *daemon) {
	d.crowd.Forget(w.now)
	d.reader.SetRank(d.crowd.Rank(w.now), d.crowd.Alive(w.now) == 0)
	if d.call != nil && w.now >= d.ends {
		c := *d.call
		d.call = nil
		if w.store.refuses || w.store.down || w.store.silent[d.n] {
			d.reader.Done(w.now, d.began, c, Failed, 0)
		} else if c.Stale {
			d.reader.Done(w.now, d.began, c, Read, w.store.rev-5)
		} else if (w.store.lost || c.Since < w.store.floor) && !c.List {
			d.reader.Done(w.now, d.began, c, Lost, 0)
		} else {
			if c.List && c.Topic == fleet.Targets {
				d.floor = w.store.rev
			}
			d.reader.Done(w.now, d.began, c, Read, w.store.rev)
		}
	}
	if d.call == nil {
		if c, ok := d.reader.Next(w.now); ok {
			w.store.calls++
			w.store.tenths += 10
			if c.List && !c.Stale && c.Topic == fleet.Targets {
				w.store.lists++
			}
			if c.Stale {
				w.store.tenths -= 9
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
	if d.reader.News() || d.crowd.Greets() || (w.now/step)%5 == clock.Milli(d.n%5) {
		w.tell(d)
	}
}

// tell sends a summary; what a peer lacks it pulls at once.
func (w *world) tell(d *daemon) {
	if d.cut {
		return
	}
	d.seq++
	audience, named := d.crowd.Audience(w.now)
	for _, to := range audience {
		if x := w.at[to]; x != nil {
			if x.dead || x.cut || w.apart != nil && w.apart(dcOf(d.n), dcOf(x.n)) {
				continue
			}
			if !x.crowd.Summary(w.now, d.addr, schema.VMID(fmt.Sprint(d.n)), dcOf(d.n), 1, d.seq, false) {
				continue
			}
			for _, n := range named {
				x.crowd.Neighbour(n.Heard(), n.Addr, n.DataCentre)
			}
			for t := range d.reader.revs {
				topic := fleet.Topic(t)
				more := x.reader.Heard(w.now, topic, d.reader.revs[t], d.reader.confirmed[t])
				if more && (topic != fleet.Targets || x.reader.revs[t] >= d.floor || x.reader.AsksAll(w.now, topic)) {
					if x.reader.revs[t] < d.floor {
						x.floor = d.reader.revs[t]
					}
					x.reader.Learn(topic, d.reader.revs[t], d.reader.confirmed[t])
				}
			}
		}
	}
}

// oldest returns the greatest age among the daemons that live.
func (w *world) oldest() clock.Milli {
	age := clock.Milli(0)
	for _, d := range w.daemons {
		if !d.dead {
			age = max(age, d.reader.Oldest(w.now))
		}
	}
	return age
}

// admitters returns how many of 100 targets have more than most admitters, or none.
func (w *world) admitters(most int) int {
	wrong := 0
	for code := range fleet.Code(100) {
		n := 0
		for _, d := range w.daemons {
			if !d.dead && d.crowd.Admits(w.now, 1+code<<20) {
				n++
			}
		}
		if n == 0 || n > most {
			wrong++
		}
	}
	return wrong
}

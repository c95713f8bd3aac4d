package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/fresh"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// tellEvery is the time between two summaries, tellSoon the least time
	// when there is news.
	tellEvery   = 250 * clock.Milli(1)
	tellSoon    = 40 * clock.Milli(1)
	pullTimeout = 600 * time.Millisecond
	newsPath    = "/news"
	// maxWhole is the number of targets up to which a daemon that can't tell the
	// changes alone tells all; beyond it the other asks another peer, and for
	// everything only if it must.
	maxWhole = 500
	// goneKey asks for removed targets too, wholeKey for all if the changes alone
	// can't be told.
	goneKey  = "gone"
	wholeKey = "whole"
	maxNews  = 8 << 20
	// maxServed is the number of peers that are told news at the same time. The
	// others ask again, or another peer: flows' packets share the VM's link.
	maxServed = 2
)

// tell sends a summary to some peers, if it is time. The lock is held.
func (d *Daemon) tell(now clock.Milli) {
	early := now-d.lastTell < tellEvery
	if now-d.lastNews < tellSoon || early && !d.news {
		return
	}
	if !early {
		d.lastTell = now
	}
	d.lastNews, d.news = now, false
	audience, named := d.crowd.Audience(now)
	s := d.summary(now, named, early)
	var near []byte
	for _, to := range audience {
		if dc, far := d.crowd.Far(to); far {
			part := *s
			part.Loads = d.core.LoadsIn(dc, s.Loads)
			d.send(encodeSummary(&part), to)
			continue
		}
		if near == nil {
			near = encodeSummary(s)
		}
		d.send(near, to)
	}
}

// encodeSummary returns the wire form of a summary, without loads if it is too
// large with them.
func encodeSummary(s *digest.Summary) []byte {
	data, err := digest.Encode(s)
	if err == nil && len(data) > digest.MaxSize {
		small := *s
		small.Loads, small.Misses = nil, true
		data, err = digest.Encode(&small)
	}
	if err != nil {
		panic(err) // a summary holds plain values only
	}
	return data
}

func (d *Daemon) send(data []byte, to netip.AddrPort) {
	if _, err := d.peers.WriteToUDPAddrPort(data, to); err == nil {
		d.metrics.peerSent.Add(len(data))
	}
}

// summary returns what to tell now. Early ones are between the regular ones,
// which tell the loads.
func (d *Daemon) summary(now clock.Milli, named []*fresh.Peer, early bool) *digest.Summary {
	d.seq++
	s := &digest.Summary{
		ID:          d.cfg.ID,
		DataCentre:  d.cfg.DataCentre,
		Incarnation: d.incarnation,
		Seq:         d.seq,
		Leaving:     d.leaving,
		Trouble:     -1,
		Cut:         d.crowd.CutAge(now),
		Heard:       d.core.Heard(now),
		Loads:       d.core.Loads(now, early),
		Misses:      early,
		Suspects:    d.core.Suspects(now),
	}
	for t := range s.Known {
		topic := fleet.Topic(t)
		s.Known[t] = digest.Known{Rev: d.core.Book().Rev(topic), Age: ageOf(d.reader.Age(now, topic))}
	}
	if d.troubled != clock.Never {
		s.Trouble = now - d.troubled
	}
	for _, p := range named {
		s.Neighbours = append(s.Neighbours, digest.Neighbour{Addr: p.Addr, DataCentre: p.DataCentre, Silence: now - p.Heard()})
	}
	return s
}

// ageOf returns an age for the wire, -1 if there is none.
func ageOf(age clock.Milli) clock.Milli {
	if age > clock.Minute {
		return -1
	}
	return age
}

// hear takes the summaries of peers.
func (d *Daemon) hear(ctx context.Context) error {
	buf := make([]byte, digest.MaxSize)
	return d.peers.Serve(ctx, func() error {
		n, from, err := d.peers.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		s, err := digest.Decode[digest.Summary](buf[:n])
		if err != nil {
			d.metrics.peerBad.Inc()
			d.log.sampled("peers: message from %s left out: %s", from, err)
			return nil
		}
		d.take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), s)
		return nil
	})
}

// take handles a peer's summary.
func (d *Daemon) take(from netip.AddrPort, s *digest.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.crowd.Summary(now, from, s.ID, s.DataCentre, s.Incarnation, s.Seq, s.Leaving) {
		return
	}
	for _, n := range s.Neighbours {
		d.crowd.Neighbour(now-n.Silence, n.Addr, n.DataCentre)
	}
	if s.Trouble >= 0 {
		d.core.Trouble(now - s.Trouble)
	}
	if s.Heard >= 0 {
		d.core.TakeHeard(s.DataCentre, now-s.Heard)
	}
	if s.Cut >= 0 && s.DataCentre == d.cfg.DataCentre {
		d.crowd.TakeCut(now - s.Cut)
	}
	d.core.TakeLoads(now, s.ID, s.DataCentre, s.Loads, s.Misses)
	d.core.TakeSuspects(now, s.Suspects)
	behind := false
	for t := range s.Known {
		topic := fleet.Topic(t)
		confirmed := clock.Never
		if s.Known[t].Age >= 0 {
			confirmed = now - s.Known[t].Age
		}
		behind = d.reader.Heard(now, topic, s.Known[t].Rev, confirmed) || behind
	}
	// A new daemon asks a peer even if it knows what the store tells: only
	// peers know the targets that are gone.
	if behind || !d.recalled {
		select {
		case d.pulls <- from:
		default: // one is under way
		}
	}
}

// pullNews fetches from peers what they know and this daemon does not.
func (d *Daemon) pullNews(ctx context.Context) error {
	client := &http.Client{Timeout: pullTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        8,
		IdleConnTimeout:     10 * time.Second,
	}}
	defer client.CloseIdleConnections()
	return duty.Drain(ctx, d.pulls, func(from netip.AddrPort) {
		if err := d.pullFrom(ctx, client, from); err != nil {
			d.log.sampled("peers: news of %s not pulled: %s", from, err)
		}
	})
}

func (d *Daemon) pullFrom(ctx context.Context, client *http.Client, from netip.AddrPort) error {
	d.mu.Lock()
	revs := d.core.Book().Revs()
	recall := !d.recalled
	whole := d.reader.AsksAll(d.clock.Now(), fleet.Targets)
	d.mu.Unlock()
	url := "http://" + from.String() + newsPath + "?"
	if recall {
		url += goneKey + "=1&"
	}
	if whole {
		url += wholeKey + "=1&"
	}
	for t, rev := range revs {
		url += fleet.Topic(t).String() + "=" + strconv.FormatUint(uint64(rev), 10) + "&"
	}
	began := d.clock.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("peer %s answers %s", from, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxNews))
	if err != nil {
		return err
	}
	n, err := digest.Decode[digest.News](body)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for i := range n.Updates {
		u := &n.Updates[i]
		d.apply(now, u, from.String())
		d.recalled = d.recalled || u.Topic == fleet.Targets && recall
		if u.Rev <= d.core.Book().Rev(u.Topic) && n.Ages[i] >= 0 {
			d.reader.Learn(u.Topic, u.Rev, began-n.Ages[i])
		} else {
			d.reader.Learn(u.Topic, u.Rev, clock.Never)
		}
	}
	return nil
}

// newsHandler serves what a peer lacks.
func (d *Daemon) newsHandler() http.Handler {
	mux := http.NewServeMux()
	served := make(chan struct{}, maxServed)
	mux.HandleFunc("GET "+newsPath, func(w http.ResponseWriter, r *http.Request) {
		select {
		case served <- struct{}{}:
			defer func() { <-served }()
		default:
			http.Error(w, "other peers are told news", http.StatusServiceUnavailable)
			return
		}
		var since [fleet.Topics]schema.Version
		for t := range since {
			v, err := strconv.ParseUint(r.URL.Query().Get(fleet.Topic(t).String()), 10, 64)
			if err != nil {
				http.Error(w, "revision of "+fleet.Topic(t).String()+" is not a number", http.StatusBadRequest)
				return
			}
			since[t] = schema.Version(v)
		}
		body, err := digest.Encode(d.newsSince(since, r.URL.Query().Has(goneKey), r.URL.Query().Has(wholeKey)))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body) // a peer that went away asks again
	})
	return mux
}

// newsSince returns what a peer lacks: the removed targets too if it asks for them,
// and everything, however much, if it must.
func (d *Daemon) newsSince(since [fleet.Topics]schema.Version, gone, whole bool) *digest.News {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	n := &digest.News{}
	for t := range since {
		topic := fleet.Topic(t)
		book := d.core.Book()
		switch {
		case gone && topic == fleet.Targets && since[t] != 0 && book.Rev(topic) != 0:
			n.Updates = append(n.Updates, book.Recall(now, since[t]))
		case book.Rev(topic) <= since[t], since[t] != 0 && !whole && !book.Tells(topic, since[t]) && book.Len(topic) > maxWhole:
			continue
		default:
			n.Updates = append(n.Updates, book.Since(now, topic, since[t]))
		}
		age := clock.Milli(-1)
		if n.Updates[len(n.Updates)-1].Rev == book.Rev(topic) {
			age = ageOf(d.reader.Age(now, topic))
		}
		n.Ages = append(n.Ages, age) // an age is that of the newest revision
	}
	return n
}

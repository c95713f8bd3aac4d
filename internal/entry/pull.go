package entry

import (
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	pullTimeout = 600 * time.Millisecond
	pullPath    = "/news"
	// maxUnaskedFull is the maximum number of objects of a topic that a daemon
	// without the changes sends in full although fullKey is not set. Beyond it,
	// the requester first tries other peers, which may have the changes.
	maxUnaskedFull = 500
	// removedKey is the query key of a pull that also asks for removed targets,
	// fullKey of one that asks for all objects of a topic if the peer no longer
	// has the changes.
	removedKey   = "gone"
	fullKey      = "whole"
	maxPullBytes = 8 << 20
	// minCompressedBytes is the size from which responses are compressed: those below
	// fit a few packets.
	minCompressedBytes = 4 << 10
	// maxConcurrentPulls is the maximum number of pulls served at the same time,
	// since responses share the VM's link with the packets of flows. Rejected
	// peers retry, here or at another peer.
	maxConcurrentPulls = 2
)

// runPulls pulls updates from the peers in the pull queue.
func (d *Daemon) runPulls(ctx context.Context) error {
	client := &http.Client{Timeout: pullTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 1,
		MaxIdleConns:        8,
		IdleConnTimeout:     10 * time.Second,
	}}
	defer client.CloseIdleConnections()
	return duty.Consume(ctx, d.pullQueue, func(from netip.AddrPort) {
		if err := d.pullFrom(ctx, client, from); err != nil {
			d.log.sampledf("peers: pull from %s failed: %s", from, err)
		}
	})
}

// pull is one pull of the updates that this daemon lacks from a peer.
type pull struct {
	from netip.AddrPort
	// since are the revisions since which changes are asked for, zero for a snapshot.
	since [fleet.Topics]schema.Version
	// merges is set for the topics of which the peer holds other objects at the same
	// revision, so that it confirms nothing.
	merges [fleet.Topics]bool
	// removed asks for removed targets too, full for a snapshot if the peer does not
	// have the changes.
	removed bool
	full    bool
	began   clock.Milli
}

// pullFrom pulls the updates that this daemon lacks from a peer and applies
// them.
func (d *Daemon) pullFrom(ctx context.Context, client *http.Client, from netip.AddrPort) error {
	p := d.newPull(from)
	n, err := p.fetch(ctx, client)
	if err != nil {
		return err
	}
	d.finishPull(p, n)
	return nil
}

// finishPull applies the peer's response to a pull.
func (d *Daemon) finishPull(p *pull, n *digest.PullResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range n.Updates {
		d.applyPulled(p, &n.Updates[i], n.Ages[i], n.ProofAges[i])
	}
}

// newPull returns the pull from a peer that this daemon needs now.
func (d *Daemon) newPull(from netip.AddrPort) *pull {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	p := &pull{
		from: from, removed: !d.removalsPulled, full: d.reader.NeedsSnapshot(now, fleet.Targets), began: now,
	}
	own, theirs := d.view(now), d.membership.ViewOf(from)
	for t := range fleet.Topics {
		p.merges[t] = theirs != nil && own.Differs(theirs, t)
		p.since[t] = own.Proofs[t].Rev // what is claimed beyond it may lack changes that the peer has
	}
	return p
}

// url returns the URL of the pull.
func (p *pull) url() string {
	q := url.Values{}
	if p.removed {
		q.Set(removedKey, "1")
	}
	if p.full {
		q.Set(fullKey, "1")
	}
	for t, rev := range p.since {
		q.Set(fleet.Topic(t).String(), rev.String())
	}
	return "http://" + p.from.String() + pullPath + "?" + q.Encode()
}

// fetch sends the request and returns the peer's response.
func (p *pull) fetch(ctx context.Context, client *http.Client) (*digest.PullResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("peer %s answered %s", p.from, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPullBytes))
	if err != nil {
		return nil, err
	}
	return digest.Decode[digest.PullResponse](body)
}

// applyPulled applies one update of a pull. Age is that of its topic at the peer,
// negative if the peer's view is not confirmed. The caller holds d.mu.
func (d *Daemon) applyPulled(p *pull, u *fleet.Update, age, proofAge clock.Milli) {
	if u.Proved <= d.reader.Proof(u.Topic).Rev {
		u.Proved = 0 // it shows nothing that this daemon lacks
	}
	d.apply(d.clock.Now(), u, p.from.String())
	d.removalsPulled = d.removalsPulled || u.Topic == fleet.Targets && p.removed
	confirmed := clock.Never
	if u.Rev <= d.core.Replica().Rev(u.Topic) && age >= 0 && !p.merges[u.Topic] {
		confirmed = p.began - age
	}
	if u.Proved != 0 && (u.Full || u.Since <= d.reader.Proof(u.Topic).Rev) {
		d.adoptProof(u.Topic, proofOf(p.began, u.Proved, proofAge), p.from.String())
	}
	d.reader.Advance(u.Topic, u.Rev, confirmed)
	d.endUnconfirmed(d.clock.Now())
	d.releaseHeld(d.clock.Now())
}

// pullHandler serves pulls. The query has the requester's revision of each
// topic.
func (d *Daemon) pullHandler() http.Handler {
	mux := http.NewServeMux()
	slots := make(chan struct{}, maxConcurrentPulls)
	mux.HandleFunc("GET "+pullPath, func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			http.Error(w, "too many concurrent pulls", http.StatusServiceUnavailable)
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
		body, err := digest.Encode(d.updatesSince(since, r.URL.Query().Has(removedKey), r.URL.Query().Has(fullKey)))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		respond(w, r, body)
	})
	return mux
}

// respond writes the response to a pull, compressed if it is large: it shares the VM's
// link with the packets of flows. The client's transport decompresses it.
func respond(w http.ResponseWriter, r *http.Request, body []byte) {
	if len(body) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body) // a peer that disconnected pulls again
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z, _ := gzip.NewWriterLevel(w, gzip.BestSpeed) // fails only for unknown levels
	_, _ = z.Write(body)
	_ = z.Close()
}

// updatesSince returns the updates of the topics that a requester at the given
// revisions is behind on. If removed is set, the targets include the removed
// ones. If the changes since a revision are no longer known, the topic is sent
// in full, or left out if it has more than maxUnaskedFull objects and full is
// not set.
func (d *Daemon) updatesSince(since [fleet.Topics]schema.Version, removed, full bool) *digest.PullResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	n := &digest.PullResponse{}
	for t := range since {
		topic := fleet.Topic(t)
		replica := d.core.Replica()
		kept := replica.Kept(topic) != 0 && since[t].Era() <= replica.Rev(topic).Era()
		lacks := since[t] != 0 && !replica.HasChangesSince(topic, since[t])
		tooMany := lacks && !full && replica.Len(topic) > maxUnaskedFull
		switch {
		case since[t] != 0 && !d.reader.Grounded(topic):
			continue // the requester may know more
		case removed && topic == fleet.Targets && since[t] != 0 && replica.Rev(topic) != 0 && (!lacks || tooMany || replica.Rev(topic) <= since[t]):
			n.Updates = append(n.Updates, replica.SinceWithRemovals(now, since[t]))
		case replica.Rev(topic) <= since[t] && !kept, tooMany:
			continue
		default:
			n.Updates = append(n.Updates, replica.Since(now, topic, since[t]))
		}
		age := clock.Milli(-1) // the age is that of the newest revision, which SinceWithRemovals may not reach
		if n.Updates[len(n.Updates)-1].Rev == replica.Rev(topic) {
			age = wireAge(d.reader.Age(now, topic))
		}
		n.Ages = append(n.Ages, age)
		n.ProofAges = append(n.ProofAges, wireAge(d.reader.ProofAge(now, topic)))
	}
	return n
}

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
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/duty"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// summaryInterval is the time between two regular summaries,
	// minSummaryInterval the minimum time between any two.
	summaryInterval    = 250 * clock.Milli(1)
	minSummaryInterval = 40 * clock.Milli(1)
	pullTimeout        = 600 * time.Millisecond
	pullPath           = "/news"
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
	// maxConcurrentPulls is the maximum number of pulls served at the same time,
	// since responses share the VM's link with the packets of flows. Rejected
	// peers retry, here or at another peer.
	maxConcurrentPulls = 2
)

// sendSummaries sends a summary to some peers if one is due. The caller holds
// d.mu.
func (d *Daemon) sendSummaries(now clock.Milli) {
	early := now-d.lastRegularSummary < summaryInterval
	if now-d.lastSummary < minSummaryInterval || early && !d.summaryUrgent {
		return
	}
	if !early {
		d.lastRegularSummary = now
	}
	d.lastSummary, d.summaryUrgent = now, false
	recipients, neighbours := d.membership.Recipients(now)
	s := d.buildSummary(now, neighbours, early)
	var local []byte // encoded once for all recipients that get all loads
	for _, to := range recipients {
		if dc, remote := d.membership.RemoteDataCentre(to); remote {
			part := *s
			part.Loads = d.core.LoadsIn(dc, s.Loads)
			d.send(encodeSummary(&part), to)
			continue
		}
		if local == nil {
			local = encodeSummary(s)
		}
		d.send(local, to)
	}
}

// encodeSummary returns the wire form of a summary. It omits the loads if the
// summary would exceed digest.MaxSize with them.
func encodeSummary(s *digest.Summary) []byte {
	data, err := digest.Encode(s)
	if err == nil && len(data) > digest.MaxSize {
		small := *s
		small.Loads, small.MissesOnly = nil, true // MissesOnly keeps the receiver's earlier loads
		data, err = digest.Encode(&small)
	}
	if err != nil {
		panic(err) // unreachable: all fields of a summary can be encoded
	}
	return data
}

func (d *Daemon) send(data []byte, to netip.AddrPort) {
	if _, err := d.peerConn.WriteToUDPAddrPort(data, to); err == nil {
		d.metrics.peerSentBytes.Add(len(data))
	}
}

// buildSummary returns the summary to send now. An early one, sent between two
// regular ones, has only the loads of targets that leave packets unanswered.
func (d *Daemon) buildSummary(now clock.Milli, neighbours []*watch.Peer, early bool) *digest.Summary {
	d.seq++
	s := &digest.Summary{
		ID:              d.cfg.ID,
		DataCentre:      d.cfg.DataCentre,
		Incarnation:     d.incarnation,
		Seq:             d.seq,
		Leaving:         d.leaving,
		StoreFailureAge: -1,
		CutOffAge:       d.membership.CutOffReportAge(now),
		TargetAnswerAge: d.core.SinceLocalAnswer(now),
		Loads:           d.core.Loads(now, early),
		MissesOnly:      early,
		DeadTargets:     d.core.DeadTargets(now),
	}
	for t := range s.Topics {
		topic := fleet.Topic(t)
		s.Topics[t] = digest.TopicState{
			Rev: d.core.Replica().Rev(topic), Age: wireAge(d.reader.Age(now, topic)), Sum: d.core.Replica().Sum(topic), Grounded: d.reader.Grounded(topic),
		}
	}
	s.ConfigVersion, _ = d.configVersion()
	if d.storeFailedAt != clock.Never {
		s.StoreFailureAge = now - d.storeFailedAt
	}
	for _, p := range neighbours {
		s.Neighbours = append(s.Neighbours, digest.Neighbour{Addr: p.Addr, DataCentre: p.DataCentre, Silence: now - p.Heard()})
	}
	return s
}

// wireAge returns an age as it is sent: -1 if the topic was never confirmed, or
// not within the last minute.
func wireAge(age clock.Milli) clock.Milli {
	if age > clock.Minute {
		return -1
	}
	return age
}

// receiveSummaries receives and handles the summaries of peers.
func (d *Daemon) receiveSummaries(ctx context.Context) error {
	buf := make([]byte, digest.MaxSize)
	return d.peerConn.Serve(ctx, func() error {
		n, from, err := d.peerConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		s, err := digest.Decode[digest.Summary](buf[:n])
		if err != nil {
			d.metrics.badPeerMessages.Inc()
			d.log.sampledf("peers: dropped an invalid message from %s: %s", from, err)
			return nil
		}
		d.handleSummary(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), s)
		return nil
	})
}

// handleSummary applies a peer's summary and requests a pull if the peer has
// newer revisions.
func (d *Daemon) handleSummary(from netip.AddrPort, s *digest.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.membership.RecordSummary(now, from, s.ID, s.DataCentre, s.Incarnation, s.Seq, s.Leaving) {
		return
	}
	for _, n := range s.Neighbours {
		d.membership.RecordNeighbour(now-n.Silence, n.Addr, n.DataCentre)
	}
	if s.StoreFailureAge >= 0 {
		d.core.RecordStoreFailure(now - s.StoreFailureAge)
	}
	if s.TargetAnswerAge >= 0 {
		d.core.RecordDataCentreAnswer(s.DataCentre, now-s.TargetAnswerAge)
	}
	if s.CutOffAge >= 0 && s.DataCentre == d.cfg.DataCentre {
		d.membership.RecordCutOffReport(now - s.CutOffAge)
	}
	d.core.ApplyPeerLoads(now, s.ID, s.DataCentre, s.Loads, s.MissesOnly)
	d.core.ApplyDeadTargets(now, s.DeadTargets)
	own, theirs := d.view(now), viewOf(now, s)
	d.membership.RecordView(from, theirs)
	behind := false
	for t := range fleet.Topics {
		switch {
		case own.Differs(&theirs, t):
			d.logDifference(s.ID, &own, &theirs, t)
			behind = d.reader.RecordDifference(now, t) || behind
		case theirs.Grounded[t] && !own.Grounded[t] && own.Sums[t] != theirs.Sums[t]:
			behind = true
		case theirs.Grounded[t]:
			behind = d.reader.RecordPeerRevision(now, t, theirs.Revs[t], theirs.Confirmed[t]) || behind
		case own.Revs[t] == 0 && theirs.Revs[t] != 0:
			behind = true // better than nothing
		}
	}
	// A new daemon pulls from a peer even if its revisions are current, because
	// the removed targets are known only to peers, not to the store.
	if behind || !d.removalsPulled {
		select {
		case d.pullQueue <- from:
		default: // a pull is queued already
		}
	}
}

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

// pullFrom pulls the updates that this daemon lacks from a peer and applies
// them.
func (d *Daemon) pullFrom(ctx context.Context, client *http.Client, from netip.AddrPort) error {
	d.mu.Lock()
	revs := d.core.Replica().Revs()
	own, theirs := d.view(d.clock.Now()), d.membership.ViewOf(from)
	var merges [fleet.Topics]bool // the peer holds other objects: what both know counts
	for t := range fleet.Topics {
		merges[t] = theirs != nil && own.Differs(theirs, t)
		if merges[t] || !d.reader.Grounded(t) {
			revs[t] = 0 // changes alone would not make the replica complete
		}
	}
	removed := !d.removalsPulled
	full := d.reader.NeedsSnapshot(d.clock.Now(), fleet.Targets)
	d.mu.Unlock()
	url := "http://" + from.String() + pullPath + "?"
	if removed {
		url += removedKey + "=1&"
	}
	if full {
		url += fullKey + "=1&"
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
		return fmt.Errorf("peer %s answered %s", from, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPullBytes))
	if err != nil {
		return err
	}
	n, err := digest.Decode[digest.PullResponse](body)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	for i := range n.Updates {
		u := &n.Updates[i]
		if u.Since == 0 && (n.Ages[i] < 0 || merges[u.Topic]) {
			u.Full = false // what it does not list may exist
		}
		d.apply(now, u, from.String())
		d.removalsPulled = d.removalsPulled || u.Topic == fleet.Targets && removed
		if u.Rev <= d.core.Replica().Rev(u.Topic) && n.Ages[i] >= 0 && !merges[u.Topic] {
			d.reader.Advance(u.Topic, u.Rev, began-n.Ages[i])
		} else {
			d.reader.Advance(u.Topic, u.Rev, clock.Never)
		}
	}
	return nil
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
		_, _ = w.Write(body) // a peer that disconnected pulls again
	})
	return mux
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
		switch {
		case since[t] != 0 && !d.reader.Grounded(topic):
			continue // the requester may know more
		case removed && topic == fleet.Targets && since[t] != 0 && replica.Rev(topic) != 0:
			n.Updates = append(n.Updates, replica.SinceWithRemovals(now, since[t]))
		case replica.Rev(topic) <= since[t], since[t] != 0 && !full && !replica.HasChangesSince(topic, since[t]) && replica.Len(topic) > maxUnaskedFull:
			continue
		default:
			n.Updates = append(n.Updates, replica.Since(now, topic, since[t]))
		}
		age := clock.Milli(-1) // the age is that of the newest revision, which SinceWithRemovals may not reach
		if n.Updates[len(n.Updates)-1].Rev == replica.Rev(topic) {
			age = wireAge(d.reader.Age(now, topic))
		}
		n.Ages = append(n.Ages, age)
	}
	return n
}

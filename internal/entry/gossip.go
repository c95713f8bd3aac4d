package entry

import (
	"context"
	"net/netip"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/protocol/digest"
	"coltsfootdock/internal/state/fleet"
)

const (
	// summaryInterval is the time between two regular summaries,
	// minSummaryInterval the minimum time between any two.
	summaryInterval    = 250 * clock.Milli(1)
	minSummaryInterval = 40 * clock.Milli(1)
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
	defer d.sendSupplement(now, recipients, early)
	var local []byte // encoded once for all recipients that get all loads
	for _, to := range recipients {
		if dc, remote := d.membership.RemoteDataCentre(to); remote {
			part := *s
			part.Loads = d.core.LoadsIn(dc, s.Loads)
			d.sendToPeer(encodeSummary(&part), to)
			continue
		}
		if local == nil {
			local = encodeSummary(s)
		}
		d.sendToPeer(local, to)
	}
}

// sendSupplement sends what the summary has no place for. After an early summary, these
// are only the targets that leave requests without an answer. The caller holds d.mu.
func (d *Daemon) sendSupplement(now clock.Milli, recipients []netip.AddrPort, early bool) {
	s := d.buildSupplement(now)
	if early {
		s = &digest.Supplement{ID: s.ID, Incarnation: s.Incarnation, Seq: s.Seq, Unanswered: s.Unanswered}
	}
	if s.IsEmpty() {
		return
	}
	data, err := digest.Encode(s)
	if err != nil {
		panic(err) // unreachable: all fields of a supplement can be encoded
	}
	for _, to := range recipients {
		d.sendToPeer(data, to)
	}
}

// buildSupplement returns the supplement to the last summary. The caller holds d.mu.
func (d *Daemon) buildSupplement(now clock.Milli) *digest.Supplement {
	return &digest.Supplement{
		ID: d.cfg.ID, Incarnation: d.incarnation, Seq: d.seq,
		Rates: d.core.PoolRates(), Demands: d.core.PoolDemands(now), Unanswered: d.core.Unanswered(now),
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
			Unproved: d.core.Replica().Rev(topic) - d.reader.Proof(topic).Rev, ProofAge: wireAge(d.reader.ProofAge(now, topic)),
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
		if err := d.handlePeerMessage(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n]); err != nil {
			d.metrics.badPeerMessages.Inc()
			d.log.sampledf("peers: dropped an invalid message from %s: %s", from, err)
		}
		return nil
	})
}

// handlePeerMessage decodes and handles a peer's summary or supplement.
func (d *Daemon) handlePeerMessage(from netip.AddrPort, data []byte) error {
	if digest.IsSupplement(data) {
		s, err := digest.Decode[digest.Supplement](data)
		if err == nil {
			d.handleSupplement(from, s)
		}
		return err
	}
	s, err := digest.Decode[digest.Summary](data)
	if err == nil {
		d.handleSummary(from, s)
	}
	return err
}

// handleSupplement applies a supplement of a peer's current run. One that comes twice or
// late is dropped.
func (d *Daemon) handleSupplement(from netip.AddrPort, s *digest.Supplement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.membership.RecordSupplement(from, s.Incarnation, s.Seq) {
		return
	}
	d.core.ApplyPeerRates(d.clock.Now(), d.membership.DataCentreOf(from) == d.cfg.DataCentre, s.Rates, s.Demands)
	d.core.ApplyUnanswered(d.clock.Now(), s.ID, s.Unanswered)
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
	behind := d.compareViews(now, from, s)
	// A new daemon pulls from a peer even if its revisions are current, because
	// the removed targets are known only to peers, not to the store. A peer that is as new
	// knows none; such pulls kept the queue and the peers' slots busy when a fleet started.
	if behind || !d.removalsPulled && s.Topics[fleet.Targets].Rev != 0 {
		select {
		case d.pullQueue <- from:
		default: // a pull is queued already
		}
	}
}

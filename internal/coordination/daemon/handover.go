package daemon

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/homes"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
)

// handoverBatch is the maximum number of records that are handed over in one
// tick.
const handoverBatch = 2000

// recordsByPeer collects records by the daemon that they are sent to.
type recordsByPeer map[*member.Peer][]peer.FlowRecord

// queueHandover queues all confirmed records for handover. It is called when
// a list of homes is learned and when one takes effect.
func (m *Machine) queueHandover() {
	m.handoverQueue = m.handoverQueue[:0]
	m.records.Each(func(k flow.Key, r record.Record) {
		if r.Confirmed() {
			m.handoverQueue = append(m.handoverQueue, k)
		}
	})
}

// handOverQueued hands up to handoverBatch queued records over to the daemons
// that became their homes.
func (m *Machine) handOverQueued(now clock.Milli) {
	n := min(len(m.handoverQueue), handoverBatch)
	if n == 0 {
		return
	}
	out := make(recordsByPeer)
	for _, k := range m.handoverQueue[:n] {
		m.handOver(now, out, k)
	}
	m.handoverQueue = m.handoverQueue[n:]
	m.sendRecords(out, false)
}

// handOver adds the record of one flow to out for each home that was not a
// home before. The previous homes hand over; any other daemon does so only if
// it can reach neither of them.
func (m *Machine) handOver(now clock.Milli, out recordsByPeer, k flow.Key) {
	r, ok := m.records.Get(k)
	if !ok {
		return
	}
	hash := k.Hash()
	previous := m.homes.Previous(hash)
	if !previous.Has(m.members.Num()) && m.anyReachable(now, previous) {
		return
	}
	m.addRecord(out, m.homes.Newest(hash), previous, peer.FlowRecord{Key: k.Append(nil), Target: r.Target})
}

// addRecord adds a record to out for each other daemon that is in pair but
// not in before.
func (m *Machine) addRecord(out recordsByPeer, pair, before homes.Pair, r peer.FlowRecord) {
	for _, n := range pair.Num[:pair.N] {
		if p := m.members.ByNum(n); p != nil && !before.Has(n) {
			out[p] = append(out[p], r)
		}
	}
}

// isHome reports whether this daemon is a home of a flow.
func (m *Machine) isHome(k flow.Key) bool {
	return m.homes.Pair(k.Hash()).Has(m.members.Num())
}

// anyReachable reports whether this daemon can reach one of the homes.
func (m *Machine) anyReachable(now clock.Milli, pair homes.Pair) bool {
	return slices.ContainsFunc(pair.Num[:pair.N], func(n peer.Num) bool {
		p := m.members.ByNum(n)
		return p != nil && p.Reachable(now)
	})
}

// sendRecords sends collected records. proposed is set if they are not
// confirmed by a home.
func (m *Machine) sendRecords(out recordsByPeer, proposed bool) {
	for _, p := range m.members.Peers() {
		if len(out[p]) > 0 {
			m.send(p, peer.Message{Records: &peer.Records{Proposed: proposed, Records: out[p]}}, false)
		}
	}
}

// sendEndedFlows tells all daemons to drop the records of flows that have
// ended. Such a record has no target.
func (m *Machine) sendEndedFlows() {
	if len(m.endedFlows) == 0 {
		return
	}
	var list []peer.FlowRecord
	for _, k := range m.endedFlows {
		list = append(list, peer.FlowRecord{Key: k.Append(nil)})
	}
	m.endedFlows = m.endedFlows[:0]
	for _, p := range m.members.Peers() {
		m.send(p, peer.Message{Records: &peer.Records{Records: list}}, false)
	}
}

// storeRecords stores records received from another daemon. An existing
// record is kept, unless it is only proposed. A received record is stored as
// a proposal as long as this daemon is not a home of the flow, since the
// homes may still change it.
func (m *Machine) storeRecords(now clock.Milli, list *peer.Records) {
	for _, r := range list.Records {
		k, ok := flow.DecodeKey(r.Key)
		if !ok {
			continue
		}
		if r.Target == 0 {
			m.records.Delete(k)
			continue
		}
		existing, known := m.records.Get(k)
		home := m.isHome(k)
		switch {
		case known && existing.Confirmed():
		case home && !list.Proposed:
			m.records.Put(now, k, r.Target)
		case !known || !list.Proposed:
			m.records.Propose(now, k, r.Target)
		}
	}
}

// proposeRecentOpens sends the homes the latest opens in buckets that have
// started to move, so that a repeated first packet reaches the same target.
// They are stored here as proposals only, because a home that this daemon
// does not reach may have a different record.
func (m *Machine) proposeRecentOpens(now clock.Milli) {
	out := make(recordsByPeer)
	m.recent.Since(now-recentWindow, func(o record.Open) {
		e := m.view.Entry(o.Key.Service())
		if e == nil {
			return
		}
		hash := o.Key.Hash()
		b, ok := e.Table.At(now, flow.Bucket(hash))
		if !ok || !b.ConsultRecords {
			return
		}
		if _, known := m.records.Get(o.Key); known {
			return
		}
		m.records.Propose(now, o.Key, o.Target)
		m.addRecord(out, m.homes.Pair(hash), homes.Pair{}, peer.FlowRecord{Key: o.Key.Append(nil), Target: o.Target})
	})
	m.sendRecords(out, true)
}

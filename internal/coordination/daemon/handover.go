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

// handoverBatch is how many records are looked at in one tick.
const handoverBatch = 2000

// batches collects records by the daemon that they go to.
type batches map[*member.Peer][]peer.FlowRecord

// rehome queues all agreed records for handover when a list of homes was
// learned or took effect.
func (m *Machine) rehome() {
	m.queue = m.queue[:0]
	m.records.Each(func(k flow.Key, r record.Record) {
		if r.Confirmed() {
			m.queue = append(m.queue, k)
		}
	})
}

// drainQueue hands queued records to the daemons that became their homes, a
// bounded number a tick.
func (m *Machine) drainQueue(now clock.Milli) {
	n := min(len(m.queue), handoverBatch)
	if n == 0 {
		return
	}
	out := make(batches)
	for _, k := range m.queue[:n] {
		m.handOver(now, out, k)
	}
	m.queue = m.queue[n:]
	m.sendBatches(out, false)
}

// handOver adds the record of one flow for each of its homes that was none
// before. The former homes hand over; any other daemon does only if both of
// them are lost.
func (m *Machine) handOver(now clock.Milli, out batches, k flow.Key) {
	r, ok := m.records.Get(k)
	if !ok {
		return
	}
	hash := k.Hash()
	old := m.homes.Old(hash)
	if !old.Has(m.set.Num()) && m.anyNear(now, old) {
		return
	}
	m.addBatches(out, m.homes.New(hash), old, peer.FlowRecord{Key: k.Append(nil), Target: r.Target})
}

// addBatches adds a record for each other daemon of a pair that is not in the
// pair before.
func (m *Machine) addBatches(out batches, pair, before homes.Pair, r peer.FlowRecord) {
	for _, n := range pair.Num[:pair.N] {
		if p := m.set.ByNum(n); p != nil && !before.Has(n) {
			out[p] = append(out[p], r)
		}
	}
}

// isHome reports whether this daemon is a home of a flow.
func (m *Machine) isHome(k flow.Key) bool {
	return m.homes.Pair(k.Hash()).Has(m.set.Num())
}

// anyNear reports whether one of a pair is within reach.
func (m *Machine) anyNear(now clock.Milli, pair homes.Pair) bool {
	return slices.ContainsFunc(pair.Num[:pair.N], func(n peer.Num) bool {
		p := m.set.ByNum(n)
		return p != nil && p.Near(now)
	})
}

func (m *Machine) sendBatches(out batches, proposed bool) {
	for _, p := range m.set.Peers() {
		if len(out[p]) > 0 {
			m.send(p, peer.Message{Records: &peer.Records{Proposed: proposed, Records: out[p]}}, false)
		}
	}
}

// sendForgotten tells all daemons to drop the records of flows that ended.
func (m *Machine) sendForgotten() {
	if len(m.forgotten) == 0 {
		return
	}
	var list []peer.FlowRecord
	for _, k := range m.forgotten {
		list = append(list, peer.FlowRecord{Key: k.Append(nil)})
	}
	m.forgotten = m.forgotten[:0]
	for _, p := range m.set.Peers() {
		m.send(p, peer.Message{Records: &peer.Records{Records: list}}, false)
	}
}

// takeRecords stores records that another daemon hands over. A record that
// this daemon has already is kept, unless it is only proposed. Before this
// daemon is a home of the flow the record is a proposal: the homes may still
// change it.
func (m *Machine) takeRecords(now clock.Milli, list *peer.Records) {
	for _, r := range list.Records {
		k, ok := flow.DecodeKey(r.Key)
		if !ok {
			continue
		}
		if r.Target == 0 {
			m.records.Delete(k)
			continue
		}
		old, known := m.records.Get(k)
		home := m.isHome(k)
		switch {
		case known && old.Confirmed():
		case home && !list.Proposed:
			m.records.Put(now, k, r.Target)
		case !known || !list.Proposed:
			m.records.Propose(now, k, r.Target)
		}
	}
}

// pinRecent tells the homes the latest opens of buckets that started to move,
// so that a repetition of a first packet finds the same target. Here they are
// only hints: a home that this daemon does not reach may know better.
func (m *Machine) pinRecent(now clock.Milli) {
	out := make(batches)
	m.recent.Since(now-recentWindow, func(o record.Open) {
		e := m.view.Entry(o.Key.Service())
		if e == nil {
			return
		}
		hash := o.Key.Hash()
		b, ok := e.Table.At(now, flow.Bucket(hash))
		if !ok || !b.Consult {
			return
		}
		if _, known := m.records.Get(o.Key); known {
			return
		}
		m.records.Propose(now, o.Key, o.Target)
		m.addBatches(out, m.homes.Pair(hash), homes.Pair{}, peer.FlowRecord{Key: o.Key.Append(nil), Target: o.Target})
	})
	m.sendBatches(out, true)
}

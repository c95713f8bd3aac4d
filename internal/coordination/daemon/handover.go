package daemon

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/member"
	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/internal/state/record"
)

// handoverBatch is how many records are looked at in one tick.
const handoverBatch = 2000

// batches collects records by the daemon that they go to.
type batches map[*member.Peer][]peer.FlowRecord

// rehome queues all records for handover when the set of homes changed.
func (m *Machine) rehome() {
	m.homes = m.set.HomeNums(m.homes)
	slices.Sort(m.homes)
	if slices.Equal(m.homes, m.lastHomes) {
		return
	}
	m.lastHomes = append(m.lastHomes[:0], m.homes...)
	m.queue = m.queue[:0]
	m.records.Each(func(k flow.Key, _ record.Record) {
		m.queue = append(m.queue, k)
	})
}

// drainQueue hands queued records to the daemons that became their homes, a
// bounded number a tick.
func (m *Machine) drainQueue() {
	n := min(len(m.queue), handoverBatch)
	if n == 0 {
		return
	}
	out := make(batches)
	for _, k := range m.queue[:n] {
		m.handOver(out, k)
	}
	m.queue = m.queue[n:]
	m.sendBatches(out)
}

// handOver adds the record of one flow for each of its homes that was none
// before. The former homes hand over; any other daemon does only if both of
// them are lost.
func (m *Machine) handOver(out batches, k flow.Key) {
	r, ok := m.records.Get(k)
	if !ok {
		return
	}
	hash := k.Hash()
	former := m.set.Former(hash)
	if !former.Has(m.set.Num()) && m.anyHome(former) {
		return
	}
	m.set.Homes(hash).Each(func(p *member.Peer) {
		if !former.Has(p.Num) {
			out[p] = append(out[p], peer.FlowRecord{Key: k.Append(nil), Target: r.Target})
		}
	})
}

// anyHome reports whether one of a pair may still be a home.
func (m *Machine) anyHome(pair member.Pair) bool {
	return slices.ContainsFunc(m.homes, pair.Has)
}

func (m *Machine) sendBatches(out batches) {
	for _, p := range m.set.Peers() {
		if len(out[p]) > 0 {
			m.send(p, peer.Message{Records: &peer.Records{Records: out[p]}}, false)
		}
	}
}

// Pending returns how many records wait to be handed over.
func (m *Machine) Pending() int {
	return len(m.queue)
}

// takeRecords stores records that another daemon hands over. A record that
// this daemon has already is kept.
func (m *Machine) takeRecords(now clock.Milli, list []peer.FlowRecord) {
	for _, r := range list {
		k, ok := flow.DecodeKey(r.Key)
		if !ok {
			continue
		}
		if _, known := m.records.Get(k); !known {
			m.records.Put(now, k, r.Target)
		}
	}
}

// pinRecent records the latest opens of buckets that started to move, here
// and at their homes, so that a repetition of a first packet finds the same
// target.
func (m *Machine) pinRecent(now clock.Milli) {
	out := make(batches)
	m.recent.Since(now-repeatWindow, func(o record.Open) {
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
		m.records.Put(now, o.Key, o.Target)
		m.set.Homes(hash).Each(func(p *member.Peer) {
			out[p] = append(out[p], peer.FlowRecord{Key: o.Key.Append(nil), Target: o.Target})
		})
	})
	m.sendBatches(out)
}

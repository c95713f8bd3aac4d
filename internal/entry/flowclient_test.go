package entry

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

// simFlow is a client's flow.
type simFlow struct {
	index  int
	tuple  flow.Tuple
	cookie uint32
	// code is that of the target when a daemon sent it the first packet.
	code   fleet.Code
	seq    uint32
	ack    uint32
	target *simTarget
	pace   clock.Milli
	limit  clock.Milli
	idle   bool
	state  flowPhase
	// nextAt is when the next request is due, sentAt when the packet without an answer
	// was first sent, retryAt when it is due again, answerAt when its answer arrives.
	nextAt   clock.Milli
	sentAt   clock.Milli
	retryAt  clock.Milli
	answerAt clock.Milli
	retries  uint32
	// closes is set if the target closes the flow with its answer.
	closes bool
	// endedAt is when the flow was over, by a daemon's reset if reset is set.
	endedAt clock.Milli
	reset   bool
	reason  steer.Reason
}

// flowPhase is what a client's flow does.
type flowPhase uint8

const (
	opening flowPhase = iota
	resting
	waiting
	over
)

// wrongReset is a reset of an open flow whose target serves it.
type wrongReset struct {
	at     clock.Milli
	target schema.TargetID
	daemon schema.VMID
	reason steer.Reason
	// old is set if the daemon's record of the flow is older than the flow's last packet.
	old bool
	// busy is set if a request waited for its answer.
	busy bool
}

// send sends a packet of a flow's client. Its wire form names the flow and the packet.
func (f *flowSim) send(x *simFlow, s flow.Segment) {
	if len(f.rotation) == 0 {
		return
	}
	d := f.daemonFor(x)
	if d.returns != 0 {
		return
	}
	s.Tuple, s.Seq, s.Cookie = x.tuple, x.seq, x.cookie
	if !s.Open {
		s.Ack = x.ack
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(x.tuple.Client[2])<<24|uint32(x.tuple.Client[3])<<16|uint32(x.tuple.ClientPort))
	b = binary.BigEndian.AppendUint32(b, x.seq)
	b = binary.BigEndian.AppendUint16(b, s.Len)
	if s.Open {
		b = append(b, 1)
	}
	d.handlePacket(b, &s)
}

// receive takes a packet at the target that a daemon sent it to.
func (f *flowSim) receive(b []byte, t *steer.Target) {
	x := f.byTuple[f.tupleOf(binary.BigEndian.Uint32(b))]
	h := f.atAddr[t.Address]
	if x == nil || x.state == over || h == nil || !h.running || h.entry.Number != t.Number {
		return
	}
	isOpen, seq, n := len(b) > 10, binary.BigEndian.Uint32(b[4:]), binary.BigEndian.Uint16(b[8:])
	switch {
	case isOpen && x.target == nil:
		x.target, x.code, x.answerAt = h, t.Code, f.now+simStep
		h.held[x.tuple] = true
		h.openedAt = append(h.openedAt, f.now)
	case isOpen || n == 0 || x.target != h || !h.held[x.tuple]:
	case x.state == waiting && seq == x.seq && x.answerAt == 0:
		x.answerAt, x.closes = f.now+simStep, h.entry.Draining || f.shortFlows
	}
}

// tupleOf returns the tuple of a client's number.
func (f *flowSim) tupleOf(n uint32) flow.Tuple {
	t := flow.Tuple{Client: [4]byte{100, 64, byte(n >> 24), byte(n >> 16)}, ClientPort: uint16(n), ServicePort: 80}
	t.ServiceAddress = [4]byte{198, 18, 0, byte(n%uint32(len(simPools)) + 1)}
	return t
}

// open has a client open a new flow.
func (f *flowSim) open(i int) {
	f.ports++
	x := &simFlow{
		index: i, tuple: f.tupleOf(uint32(f.ports)), seq: 1000, ack: 5000,
		pace: f.between(300, 3000), limit: f.between(1000, 1200), idle: i%idleShare == 0,
	}
	f.flows[i], f.byTuple[x.tuple] = x, x
	f.await(x, opening)
	f.send(x, flow.Segment{Open: true})
}

// await has a client wait for the answer to a packet that it sends now.
func (f *flowSim) await(x *simFlow, p flowPhase) {
	x.state, x.sentAt, x.retryAt, x.retries, x.answerAt = p, f.now, f.now+firstRetry, 0, 0
}

// act does what is due of a flow.
func (f *flowSim) act(x *simFlow) {
	switch {
	case x.state == over:
		if f.now-x.endedAt >= firstRetry {
			f.open(x.index)
		}
	case x.answerAt != 0 && f.now >= x.answerAt:
		f.answer(x)
	case x.state == resting && f.now >= x.nextAt:
		f.await(x, waiting)
		f.send(x, flow.Segment{Len: requestLen})
	case x.state == resting:
	case f.now-x.sentAt >= x.limit:
		f.finish(x)
	case f.now >= x.retryAt:
		x.retries++
		x.retryAt = f.now + min(maxRetry, firstRetry<<x.retries)
		if x.state == opening {
			f.send(x, flow.Segment{Open: true, Retransmissions: x.retries})
		} else {
			f.send(x, flow.Segment{Len: requestLen})
		}
	}
}

// answer has a client take the answer of its target.
func (f *flowSim) answer(x *simFlow) {
	x.answerAt = 0
	if x.state == opening {
		x.cookie = uint32(x.code)
		x.seq++
	} else {
		x.seq += requestLen
		x.ack += answerLen
	}
	x.state = resting
	x.nextAt = f.now + f.between(x.pace*8/10, x.pace*12/10)
	if f.shortFlows {
		x.nextAt = f.now
	} else if x.idle {
		x.nextAt = f.now + f.between(5000, 20000)
	}
	f.send(x, flow.Segment{Close: x.closes})
	if x.closes {
		f.finish(x)
	}
}

// finish ends a flow at its client.
func (f *flowSim) finish(x *simFlow) {
	x.state, x.endedAt = over, f.now
	if x.target != nil {
		delete(x.target.held, x.tuple)
	}
}

// noteReset takes a daemon's reset of a flow.
func (f *flowSim) noteReset(by schema.VMID, e *steer.FlowReset) {
	x := f.byTuple[e.Tuple]
	if x == nil || x.state == over || x.ack-e.Ack > resetWindow {
		return
	}
	if h := x.target; x.state != opening && h != nil && h.running && !h.dark && h.held[x.tuple] {
		f.wrong = append(f.wrong, wrongReset{
			at: f.now, target: h.entry.ID, daemon: by, reason: e.Reason, old: e.Ack != x.ack, busy: x.state == waiting,
		})
	}
	x.reset, x.reason = true, e.Reason
	f.finish(x)
}

// resetTimes sums up the ends of the flows of dead targets.
type resetTimes struct {
	// flows is how many there were, reset how many daemons reset, timedOut how many had
	// a request that waited until its client gave up.
	flows, reset, timedOut int
	reasons                map[steer.Reason]int
	// byDeath are the times from the target's end to the reset, byRemoval those from the
	// removal of its entry if the reset came later.
	byDeath, byRemoval []clock.Milli
	// late describes the flows that were open for longer than the bound.
	late []string
}

// resetTimes returns the times of the flows of targets that left, or else of those that
// vanished, with a bound after the end and the removal of the entry.
func (f *flowSim) resetTimes(left bool, bound clock.Milli) *resetTimes {
	r := &resetTimes{reasons: make(map[steer.Reason]int)}
	for _, d := range f.deaths {
		if d.left != left {
			continue
		}
		for _, x := range d.flows {
			r.flows++
			switch {
			case x.state != over:
			case !x.reset:
				r.timedOut++
			default:
				r.reset++
				r.reasons[x.reason]++
				r.byDeath = append(r.byDeath, x.endedAt-d.at)
				if x.endedAt >= d.removedAt && d.removedAt != 0 {
					r.byRemoval = append(r.byRemoval, x.endedAt-d.removedAt)
				}
			}
			if x.state != over || x.endedAt > max(d.at, d.removedAt)+bound {
				r.late = append(r.late, fmt.Sprintf("%s at %s, which ended at %d", x.tuple.Source(), x.target.entry.ID, d.at))
			}
		}
	}
	slices.Sort(r.byDeath)
	slices.Sort(r.byRemoval)
	return r
}

// String implements fmt.Stringer.
func (r *resetTimes) String() string {
	quantiles := func(list []clock.Milli) string {
		if len(list) == 0 {
			return "none"
		}
		return fmt.Sprintf("%d/%d/%d ms", list[len(list)/2], list[len(list)*9/10], list[len(list)-1])
	}
	return fmt.Sprintf("%d flows, %d reset %v, %d timed out, %d late; median/90%%/longest after the end %s, after the entry (%d) %s",
		r.flows, r.reset, r.reasons, r.timedOut, len(r.late), quantiles(r.byDeath), len(r.byRemoval), quantiles(r.byRemoval))
}

// wrongResets sums up the resets of flows whose targets serve.
func (f *flowSim) wrongResets() string {
	if len(f.wrong) == 0 {
		return ""
	}
	reasons, targets, daemons := map[steer.Reason]int{}, map[schema.TargetID]bool{}, map[schema.VMID]bool{}
	old, busy := 0, 0
	for _, w := range f.wrong {
		reasons[w.reason]++
		targets[w.target], daemons[w.daemon] = true, true
		if w.old {
			old++
		}
		if w.busy {
			busy++
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d of %d open flows reset at %d targets that serve them, by %d daemons:", len(f.wrong), len(f.flows), len(targets), len(daemons))
	for r := range steer.Reasons {
		if reasons[r] > 0 {
			fmt.Fprintf(&b, " %s %d", r, reasons[r])
		}
	}
	fmt.Fprintf(&b, "; %d by old records, %d with a request under way; the first:", old, busy)
	for _, w := range f.wrong[:min(3, len(f.wrong))] {
		fmt.Fprintf(&b, " %s by %s at %d (%s)", w.target, w.daemon, w.at, w.reason)
	}
	return b.String()
}

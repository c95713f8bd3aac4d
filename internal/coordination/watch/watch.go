// Package watch decides when a daemon reads the platform's store, and tracks the
// age of its replica.
//
// A daemon's replica of a topic is complete up to a revision. A read of the store,
// by this daemon or by a peer, confirms that this was the store's newest revision
// when the read began; the time since then is the topic's age. One daemon, that of
// rank zero among the live ones, reads for all, and daemons pass revisions and ages
// on in their summaries. A daemon whose ages exceed its own threshold reads the
// store itself. Thresholds grow with rank, so the next rank takes over from a failed
// reader without an election, and a daemon that is cut off from its peers reads on
// its own.
//
// The store has one revision counter for all topics, so the answer to a read of one
// topic confirms every topic whose replica has reached the revision in the answer.
//
// A revision is a claim, not a proof: stale lists and watches may state one without
// the changes before it. Only a current list shows what the store holds. So the
// reader lists the configuration and the outs instead of watching them, again and
// again, and asks for changes of the targets a second time once watches must have
// heard of them. Each daemon keeps its Proof apart from its claim and passes both on, so
// that whoever reads next asks for the changes since the proof.
//
// Invariants:
//   - The age of a topic is never less than the time since the confirming read
//     began.
//   - A topic is confirmed only if its replica is grounded: it rests on a current
//     list, of this daemon or of a peer.
//   - A claim stays in doubt until it is proved, whoever made it and whoever reads.
//   - A claim or a proof of one era of the store is none for a later one.
package watch

import (
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// Fractions of the bound of a topic.
const (
	// A long poll lasts 1/longPollDivisor of the tightest bound. A topic that is listed
	// is not listed again for 1/longPollDivisor of its own.
	longPollDivisor = 6
	// A daemon of rank one reads at an age of takeoverFraction of the bound, and
	// every further rank up to maxTakeoverRank takeoverStepFraction later.
	takeoverFraction     = 0.43
	takeoverStepFraction = 0.1
	maxTakeoverRank      = 3
	// Likewise for changes in doubt, from the time at which the reader should have asked
	// for them again. A proof takes less to reach all peers than a takeover, as it is
	// sent at once.
	doubtTakeoverFraction     = 0.12
	doubtTakeoverStepFraction = 0.05
	// Likewise for the lists of the configuration and the outs. A proof that is later
	// than the one before by more than lateProofFraction of the bound, as such a
	// daemon's is, is sent to peers at once.
	checkTakeoverFraction     = 0.23
	checkTakeoverStepFraction = 0.02
	lateProofFraction         = 0.7
	// The ranks from maxTakeoverRank on differ by up to maxSpread, those below
	// fullSpreadRank by less.
	maxSpread      = 0.1
	fullSpreadRank = 16
	spreadExponent = 4
	// If the store has dropped the changes asked for, a daemon waits for a
	// snapshot from a peer for 1/relistDivisor of the bound, and up to as much
	// again by its jitter, before it lists the topic.
	relistDivisor = 6
	// A call takes at most 1/timeoutDivisor of the bound, if that is more than
	// minTimeout.
	timeoutDivisor = 2
	// An age that shrinks by more than 1/announceDivisor of the bound is sent to
	// peers at once.
	announceDivisor = 8
	// An age that is lower by less than 1/reportDivisor of the bound in a peer's report
	// changes nothing: that may be the time that messages took, as daemons pass one
	// read's time on to each other.
	reportDivisor = 20
)

const (
	// immediateWait is the wait of a read that the store should answer at once.
	immediateWait = 1 * clock.Milli(1)
	// minTimeout is the least time limit of a call.
	minTimeout = 700 * clock.Milli(1)
	// minReadInterval is the least time between two reads for changes.
	minReadInterval = 150 * clock.Milli(1)
	// confirmWait is how long a new daemon waits for peers to confirm its first
	// lists before it reads the store itself.
	confirmWait = 500 * clock.Milli(1)
	// snapshotWait is how long a new daemon waits for a snapshot from a peer.
	// Its jitter extends this wait and confirmWait by up to waitSpread, so that
	// few of many daemons that start together list the store.
	snapshotWait = 150 * clock.Milli(1)
	waitSpread   = 2 * clock.Second
	// jitterRange is the number of possible values of a daemon's jitter.
	jitterRange = 100
	// snapshotRequestDelay is how long a daemon is behind its peers before it asks
	// one for a snapshot.
	snapshotRequestDelay = 400 * clock.Milli(1)
	initialBackoff       = 100 * clock.Milli(1)
	maxBackoff           = 800 * clock.Milli(1)
	// maxBackoffRank is the greatest rank that lengthens the back-off further.
	maxBackoffRank = 15
)

// Call is one read of the store.
type Call struct {
	Topic fleet.Topic
	// List asks for all objects; with Stale, the answer may be some seconds old.
	// Otherwise the call asks for the changes since the revision Since and waits
	// up to Wait for one. Only a list that is not stale shows what the store holds.
	List  bool
	Stale bool
	Since schema.Version
	Wait  clock.Milli
	// Timeout limits the call, in addition to Wait. For a list it limits each page.
	Timeout clock.Milli
}

// Outcome is the result of a call.
type Outcome uint8

// The outcomes.
const (
	Read Outcome = iota
	// HistoryLost means that the store no longer has the changes asked for.
	HistoryLost
	// Failed means that there was no usable answer.
	Failed
)

// Reader schedules the reads of one daemon and tracks its revisions and ages. It
// is not safe for concurrent use.
type Reader struct {
	// bounds are the times within which changes of the topics must be in force,
	// bound is the shortest of them.
	bounds [fleet.Topics]clock.Milli
	bound  clock.Milli
	rank   int
	// alone is set while this daemon knows no live peer.
	alone     bool
	revs      [fleet.Topics]schema.Version
	confirmed [fleet.Topics]clock.Milli
	relist    [fleet.Topics]bool
	// doubtLost is set if the changes that the store dropped are those in doubt, so that
	// only a proof makes the list unnecessary.
	doubtLost [fleet.Topics]bool
	// grounded is set once the replica of a topic rests on a current list.
	grounded [fleet.Topics]bool
	checks   checks
	proofs   [fleet.Topics]Proof
	// unproved are the revisions of the targets that were held since the proof, the
	// oldest first.
	unproved []claim
	// differences are those from peers, by topic.
	differences [fleet.Topics]difference
	// newestRev is the highest known revision of the store.
	newestRev schema.Version
	// peerRevs are the highest revisions of the topics at the peers. behindSince
	// is the time since which this daemon's revision has been lower, Never if it
	// is not.
	peerRevs    [fleet.Topics]schema.Version
	behindSince [fleet.Topics]clock.Milli
	inFlight    bool
	// era is the newest known era of the store, eraAt the time from which it is known.
	era   uint16
	eraAt clock.Milli
	// listedAt is when the last of the stale first lists ended, or when the
	// snapshots of a peer had made them unnecessary.
	listedAt clock.Milli
	lastDone clock.Milli
	backoff  clock.Milli
	// timeout is that of the next call.
	timeout clock.Milli
	// announce is set if a revision or an age changed so that peers should get it
	// soon.
	announce bool
	// awaitSince is the start of the wait for a peer's snapshot, Never if the
	// daemon does not wait for one.
	awaitSince clock.Milli
	// clientsWait is set once packets are held until the deployment is known, newFleet
	// once most peers that this daemon heard when it started did not know it.
	// heardInformed is set if one did.
	clientsWait   bool
	newFleet      bool
	heardInformed bool
	// historyLostAt is the time of the last call with the outcome HistoryLost.
	historyLostAt clock.Milli
	// paused is set from a pause of this process until SettleAges.
	paused bool
	// jitter, less than jitterRange, spreads the waits and thresholds of daemons.
	jitter clock.Milli
}

// New returns the reader of a daemon. The bound is the shortest time within which
// a change must be in force; jitter should differ between daemons.
func New(bound clock.Milli, jitter uint64) *Reader {
	r := &Reader{timeout: minTimeout, alone: true, lastDone: clock.Never, listedAt: clock.Never, awaitSince: clock.Never, historyLostAt: clock.Never, jitter: clock.Milli(jitter % jitterRange)}
	for t := range r.confirmed {
		r.bounds[t] = bound
		r.confirmed[t], r.behindSince[t] = clock.Never, clock.Never
		r.checks.listed[t] = clock.Never
		r.proofs[t] = noProof
		r.differences[t] = difference{since: clock.Never, reported: clock.Never, pulled: clock.Never}
	}
	r.checks.targetsDue, r.checks.polled = clock.Never, clock.Never
	r.SetBounds(r.bounds)
	return r
}

// AwaitPeers makes the first lists wait for a snapshot from a peer, which costs the
// store nothing. EndAwait ends the wait.
func (r *Reader) AwaitPeers(now clock.Milli) { r.awaitSince = now }

// EndAwait shortens the wait of AwaitPeers, as packets are held until the deployment
// is known.
func (r *Reader) EndAwait() { r.clientsWait = true }

// jitterDelay returns the part of waitSpread that this daemon's jitter adds to a
// wait for peers.
func (r *Reader) jitterDelay() clock.Milli { return r.jitter * waitSpread / jitterRange }

// awaitsSnapshot reports whether this daemon, which has to list a topic, should
// still wait for a peer's snapshot instead.
func (r *Reader) awaitsSnapshot(now clock.Milli, t fleet.Topic) bool {
	if r.relist[t] {
		wait := r.bound / relistDivisor
		spread := wait * r.jitter / jitterRange
		if r.doubtLost[t] {
			wait = 0 // no peer has a snapshot that shows more
		}
		return r.rank != 0 && !r.alone && now-r.historyLostAt < wait+spread
	}
	return r.awaitSince != clock.Never && now-r.awaitSince < r.startWait()
}

// SetBounds sets the times within which changes of the topics must be in force.
func (r *Reader) SetBounds(bounds [fleet.Topics]clock.Milli) {
	r.bounds, r.bound = bounds, slices.Min(bounds[:])
}

// SetRank sets the daemon's rank among the live ones, and whether it is the only
// one.
func (r *Reader) SetRank(n int, alone bool) { r.rank, r.alone = n, alone }

// Grounded reports whether the replica of a topic rests on a current list.
func (r *Reader) Grounded(t fleet.Topic) bool { return r.grounded[t] }

// Age returns the time since a topic was confirmed.
func (r *Reader) Age(now clock.Milli, t fleet.Topic) clock.Milli { return now - r.confirmed[t] }

// OldestAge returns the greatest of the topics' ages.
func (r *Reader) OldestAge(now clock.Milli) clock.Milli {
	oldest := clock.Milli(0)
	for t := range r.confirmed {
		oldest = max(oldest, now-r.confirmed[t])
	}
	return oldest
}

// Fresh reports whether a topic's age is low enough to refuse clients on the basis
// of it.
func (r *Reader) Fresh(now clock.Milli, t fleet.Topic) bool {
	return now-r.confirmed[t] <= r.bounds[t]*2/3
}

// overdue reports whether an age is such that this daemon reads the store itself.
func (r *Reader) overdue(now clock.Milli) bool {
	for t := range fleet.Topics {
		if r.Age(now, t) >= r.takeoverAge(t) {
			return true
		}
	}
	return false
}

// takeoverAge returns the age of a topic from which this daemon reads the store
// itself.
func (r *Reader) takeoverAge(t fleet.Topic) clock.Milli {
	if r.rank == 0 {
		return 0
	}
	return r.afterRanks(t, takeoverFraction, takeoverStepFraction)
}

// afterRanks returns the time that this daemon leaves to those of lower ranks: a fraction
// of a topic's bound for the reader, and a step for each further rank.
func (r *Reader) afterRanks(t fleet.Topic, fraction, step float64) clock.Milli {
	step *= float64(min(r.rank, maxTakeoverRank) - 1)
	return clock.Milli(float64(r.bounds[t])*(fraction+step+r.spread())) + r.jitter
}

// spread returns the fraction of a bound by which this daemon waits longer than the first
// of the ranks from maxTakeoverRank on, which all may take over. The jitter is stretched
// so that most wait nearly the longest and learn before then that others have read.
func (r *Reader) spread() float64 {
	if r.rank < maxTakeoverRank {
		return 0
	}
	longest := maxSpread * min(1, float64(r.rank)/fullSpreadRank)
	return longest * math.Log1p(float64(r.jitter)/float64(jitterRange)*math.Expm1(spreadExponent)) / spreadExponent
}

// Next returns the read to make now, if any. The caller must report its end to
// Done.
func (r *Reader) Next(now clock.Milli) (Call, bool) {
	r.noteClaim(now)
	if r.inFlight || now < r.backoffEnd() {
		return Call{}, false
	}
	c, ok := r.nextCall(now)
	c.Timeout = r.timeout
	r.inFlight = ok
	return c, ok
}

func (r *Reader) nextCall(now clock.Milli) (Call, bool) {
	for i := fleet.Topic(0); i < fleet.Topics; i++ {
		t := (r.firstTopic() + i) % fleet.Topics
		if r.revs[t] == 0 || r.relist[t] {
			if r.awaitsSnapshot(now, t) {
				return Call{}, false
			}
			// The first lists may be stale: these cost the store a tenth of
			// a current one, and a peer or the next list grounds them.
			return Call{Topic: t, List: true, Stale: !r.relist[t]}, true
		}
	}
	if r.awaitSince != clock.Never && r.listedAt == clock.Never {
		r.listedAt = now // peers have sent snapshots of all topics
	}
	if t, ok := r.lastingDifference(now); ok {
		return Call{Topic: t, List: true}, true
	}
	if r.awaitsConfirmation(now) {
		return Call{}, false
	}
	reads := r.overdue(now)
	for t := range fleet.Topics {
		if reads && (!r.grounded[t] || t != fleet.Targets && r.mayHaveChanged(now, t)) {
			return Call{Topic: t, List: true}, true
		}
	}
	if t, ok := r.dueCheck(now, reads); ok {
		return Call{Topic: t, List: true}, true
	}
	if reads || r.doubtOverdue(now) {
		return r.poll(now)
	}
	return Call{}, false
}

// longPoll returns how long the store may wait for a change before it answers the
// reader.
func (r *Reader) longPoll() clock.Milli { return r.bound / longPollDivisor }

// poll returns the read for changes of the targets, unless the last read ended just
// now.
func (r *Reader) poll(now clock.Milli) (Call, bool) {
	if now-r.lastDone < minReadInterval {
		return Call{}, false
	}
	wait := r.pollWait(now)
	if r.rank != 0 || r.confirmed[fleet.Targets] == clock.Never || r.backoff > 0 {
		wait = immediateWait
	}
	return Call{Topic: fleet.Targets, Since: r.watchSince(now), Wait: wait}, true
}

// awaitsConfirmation reports whether a new daemon should still wait for peers to
// confirm its first lists.
func (r *Reader) awaitsConfirmation(now clock.Milli) bool {
	if r.newFleet && slices.Contains(r.confirmed[:], clock.Never) {
		return now-r.listedAt < r.startDelay()
	}
	if r.awaitSince != clock.Never && !r.clientsWait && !r.alone && slices.Contains(r.confirmed[:], clock.Never) {
		return now-r.listedAt < confirmWait+r.jitterDelay()
	}
	return (r.rank != 0 || r.alone) && now-r.listedAt < confirmWait
}

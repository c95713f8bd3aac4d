// Package fresh decides when a daemon reads the platform's store, and how old
// its knowledge may be.
//
// The model. Each topic is known up to a revision, confirmed by a read that
// began some time ago, made here or told by a peer. One daemon, the first by
// rank among those that live, reads for all; the ages spread between peers.
// A daemon whose ages grow past its own limit reads for itself, and limits
// grow with rank, so readers follow one another without an election, and
// daemons that are cut off read on their own.
//
// One counter numbers all changes of the store, so an answer about one topic
// that names no revision beyond what is known confirms all topics.
//
// Invariant: an age is never smaller than the time since the read began.
package fresh

import (
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

// Parts of the tightest bound of the deployment.
const (
	waitPart  = 6 // a read waits for news for a sixth of the bound
	firstPart = 0.43
	nextPart  = 0.1
	maxRank   = 3
	// relistPart is the part of the bound, and up to as much again, that a daemon
	// waits for peers before it lists what the store dropped the history of.
	relistPart = 6
	// newsPart is the part of the bound by which an age must shrink to be
	// worth telling at once.
	newsPart = 8
)

const (
	// quickWait is the wait of a read that is to answer at once.
	quickWait = 1 * clock.Milli(1)
	// betweenReads is the least time between two reads.
	betweenReads = 150 * clock.Milli(1)
	// peersFirst is how long a new daemon waits for peers to confirm what it
	// listed before it reads for itself.
	peersFirst = 500 * clock.Milli(1)
	// firstAwait is how long a new daemon waits for peers to tell it everything.
	// By its jitter it waits up to awaitSpread more, there and for peersFirst, so
	// that of many that start together few list.
	firstAwait  = 150 * clock.Milli(1)
	awaitSpread = 2 * clock.Second
	maxJitter   = 100
	// allAfter is how long peers know more before one is asked for everything.
	allAfter     = 400 * clock.Milli(1)
	firstBackoff = 100 * clock.Milli(1)
	maxBackoff   = 800 * clock.Milli(1)
	// maxSlower bounds by how much the back-off of later ranks is longer.
	maxSlower = 15
)

// Call is one read of the store.
type Call struct {
	Topic fleet.Topic
	// List asks for all objects, or how they were some seconds ago if Stale;
	// else the call asks for the changes since Since, waiting so long for one.
	List  bool
	Stale bool
	Since schema.Version
	Wait  clock.Milli
}

// Outcome tells how a call ended.
type Outcome uint8

// The outcomes.
const (
	Read Outcome = iota
	// Lost means that the store has dropped the changes asked for.
	Lost
	// Failed means that no usable answer came.
	Failed
)

// Reader is the state of one daemon's reading. It is not safe for concurrent
// use.
type Reader struct {
	bound clock.Milli
	rank  int
	// alone is set while no other daemon lives that this one knows.
	alone     bool
	revs      [fleet.Topics]schema.Version
	confirmed [fleet.Topics]clock.Milli
	relist    [fleet.Topics]bool
	// newest is the highest revision that the store is known to have.
	newest schema.Version
	// heard are the highest revisions of the topics that peers know, behind is
	// since when this daemon knows less, Never if it does not.
	heard  [fleet.Topics]schema.Version
	behind [fleet.Topics]clock.Milli
	busy   bool
	// listed is when the last first list ended, or a peer had told everything.
	listed  clock.Milli
	last    clock.Milli
	backoff clock.Milli
	// news is set when something was learned that peers should hear soon.
	news bool
	// awaits is since when peers may tell everything, Never if somebody waits for
	// it already.
	awaits clock.Milli
	// lostAt is when the store last had dropped the history that was asked for.
	lostAt clock.Milli
	// jitter, below maxJitter, spreads what daemons of equal rank do.
	jitter clock.Milli
}

// New returns the reader of a daemon. Bound is the tightest time within which
// news must be in force; jitter differs between daemons.
func New(bound clock.Milli, jitter uint64) *Reader {
	r := &Reader{bound: bound, alone: true, last: clock.Never, listed: clock.Never, awaits: clock.Never, lostAt: clock.Never, jitter: clock.Milli(jitter % maxJitter)}
	for t := range r.confirmed {
		r.confirmed[t], r.behind[t] = clock.Never, clock.Never
	}
	return r
}

// Await has the first lists wait for peers, which cost the store nothing. It ends
// with Want.
func (r *Reader) Await(now clock.Milli) { r.awaits = now }

// Want notes that packets wait for the deployment to be known.
func (r *Reader) Want() { r.awaits = clock.Never }

// later is what this daemon's jitter adds to a wait for peers.
func (r *Reader) later() clock.Milli { return r.jitter * awaitSpread / maxJitter }

// awaiting reports whether a peer may still tell everything of a topic that this
// daemon must list.
func (r *Reader) awaiting(now clock.Milli, t fleet.Topic) bool {
	if r.relist[t] {
		wait := r.bound / relistPart
		return r.rank != 0 && !r.alone && now-r.lostAt < wait+wait*r.jitter/maxJitter
	}
	return r.awaits != clock.Never && now-r.awaits < firstAwait+r.later()
}

// SetBound changes the tightest bound.
func (r *Reader) SetBound(bound clock.Milli) { r.bound = bound }

// SetRank sets the daemon's rank among those that live, and whether it is the
// only one.
func (r *Reader) SetRank(n int, alone bool) { r.rank, r.alone = n, alone }

// Age returns how long ago a topic was confirmed.
func (r *Reader) Age(now clock.Milli, t fleet.Topic) clock.Milli { return now - r.confirmed[t] }

// Oldest returns the greatest age of all topics.
func (r *Reader) Oldest(now clock.Milli) clock.Milli {
	oldest := clock.Milli(0)
	for t := range r.confirmed {
		oldest = max(oldest, now-r.confirmed[t])
	}
	return oldest
}

// Fresh reports whether a topic is confirmed recently enough to refuse by it.
func (r *Reader) Fresh(now clock.Milli, t fleet.Topic) bool {
	return now-r.confirmed[t] <= r.bound*2/3
}

// limit is the age at which this daemon reads for itself.
func (r *Reader) limit() clock.Milli {
	if r.rank == 0 {
		return 0
	}
	first := float64(r.bound) * firstPart
	step := float64(r.bound) * nextPart * float64(min(r.rank, maxRank)-1)
	return clock.Milli(first+step) + r.jitter
}

// Next returns the read to make now, if any. Each must be answered by Done.
func (r *Reader) Next(now clock.Milli) (Call, bool) {
	if r.busy || now < r.last+r.backoff {
		return Call{}, false
	}
	c, ok := r.next(now)
	r.busy = ok
	return c, ok
}

func (r *Reader) next(now clock.Milli) (Call, bool) {
	for t := fleet.Topic(0); t < fleet.Topics; t++ {
		if r.revs[t] == 0 || r.relist[t] {
			if r.awaiting(now, t) {
				return Call{}, false
			}
			// The first lists may be stale: they cost a tenth, and are
			// confirmed by a peer or by the next read.
			return Call{Topic: t, List: true, Stale: !r.relist[t]}, true
		}
	}
	if r.awaits != clock.Never && r.listed == clock.Never {
		r.listed = now // a peer told everything
	}
	if r.Oldest(now) < r.limit() || r.leavesItToPeers(now) {
		return Call{}, false
	}
	for t := fleet.Topic(0); t < fleet.Topics; t++ {
		if t != fleet.Targets && r.revs[t] < r.newest {
			return Call{Topic: t, Since: r.revs[t], Wait: quickWait}, true
		}
	}
	if now-r.last < betweenReads {
		return Call{}, false
	}
	wait := r.bound / waitPart
	if r.rank != 0 || r.confirmed[fleet.Targets] == clock.Never {
		wait = quickWait
	}
	return Call{Topic: fleet.Targets, Since: r.revs[fleet.Targets], Wait: wait}, true
}

// leavesItToPeers reports whether a new daemon should wait for peers to confirm
// what it listed.
func (r *Reader) leavesItToPeers(now clock.Milli) bool {
	if r.awaits != clock.Never && !r.alone && slices.Contains(r.confirmed[:], clock.Never) {
		return now-r.listed < peersFirst+r.later()
	}
	return (r.rank != 0 || r.alone) && now-r.listed < peersFirst
}

// Abandon forgets a read that nobody makes any more, as the duty that made it
// was started anew.
func (r *Reader) Abandon() { r.busy = false }

// Done takes the end of a read that began at the given time. Rev is the
// store's revision that it told.
func (r *Reader) Done(now, began clock.Milli, c Call, o Outcome, rev schema.Version) {
	r.busy = false
	r.last = now
	switch o {
	case Failed:
		// Of many daemons the first by rank notice the end of an outage for
		// all.
		slower := 1 + clock.Milli(min(r.rank, maxSlower))
		r.backoff = min(maxBackoff*slower, max(firstBackoff*slower*slower, 2*r.backoff))
		return
	case Lost:
		r.relist[c.Topic], r.lostAt = true, now
		r.backoff = 0
		return
	}
	r.backoff = 0
	r.newest = max(r.newest, rev)
	if c.Stale {
		r.listed = now
		r.Learn(c.Topic, rev, clock.Never)
		return
	}
	if c.List {
		r.relist[c.Topic] = false
	}
	r.Learn(c.Topic, rev, began)
	for t := range r.revs {
		if r.revs[t] >= rev {
			r.confirm(fleet.Topic(t), began)
		}
	}
}

// confirm notes that a topic was complete at the given time.
func (r *Reader) confirm(t fleet.Topic, at clock.Milli) {
	if at-r.confirmed[t] > r.bound/newsPart {
		r.news = true
	}
	r.confirmed[t] = max(r.confirmed[t], at)
}

// News reports whether there is something since the last call that peers
// should hear soon.
func (r *Reader) News() bool {
	n := r.news
	r.news = false
	return n
}

// Learn notes that a topic is known up to a revision, which a read that began
// at the given time showed to be complete.
func (r *Reader) Learn(t fleet.Topic, rev schema.Version, began clock.Milli) {
	if rev < r.revs[t] {
		return
	}
	if rev > r.revs[t] {
		r.news, r.relist[t] = true, false // the history from there on may be kept
	}
	r.revs[t] = rev
	if rev >= r.heard[t] {
		r.behind[t] = clock.Never
	}
	r.confirm(t, began)
}

// Heard takes a peer's word that the store's newest revision of a topic was
// rev at the time that it was confirmed. It reports whether the peer knows
// more. If the store answered since this daemon's last read failed, there is no
// outage to wait for the end of.
func (r *Reader) Heard(now clock.Milli, t fleet.Topic, rev schema.Version, confirmed clock.Milli) bool {
	if confirmed > r.last {
		r.backoff = min(r.backoff, maxBackoff)
	}
	if rev > r.revs[t] {
		r.newest = max(r.newest, rev)
		r.heard[t] = max(r.heard[t], rev)
		if r.behind[t] == clock.Never {
			r.behind[t] = now
		}
		return true
	}
	if rev == r.revs[t] {
		r.confirm(t, confirmed)
	}
	return false
}

// AsksAll reports whether a peer should tell everything of a topic if it can't tell
// the changes: peers have known more for a while, or the store dropped the history.
func (r *Reader) AsksAll(now clock.Milli, t fleet.Topic) bool {
	return r.relist[t] || r.behind[t] != clock.Never && now-r.behind[t] > allAfter
}

// Paused forgets the ages after a pause of this process: what waited in its
// queues is older than it says.
func (r *Reader) Paused() {
	for t := range r.confirmed {
		r.confirmed[t] = clock.Never
	}
}

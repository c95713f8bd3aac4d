package steer

import (
	"cmp"
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// unansweredFactor is the multiple of the usual time, with the queue ahead allowed
	// for, after which a request counts as without an answer. It is watched from
	// probeAfter on, so that is the minimum.
	unansweredFactor = 5
	// unansweredWindow is the age up to which such a request counts.
	unansweredWindow = 5 * clock.Second / 2
	// requestsHalfLife is the half-life of the number of requests that a target got. It is
	// measured over a shorter time than unansweredWindow, and falls once the target counts
	// as slow.
	requestsHalfLife = 2 * clock.Second
	// peerUnansweredTTL is how long a peer's report of them counts.
	peerUnansweredTTL = 2 * clock.Second
	// findingTTL is how long a daemon's finding that a target is to be withheld counts
	// elsewhere, where at least minSupport requests must have had no answer too. So a
	// large fleet, whose daemons hear only some of the reports, acts on the first of
	// them that has enough.
	findingTTL = 2 * clock.Second
	minSupport = 1
	// maxWatched bounds the requests that are watched, maxUnansweredReports the targets
	// in one report: 20 take 1 KB/s for each recipient.
	maxWatched           = 4096
	maxUnansweredReports = 20
	// A target is withheld from new flows if at least minUnanswered requests, and
	// minUnansweredShare of all, had no answer, and if these are unansweredRatio times
	// the share and unansweredSigmas standard deviations above the number that the
	// pool's other targets let expect. minUsualUnanswered is the least expected share.
	minUnanswered      = 2
	minUnansweredShare = 0.05
	unansweredRatio    = 3
	unansweredSigmas   = 5
	minUsualUnanswered = 0.01
	// withheldDivisor limits the withheld targets of a pool: at most one in this many.
	withheldDivisor = 3
	// withholdFor is how long a target gets no new flows at first, maxWithholdFor at
	// most: the time doubles if the target is withheld again within relapseWindow.
	// While requests still have no answer, it ends withholdMargin after the latest
	// report at the earliest.
	withholdFor    = 4 * clock.Second
	maxWithholdFor = 16 * clock.Second
	withholdMargin = 3 * clock.Second
	relapseWindow  = 10 * clock.Second
	// withheldTrialInterval is the mean interval between two trial flows of the whole
	// fleet on one withheld target.
	withheldTrialInterval = clock.Second
)

// unansweredStats are the requests of the last seconds that a target left without an
// answer although it acknowledged them, and what follows from them.
type unansweredStats struct {
	// own and peers are the numbers of such requests here and at the peers heard. requests
	// estimates how many the target got in all.
	own, peers int
	requests   float64
	// withheldUntil is the time until which the target gets no new flows, withheldFor the
	// duration that was last decided. From trialAt on this daemon may send it a trial flow.
	withheldUntil clock.Milli
	// foundAt is when requests without an answer last showed, here or at another daemon,
	// that the target is to be withheld, zero if never.
	foundAt     clock.Milli
	withheldFor clock.Milli
	trialAt     clock.Milli
	// reported is set once a change says that the target is withheld, until one says
	// that it no longer is.
	reported bool
}

// count returns the number of requests without an answer.
func (u *unansweredStats) count() int { return u.own + u.peers }

// allRequests returns the number of requests that the target got, at least those without
// an answer.
func (u *unansweredStats) allRequests() float64 { return max(u.requests, float64(u.count())) }

// share returns the part of the requests without an answer.
func (u *unansweredStats) share() float64 {
	if u.count() == 0 {
		return 0
	}
	return float64(u.count()) / u.allRequests()
}

// exceeds reports whether the share is clearly above the usual one.
func (u *unansweredStats) exceeds(usual float64) bool {
	n, requests := float64(u.count()), u.allRequests()
	return u.count() >= minUnanswered && u.share() >= max(minUnansweredShare, unansweredRatio*usual) &&
		n-requests*usual >= unansweredSigmas*math.Sqrt(requests*usual*(1-usual))
}

// found reports whether another daemon found lately that the target is to be withheld.
func (u *unansweredStats) found(now clock.Milli) bool {
	return u.foundAt != 0 && now-u.foundAt <= findingTTL
}

// watchedRequest is a request that had no answer within probeAfter.
type watchedRequest struct {
	pendingFlow
	target *Target
	// overdueAt is when it counts as without an answer.
	overdueAt clock.Milli
}

// WithholdingChange records that a target gets no new flows for its requests without an
// answer, or gets them again.
type WithholdingChange struct {
	ID       schema.TargetID
	Withheld bool
	// Unanswered is the number of requests without an answer, Requests the number of
	// requests heard of. Usual is the share at the pool's other targets.
	Unanswered int
	Requests   int
	Usual      float64
}

// WithholdingChanges returns the changes since the last call.
func (c *Core) WithholdingChanges() []WithholdingChange {
	list := c.withholdingChanges
	c.withholdingChanges = nil
	return list
}

// watchRequest records a request that had no answer within probeAfter, so that
// countUnanswered counts it once it is overdue.
func (c *Core) watchRequest(w pendingFlow, r *flowRecord) {
	if !c.policy.Speed.Learn || len(c.watched) >= maxWatched {
		return
	}
	t := r.target
	usual := t.limiter.usual()
	if t.limiter.queued {
		usual = t.limiter.expected()
	}
	rounds := max(1, float64(r.queuedAhead+1)/float64(max(1, t.Slots)))
	overdue := max(probeAfter, clock.Milli(unansweredFactor*usual*max(1, t.timeRatio())*rounds))
	c.watched = append(c.watched, watchedRequest{pendingFlow: w, target: t, overdueAt: w.since + overdue})
}

// countUnanswered counts the watched requests by target. Those from before the fabric
// last moved flows don't count, as their answers may have gone through other daemons.
func (c *Core) countUnanswered(now clock.Milli) {
	for _, t := range c.targets {
		t.unanswered.own, t.unanswered.peers = 0, 0
	}
	c.watched = slices.DeleteFunc(c.watched, func(w watchedRequest) bool {
		r := c.flows.records[w.tuple]
		answered := r != nil && r.target == w.target && r.requestedAt != w.since && r.lastAck > w.since
		if answered || w.since <= c.lastMovedFlow || now-w.since > unansweredWindow {
			return true
		}
		if now >= w.overdueAt {
			w.target.unanswered.own++
		}
		return false
	})
	for id, p := range c.unansweredReports {
		if now-p.receivedAt > peerUnansweredTTL {
			delete(c.unansweredReports, id)
			continue
		}
		for _, x := range p.list {
			if t := c.byCode[x.Code]; t != nil {
				t.unanswered.peers += int(x.Requests)
			}
		}
	}
	keep := math.Exp2(-float64(min(now-c.unansweredCounted, unansweredWindow)) / float64(requestsHalfLife))
	c.unansweredCounted = now
	for _, t := range c.targets {
		measured := float64(t.latency.own().n + t.latency.peers.n)
		t.unanswered.requests = max(keep*t.unanswered.requests, measured*float64(unansweredWindow)/float64(reportedTime))
	}
}

// unansweredReport is a peer's latest report.
type unansweredReport struct {
	receivedAt clock.Milli
	list       []fleet.Unanswered
}

// Unanswered returns the targets that left most of this daemon's requests without an
// answer.
func (c *Core) Unanswered(now clock.Milli) []fleet.Unanswered {
	if !c.policy.Speed.Learn || !c.trustsMisses(now) {
		return nil
	}
	var list []fleet.Unanswered
	for _, t := range c.targets {
		n, age := t.unanswered.own, clock.Milli(-1)
		if t.withheld(now) && now-t.unanswered.foundAt <= findingTTL {
			age = now - t.unanswered.foundAt
		}
		if !t.gone && (n > 0 || age >= 0) {
			list = append(list, fleet.Unanswered{Code: t.Code, Requests: uint16(min(n, math.MaxUint16)), FindingAge: age})
		}
	}
	if len(list) > maxUnansweredReports {
		slices.SortFunc(list, func(a, b fleet.Unanswered) int { return cmp.Compare(b.Requests, a.Requests) })
		list = list[:maxUnansweredReports]
	}
	return list
}

// ApplyUnanswered records a peer's report.
func (c *Core) ApplyUnanswered(now clock.Milli, from schema.VMID, list []fleet.Unanswered) {
	if c.policy.Speed.Learn && len(list) > 0 {
		c.unansweredReports[from] = unansweredReport{receivedAt: now, list: list}
		for _, x := range list {
			if t := c.byCode[x.Code]; t != nil && x.FindingAge >= 0 && x.FindingAge <= findingTTL {
				t.unanswered.foundAt = max(t.unanswered.foundAt, now-x.FindingAge)
				c.findingReceived = c.findingReceived || !t.withheld(now)
			}
		}
	}
}

// updateWithheld decides which targets get no new flows for a while because they leave
// requests without an answer.
func (c *Core) updateWithheld(now clock.Milli) {
	c.findingReceived = false
	if !c.policy.Speed.Learn {
		return
	}
	c.countUnanswered(now)
	pools := make(map[schema.Name][]*Target)
	for _, t := range c.targets {
		if t.gone || !c.acceptsNew(now, t) {
			continue
		}
		if t.unanswered.reported && !t.withheld(now) {
			c.reportWithholding(t, false, 0)
		}
		pools[t.Pool] = append(pools[t.Pool], t)
	}
	if !c.trustsMisses(now) {
		return
	}
	for _, list := range pools {
		c.withholdIn(now, list)
	}
}

// withholdIn decides which targets of a pool get no new flows. list holds those that
// accept new flows.
func (c *Core) withholdIn(now clock.Milli, list []*Target) {
	limit := len(list) / withheldDivisor
	withheld := 0
	list = slices.DeleteFunc(list, func(t *Target) bool {
		u := &t.unanswered
		if !t.withheld(now) {
			return false
		}
		withheld++
		if u.own > 0 || u.count() >= minUnanswered {
			u.foundAt = now
		}
		if u.found(now) {
			u.withheldUntil = max(u.withheldUntil, now+withholdMargin)
		}
		return true
	})
	slices.SortStableFunc(list, func(a, b *Target) int { return cmp.Compare(b.unanswered.share(), a.unanswered.share()) })
	usual := usualUnanswered(list)
	for _, t := range list {
		u := &t.unanswered
		switch {
		case withheld >= limit || u.count() < minSupport:
			return
		case u.exceeds(usual):
			u.foundAt = now
		case !u.found(now):
			continue
		}
		c.withhold(now, t, usual)
		withheld++
	}
}

// usualUnanswered returns the share of requests without an answer that is usual in a
// pool whose targets are sorted by it, the highest first. The first third may be faulty.
// The mean of the others is too low if all are alike, by about half in small numbers.
func usualUnanswered(list []*Target) float64 {
	n, requests := 0, 0.0
	for _, t := range list[len(list)/withheldDivisor:] {
		n += t.unanswered.count()
		requests += t.unanswered.allRequests()
	}
	if n == 0 {
		return minUsualUnanswered
	}
	return max(minUsualUnanswered, min(1, 2*float64(n)/requests))
}

// withhold stops new flows to a target for withholdFor, or for longer after a relapse.
func (c *Core) withhold(now clock.Milli, t *Target, usual float64) {
	u := &t.unanswered
	if u.withheldUntil != 0 && now-u.withheldUntil < relapseWindow {
		u.withheldFor = min(maxWithholdFor, 2*u.withheldFor)
	} else {
		u.withheldFor = withholdFor
	}
	u.withheldUntil = now + u.withheldFor
	u.trialAt = now + clock.Milli(c.random.Float64()*float64(c.withheldTrialInterval()))
	c.reportWithholding(t, true, usual)
	c.reportSoon = true
}

func (c *Core) reportWithholding(t *Target, withheld bool, usual float64) {
	u := &t.unanswered
	u.reported = withheld
	c.withholdingChanges = append(c.withholdingChanges, WithholdingChange{
		ID: t.ID, Withheld: withheld, Unanswered: u.count(), Requests: int(u.allRequests()), Usual: usual,
	})
}

// withheldTrialInterval returns the interval between this daemon's trial flows on a
// withheld target.
func (c *Core) withheldTrialInterval() clock.Milli {
	return withheldTrialInterval * clock.Milli(max(1, c.members))
}

// withheld reports whether the target gets no new flows but for trials.
func (t *Target) withheld(now clock.Milli) bool { return now < t.unanswered.withheldUntil }

// withholds reports whether a new flow should go elsewhere than to a target because it
// leaves requests without an answer.
func (c *Core) withholds(now clock.Milli, t *Target) bool {
	return c.policy.Speed.Learn && t.withheld(now) && now < t.unanswered.trialAt
}

// beginWithheldTrial records that a new flow was sent to a target.
func (c *Core) beginWithheldTrial(now clock.Milli, t *Target) {
	if c.policy.Speed.Learn && t.withheld(now) {
		t.unanswered.trialAt = now + c.withheldTrialInterval()
	}
}

// Withheld returns the number of targets that get no new flows but for trials.
func (c *Core) Withheld(now clock.Milli) int {
	n := 0
	for _, t := range c.targets {
		if !t.gone && t.withheld(now) {
			n++
		}
	}
	return n
}

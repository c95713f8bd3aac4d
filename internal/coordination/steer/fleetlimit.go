package steer

import (
	"cmp"
	"math"
	"slices"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/quota"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/pkg/schema"
)

const (
	// maxFleetDepth is the maximum number of requests in flight for each slot where a
	// daemon doesn't know the length of a target's queue. With 4, random placement alone
	// fills a queue of 8; with 1.6, an eighth of the slots is idle in the simulation while
	// requests on long flows wait for a busy target.
	maxFleetDepth = 2.0
	// minSubset is the minimum size of a subset: the targets of a data centre that a
	// daemon prefers. It is minUnequalSubset if the pool's targets differ in speed.
	minSubset        = 4
	minUnequalSubset = 8
	// subsetOverlap is the number of daemons of a data centre that prefer each target,
	// unequalOverlap if the pool's targets differ in speed, so that each subset holds
	// targets of each speed.
	subsetOverlap  = 2
	unequalOverlap = 4
	// freeSlotsBelow is the part of the pool's slots in use below which targets outside
	// the subset are used.
	freeSlotsBelow = 0.8
	// spareRequests is the number of requests added to a limit while the pool has free
	// slots. With more daemons than slots a limit is two or three requests, which are
	// exceeded by chance although slots are free: in the simulation of 294 daemons at a
	// third of 240 slots, 86 of 2,900 requests wait without it, 3 with it (depth 1.6). In
	// a burst nothing is added.
	spareRequests = 1
	// reportDemandFrom is the part of a pool's capacity in demand from which the demands
	// of data centres are reported. Below it, no data centre is short of capacity.
	reportDemandFrom = 0.5
	// demandHopAge is added to the age of a demand that is passed on. It stands for the
	// time that the message takes, so that a demand expires even if daemons pass it
	// around in a circle.
	demandHopAge = 25 * clock.Milli(1)
	// reportBudget bounds the bytes of one report to all recipients together, so that
	// reports every 250 ms take less than 4 KB a second. reportOverhead is the size of a
	// report without its lists, entryOverhead that of an entry without its names.
	reportBudget   = 1024
	reportOverhead = 56
	entryOverhead  = 10
	// sampledRecipients is the number of recipients in a large fleet.
	sampledRecipients = 4
	// tenths converts requests a second to the unit of reported rates.
	tenths = 10
)

// Place is a daemon's place in the fleet.
type Place struct {
	// Index is the daemon's position among the Count live daemons of its data centre, in
	// an order that is the same at all of them. Fleet is the number of all daemons.
	Index, Count, Fleet int
	// Sampled is set if daemons get the summaries of only a sample of their peers.
	Sampled bool
}

// members returns the numbers of daemons by which reports are scaled.
func (p Place) members() quota.Members { return quota.Members{Local: p.Count, Fleet: p.Fleet} }

// SetPlace sets this daemon's place in the fleet.
func (c *Core) SetPlace(p Place) { c.place = p }

// limitsFleet reports whether limits follow from reported rates and new flows go to a
// subset of the targets.
func (c *Core) limitsFleet() bool { return c.policy.Limits.Fleet && c.place.Sampled }

// sharesDataCentres reports whether capacity is divided among data centres.
func (c *Core) sharesDataCentres() bool {
	return c.policy.Shares.DataCentres && (c.policy.Limits.Fleet || !c.place.Sampled)
}

// usesRates reports whether request rates are reported and used.
func (c *Core) usesRates() bool { return c.limitsFleet() || c.sharesDataCentres() }

// endRateInterval ends an interval of the measured rates and response times.
func (c *Core) endRateInterval(now clock.Milli) {
	if !c.usesRates() {
		return
	}
	for _, l := range c.limiters {
		l.rates.EndInterval(now)
		l.demands.Expire(now)
		l.correction.Update(now, l.measured, l.depth, l.utilisation >= 1)
	}
}

// observeAnswer records the time to first byte of a request for the correction, unless a
// fault of the target or of the network may have prolonged it.
func (l *limiter) observeAnswer(now, took clock.Milli, r *flowRecord) {
	if !r.missCounted && !r.missConfirmed && r.target.latency.slowness() == 1 {
		l.correction.Observe(now, took)
	}
}

// ApplyPeerRates records a peer's report of its requests by pool and of the demands of
// data centres. local is set if the peer is in this data centre.
func (c *Core) ApplyPeerRates(now clock.Milli, local bool, rates []fleet.PoolRate, demands []fleet.PoolDemand) {
	for _, x := range rates {
		if l := c.limiters[x.Pool]; l != nil {
			l.rates.Hear(now, float64(x.Rate)/tenths, float64(x.Waiting), local)
		}
	}
	for _, x := range demands {
		if l := c.limiters[x.Pool]; l != nil && x.DataCentre != c.localDC {
			l.demands.Hear(quota.Demand{DataCentre: x.DataCentre, Rate: float64(x.Rate), At: now - x.Age})
		}
	}
}

// byDemand returns the limiters of the pools in use, the busiest first.
func (c *Core) byDemand() []*limiter {
	var list []*limiter
	for _, l := range c.limiters {
		if l.rates.InUse() {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(x, y *limiter) int { return cmp.Or(cmp.Compare(y.demand, x.demand), cmp.Compare(x.pool, y.pool)) })
	return list
}

// listBudget returns the maximum size of each of the two lists in a report, in bytes.
func (c *Core) listBudget() int {
	recipients := sampledRecipients
	if !c.place.Sampled {
		recipients = max(1, c.place.Fleet-1)
	}
	return (reportBudget/recipients - reportOverhead) / 2
}

// PoolRates returns this daemon's report of its requests, by pool. If it would be too
// large, the busiest pools have precedence.
func (c *Core) PoolRates() []fleet.PoolRate {
	if !c.usesRates() {
		return nil
	}
	var list []fleet.PoolRate
	size := 0
	for _, l := range c.byDemand() {
		if size += entryOverhead + len(l.pool); size > c.listBudget() && len(list) > 0 {
			break
		}
		list = append(list, fleet.PoolRate{
			Pool: l.pool, Rate: uint32(math.Round(tenths * l.rates.Last())), Waiting: uint16(min(len(l.waiting), math.MaxUint16)),
		})
	}
	return list
}

// PoolDemands returns the demands of the data centres on the pools that may run short of
// capacity. That of this data centre comes first, then the others, the newest first. Where
// all daemons hear each other, the first one of each data centre reports its demand.
func (c *Core) PoolDemands(now clock.Milli) []fleet.PoolDemand {
	if !c.sharesDataCentres() || !c.place.Sampled && c.place.Index > 0 {
		return nil
	}
	var list []fleet.PoolDemand
	for _, l := range c.byDemand() {
		if l.demand < reportDemandFrom*l.capacity {
			continue
		}
		own := l.rates.LocalDemand(c.place.members(), len(l.waiting))
		list = append(list, fleet.PoolDemand{Pool: l.pool, DataCentre: c.localDC, Rate: uint32(math.Round(own))})
		if !c.place.Sampled {
			continue
		}
		for _, x := range l.demands.Newest() {
			list = append(list, fleet.PoolDemand{Pool: l.pool, DataCentre: x.DataCentre, Rate: uint32(math.Round(x.Rate)), Age: now - x.At + demandHopAge})
		}
	}
	slices.SortStableFunc(list, func(x, y fleet.PoolDemand) int { return cmp.Compare(x.Age, y.Age) })
	size := 0
	for i, x := range list {
		if size += entryOverhead + len(x.Pool) + len(x.DataCentre); size > c.listBudget() && i > 0 {
			return list[:i]
		}
	}
	return list
}

// limitByRates recomputes a limit from the reported rates. unheard is as in update.
//
// The limit is this daemon's share of the capacity or, if that is more, an equal part: a
// request that comes first after a pause must not wait for a share. An equal part of the
// free slots adds to it: if each daemon might use all of them, the first second of a burst
// would put several requests for each slot in flight.
//
// Until the latency is measured, the slots in use don't follow from rates, and the
// division among data centres is left out. The latency that is assumed until then is
// several times the real one: a pool would count as full, its latency would not be
// measured because of that, and it would stay so.
func (c *Core) limitByRates(now clock.Milli, l *limiter, p *poolLoad, unheard float64) {
	m := c.place.members()
	part, byFlows := 1.0, l.limit
	busy := float64(p.ownBusy) + unheard*float64(p.peerBusy)
	l.demand, l.utilisation = busy+float64(len(l.waiting)), busy/max(1, p.capacity)
	divides := c.sharesDataCentres()
	if l.measured > 0 {
		l.demand = c.slotsFor(l, l.rates.Demand(m, len(l.waiting)))
		l.utilisation = max(busy, c.slotsFor(l, l.rates.Demand(m, 0))) / max(1, p.capacity)
	}
	if divides {
		part = c.divide(now, l) // reported also while the latency is assumed
	}
	divides = divides && l.measured > 0
	if !c.limitsFleet() {
		if !divides {
			return
		}
		l.share = part * l.rates.LocalShare(m)
		l.limit = max(1, l.capacity*l.depth*l.share, l.capacity-float64(p.peerBusy))
		return
	}
	l.queued = len(l.waiting) > 0 || l.utilisation > 1
	l.depth = min(l.depth, maxFleetDepth)
	equal := 1 / float64(max(1, m.Fleet))
	l.share = max(l.rates.Share(m), equal)
	if divides {
		l.share = part * max(l.rates.LocalShare(m), 1/float64(max(1, m.Local)))
	}
	free := 0.0
	if len(c.peers) > 0 {
		free = l.capacity * max(0, 1-l.utilisation) * equal
		if l.utilisation < freeSlotsBelow {
			free += spareRequests
		}
	}
	l.limit = max(1, (l.capacity*l.depth*l.share+free)*l.correction.Correction())
	if c.lastMovedFlow != clock.Never && now-c.lastMovedFlow < quota.Span {
		// Rates from before the fabric redistributed its flows don't show the present share:
		// when a whole fleet returns, the first daemons in rotation get the requests of all.
		l.limit = max(l.limit, byFlows)
	}
}

// slotsFor returns the slots that a rate of requests keeps busy.
func (c *Core) slotsFor(l *limiter, rate float64) float64 {
	return rate * l.usual() / float64(clock.Second)
}

// DataCentreShare is the part of a pool's capacity that a data centre gets, in slots of a
// target that is not slow.
type DataCentreShare struct {
	DataCentre schema.DataCentreID
	// Weight is the number of slots of the data centre's targets, whether it is out or
	// not. Demand is what its clients need, Part what they get; that of this daemon's
	// data centre is what they would get if they needed everything.
	Weight float64
	Demand float64
	Part   float64
}

// shareOf returns the entry of a data centre, added if there is none.
func (l *limiter) shareOf(dc schema.DataCentreID) *DataCentreShare {
	at, found := slices.BinarySearchFunc(l.dataCentres, dc, func(x DataCentreShare, dc schema.DataCentreID) int { return cmp.Compare(x.DataCentre, dc) })
	if !found {
		l.dataCentres = slices.Insert(l.dataCentres, at, DataCentreShare{DataCentre: dc})
	}
	return &l.dataCentres[at]
}

// weighDataCentres recomputes the weights of the data centres at all pools. A target whose
// entry vanished counts until it is forgotten, unless it drained or was replaced: if the
// machines of a data centre are off, its clients keep their share.
func (c *Core) weighDataCentres() {
	for _, l := range c.limiters {
		l.dataCentres = l.dataCentres[:0]
	}
	for _, t := range c.targets {
		if !t.gone || !t.replaced && !t.drained {
			t.limiter.shareOf(t.DataCentre).Weight += float64(max(1, t.Slots))
		}
	}
}

// divide returns the part of a pool's capacity that this data centre would get if it could
// use all of it, and the others what they demand. A data centre without targets of the
// pool counts as one with a single slot, so that its requests don't starve.
func (c *Core) divide(now clock.Milli, l *limiter) float64 {
	l.shareOf(c.localDC)
	for _, x := range l.demands.Newest() {
		l.shareOf(x.DataCentre)
	}
	l.claims = l.claims[:0]
	for i := range l.dataCentres {
		x := &l.dataCentres[i]
		x.Weight = max(1, x.Weight)
		claim := quota.Claim{Weight: x.Weight, Demand: quota.Unlimited}
		if x.DataCentre == c.localDC {
			x.Demand = c.slotsFor(l, l.rates.LocalDemand(c.place.members(), len(l.waiting)))
		} else {
			x.Demand = c.slotsFor(l, l.demands.Rate(now, x.DataCentre))
			claim.Demand = x.Demand
		}
		l.claims = append(l.claims, claim)
	}
	quota.Divide(l.capacity, l.claims)
	part := 1.0
	for i := range l.dataCentres {
		x := &l.dataCentres[i]
		x.Part = l.claims[i].Part
		if x.DataCentre == c.localDC && l.capacity > 0 {
			part = x.Part / l.capacity
		}
	}
	return part
}

// prefersSubset reports whether new flows go to a subset of the targets.
func (c *Core) prefersSubset() bool { return c.place.Count > 1 && c.limitsFleet() }

// subset returns the first position and the number of the targets that this daemon prefers
// among m targets of one data centre, as a ring. Few daemons use each target then, and
// these know its load exactly.
func (c *Core) subset(l *limiter, m int) (first, n int) {
	if !c.prefersSubset() {
		return 0, m
	}
	overlap, least := subsetOverlap, minSubset
	if l.unequal {
		overlap, least = unequalOverlap, minUnequalSubset
	}
	count := c.place.Count
	return c.place.Index * m / count, min(m, max(least, (overlap*m+count-1)/count))
}

// leastLoadedOfSubsets returns the least loaded of the preferred targets of each data
// centre, nil if it has no free slot for this daemon's requests while the pool has some.
func (c *Core) leastLoadedOfSubsets(s *search, byDC [][]*Target) best {
	var found best
	for _, list := range byDC {
		first, n := c.subset(list[0].limiter, len(list))
		if b := c.leastLoadedOf(s, list, first, n); b.target != nil {
			found.offer(b.target, b.score)
		}
	}
	if t := found.target; t != nil && t.load.busy+t.load.waiting >= t.Slots && t.limiter.utilisation < freeSlotsBelow {
		return best{}
	}
	return found
}

// staysLocal reports whether a new flow goes to the best target of a local subset although
// that has some load, because a slot of it is free as far as known. In a busy pool much of
// the load is not known, so that flows spread over all data centres.
func (c *Core) staysLocal(t *Target) bool {
	return c.prefersSubset() && t.limiter.utilisation < freeSlotsBelow && t.load.busy+t.load.waiting+t.load.peerBusy < t.Slots
}

// partInSubset returns a target's part of the limit if the requests concentrate on the
// subset.
func (c *Core) partInSubset(t *Target) int {
	p := c.pools[t.Pool]
	if p == nil {
		return 0
	}
	if len(p.local) > 0 {
		_, n := c.subset(t.limiter, len(p.local))
		return int(math.Ceil(t.limiter.limit / float64(n)))
	}
	total := 0
	for _, list := range p.remoteByDC {
		_, n := c.subset(t.limiter, len(list))
		total += n
	}
	return int(math.Ceil(t.limiter.limit / float64(max(1, total))))
}

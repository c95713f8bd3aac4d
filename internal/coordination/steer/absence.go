package steer

import (
	"slices"

	"coltsfootdock/internal/clock"
)

const (
	// lateAnswerGrace is how long after a target's removal its last answers may
	// still arrive.
	lateAnswerGrace = 300 * clock.Milli(1)
	// goneGrace is how long a target must be absent, and the store answer, until
	// silence shows that it is gone.
	goneGrace = 2500 * clock.Milli(1)
	// answerLifetime is how long an answer of an absent target spares a probe of it.
	answerLifetime = clock.Second
	// minAskInterval and maxAskInterval bound the time between an accepted probe of
	// an absent target and the next one. It doubles with each.
	minAskInterval = clock.Second
	maxAskInterval = 2 * clock.Second
)

// isAbsent reports whether a target has no entry, and none of a newer start under its
// ID. It may live: the store removes entries that are not written in time, whatever the
// reason.
func (t *Target) isAbsent() bool { return t.gone && !t.replaced }

// answersAbsent reports whether an absent target has answered this daemon since it is.
func (t *Target) answersAbsent() bool { return t.isAbsent() && t.answers.lastAnswer > t.goneAt }

// askAbsentTargets queues probes of the absent targets that have flows here.
func (c *Core) askAbsentTargets(now clock.Milli) {
	c.absent = slices.DeleteFunc(c.absent, func(t *Target) bool { return !t.isAbsent() || c.byCode[t.Code] == nil })
	for _, t := range c.absent {
		if t.load.remembered > 0 {
			c.askAbsent(now, t)
		}
	}
}

// askAbsent queues a probe of an absent target that has flows, unless it has just
// answered.
func (c *Core) askAbsent(now clock.Milli, t *Target) {
	p := &t.probe
	if p.queued || !t.isAbsent() || t.provedDead() || c.isSucceeded(t) {
		return
	}
	last := t.answers.lastAnswerAnywhere()
	late := t.goneAt + lateAnswerGrace
	if now <= late || now < p.askAt || last > late && now-last < answerLifetime {
		return
	}
	p.forget()
	p.firstMiss = now
	c.queueProbe(t)
}

// isLost reports whether an absent target is known not to serve its flows: a newer
// target has its address, or it was asked and did not answer.
func (c *Core) isLost(now clock.Milli, t *Target) bool {
	if now-t.goneAt <= lateAnswerGrace {
		return false
	}
	if c.isSucceeded(t) || t.provedDead() {
		return true
	}
	return c.trustsMisses(now) && t.missesShowSilence(now)
}

// isSucceeded reports whether a target that started later has the address of an absent
// one.
func (c *Core) isSucceeded(t *Target) bool {
	last := c.byAddress[t.Address]
	return last != nil && last != t && last.StartedAt > t.StartedAt
}

// recordAddress records a target as the last one of its address, if it is.
func (c *Core) recordAddress(t *Target) {
	if last := c.byAddress[t.Address]; last == nil || t.StartedAt >= last.StartedAt {
		c.byAddress[t.Address] = t
	}
}

// silenceCounts reports whether a target's silent probes may show that it is gone: it
// is absent for long, and not because the store failed.
func (c *Core) silenceCounts(now clock.Milli, t *Target) bool {
	return t.isAbsent() && now-t.goneAt > goneGrace && now-c.storeFailedAt > goneGrace
}

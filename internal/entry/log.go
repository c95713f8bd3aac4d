package entry

import (
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/coordination/watch"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

const (
	// sampledPerSecond and sampledBurst are the rate limit of lines about single
	// packets and objects.
	sampledPerSecond = 10
	sampledBurst     = 40
	// logQueueLen is the maximum number of lines that wait for the output.
	logQueueLen = 512
)

// asyncLog is the daemon's log. Writing to it never blocks: lines that exceed
// the rate limit or find the queue full are counted and omitted.
type asyncLog struct {
	log     *logrus.Entry
	limiter *rate.Limiter
	metrics *instruments
	queue   chan string
	done    chan struct{}
	mu      sync.Mutex
	closed  bool
	// omitted is the number of lines omitted since the last one that was queued.
	omitted int
}

func newAsyncLog(l *logrus.Logger, vm string, m *instruments) *asyncLog {
	x := &asyncLog{
		log:     l.WithField("vm", vm),
		limiter: rate.NewLimiter(sampledPerSecond, sampledBurst),
		metrics: m,
		queue:   make(chan string, logQueueLen),
		done:    make(chan struct{}),
	}
	go x.run()
	return x
}

// NewLogger returns a logger that writes text lines with timestamps to out.
func NewLogger(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	return l
}

func (l *asyncLog) run() {
	defer close(l.done)
	for s := range l.queue {
		l.log.Info(s)
	}
}

// close flushes the queued lines and stops the log. Later lines are discarded.
func (l *asyncLog) close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mu.Unlock()
	<-l.done
}

// infof logs a line regardless of the rate limit. It reports false if the line is
// omitted.
func (l *asyncLog) infof(format string, args ...any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	s := fmt.Sprintf(format, args...)
	if l.omitted > 0 {
		s += fmt.Sprintf(" omitted_before=%d", l.omitted)
	}
	select {
	case l.queue <- s:
		l.omitted = 0
		return true
	default:
		l.omit()
		return false
	}
}

// sampledf logs a line unless the rate limit is exceeded.
func (l *asyncLog) sampledf(format string, args ...any) {
	if !l.limiter.Allow() {
		l.mu.Lock()
		l.omit()
		l.mu.Unlock()
		return
	}
	l.infof(format, args...)
}

// omit counts an omitted line. The caller holds l.mu.
func (l *asyncLog) omit() {
	l.omitted++
	l.metrics.omittedLines.Inc()
}

// logView is the part of a daemon's view that lines about flows name.
type logView struct {
	// version and table are the version of the configuration in force and the
	// revision of its object.
	version int64
	table   schema.Version
	revs    [fleet.Topics]schema.Version
	ages    [fleet.Topics]clock.Milli
	// proof is what the replica of the targets was shown to hold, proofAge the age of
	// that state, provedBy from whom it came.
	proof    watch.Proof
	proofAge clock.Milli
	provedBy string
}

// logView returns the daemon's view. The caller holds d.mu.
func (d *Daemon) logView(now clock.Milli) *logView {
	w := &logView{
		revs: d.core.Replica().Revs(), proof: d.reader.Proof(fleet.Targets),
		proofAge: wireAge(d.reader.ProofAge(now, fleet.Targets)), provedBy: d.provedBy[fleet.Targets],
	}
	w.version, w.table = d.configVersion()
	for t := range fleet.Topics {
		w.ages[t] = d.reader.Age(now, t)
	}
	return w
}

// decision logs the verdict on a packet with the view that it was based on, subject
// to the rate limit.
func (l *asyncLog) decision(now clock.Milli, s *flow.Segment, v *steer.Verdict, w *logView) {
	if !l.limiter.Allow() {
		l.mu.Lock()
		l.omit()
		l.mu.Unlock()
		return
	}
	target, route := schema.TargetID(""), schema.Name("")
	entryRev, entryAge := schema.Version(0), clock.Milli(-1)
	if v.Target != nil {
		target = v.Target.ID
		entryRev, entryAge = v.Target.Rev, v.Target.EntryAge(now)
	}
	if v.Route != nil {
		route = v.Route.Name
	}
	l.infof("flow: client=%s service=%s route=%s target=%s cookie=%08x open=%t copy=%d action=%s reason=%s version=%d table=%d config=%d/%dms targets=%d/%dms proved=%d/%dms/%s entry=%d/%dms",
		s.Tuple.Source(), s.Tuple.Service(), route, target, s.Cookie, s.Open, s.Retransmissions, v.Action, v.Reason,
		w.version, w.table, w.revs[fleet.Config], w.ages[fleet.Config], w.revs[fleet.Targets], w.ages[fleet.Targets],
		w.proof.Rev, w.proofAge, w.provedBy, entryRev, entryAge)
}

// poolLogInterval is the time between two lines about a pool that is short of capacity.
const poolLogInterval = 5 * clock.Second

// logShortPools logs the shares of the pools whose demand exceeds the capacity, at which
// requests wait, or whose limit is lowered. The caller holds d.mu.
func (d *Daemon) logShortPools(now clock.Milli) {
	if now-d.lastPoolLog < poolLogInterval {
		return
	}
	d.lastPoolLog = now
	for _, p := range d.core.PoolBeliefs() {
		if p.Demand <= p.Capacity && p.Correction == 1 && p.Waiting == 0 {
			continue
		}
		var shares strings.Builder
		for _, x := range p.DataCentres {
			fmt.Fprintf(&shares, " dc=%s:%.0f/%.0f", x.DataCentre, x.Part, x.Demand)
		}
		for _, x := range p.Routes {
			fmt.Fprintf(&shares, " route=%s:%d/%.1f/%d", x.Route, x.InFlight, x.Part, x.Waiting)
		}
		d.log.sampledf("pool: pool=%s demand=%.0f capacity=%.0f limit=%.1f share=%.4f correction=%.2f in_flight=%d waiting=%d reports=%d%s",
			p.Pool, p.Demand, p.Capacity, p.Limit, p.Share, p.Correction, p.InFlight, p.Waiting, p.Reports, shares.String())
	}
}

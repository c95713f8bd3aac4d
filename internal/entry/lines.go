package entry

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"coltsfootdock/internal/clock"
	"coltsfootdock/internal/coordination/steer"
	"coltsfootdock/internal/state/fleet"
	"coltsfootdock/internal/state/flow"
	"coltsfootdock/pkg/schema"
)

const (
	// linesPerSecond and linesBurst bound the lines about single packets and
	// objects.
	linesPerSecond = 10
	linesBurst     = 40
	// ringLines is how many lines may wait for the output.
	ringLines = 512
)

// lines is the daemon's log. It never blocks: lines that find the ring full
// or the rate used up are counted and left out.
type lines struct {
	log     *logrus.Entry
	limit   *rate.Limiter
	meters  *meters
	ring    chan string
	done    chan struct{}
	mu      sync.Mutex
	closed  bool
	omitted int
}

func newLines(l *logrus.Logger, vm string, m *meters) *lines {
	x := &lines{
		log:    l.WithField("vm", vm),
		limit:  rate.NewLimiter(linesPerSecond, linesBurst),
		meters: m,
		ring:   make(chan string, ringLines),
		done:   make(chan struct{}),
	}
	go x.write()
	return x
}

// NewLogger returns a logger for standard output.
func NewLogger(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	return l
}

func (l *lines) write() {
	defer close(l.done)
	for s := range l.ring {
		l.log.Info(s)
	}
}

// close writes what waits and ends the log.
func (l *lines) close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.ring)
	}
	l.mu.Unlock()
	<-l.done
}

// event writes a line that is never sampled.
func (l *lines) event(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	s := fmt.Sprintf(format, args...)
	if l.omitted > 0 {
		s += fmt.Sprintf(" omitted_before=%d", l.omitted)
	}
	select {
	case l.ring <- s:
		l.omitted = 0
	default:
		l.omit()
	}
}

// sampled writes a line unless too many were written lately.
func (l *lines) sampled(format string, args ...any) {
	if !l.limit.Allow() {
		l.mu.Lock()
		l.omit()
		l.mu.Unlock()
		return
	}
	l.event(format, args...)
}

func (l *lines) omit() {
	l.omitted++
	l.meters.omitted.Inc()
}

// decision writes what was decided about a packet, and by which knowledge.
func (l *lines) decision(
	s *flow.Segment, v *steer.Verdict, configAge, targetsAge clock.Milli, revs [fleet.Topics]schema.Version,
) {
	if !l.limit.Allow() {
		l.mu.Lock()
		l.omit()
		l.mu.Unlock()
		return
	}
	target, route := schema.TargetID(""), schema.Name("")
	if v.Target != nil {
		target = v.Target.ID
	}
	if v.Route != nil {
		route = v.Route.Name
	}
	l.event("flow: client=%s service=%s route=%s target=%s cookie=%08x open=%t copy=%d action=%s reason=%s config=%d/%dms targets=%d/%dms",
		s.Tuple.Source(), s.Tuple.Service(), route, target, s.Cookie, s.Open, s.Copy, v.Action, v.Reason,
		revs[fleet.Config], configAge, revs[fleet.Targets], targetsAge)
}

// Package target is a stand-in for a target: an order desk or a proof store
// that serves QUIC sessions behind Geneve, with a health endpoint that can
// lag or lie, a cold start, and a count of the edits that it ran.
package target

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"coltsfootdock/internal/standin/plat"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/internal/transport/probe"
	"coltsfootdock/pkg/schema"
)

// Protocol is the ALPN name of the stand-in's sessions.
const Protocol = "standin-session-1"

const (
	idleTimeout = 20 * time.Second
	keepAlive   = 3 * time.Second
	maxRequest  = 4096
	maxAnswer   = 64 << 20
)

// Request is one stream's request, a line of JSON.
type Request struct {
	// ID identifies a request; an edit runs once for each ID.
	ID string
	// Pool is the pool that the client wants.
	Pool schema.Name
	// Edit is set for a request that changes something.
	Edit bool
	// Bytes is the size of the answer's body.
	Bytes int
}

// Head is the first line of an answer; the body follows.
type Head struct {
	ID     string
	Target schema.TargetID
	Pool   schema.Name
	Bytes  int
	Sum    string
}

// Config is how a target behaves.
type Config struct {
	ID      schema.TargetID
	Pool    schema.Name
	VNI     schema.VNI
	Address netip.AddrPort
	Health  netip.AddrPort
	// Starting is how long the target reports that it starts.
	Starting time.Duration
	// HealthLag is how old an answer of the health endpoint may be.
	HealthLag time.Duration
	// Slots bounds the requests that run at once.
	Slots int
}

// Report is what a target counted.
type Report struct {
	Sessions  int
	Edits     map[string]int
	WrongPool int
	// Opens lists the milliseconds after the start at which sessions came.
	Opens []int64
}

// Target is the stand-in.
type Target struct {
	cfg      Config
	conn     *conn
	health   net.Listener
	listener *quic.Listener
	tr       *quic.Transport
	started  time.Time
	slots    chan struct{}
	mu       sync.Mutex
	state    string // what the health endpoint says, if not empty
	open     int
	report   Report
	last     probe.Answer // what the health endpoint said at lastAt
	lastAt   time.Time
}

// Listen opens a target.
func Listen(cfg Config) (*Target, error) {
	c, err := listen(cfg.Address, cfg.VNI)
	if err != nil {
		return nil, err
	}
	t := &Target{
		cfg:     cfg,
		conn:    c,
		started: time.Now(),
		slots:   make(chan struct{}, max(1, cfg.Slots)),
		report:  Report{Edits: make(map[string]int)},
	}
	if t.health, err = net.Listen("tcp", cfg.Health.String()); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	server, _, err := certs.Plain(Protocol)
	if err != nil {
		return nil, errors.Join(err, c.Close(), t.health.Close())
	}
	t.tr = &quic.Transport{Conn: c}
	t.listener, err = t.tr.Listen(server, &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
		MaxIncomingStreams:      256,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return nil, errors.Join(err, c.Close(), t.health.Close())
	}
	return t, nil
}

// Report returns what the target counted so far.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.WrongPool += t.conn.Foreign()
	r.Edits = make(map[string]int, len(t.report.Edits))
	for id, n := range t.report.Edits {
		r.Edits[id] = n
	}
	return r
}

// Say makes the health endpoint report a state, true or not; empty returns
// to the truth.
func (t *Target) Say(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = state
}

// Serve runs the target until ctx ends.
func (t *Target) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = plat.ServeHTTP(ctx, t.health, t.mux()) })
	stop := context.AfterFunc(ctx, func() {
		_ = t.listener.Close()
		_ = t.tr.Close()
		_ = t.conn.Close()
	})
	defer stop()
	for {
		c, err := t.listener.Accept(ctx)
		if err != nil {
			return ctx.Err()
		}
		wg.Go(func() { t.session(ctx, c) })
	}
}

func (t *Target) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.answer())
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.Report())
	})
	mux.HandleFunc("POST /say/{state}", func(_ http.ResponseWriter, r *http.Request) {
		t.Say(r.PathValue("state"))
	})
	return mux
}

// answer returns the state, or the last answer while that is not older than
// the lag.
func (t *Target) answer() probe.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.lastAt) >= t.cfg.HealthLag {
		t.last, t.lastAt = t.now(), time.Now()
	}
	return t.last
}

// now returns the state that the endpoint is to tell. It needs the lock.
func (t *Target) now() probe.Answer {
	a := probe.Answer{State: "ready", Incarnation: uint64(t.started.UnixNano()), Open: uint32(t.open)}
	if time.Since(t.started) < t.cfg.Starting {
		a.State = "starting"
	}
	if t.state != "" {
		a.State = t.state
	}
	return a
}

func (t *Target) session(ctx context.Context, c *quic.Conn) {
	t.mu.Lock()
	t.open++
	t.report.Sessions++
	t.report.Opens = append(t.report.Opens, time.Since(t.started).Milliseconds())
	t.mu.Unlock()
	var wg sync.WaitGroup
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			break
		}
		wg.Go(func() { t.serve(s) })
	}
	wg.Wait()
	t.mu.Lock()
	t.open--
	t.mu.Unlock()
}

// serve answers one request.
func (t *Target) serve(s *quic.Stream) {
	defer s.Close()
	line, err := bufio.NewReader(io.LimitReader(s, maxRequest)).ReadBytes('\n')
	if err != nil {
		return
	}
	var q Request
	if err := json.Unmarshal(line, &q); err != nil || q.Bytes < 0 || q.Bytes > maxAnswer {
		s.CancelWrite(1)
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.run(q)
	body := Body(q.ID, q.Bytes)
	sum := sha256.Sum256(body)
	head, _ := json.Marshal(Head{ID: q.ID, Target: t.cfg.ID, Pool: t.cfg.Pool, Bytes: len(body), Sum: hex.EncodeToString(sum[:])})
	if _, err := s.Write(append(head, '\n')); err != nil {
		return
	}
	_, _ = s.Write(body) // a client that left
}

func (t *Target) run(q Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Pool != t.cfg.Pool {
		t.report.WrongPool++
	}
	if q.Edit {
		t.report.Edits[q.ID]++
	}
}

// Body returns the answer's body for a request.
func Body(id string, n int) []byte {
	seed := sha256.Sum256([]byte(id))
	body := make([]byte, n)
	for i := range body {
		body[i] = seed[i%len(seed)]
	}
	return body
}

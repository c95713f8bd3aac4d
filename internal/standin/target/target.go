// Package target is a stand-in for a target, such as an order desk or a proof store.
// It serves QUIC sessions in Geneve packets and counts the edits that it executes.
// It can simulate a slow start and a health endpoint whose answers are outdated or
// wrong.
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
	maxRequest  = 4096     // bytes
	maxAnswer   = 64 << 20 // bytes
	// invalidRequest is the error code of a stream whose request is invalid.
	invalidRequest = 1
)

// Request is the request of one stream, encoded as a line of JSON.
type Request struct {
	// ID identifies the request. An edit must be executed at most once.
	ID string
	// Pool is the pool that the client expects to answer.
	Pool schema.Name
	// Edit marks a request that changes state.
	Edit bool
	// Bytes is the size of the answer's body.
	Bytes int
}

// Head is the first line of an answer, encoded as JSON; the body follows.
type Head struct {
	ID     string
	Target schema.TargetID
	Pool   schema.Name
	Bytes  int
	// Sum is the SHA-256 checksum of the body in hexadecimal.
	Sum string
}

// Config holds the settings of a target.
type Config struct {
	ID      schema.TargetID
	Pool    schema.Name
	VNI     schema.VNI
	Address netip.AddrPort
	Health  netip.AddrPort
	// Starting is how long the health endpoint reports the state starting.
	Starting time.Duration
	// HealthLag is how long the health endpoint repeats an answer before it reads
	// the state again.
	HealthLag time.Duration
	// Slots limits the requests that run concurrently; it is at least 1.
	Slots int
}

// Report holds the counters of a target.
type Report struct {
	Sessions int
	// Edits counts the executions of each edit by request ID.
	Edits map[string]int
	// WrongPool counts requests and packets that were meant for another pool.
	WrongPool int
	// Opens lists when sessions were opened, in milliseconds after the start.
	Opens []int64
}

// Target is a running target.
type Target struct {
	cfg          Config
	conn         *conn
	health       net.Listener
	listener     *quic.Listener
	tr           *quic.Transport
	started      time.Time
	slots        chan struct{}
	mu           sync.Mutex
	forcedState  string // reported by the health endpoint instead of the real state, if not empty
	openSessions int
	report       Report
	lastAnswer   probe.Answer // of the health endpoint, made at lastAnswerAt
	lastAnswerAt time.Time
}

// Listen opens a target's sockets.
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
	server, _, err := certs.Unverified(Protocol)
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

// Report returns a copy of the target's counters.
func (t *Target) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.report
	r.WrongPool += t.conn.foreignCount()
	r.Edits = make(map[string]int, len(t.report.Edits))
	for id, n := range t.report.Edits {
		r.Edits[id] = n
	}
	return r
}

// ForceState makes the health endpoint report a state, whatever the real one is. An empty
// string restores the real state.
func (t *Target) ForceState(state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forcedState = state
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
		_ = json.NewEncoder(w).Encode(t.healthAnswer())
	})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.Report())
	})
	mux.HandleFunc("POST /say/{state}", func(_ http.ResponseWriter, r *http.Request) {
		t.ForceState(r.PathValue("state"))
	})
	return mux
}

// healthAnswer returns the health endpoint's answer, which is renewed when it is
// older than HealthLag.
func (t *Target) healthAnswer() probe.Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.lastAnswerAt) >= t.cfg.HealthLag {
		t.lastAnswer, t.lastAnswerAt = t.currentAnswer(), time.Now()
	}
	return t.lastAnswer
}

// currentAnswer returns an answer with the current state. The caller holds the
// lock.
func (t *Target) currentAnswer() probe.Answer {
	a := probe.Answer{State: "ready", Incarnation: uint64(t.started.UnixNano()), Open: uint32(t.openSessions)}
	if time.Since(t.started) < t.cfg.Starting {
		a.State = "starting"
	}
	if t.forcedState != "" {
		a.State = t.forcedState
	}
	return a
}

func (t *Target) session(ctx context.Context, c *quic.Conn) {
	t.mu.Lock()
	t.openSessions++
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
	t.openSessions--
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
		s.CancelWrite(invalidRequest)
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.recordRequest(q)
	body := Body(q.ID, q.Bytes)
	sum := sha256.Sum256(body)
	head, _ := json.Marshal(Head{ID: q.ID, Target: t.cfg.ID, Pool: t.cfg.Pool, Bytes: len(body), Sum: hex.EncodeToString(sum[:])})
	if _, err := s.Write(append(head, '\n')); err != nil {
		return
	}
	_, _ = s.Write(body) // fails if the client has closed the session
}

func (t *Target) recordRequest(q Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Pool != t.cfg.Pool {
		t.report.WrongPool++
	}
	if q.Edit {
		t.report.Edits[q.ID]++
	}
}

// Body returns the body of the answer to a request: n bytes derived from the
// request's ID.
func Body(id string, n int) []byte {
	seed := sha256.Sum256([]byte(id))
	body := make([]byte, n)
	for i := range body {
		body[i] = seed[i%len(seed)]
	}
	return body
}

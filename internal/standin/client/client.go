// Package client is a stand-in for clients. It opens QUIC sessions inside the
// packets that a fabric forwards, sends requests and checks the answers.
package client

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"coltsfootdock/internal/protocol/geneve"
	"coltsfootdock/internal/standin/inner"
	"coltsfootdock/internal/standin/target"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/pkg/schema"
)

const (
	dialTimeout    = 8 * time.Second
	requestTimeout = 12 * time.Second
	idleTimeout    = 20 * time.Second
	keepAlive      = 2 * time.Second
)

// conn encapsulates each datagram, sends it to the fabric and decapsulates the
// packets that targets send back.
type conn struct {
	*inner.Socket
	self    schema.Service
	service schema.Service
	fabric  netip.AddrPort
}

// ReadFrom returns the payload of the next packet. Its source is always the service
// address.
func (c *conn) ReadFrom(b []byte) (int, net.Addr, error) {
	_, _, payload, err := c.Receive()
	if err != nil {
		return 0, nil, err
	}
	return copy(b, payload), c.remote(), nil
}

func (c *conn) remote() net.Addr {
	return net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.service.Address, c.service.Port))
}

// WriteTo sends a datagram to the service through the fabric.
func (c *conn) WriteTo(b []byte, _ net.Addr) (int, error) {
	data, err := geneve.Wrap(c.self, c.service, 0, b)
	if err != nil {
		return 0, err
	}
	return len(b), c.Send(data, c.fabric)
}

// Session is one client connection.
type Session struct {
	conn *conn
	tr   *quic.Transport
	q    *quic.Conn
	pool schema.Name
}

// Dial opens a session with a service through the fabric.
func Dial(ctx context.Context, fabric netip.AddrPort, s schema.Service, pool schema.Name) (*Session, error) {
	sock, err := inner.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, err
	}
	local := sock.Addr()
	c := &conn{
		Socket:  sock,
		self:    schema.Service{Address: local.Addr(), Port: local.Port()},
		service: s,
		fabric:  fabric,
	}
	_, tls, err := certs.Unverified(target.Protocol)
	if err != nil {
		return nil, err
	}
	ses := &Session{conn: c, tr: &quic.Transport{Conn: c}, pool: pool}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	ses.q, err = ses.tr.Dial(ctx, c.remote(), tls, &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    dialTimeout,
		KeepAlivePeriod:         keepAlive,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		ses.close()
		return nil, err
	}
	return ses, nil
}

func (s *Session) close() {
	_ = s.tr.Close()
	_ = s.conn.Close()
}

// Close ends the session.
func (s *Session) Close() error {
	err := s.q.CloseWithError(0, "")
	s.close()
	return err
}

// Do sends a request, checks the answer and returns the target that sent it.
func (s *Session) Do(ctx context.Context, q target.Request) (schema.TargetID, error) {
	q.Pool = s.pool
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	st, err := s.q.OpenStreamSync(ctx)
	if err != nil {
		return "", err
	}
	deadline, _ := ctx.Deadline()
	if err := st.SetDeadline(deadline); err != nil {
		return "", err
	}
	line, err := json.Marshal(q)
	if err != nil {
		return "", err
	}
	if _, err := st.Write(append(line, '\n')); err != nil {
		return "", err
	}
	if err := st.Close(); err != nil {
		return "", err
	}
	return checkAnswer(st, q)
}

// checkAnswer reads the answer to a request and compares it with the request.
func checkAnswer(st io.Reader, q target.Request) (schema.TargetID, error) {
	r := bufio.NewReader(st)
	line, err := r.ReadBytes('\n')
	if err != nil {
		return "", err
	}
	var h target.Head
	if err := json.Unmarshal(line, &h); err != nil {
		return "", err
	}
	body, err := io.ReadAll(r)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(body)
	if h.ID != q.ID || len(body) != q.Bytes || hex.EncodeToString(sum[:]) != h.Sum {
		return "", fmt.Errorf("answer to request %q has %d of %d bytes and request ID %q, or a wrong checksum", q.ID, len(body), q.Bytes, h.ID)
	}
	if h.Pool != q.Pool {
		return "", fmt.Errorf("request %q to pool %q was answered by pool %q", q.ID, q.Pool, h.Pool)
	}
	return h.Target, nil
}

// Result holds the counters of a load.
type Result struct {
	// Opened sessions are finished or broken in the end. Refused counts sessions
	// that could not be opened.
	Opened, Finished, Broken, Refused atomic.Int64
	mu                                sync.Mutex
	// Errors holds the first maxErrors errors.
	Errors []string
}

const maxErrors = 8

func (r *Result) recordError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, err.Error())
	}
}

// Load describes a number of concurrent sessions with one service.
type Load struct {
	Fabric  netip.AddrPort
	Service schema.Service
	Pool    schema.Name
	// Sessions is the number of sessions. Each is open until the context of Run
	// ends.
	Sessions int
	// Spread is the time over which the starts of the sessions are distributed
	// evenly.
	Spread time.Duration
	// Interval is the pause between two requests of a session. Every second request
	// is an edit.
	Interval time.Duration
	// Bytes is the size of an answer's body.
	Bytes int
	// Prefix starts the IDs of all requests.
	Prefix string
}

// Run runs the load until ctx ends and waits for the sessions.
func (l Load) Run(ctx context.Context, res *Result) {
	var wg sync.WaitGroup
	for i := range l.Sessions {
		wg.Go(func() {
			delay := time.Duration(i) * l.Spread / time.Duration(l.Sessions)
			if sleep(ctx, delay) {
				l.session(ctx, i, res)
			}
		})
	}
	wg.Wait()
}

// session runs one session. A request that is in flight when ctx ends is still
// completed.
func (l Load) session(ctx context.Context, i int, res *Result) {
	s, err := Dial(context.WithoutCancel(ctx), l.Fabric, l.Service, l.Pool)
	if err != nil {
		res.Refused.Add(1)
		res.recordError(err)
		return
	}
	defer s.Close()
	res.Opened.Add(1)
	first := schema.TargetID("")
	for n := 0; ; n++ {
		q := target.Request{ID: fmt.Sprintf("%s-%d-%d", l.Prefix, i, n), Edit: n%2 == 1, Bytes: l.Bytes}
		got, err := s.Do(context.WithoutCancel(ctx), q)
		if err == nil && first != "" && got != first {
			err = fmt.Errorf("session moved from %q to %q", first, got)
		}
		if err != nil {
			err = fmt.Errorf("session %s-%d from port %d on %q, request %d: %w", l.Prefix, i, s.conn.self.Port, first, n, err)
			res.Broken.Add(1)
			res.recordError(err)
			return
		}
		first = got
		if !sleep(ctx, l.Interval) {
			res.Finished.Add(1)
			return
		}
	}
}

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

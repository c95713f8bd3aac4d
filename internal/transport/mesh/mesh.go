// Package mesh carries messages between daemons over QUIC.
//
// A daemon dials each peer that it sends to and accepts connections only to
// receive. A message is a datagram, which may be lost, or a stream of its
// own. Each peer has one sender with a bounded ring: a full ring drops the
// message and counts it, since heartbeats repeat and handovers are queued
// again when homes change.
package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"crypto/tls"

	"github.com/quic-go/quic-go"

	"coltsfootdock/internal/protocol/peer"
	"coltsfootdock/internal/transport/certs"
	"coltsfootdock/pkg/schema"
)

// Protocol is the ALPN name of the mesh.
const Protocol = "coltsfootdock-peer-1"

const (
	ringSize    = 256
	dialTimeout = time.Second
	idleTimeout = 5 * time.Second
	sendTimeout = 2 * time.Second
	redialAfter = 300 * time.Millisecond
)

// Handler takes a message that arrived.
type Handler func(*peer.Message)

// Counters count what the mesh did.
type Counters struct {
	// Sent and Received count payload bytes.
	Sent, Received func(bytes int)
	// Dropped counts messages that found a full ring or no connection.
	Dropped func()
	// Bad counts frames that don't decode.
	Bad func()
}

// Mesh is the transport of one daemon.
type Mesh struct {
	transport *quic.Transport
	listener  *quic.Listener
	client    *tls.Config
	handler   Handler
	counters  Counters
	mu        sync.Mutex
	senders   map[schema.VMID]*sender
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Listen opens the mesh on a UDP address. Files may be zero; the connections
// are then encrypted but not authenticated.
func Listen(addr netip.AddrPort, files certs.Files, h Handler, c Counters) (*Mesh, error) {
	load := func() (*tls.Config, *tls.Config, error) { return certs.Plain(Protocol) }
	if files.Set() {
		load = func() (*tls.Config, *tls.Config, error) { return certs.Mutual(files, Protocol) }
	}
	server, client, err := load()
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	tr := &quic.Transport{Conn: conn}
	l, err := tr.Listen(server, config())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	m := &Mesh{transport: tr, listener: l, client: client, handler: h, counters: c, senders: map[schema.VMID]*sender{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.accept)
	return m, nil
}

func config() *quic.Config {
	return &quic.Config{
		EnableDatagrams:         true,
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    dialTimeout,
		MaxIncomingUniStreams:   64,
		DisablePathMTUDiscovery: true,
	}
}

// Close ends all connections and waits for the senders and receivers.
func (m *Mesh) Close() error {
	m.cancel()
	err := m.listener.Close()
	err = errors.Join(err, m.transport.Close(), m.transport.Conn.Close())
	m.wg.Wait()
	return err
}

func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		m.wg.Go(func() { m.streams(conn) })
		m.wg.Go(func() { m.datagrams(conn) })
	}
}

func (m *Mesh) datagrams(conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(m.ctx)
		if err != nil {
			return
		}
		m.take(data)
	}
}

func (m *Mesh) streams(conn *quic.Conn) {
	for {
		s, err := conn.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		data, err := io.ReadAll(io.LimitReader(s, peer.MaxMessage))
		if err != nil {
			continue
		}
		m.take(data)
	}
}

func (m *Mesh) take(data []byte) {
	m.counters.Received(len(data))
	msg, err := peer.Decode(data)
	if err != nil {
		m.counters.Bad()
		return
	}
	m.handler(msg)
}

// Send queues a message for a peer.
func (m *Mesh) Send(to schema.Member, msg peer.Message, datagram bool) {
	data, err := peer.Encode(&msg)
	if err != nil {
		m.counters.Bad()
		return
	}
	s := m.sender(to)
	if s == nil {
		return
	}
	select {
	case s.ring <- frame{data: data, datagram: datagram}:
	default:
		m.counters.Dropped()
	}
}

func (m *Mesh) sender(to schema.Member) *sender {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return nil
	}
	if s := m.senders[to.ID]; s != nil && s.addr == to.Peer {
		return s
	} else if s != nil {
		close(s.ring)
	}
	s := &sender{mesh: m, addr: to.Peer, ring: make(chan frame, ringSize)}
	m.senders[to.ID] = s
	m.wg.Go(s.run)
	return s
}

type frame struct {
	data     []byte
	datagram bool
}

// sender owns the connection to one peer.
type sender struct {
	mesh  *Mesh
	addr  netip.AddrPort
	ring  chan frame
	conn  *quic.Conn
	tried time.Time
}

func (s *sender) run() {
	defer s.drop()
	for {
		select {
		case <-s.mesh.ctx.Done():
			return
		case f, ok := <-s.ring:
			if !ok {
				return
			}
			s.send(f)
		}
	}
}

func (s *sender) drop() {
	if s.conn != nil {
		_ = s.conn.CloseWithError(0, "")
		s.conn = nil
	}
}

func (s *sender) send(f frame) {
	if !s.connect() {
		s.mesh.counters.Dropped()
		return
	}
	if f.datagram {
		err := s.conn.SendDatagram(f.data)
		var tooLarge *quic.DatagramTooLargeError
		if !errors.As(err, &tooLarge) {
			s.sent(f, err)
			return
		}
	}
	s.sent(f, s.stream(f.data))
}

func (s *sender) sent(f frame, err error) {
	if err != nil {
		s.mesh.counters.Dropped()
		s.drop()
		return
	}
	s.mesh.counters.Sent(len(f.data))
}

func (s *sender) stream(data []byte) error {
	ctx, cancel := context.WithTimeout(s.mesh.ctx, sendTimeout)
	defer cancel()
	st, err := s.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if err := st.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	if _, err := st.Write(data); err != nil {
		return err
	}
	return st.Close()
}

// connect dials the peer if there is no live connection.
func (s *sender) connect() bool {
	if s.conn != nil && s.conn.Context().Err() == nil {
		return true
	}
	s.conn = nil
	if time.Since(s.tried) < redialAfter {
		return false
	}
	s.tried = time.Now()
	ctx, cancel := context.WithTimeout(s.mesh.ctx, dialTimeout)
	defer cancel()
	conn, err := s.mesh.transport.Dial(ctx, net.UDPAddrFromAddrPort(s.addr), s.mesh.client, config())
	if err != nil {
		return false
	}
	s.conn = conn
	return true
}

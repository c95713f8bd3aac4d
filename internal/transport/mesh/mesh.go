// Package mesh transports messages between daemons over QUIC.
//
// A daemon dials each peer that it sends to and only receives on connections
// that it accepts. A message is sent as a datagram, which may be lost, or on a
// stream of its own. Each peer has one sender with a bounded queue. A message
// for a full queue is dropped and counted: heartbeats are sent again, and
// handovers are queued again when homes change.
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

// Protocol is the ALPN protocol name of the mesh.
const Protocol = "coltsfootdock-peer-1"

const (
	queueSize      = 256 // messages per peer
	maxStreams     = 64  // concurrent streams per connection
	dialTimeout    = time.Second
	idleTimeout    = 5 * time.Second
	sendTimeout    = 2 * time.Second
	redialInterval = 300 * time.Millisecond
)

// Handler handles a received message. It is called concurrently.
type Handler func(*peer.Message)

// Counters holds the callbacks that count messages and bytes.
type Counters struct {
	// Sent and Received count payload bytes.
	Sent, Received func(bytes int)
	// Dropped counts messages that were not sent: the queue was full, there was
	// no connection or sending failed.
	Dropped func()
	// Bad counts messages that could not be decoded or encoded.
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

// Listen opens the mesh on a UDP address. If files is zero, connections are
// encrypted but not authenticated.
func Listen(addr netip.AddrPort, files certs.Files, h Handler, c Counters) (*Mesh, error) {
	newConfigs := func() (*tls.Config, *tls.Config, error) { return certs.Unverified(Protocol) }
	if files.Set() {
		newConfigs = func() (*tls.Config, *tls.Config, error) { return certs.Mutual(files, Protocol) }
	}
	server, client, err := newConfigs()
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	tr := &quic.Transport{Conn: conn}
	l, err := tr.Listen(server, quicConfig())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	m := &Mesh{transport: tr, listener: l, client: client, handler: h, counters: c, senders: map[schema.VMID]*sender{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wg.Go(m.accept)
	return m, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:         true,
		MaxIdleTimeout:          idleTimeout,
		HandshakeIdleTimeout:    dialTimeout,
		MaxIncomingUniStreams:   maxStreams,
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

// accept accepts connections and starts their receivers.
func (m *Mesh) accept() {
	for {
		conn, err := m.listener.Accept(m.ctx)
		if err != nil {
			return
		}
		m.wg.Go(func() { m.receiveStreams(conn) })
		m.wg.Go(func() { m.receiveDatagrams(conn) })
	}
}

func (m *Mesh) receiveDatagrams(conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(m.ctx)
		if err != nil {
			return
		}
		m.receive(data)
	}
}

// receiveStreams reads one message from each stream. It ignores a stream that
// fails; the connection stays open.
func (m *Mesh) receiveStreams(conn *quic.Conn) {
	for {
		s, err := conn.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		data, err := io.ReadAll(io.LimitReader(s, peer.MaxMessage))
		if err != nil {
			continue
		}
		m.receive(data)
	}
}

// receive decodes a message and passes it to the handler.
func (m *Mesh) receive(data []byte) {
	m.counters.Received(len(data))
	msg, err := peer.Decode(data)
	if err != nil {
		m.counters.Bad()
		return
	}
	m.handler(msg)
}

// Send queues a message for a peer and doesn't block. If datagram is set, the
// message is sent as a datagram unless it is too large for one.
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
	case s.queue <- frame{data: data, datagram: datagram}:
	default:
		m.counters.Dropped()
	}
}

// sender returns the sender for a peer, or nil once the mesh is closed. If the
// peer's address has changed, a new sender replaces the old one.
func (m *Mesh) sender(to schema.Member) *sender {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() != nil {
		return nil
	}
	if s := m.senders[to.ID]; s != nil && s.addr == to.Peer {
		return s
	} else if s != nil {
		close(s.queue)
	}
	s := &sender{mesh: m, addr: to.Peer, queue: make(chan frame, queueSize)}
	m.senders[to.ID] = s
	m.wg.Go(s.run)
	return s
}

// frame is an encoded message.
type frame struct {
	data     []byte
	datagram bool
}

// sender owns the connection to one peer. Only the goroutine of run uses conn and
// dialed.
type sender struct {
	mesh  *Mesh
	addr  netip.AddrPort
	queue chan frame
	conn  *quic.Conn
	// dialed is the time of the last attempt to connect.
	dialed time.Time
}

func (s *sender) run() {
	defer s.disconnect()
	for {
		select {
		case <-s.mesh.ctx.Done():
			return
		case f, ok := <-s.queue:
			if !ok {
				return
			}
			s.send(f)
		}
	}
}

func (s *sender) disconnect() {
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
			s.finish(f, err)
			return
		}
	}
	s.finish(f, s.sendStream(f.data))
}

// finish counts a sent message. After an error it counts the message as dropped
// and closes the connection, so that the next message dials again.
func (s *sender) finish(f frame, err error) {
	if err != nil {
		s.mesh.counters.Dropped()
		s.disconnect()
		return
	}
	s.mesh.counters.Sent(len(f.data))
}

// sendStream sends a message on a new stream.
func (s *sender) sendStream(data []byte) error {
	ctx, cancel := context.WithTimeout(s.mesh.ctx, sendTimeout)
	defer cancel()
	stream, err := s.conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if err := stream.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	if _, err := stream.Write(data); err != nil {
		return err
	}
	return stream.Close()
}

// connect dials the peer if there is no open connection, at most once per
// redialInterval, and reports whether there is one.
func (s *sender) connect() bool {
	if s.conn != nil && s.conn.Context().Err() == nil {
		return true
	}
	s.conn = nil
	if time.Since(s.dialed) < redialInterval {
		return false
	}
	s.dialed = time.Now()
	ctx, cancel := context.WithTimeout(s.mesh.ctx, dialTimeout)
	defer cancel()
	conn, err := s.mesh.transport.Dial(ctx, net.UDPAddrFromAddrPort(s.addr), s.mesh.client, quicConfig())
	if err != nil {
		return false
	}
	s.conn = conn
	return true
}

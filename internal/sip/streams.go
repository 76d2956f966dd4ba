package sip

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"otterstep/internal/connpace"
	"otterstep/internal/core"
	"otterstep/internal/sip/message"
	"otterstep/internal/sip/proxy"
)

const (
	connectTimeout    = time.Second     // for connecting and the TLS handshake
	writeTimeout      = 2 * time.Second // for writing one message
	maxQueuedMessages = 64              // messages queued for writing on one connection
	maxDials          = 64              // concurrent connection attempts for queued messages
)

var (
	errNoConnections = errors.New("connection limit reached")
	errStreamsClosed = errors.New("SIP front has stopped")
)

// streams owns the TCP and TLS connections, inbound and outbound, and limits their total
// number.
type streams struct {
	front          *Front
	maxConnections int
	client         *tls.Config // for connections to servers
	dialSlots      chan struct{}
	goroutines     sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	lastID       uint64
	byID         map[uint64]*stream
	byAddr       map[netip.AddrPort]*stream // the latest connection to each address
	pendingDials map[netip.AddrPort]*pendingDial
	rejected     int64 // connections closed at once because of the limit
}

// pendingDial is a connection attempt, shared by all callers that wait for it.
type pendingDial struct {
	done   chan struct{}
	stream *stream
	err    error
}

type stream struct {
	net.Conn
	id        uint64
	transport proxy.Transport
	remote    netip.AddrPort
	outbound  bool // connected by this node
	out       chan outgoing
	ended     chan struct{} // closed by shutdown
	once      sync.Once
}

// outgoing is a message queued for writing; id is the one passed to Host.Transmit.
type outgoing struct {
	id   string
	text []byte
}

func newStreams(f *Front, most int, client *tls.Config) *streams {
	return &streams{
		front: f, maxConnections: most, client: client, dialSlots: make(chan struct{}, maxDials),
		byID: map[uint64]*stream{}, byAddr: map[netip.AddrPort]*stream{}, pendingDials: map[netip.AddrPort]*pendingDial{},
	}
}

// shutdown closes a stream, which ends its goroutines.
func (s *stream) shutdown() {
	s.once.Do(func() {
		close(s.ended)
		s.Conn.Close()
	})
}

// accept accepts connections until the listener is closed.
func (f *Front) accept(l net.Listener, transport proxy.Transport) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // most likely out of file descriptors: retry until some are free
			select {
			case <-f.stopped:
				return
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		if _, err := f.streams.add(conn, transport, false); err != nil {
			conn.Close()
		}
	}
}

// add registers a connection and starts its goroutines.
func (t *streams) add(conn net.Conn, transport proxy.Transport, made bool) (*stream, error) {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil, fmt.Errorf("connection from %v, which is not a TCP address", conn.RemoteAddr())
	}
	at := tcp.AddrPort()
	s := &stream{
		Conn: conn, transport: transport, remote: netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), outbound: made,
		out: make(chan outgoing, maxQueuedMessages), ended: make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return nil, errStreamsClosed
	case len(t.byID) >= t.maxConnections:
		t.rejected++
		return nil, errNoConnections
	}
	t.lastID++
	s.id = t.lastID
	t.byID[s.id], t.byAddr[s.remote] = s, s
	t.goroutines.Go(func() { t.read(s) })
	t.goroutines.Go(func() { t.write(s) })
	return s, nil
}

// read passes received messages to the Machine until the stream ends.
func (t *streams) read(s *stream) {
	defer s.shutdown()
	limits := t.front.config.Limits
	in := message.NewReader(s, limits.Message.Bytes)
	from := proxy.Peer{Transport: s.transport, Addr: s.remote, Conn: s.id}
	var pace connpace.Reads
	for empty := 0; ; {
		if err := s.SetReadDeadline(time.Now().Add(limits.Idle.Duration)); err != nil {
			return
		}
		began := time.Now()
		m, err := in.Next()
		time.Sleep(pace.Pause(began, time.Now()))
		var bad *message.Error
		switch {
		case errors.As(err, &bad):
			t.front.receive(from, m, err)
			// The start of the next message is unknown, so close the stream. The empty message
			// ends it and is queued behind the response, as the Machine handles events in order.
			t.front.post(func() { t.queue(s, outgoing{}) })
			select {
			case <-s.ended:
			case <-time.After(writeTimeout):
			}
			return
		case err != nil:
			return
		case m == nil:
			if empty++; empty == 2 { // RFC 5626 section 3.5.1: a double CRLF is a ping, answered with a single one
				t.queue(s, outgoing{text: []byte("\r\n")})
				empty = 0
			}
			continue
		}
		empty = 0
		t.front.receive(from, m, nil)
	}
}

// write writes queued messages until the stream ends, then removes the stream and reports to
// the Machine: first the messages that were not fully written, then the close.
func (t *streams) write(s *stream) {
	var failed []string
loop:
	for {
		select {
		case <-s.ended:
			break loop
		case o := <-s.out:
			if o.text == nil {
				break loop
			}
			if err := s.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				failed = append(failed, o.id)
				break loop
			}
			if _, err := s.Write(o.text); err != nil { // a partial write, so the peer can't have read the whole message
				failed = append(failed, o.id)
				break loop
			}
		}
	}
	s.shutdown()
	t.remove(s)
	for len(s.out) > 0 { // no sender can add to it after remove
		failed = append(failed, (<-s.out).id)
	}
	f := t.front
	f.post(func() {
		for _, id := range failed {
			f.machine.DeliveryFailed(f.now(), id, false)
		}
		f.machine.ConnectionClosed(f.now(), s.id, s.remote)
	})
}

func (t *streams) remove(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, s.id)
	if t.byAddr[s.remote] == s {
		delete(t.byAddr, s.remote)
	}
}

// queue queues a message for a stream's writer. It returns false if the stream has ended, or
// if its queue is full, in which case it is closed.
func (t *streams) queue(s *stream, o outgoing) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[s.id] != s {
		return false
	}
	select {
	case s.out <- o:
		return true
	default:
		s.shutdown()
		return false
	}
}

// send sends a message on its own connection, else on one to the same address, else on a new
// one; to a server on its own connection alone, if it has one. It never blocks.
func (t *streams) send(to proxy.Peer, id string, text []byte) {
	f, o := t.front, outgoing{id, text}
	t.mu.Lock()
	s := t.byID[to.Conn]
	if s == nil && (to.Conn == 0 || to.Port != 0) {
		s = t.byAddr[to.Addr]
	}
	t.mu.Unlock()
	if s != nil && t.queue(s, o) {
		return
	}
	if to.Conn != 0 && to.Port == 0 { // a server's connection has ended: another process may listen at its address
		f.failed(id, false)
		return
	}
	if to.Port != 0 {
		to.Addr = netip.AddrPortFrom(to.Addr.Addr(), to.Port)
	}
	select {
	case t.dialSlots <- struct{}{}:
	default:
		f.failed(id, false)
		return
	}
	t.goroutines.Go(func() {
		defer func() { <-t.dialSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
		defer cancel()
		conn, err := t.connect(ctx, to)
		if err == nil {
			t.mu.Lock()
			s := t.byID[conn]
			t.mu.Unlock()
			if s != nil && t.queue(s, o) {
				return
			}
		}
		if id != "" {
			f.post(func() { f.machine.DeliveryFailed(f.now(), id, false) })
		}
	})
}

// connect returns an open or a new connection to an address. New TLS connections are made to
// servers only: a caller that has disconnected can't be verified by its certificate.
func (t *streams) connect(ctx context.Context, to proxy.Peer) (uint64, error) {
	t.mu.Lock()
	if s := t.byAddr[to.Addr]; s != nil {
		t.mu.Unlock()
		return s.id, nil
	}
	m := t.pendingDials[to.Addr]
	if m == nil {
		if t.closed {
			t.mu.Unlock()
			return 0, errStreamsClosed
		}
		m = &pendingDial{done: make(chan struct{})}
		t.pendingDials[to.Addr] = m
		t.goroutines.Go(func() {
			m.stream, m.err = t.dial(to)
			t.mu.Lock()
			delete(t.pendingDials, to.Addr)
			t.mu.Unlock()
			close(m.done)
		})
	}
	t.mu.Unlock()
	select {
	case <-m.done:
	case <-ctx.Done():
		return 0, fmt.Errorf("connect: %w", ctx.Err())
	}
	if m.err != nil {
		return 0, m.err
	}
	return m.stream.id, nil
}

func (t *streams) dial(to proxy.Peer) (*stream, error) {
	dialer := &net.Dialer{Timeout: connectTimeout}
	var conn net.Conn
	var err error
	if to.Transport == proxy.TLS {
		if t.client == nil {
			return nil, errors.New("connect: TLS to servers is not configured")
		}
		conn, err = tls.DialWithDialer(dialer, "tcp", to.Addr.String(), t.client)
	} else {
		conn, err = dialer.Dial("tcp", to.Addr.String())
	}
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	s, err := t.add(conn, to.Transport, true)
	if err != nil {
		conn.Close()
	}
	return s, err
}

// drop closes the outbound connections to a server that is gone. It is the core's Drop hook.
func (t *streams) drop(gone core.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		if s.outbound && s.remote.String() == gone.Addr {
			s.shutdown()
		}
	}
}

// flush writes what is queued on each connection and closes it, for at most writeTimeout.
func (t *streams) flush() {
	t.mu.Lock()
	open := slices.Collect(maps.Values(t.byID))
	t.mu.Unlock()
	limit := time.After(writeTimeout)
	for _, s := range open {
		select {
		case s.out <- outgoing{}: // the writer closes the connection behind all that is queued before
		case <-s.ended:
		case <-limit:
			return
		}
	}
	for _, s := range open {
		select {
		case <-s.ended:
		case <-limit:
			return
		}
	}
}

// close closes all connections and waits for their goroutines.
func (t *streams) close() {
	t.mu.Lock()
	t.closed = true
	for _, s := range t.byID {
		s.shutdown()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// counts returns the number of open connections and of rejected ones.
func (t *streams) counts() (open int, refused int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID), t.rejected
}

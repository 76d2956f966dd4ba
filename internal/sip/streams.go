package sip

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/sip/message"
	"otterstep/internal/sip/proxy"
)

const (
	connectWait = time.Second     // for a connection and its handshake
	writeWait   = 2 * time.Second // for the other side to take a message
	queueMost   = 64              // messages that wait to be written on one connection
	dialsMost   = 64              // connections being made for messages that wait
)

var (
	errNoConnections = errors.New("all connections in use")
	errStreamsClosed = errors.New("the front has stopped")
)

// streams owns the connections over TCP and TLS, accepted and made, of which there are
// at most so many together.
type streams struct {
	front  *Front
	most   int
	client *tls.Config // for servers
	dials  chan struct{}
	all    sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	lastID  uint64
	byID    map[uint64]*stream
	byAddr  map[netip.AddrPort]*stream // the latest to each address
	making  map[netip.AddrPort]*making
	refused int64 // accepted and closed at once, as there were too many
}

// making is a connection being made, for all who want it.
type making struct {
	done   chan struct{}
	stream *stream
	err    error
}

type stream struct {
	net.Conn
	id        uint64
	transport proxy.Transport
	remote    netip.AddrPort
	made      bool // from this side
	out       chan outgoing
	ended     chan struct{} // closed by end
	once      sync.Once
}

// outgoing is a message that waits to be written; id is that of Host.Transmit.
type outgoing struct {
	id   string
	text []byte
}

func newStreams(f *Front, most int, client *tls.Config) *streams {
	return &streams{
		front: f, most: most, client: client, dials: make(chan struct{}, dialsMost),
		byID: map[uint64]*stream{}, byAddr: map[netip.AddrPort]*stream{}, making: map[netip.AddrPort]*making{},
	}
}

// end closes a stream; its goroutines notice.
func (s *stream) end() {
	s.once.Do(func() {
		close(s.ended)
		s.Conn.Close()
	})
}

// accept takes connections until the listener is closed.
func (f *Front) accept(l net.Listener, transport proxy.Transport) {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors, most likely: some will come free
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

// add puts a connection on the books and starts its goroutines.
func (t *streams) add(conn net.Conn, transport proxy.Transport, made bool) (*stream, error) {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil, fmt.Errorf("a connection from %v, which is no address of TCP", conn.RemoteAddr())
	}
	at := tcp.AddrPort()
	s := &stream{
		Conn: conn, transport: transport, remote: netip.AddrPortFrom(at.Addr().Unmap(), at.Port()), made: made,
		out: make(chan outgoing, queueMost), ended: make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return nil, errStreamsClosed
	case len(t.byID) >= t.most:
		t.refused++
		return nil, errNoConnections
	}
	t.lastID++
	s.id = t.lastID
	t.byID[s.id], t.byAddr[s.remote] = s, s
	t.all.Go(func() { t.read(s) })
	t.all.Go(func() { t.write(s) })
	return s, nil
}

// read hands what comes to the Machine until the stream ends.
func (t *streams) read(s *stream) {
	defer s.end()
	limits := t.front.config.Limits
	in := message.NewReader(s, limits.Message.Bytes)
	from := proxy.Peer{Transport: s.transport, Addr: s.remote, Conn: s.id}
	for empty := 0; ; {
		if err := s.SetReadDeadline(time.Now().Add(limits.Idle.Duration)); err != nil {
			return
		}
		m, err := in.Next()
		var bad *message.Error
		switch {
		case errors.As(err, &bad):
			t.front.receive(from, m, err)
			// Where the next message begins can't be known. What answers this one goes out
			// before the end, as the Machine sends it in the order of its events.
			t.front.post(func() { t.queue(s, outgoing{}) })
			select {
			case <-s.ended:
			case <-time.After(writeWait):
			}
			return
		case err != nil:
			return
		case m == nil:
			if empty++; empty == 2 { // RFC 5626 section 3.5.1: a ping of two gets one
				t.queue(s, outgoing{text: []byte("\r\n")})
				empty = 0
			}
			continue
		}
		empty = 0
		t.front.receive(from, m, nil)
	}
}

// write sends what is queued until the stream ends, then takes it off the books and
// tells the Machine: first what was never sent whole, then the end.
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
			if err := s.SetWriteDeadline(time.Now().Add(writeWait)); err != nil {
				failed = append(failed, o.id)
				break loop
			}
			if _, err := s.Write(o.text); err != nil { // short, so that it can't have been read whole
				failed = append(failed, o.id)
				break loop
			}
		}
	}
	s.end()
	t.remove(s)
	for len(s.out) > 0 { // nobody adds to it any more
		failed = append(failed, (<-s.out).id)
	}
	f := t.front
	f.post(func() {
		for _, id := range failed {
			f.machine.Failed(f.now(), id, false)
		}
		f.machine.Closed(f.now(), s.id, s.remote)
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

// queue hands a message to a stream's writer; false if it has ended, or is so far behind
// that it is ended now.
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
		s.end()
		return false
	}
}

// send sends a message on the connection that it belongs to, on any to its address, or
// on a new one. It never waits.
func (t *streams) send(to proxy.Peer, id string, text []byte) {
	f, o := t.front, outgoing{id, text}
	t.mu.Lock()
	s := t.byID[to.Conn]
	if s == nil {
		s = t.byAddr[to.Addr]
	}
	t.mu.Unlock()
	if s != nil && t.queue(s, o) {
		return
	}
	if to.Port != 0 {
		to.Addr = netip.AddrPortFrom(to.Addr.Addr(), to.Port)
	}
	select {
	case t.dials <- struct{}{}:
	default:
		f.failed(id, false)
		return
	}
	t.all.Go(func() {
		defer func() { <-t.dials }()
		ctx, cancel := context.WithTimeout(context.Background(), connectWait)
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
			f.post(func() { f.machine.Failed(f.now(), id, false) })
		}
	})
}

// connect gives the connection to an address, an open one or a new one. Only servers
// are met over TLS: a caller that is gone can't be known again by its certificate.
func (t *streams) connect(ctx context.Context, to proxy.Peer) (uint64, error) {
	t.mu.Lock()
	if s := t.byAddr[to.Addr]; s != nil {
		t.mu.Unlock()
		return s.id, nil
	}
	m := t.making[to.Addr]
	if m == nil {
		if t.closed {
			t.mu.Unlock()
			return 0, errStreamsClosed
		}
		m = &making{done: make(chan struct{})}
		t.making[to.Addr] = m
		t.all.Go(func() {
			m.stream, m.err = t.dial(to)
			t.mu.Lock()
			delete(t.making, to.Addr)
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
	dialer := &net.Dialer{Timeout: connectWait}
	var conn net.Conn
	var err error
	if to.Transport == proxy.TLS {
		if t.client == nil {
			return nil, errors.New("connect: no certificates to meet a server by TLS with")
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

// drop closes connections that were made to a server that is gone; it is core's Drop.
func (t *streams) drop(gone core.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.byID {
		if s.made && s.remote.String() == gone.Addr {
			s.end()
		}
	}
}

// close ends all connections and waits for their goroutines.
func (t *streams) close() {
	t.mu.Lock()
	t.closed = true
	for _, s := range t.byID {
		s.end()
	}
	t.mu.Unlock()
	t.all.Wait()
}

// count gives how many connections are open, and how many were turned away.
func (t *streams) count() (open int, refused int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byID), t.refused
}

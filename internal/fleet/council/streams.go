package council

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// maxPendingStreams bounds the streams that wait for raft to accept them.
const maxPendingStreams = 64

var errStopped = errors.New("council: this voter has stopped")

// streamLayer is raft's transport layer on top of the agents' own listeners. Once closed, it has closed all
// streams and opens no new ones, so that a voter can't send what it failed to write.
type streamLayer struct {
	dial func(ctx context.Context, server string) (net.Conn, error)

	mu      sync.Mutex
	closed  bool
	open    map[*trackedStream]bool
	pending chan net.Conn
	done    chan struct{}
}

func newStreamLayer(dial func(ctx context.Context, server string) (net.Conn, error)) *streamLayer {
	return &streamLayer{dial: dial, open: map[*trackedStream]bool{}, pending: make(chan net.Conn, maxPendingStreams), done: make(chan struct{})}
}

// trackedStream is a stream that is in streamLayer.open until it is closed.
type trackedStream struct {
	net.Conn
	layer *streamLayer
}

// Close implements net.Conn.
func (s *trackedStream) Close() error {
	s.layer.mu.Lock()
	delete(s.layer.open, s)
	s.layer.mu.Unlock()
	return s.Conn.Close()
}

func (s *streamLayer) track(c net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return nil, errStopped
	}
	tracked := &trackedStream{c, s}
	s.open[tracked] = true
	return tracked, nil
}

// enqueue queues a stream that another voter has opened, for Accept.
func (s *streamLayer) enqueue(c net.Conn) error {
	tracked, err := s.track(c)
	if err != nil {
		return err
	}
	select {
	case s.pending <- tracked:
		return nil
	case <-s.done:
		tracked.Close()
		return errStopped
	default:
		tracked.Close()
		return fmt.Errorf("council: too many pending streams, the maximum is %d", maxPendingStreams)
	}
}

// Accept implements net.Listener.
func (s *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-s.pending:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *streamLayer) Close() error {
	s.shutdown()
	return nil
}

// shutdown closes all streams permanently.
func (s *streamLayer) shutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	for c := range s.open {
		c.Conn.Close()
	}
	clear(s.open)
}

// Addr implements net.Listener.
func (s *streamLayer) Addr() net.Addr { return addr("council") }

// Dial implements raft.StreamLayer. The address is a server ID.
func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.done:
			cancel()
		case <-stop:
		}
	}()
	c, err := s.dial(ctx, string(address))
	if err != nil {
		return nil, err
	}
	return s.track(c)
}

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "council" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

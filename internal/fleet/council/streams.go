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

// waitingMost bounds the streams that were accepted and not yet taken up.
const waitingMost = 64

var errSealed = errors.New("council: this voter has stepped aside")

// streams is raft's transport layer over the agents' own listeners. Sealed, it closes all
// streams and lets no further byte out or in: what a voter could not write down stays unsaid.
type streams struct {
	dial func(ctx context.Context, server string) (net.Conn, error)

	mu     sync.Mutex
	sealed bool
	open   map[*stream]bool
	in     chan net.Conn
	done   chan struct{}
}

func newStreams(dial func(ctx context.Context, server string) (net.Conn, error)) *streams {
	return &streams{dial: dial, open: map[*stream]bool{}, in: make(chan net.Conn, waitingMost), done: make(chan struct{})}
}

// stream is one that is known to be open.
type stream struct {
	net.Conn
	of *streams
}

// Close implements net.Conn.
func (s *stream) Close() error {
	s.of.mu.Lock()
	delete(s.of.open, s)
	s.of.mu.Unlock()
	return s.Conn.Close()
}

func (s *streams) keep(c net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		c.Close()
		return nil, errSealed
	}
	kept := &stream{c, s}
	s.open[kept] = true
	return kept, nil
}

// offer hands in a stream that another voter has begun.
func (s *streams) offer(c net.Conn) error {
	kept, err := s.keep(c)
	if err != nil {
		return err
	}
	select {
	case s.in <- kept:
		return nil
	case <-s.done:
		kept.Close()
		return errSealed
	default:
		kept.Close()
		return fmt.Errorf("council: %d streams wait already", waitingMost)
	}
}

// Accept implements net.Listener.
func (s *streams) Accept() (net.Conn, error) {
	select {
	case c := <-s.in:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *streams) Close() error {
	s.seal()
	return nil
}

// seal closes all streams for good.
func (s *streams) seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sealed {
		return
	}
	s.sealed = true
	close(s.done)
	for c := range s.open {
		c.Conn.Close()
	}
	clear(s.open)
}

// Addr implements net.Listener.
func (s *streams) Addr() net.Addr { return addr("council") }

// Dial implements raft.StreamLayer; an address is a server's NAME/ID.
func (s *streams) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
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
	return s.keep(c)
}

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "council" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

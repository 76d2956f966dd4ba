package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// ListenFDVariable is the environment variable with the file descriptor of the clients' listening socket, if the
// platform holds it. If it is not set, a node opens its own socket.
const ListenFDVariable = "PROXY_ACCEPT_FD"

// Inherit takes over the listening socket that the platform holds. text is its descriptor number; the socket must
// listen at want. Errors begin with the variable's name.
func Inherit(text, want string) (*PausableListener, error) {
	fail := func(format string, args ...any) (*PausableListener, error) {
		return nil, fmt.Errorf("$%s=%q: %w; pass the listening socket of %s there, or unset it for the node to open its own",
			ListenFDVariable, text, fmt.Errorf(format, args...), want)
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < 3 {
		return fail("not a descriptor number of 3 or more")
	}
	if _, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE); err != nil {
		return fail("not an open socket: %w", err)
	}
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return fail("the socket does not listen")
	}
	f := os.NewFile(uintptr(fd), "clients")
	l, err := net.FileListener(f) // duplicates the descriptor: closing it does not affect the other process
	if err != nil {
		return fail("%w", err)
	}
	f.Close()
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return fail("a %s socket, not a TCP socket", l.Addr().Network())
	}
	if at, err := net.ResolveTCPAddr("tcp", want); err != nil || at.String() != l.Addr().String() {
		l.Close()
		return fail("it listens at %s", l.Addr())
	}
	return NewPausableListener(tcp), nil
}

// PausableListener is a listener that can be paused. Connections that arrive meanwhile wait in the kernel's accept
// queue, for this process or another one that shares the socket. It is open initially.
type PausableListener struct {
	*net.TCPListener

	mu      sync.Mutex
	opened  chan struct{} // closed while the listener is open
	open    bool
	waiting bool // Accept is waiting for the listener to be opened
	closed  chan struct{}
	once    sync.Once
}

// NewPausableListener wraps a listener and takes ownership of it.
func NewPausableListener(l *net.TCPListener) *PausableListener {
	g := &PausableListener{TCPListener: l, opened: make(chan struct{}), open: true, closed: make(chan struct{})}
	close(g.opened)
	return g
}

// SetOpen opens or pauses the listener. A connection that is being accepted while it is paused is still returned
// by Accept.
func (g *PausableListener) SetOpen(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return
	}
	g.waiting = false
	if g.open = open; open {
		_ = g.TCPListener.SetDeadline(time.Time{}) // fails only on a closed listener
		close(g.opened)
		return
	}
	g.opened = make(chan struct{})
	_ = g.TCPListener.SetDeadline(time.Unix(1, 0))
}

// Paused reports whether the listener is paused and Accept is waiting: every connection accepted before has been
// returned to the caller of Accept.
func (g *PausableListener) Paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// Accept implements net.Listener. One goroutine calls it.
func (g *PausableListener) Accept() (net.Conn, error) {
	for {
		g.mu.Lock()
		opened := g.opened
		g.waiting = !g.open
		g.mu.Unlock()
		select {
		case <-opened:
		case <-g.closed:
			return nil, net.ErrClosed
		}
		c, err := g.TCPListener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return c, err
	}
}

// Close implements net.Listener. The socket keeps listening for other processes that share it.
func (g *PausableListener) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.TCPListener.Close()
}

package handover

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/unixsock"
)

const (
	successorHelloTimeout   = time.Second            // for a successor's first message
	predecessorHelloTimeout = 4 * time.Second        // for a predecessor's first message: its own predecessor may not have ended yet
	writeTimeout            = 500 * time.Millisecond // a peer that does not read for longer is treated as dead
	dialTimeout             = 300 * time.Millisecond
	maxUnconfirmed          = 64 // messages that await their Ack
)

// Link is the connection to the other process. It is made by Dial or by Serve.
type Link struct {
	conn    net.Conn
	scanner *bufio.Scanner
	peer    State // from its first message

	mu          sync.Mutex // also serializes writes
	seq         uint64
	unconfirmed map[uint64]chan struct{}
	done        chan struct{}
}

// Peer returns the state that the other process sent in its first message.
func (l *Link) Peer() State { return l.peer }

// Done is closed once the connection to the other process has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// handshake exchanges the first messages.
func handshake(conn net.Conn, own State, within time.Duration) (_ *Link, err error) {
	l := &Link{conn: conn, scanner: bufio.NewScanner(conn), unconfirmed: map[uint64]chan struct{}{}, done: make(chan struct{})}
	l.scanner.Buffer(nil, maxMessageSize)
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(within))
	text, err := Message{Version: Version, State: &own}.encode()
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(text); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	m, err := l.read()
	if err != nil {
		return nil, err
	}
	if err := m.checkHello(own.Name); err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	l.peer = *m.State
	return l, nil
}

func (l *Link) read() (Message, error) {
	if !l.scanner.Scan() {
		if err := l.scanner.Err(); err != nil {
			return Message{}, fmt.Errorf("handover: %w", err)
		}
		return Message{}, errors.New("handover: the other process has ended")
	}
	return decode(l.scanner.Bytes())
}

// Run passes the other process's messages to handle, one at a time, until the connection or ctx ends. A message
// with a Seq is acknowledged when handle returns nil.
func (l *Link) Run(ctx context.Context, handle func(Message) error) error {
	defer close(l.done)
	defer l.conn.Close()
	defer context.AfterFunc(ctx, func() { l.conn.Close() })()
	for {
		m, err := l.read()
		if err != nil {
			return err
		}
		if m.Ack > 0 {
			l.mu.Lock()
			if w := l.unconfirmed[m.Ack]; w != nil {
				close(w)
				delete(l.unconfirmed, m.Ack)
			}
			l.mu.Unlock()
			continue
		}
		if err := handle(m); err != nil {
			return err
		}
		if m.Seq > 0 {
			if err := l.Send(Message{Ack: m.Seq}); err != nil {
				return err
			}
		}
	}
}

// Send sends a message without waiting for its effect.
func (l *Link) Send(m Message) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.write(m)
}

// write sends a message. The caller holds mu.
func (l *Link) write(m Message) error {
	text, err := m.encode()
	if err != nil {
		return err
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := l.conn.Write(text); err != nil {
		l.conn.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// ErrPeerGone means that the other process ended before it confirmed a message.
var ErrPeerGone = errors.New("handover: the other process has ended before it confirmed")

// SendConfirmed sends a message and waits until it has taken effect in the other process.
func (l *Link) SendConfirmed(ctx context.Context, m Message) error {
	confirmed := make(chan struct{})
	l.mu.Lock()
	if len(l.unconfirmed) >= maxUnconfirmed {
		l.mu.Unlock()
		return errors.New("handover: too many messages await confirmation by the other process")
	}
	l.seq++
	m.Seq = l.seq
	l.unconfirmed[m.Seq] = confirmed
	err := l.write(m)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.unconfirmed, m.Seq)
	}()
	if err != nil {
		return ErrPeerGone
	}
	select {
	case <-confirmed:
		return nil
	case <-l.done:
		return ErrPeerGone
	case <-ctx.Done():
		return fmt.Errorf("handover: not confirmed by the other process: %w", ctx.Err())
	}
}

// ErrDeadSocket means that a process listened for its successor and has ended, and that no other one took its place.
var ErrDeadSocket = errors.New("handover: nobody listens at the socket any more")

const (
	// takeBackTime is how long Dial waits for a process to take back the path of its successor that was killed.
	takeBackTime     = 200 * time.Millisecond
	takeBackInterval = 10 * time.Millisecond
)

// Dial connects to the process that already serves this node. If there is no file at path, as no process has served it
// yet, it returns nil and no error. If there is a socket at which nobody listens, it waits for takeBackTime and then
// returns ErrDeadSocket.
func Dial(path string, own State) (*Link, error) {
	conn, err := net.DialTimeout("unix", path, dialTimeout)
	for end := time.Now().Add(takeBackTime); err != nil && refused(err) && time.Now().Before(end); {
		time.Sleep(takeBackInterval)
		conn, err = net.DialTimeout("unix", path, dialTimeout)
	}
	switch {
	case err != nil && errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil && refused(err):
		return nil, ErrDeadSocket
	case err != nil:
		return nil, fmt.Errorf("handover: %w", err)
	}
	return handshake(conn, own, predecessorHelloTimeout)
}

// Listener accepts connections of successors. It is made by Listen and ended by Serve or Close.
type Listener struct {
	path string

	mu       sync.Mutex
	listener *net.UnixListener
	file     os.FileInfo // of the socket
	closed   bool
}

// Listen takes path over from its previous owner. A successor that connects from then on waits for Serve.
func Listen(path string) (*Listener, error) {
	p := &Listener{path: path}
	if err := p.open(); err != nil {
		return nil, err
	}
	return p, nil
}

// open listens at the path.
func (p *Listener) open() error {
	l, err := unixsock.Listen(p.path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	file, err := os.Stat(p.path)
	if err != nil {
		l.Close()
		return fmt.Errorf("handover: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.Close()
		return net.ErrClosed
	}
	if p.listener != nil {
		p.listener.Close()
	}
	p.listener, p.file = l, file
	return nil
}

// takeBack listens at the path again if a successor has taken it. The successor has ended.
func (p *Listener) takeBack() error {
	file, err := os.Stat(p.path)
	if err == nil && os.SameFile(file, p.file) {
		return nil
	}
	return p.open()
}

// Close closes the listener.
func (p *Listener) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return p.listener.Close()
}

// accept waits for the next connection.
func (p *Listener) accept() (net.Conn, error) {
	p.mu.Lock()
	l := p.listener
	p.mu.Unlock()
	return l.Accept()
}

// Serve accepts successors, one at a time, until ctx ends. state returns the state sent in the first message;
// connected is called with each successor's link and returns once the successor is gone, whose path is then taken back;
// failed is called for each failed handshake.
func (p *Listener) Serve(ctx context.Context, state func() State, connected func(context.Context, *Link), failed func(error)) error {
	defer p.Close()
	defer context.AfterFunc(ctx, func() { p.Close() })()
	for {
		conn, err := p.accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("handover: %w", err)
		}
		link, err := handshake(conn, state(), successorHelloTimeout)
		if err != nil {
			failed(err)
			continue
		}
		connected(ctx, link)
		if ctx.Err() != nil { // this process ends, not the successor, which keeps the path
			return nil
		}
		if err := p.takeBack(); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
}

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

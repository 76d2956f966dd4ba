package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
)

// SecondAnswerPadding is a length for a request's head that a SecondAnswerServer can't receive at once.
const SecondAnswerPadding = 12 << 10

// SecondAnswerServer answers the first request on each connection, and gives the same answer once more while the
// next request is on its way to it. Its receive buffer is so small that a head of SecondAnswerPadding bytes has not
// come whole by then.
type SecondAnswerServer struct {
	Addr string

	answer   string
	second   atomic.Int64
	listener net.Listener
	closed   chan struct{}
	conns    sync.WaitGroup
}

// NewSecondAnswerServer starts a server; the caller must close it.
func NewSecondAnswerServer(answer string) (*SecondAnswerServer, error) {
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &SecondAnswerServer{Addr: l.Addr().String(), answer: answer, listener: l, closed: make(chan struct{})}
	s.conns.Go(s.accept)
	return s, nil
}

// SecondAnswers returns how many second answers were given.
func (s *SecondAnswerServer) SecondAnswers() int64 { return s.second.Load() }

// Close closes the listener and the connections. Connections that wait for a request end when their clients close them.
func (s *SecondAnswerServer) Close() {
	s.listener.Close()
	close(s.closed)
	s.conns.Wait()
}

func (s *SecondAnswerServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Go(func() { s.serve(c) })
	}
}

func (s *SecondAnswerServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if _, err := io.WriteString(c, s.answer); err != nil {
		return
	}
	if _, err := in.Peek(1); err != nil {
		return
	}
	s.second.Add(1)
	if _, err := io.WriteString(c, s.answer); err != nil {
		return
	}
	<-s.closed // nothing more is read: that would let more of the head come
}

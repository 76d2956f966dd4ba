// Package stuckserver provides a server that accepts connections and reads nothing from them.
package stuckserver

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// bufferTime is the time that the systems' buffers have to take a request as a whole.
const bufferTime = time.Second

// Server is a server whose connections stay open until the end of its test.
type Server struct {
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// New starts a server.
func New(t testing.TB) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l}
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		s.accept()
	}()
	t.Cleanup(func() {
		l.Close()
		<-accepted
		for _, c := range s.conns {
			c.Close()
		}
	})
	return s
}

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
	}
}

// WriteIntoBuffers writes a request that a proxy passes on to the server. It returns when the last byte was written, or false
// if the systems' buffers, whose sizes vary, did not take all of it: its client is still writing then.
func WriteIntoBuffers(c net.Conn, request string) (written time.Time, whole bool) {
	_ = c.SetWriteDeadline(time.Now().Add(bufferTime)) // a broken connection fails in the write
	_, err := io.WriteString(c, request)
	return time.Now(), err == nil
}

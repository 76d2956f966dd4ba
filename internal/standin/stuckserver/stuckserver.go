// Package stuckserver provides a server that accepts connections and reads nothing from them.
package stuckserver

import (
	"net"
	"sync"
	"testing"
)

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

// Package webbox provides a scripted HTTP/1.1 server that works on raw bytes: it records each
// request as received and writes what its script says, so that a test can break an answer off
// at any byte.
package webbox

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"time"
)

// Request is a request as the server received it.
type Request struct {
	RequestLine string // the request line
	Header      textproto.MIMEHeader
	Body        []byte
	Complete    bool   // it was received to its end
	Raw         []byte // the bytes of the request line and the header
}

// Script answers a request on its connection; it returns false to close the connection.
type Script func(s Request, c net.Conn) bool

// Box is a scripted server; it must be closed.
type Box struct {
	listener  net.Listener
	script    Script
	atHeadEnd bool // the script runs at the end of the header, not of the body

	mu         sync.Mutex
	seen       []Request
	conns      map[net.Conn]bool
	changed    chan struct{}
	goroutines sync.WaitGroup
}

// New starts a server. With early set the script is called as soon as the header was read, and
// reading the body is left to it: Request.Body is empty then.
func New(script Script, early bool) (*Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{listener: l, script: script, atHeadEnd: early, conns: map[net.Conn]bool{}, changed: make(chan struct{})}
	b.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			b.goroutines.Go(func() { b.serve(c) })
		}
	})
	return b, nil
}

// Addr returns the address on which it listens.
func (b *Box) Addr() string { return b.listener.Addr().String() }

// Close closes the listener and all connections and waits for the server's goroutines.
func (b *Box) Close() {
	b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.goroutines.Wait()
}

// Requests returns the requests received so far.
func (b *Box) Requests() []Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Request(nil), b.seen...)
}

// Await waits until n requests were received; it returns false at the time-out.
func (b *Box) Await(n int, timeout time.Duration) bool {
	expired := time.After(timeout)
	for {
		b.mu.Lock()
		got, changed := len(b.seen), b.changed
		b.mu.Unlock()
		if got >= n {
			return true
		}
		select {
		case <-changed:
		case <-expired:
			return false
		}
	}
}

func (b *Box) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	var raw bytes.Buffer
	in := bufio.NewReader(c)
	for {
		raw.Reset()
		s, err := readHead(in, &raw)
		if err != nil {
			return
		}
		s.Raw = bytes.Clone(raw.Bytes())
		if s.Complete = true; !b.atHeadEnd {
			s.Body, err = readBody(in, s)
			s.Complete = err == nil
		}
		b.mu.Lock()
		b.seen = append(b.seen, s)
		close(b.changed)
		b.changed = make(chan struct{})
		b.mu.Unlock()
		if !s.Complete || !b.script(s, &bufferedConn{c, in}) {
			return
		}
	}
}

// bufferedConn reads the bytes in the read-ahead buffer before those of the connection.
type bufferedConn struct {
	net.Conn
	in *bufio.Reader
}

// Read implements net.Conn.
func (b *bufferedConn) Read(p []byte) (int, error) { return b.in.Read(p) }

func readHead(in *bufio.Reader, raw *bytes.Buffer) (s Request, err error) {
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return s, err
		}
		raw.Write(line)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	text := textproto.NewReader(bufio.NewReader(bytes.NewReader(raw.Bytes())))
	if s.RequestLine, err = text.ReadLine(); err != nil {
		return s, err
	}
	s.Header, err = text.ReadMIMEHeader()
	return s, err
}

func readBody(in *bufio.Reader, s Request) ([]byte, error) {
	q, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(s.Raw), in)))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(q.Body)
}

// Respond returns a script that writes the same text for each request and keeps the connection open if keep is set.
func Respond(text string, keep bool) Script {
	return func(_ Request, c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return keep && err == nil
	}
}

// OK returns the text of an answer 200 with a body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

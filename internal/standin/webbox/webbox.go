// Package webbox imitates a server of ordinary HTTP on the level of bytes: it notes each
// request as it came and answers what its script says, cut off wherever a test wants.
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

// Seen is a request as the server got it.
type Seen struct {
	Line   string // the request line
	Header textproto.MIMEHeader
	Body   []byte
	Whole  bool   // it came to its end
	Raw    []byte // the head's bytes
}

// Script answers a request on its connection; false ends the connection.
type Script func(s Seen, c net.Conn) bool

// Box is a server. Close ends it.
type Box struct {
	listener net.Listener
	script   Script
	early    bool // the script runs at the head's end, not the body's

	mu    sync.Mutex
	seen  []Seen
	conns map[net.Conn]bool
	news  chan struct{}
	all   sync.WaitGroup
}

// New starts one. With early the script is called when the head is there, and the body is
// left to it: Seen.Body is empty then.
func New(script Script, early bool) (*Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{listener: l, script: script, early: early, conns: map[net.Conn]bool{}, news: make(chan struct{})}
	b.all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			b.all.Go(func() { b.serve(c) })
		}
	})
	return b, nil
}

// Addr is where it listens.
func (b *Box) Addr() string { return b.listener.Addr().String() }

// Close ends it and its connections.
func (b *Box) Close() {
	b.listener.Close()
	b.mu.Lock()
	for c := range b.conns {
		c.Close()
	}
	b.mu.Unlock()
	b.all.Wait()
}

// Seen gives the requests so far.
func (b *Box) Seen() []Seen {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Seen(nil), b.seen...)
}

// Await waits until it has seen n requests; false after limit.
func (b *Box) Await(n int, limit time.Duration) bool {
	over := time.After(limit)
	for {
		b.mu.Lock()
		got, news := len(b.seen), b.news
		b.mu.Unlock()
		if got >= n {
			return true
		}
		select {
		case <-news:
		case <-over:
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
		if s.Whole = true; !b.early {
			s.Body, err = readBody(in, s)
			s.Whole = err == nil
		}
		b.mu.Lock()
		b.seen = append(b.seen, s)
		close(b.news)
		b.news = make(chan struct{})
		b.mu.Unlock()
		if !s.Whole || !b.script(s, &buffered{c, in}) {
			return
		}
	}
}

// buffered reads what was read ahead first.
type buffered struct {
	net.Conn
	in *bufio.Reader
}

// Read implements io.Reader.
func (b *buffered) Read(p []byte) (int, error) { return b.in.Read(p) }

func readHead(in *bufio.Reader, raw *bytes.Buffer) (s Seen, err error) {
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
	if s.Line, err = text.ReadLine(); err != nil {
		return s, err
	}
	s.Header, err = text.ReadMIMEHeader()
	return s, err
}

func readBody(in *bufio.Reader, s Seen) ([]byte, error) {
	q, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(s.Raw), in)))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(q.Body)
}

// Says gives a script that answers with the same text, and keeps the connection or not.
func Says(text string, keep bool) Script {
	return func(_ Seen, c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return keep && err == nil
	}
}

// OK gives an answer 200 with a body.
func OK(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

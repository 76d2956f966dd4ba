// Package operatorapi is the operator API of one instance: a separate listener on which each connection carries one
// request (HTTP/1.1, RFC 9112). Its file descriptors are reserved, so that clients cannot exhaust them, and
// connections without a complete request are dropped in favour of new ones.
package operatorapi

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	// MaxConnections is the maximum number of open connections. Beyond that the connection that has been
	// without a complete request longest is dropped.
	MaxConnections = 24

	maxHeadBytes   = 8 << 10
	maxBodyBytes   = 4 << 10 // bodies are ignored
	ioTimeout      = 2 * time.Second
	minPendingTime = 25 * time.Millisecond // a connection is not dropped before
	// The operation's time limit: an answer is due within a second.
	operationTimeout = 800 * time.Millisecond
	// After the answer the connection is read for this long, so that bytes still in flight do not cause a
	// reset before the client has read the answer.
	lingerTimeout = 100 * time.Millisecond
)

// Node carries out the operations. An error becomes the text of the answer; ErrUnknown and ErrRefused are to be
// wrapped by errors that are due to the request.
type Node interface {
	Health() error
	Cordon(ctx context.Context, id string, out bool) error
	Quiesce(ctx context.Context) error
	Resume(ctx context.Context) error
}

// Errors that are due to the request, with their HTTP status.
var (
	ErrUnknown = errors.New("not found") // 404
	ErrRefused = errors.New("refused")   // 409
)

// Server serves the operator API.
type Server struct {
	listener net.Listener
	node     Node
	log      *slog.Logger

	mu       sync.Mutex
	open     int
	pending  list.List // of *pendingConn, oldest first
	ending   bool
	requests sync.WaitGroup
}

// pendingConn is a connection without a complete request so far.
type pendingConn struct {
	net.Conn
	since   time.Time
	element *list.Element
	dropped bool // closed in favour of another connection
}

// New returns a server for a listener; Run serves it.
func New(l net.Listener, node Node, log *slog.Logger) *Server {
	return &Server{listener: l, node: node, log: log}
}

// Run serves until ctx ends; requests that are complete by then are still answered.
func (d *Server) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() {
		d.listener.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ending = true
		for d.pending.Len() > 0 {
			d.dropOldest()
		}
	})()
	defer d.requests.Wait()
	for {
		c, err := d.listener.Accept()
		switch {
		case err == nil:
			d.awaitSlot()
			d.admit(ctx, c)
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		default: // a temporary error, such as no free file descriptors
			d.log.Warn("operators' door: accept failed", "err", err)
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

// awaitSlot waits until the connection that is to be dropped next has been open for minPendingTime: among many
// idle connections, one that sends a request must not be dropped before the request was read.
func (d *Server) awaitSlot() {
	d.mu.Lock()
	wait := time.Duration(0)
	if oldest := d.pending.Front(); oldest != nil && d.open >= MaxConnections {
		wait = time.Until(oldest.Value.(*pendingConn).since.Add(minPendingTime))
	}
	d.mu.Unlock()
	time.Sleep(wait) // new connections wait in the listener's backlog
}

// admit makes room for a connection and starts its goroutine.
func (d *Server) admit(ctx context.Context, c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ending {
		c.Close()
		return
	}
	if d.open >= MaxConnections && !d.dropOldest() {
		c.Close() // no operator sends this many requests at once
		return
	}
	d.open++
	s := &pendingConn{Conn: c, since: time.Now()}
	s.element = d.pending.PushBack(s)
	d.requests.Go(func() {
		defer func() {
			c.Close()
			d.mu.Lock()
			defer d.mu.Unlock()
			d.open--
		}()
		d.serve(ctx, s)
	})
}

// dropOldest closes the oldest connection without a complete request; it returns false if there is none. The
// caller holds mu.
func (d *Server) dropOldest() bool {
	oldest := d.pending.Front()
	if oldest == nil {
		return false
	}
	s := d.pending.Remove(oldest).(*pendingConn)
	s.dropped = true
	s.Close()
	return true
}

// markComplete records that a connection's request is complete; it returns false if the connection was dropped before.
func (d *Server) markComplete(s *pendingConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !s.dropped {
		d.pending.Remove(s.element)
	}
	return !s.dropped
}

// serve answers one request.
func (d *Server) serve(ctx context.Context, c *pendingConn) {
	_ = c.SetDeadline(time.Now().Add(ioTimeout)) // fails only on a broken connection, on which the read fails too
	r, err := readRequest(c)
	if !d.markComplete(c) {
		return
	}
	a := answer{status: http.StatusBadRequest}
	if err != nil {
		a.text = err.Error()
	} else {
		operation, cancel := context.WithTimeout(context.WithoutCancel(ctx), operationTimeout)
		a = d.handle(operation, r)
		cancel()
		if r.Method != http.MethodGet || a.status >= 300 {
			d.log.Info("operator request", "method", r.Method, "path", r.URL.EscapedPath(), "status", a.status, "reason", a.text)
		}
	}
	_ = c.SetDeadline(time.Now().Add(ioTimeout))
	if _, err := io.WriteString(c, a.encode()); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxBodyBytes))
	}
}

// readRequest reads a request. Bodies are ignored; a short one is left unread.
func readRequest(c net.Conn) (*http.Request, error) {
	in := bufio.NewReaderSize(io.LimitReader(c, maxHeadBytes), maxHeadBytes)
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, fmt.Errorf("no complete HTTP/1.1 request in %d bytes: %w", maxHeadBytes, err)
	}
	if r.ContentLength > maxBodyBytes || len(r.TransferEncoding) > 0 {
		return nil, fmt.Errorf("request bodies are not accepted")
	}
	return r, nil
}

// answer is a response; its body is one line of text.
type answer struct {
	status int
	allow  string
	text   string
}

func (a answer) encode() string {
	text := a.text
	if text == "" {
		text = "ok"
	}
	text += "\n"
	allow := ""
	if a.allow != "" {
		allow = "Allow: " + a.allow + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		a.status, http.StatusText(a.status), len(text), allow, text)
}

// handle carries out one request.
func (d *Server) handle(ctx context.Context, r *http.Request) answer {
	method, act, err := d.route(r.URL)
	switch {
	case err != nil:
		return answer{status: http.StatusNotFound, text: err.Error()}
	case r.Method != method:
		return answer{status: http.StatusMethodNotAllowed, allow: method, text: r.URL.Path + " accepts only " + method}
	}
	switch err := act(ctx); {
	case err == nil:
		return answer{status: http.StatusOK}
	case errors.Is(err, ErrUnknown):
		return answer{status: http.StatusNotFound, text: err.Error()}
	case errors.Is(err, ErrRefused):
		return answer{status: http.StatusConflict, text: err.Error()}
	default:
		return answer{status: http.StatusServiceUnavailable, text: err.Error()}
	}
}

// route returns the method and operation of a path. It uses the escaped path, as a server ID may contain an escaped
// slash.
func (d *Server) route(u *url.URL) (method string, act func(context.Context) error, err error) {
	path := u.EscapedPath()
	switch path {
	case "/admin/health":
		return http.MethodGet, func(context.Context) error { return d.node.Health() }, nil
	case "/admin/quiesce":
		return http.MethodPost, d.node.Quiesce, nil
	case "/admin/resume":
		return http.MethodPost, d.node.Resume, nil
	}
	for prefix, out := range map[string]bool{"/admin/cordon/": true, "/admin/uncordon/": false} {
		name, ok := strings.CutPrefix(path, prefix)
		if !ok || name == "" || strings.Contains(name, "/") {
			continue
		}
		id, err := url.PathUnescape(name)
		if err != nil {
			return "", nil, fmt.Errorf("server id: %w", err)
		}
		return http.MethodPost, func(ctx context.Context) error { return d.node.Cordon(ctx, id, out) }, nil
	}
	return "", nil, fmt.Errorf("no such endpoint: %.100s", path)
}

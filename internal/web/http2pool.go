package web

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"

	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/internal/h1"
	"otterstep/internal/streaming"
	"otterstep/internal/web/fields"
	"otterstep/internal/web/verdict"
	"otterstep/policy"
)

// http2Pool sends attempts to servers that speak HTTP/2, with many streams per connection. It
// reserves streams on x/net's ClientConn itself, because Transport retries requests on its
// own if a server has not begun them.
type http2Pool struct {
	transport      *http2.Transport
	tlsConfig      *tls.Config
	connectTimeout time.Duration
	maxConns       int

	mu    sync.Mutex
	conns map[core.Server][]*http2.ClientConn
	count int
}

func newHTTP2Pool(c Config, tlsConfig *tls.Config) *http2Pool {
	return &http2Pool{
		transport: &http2.Transport{
			AllowHTTP: true, DisableCompression: true, MaxHeaderListSize: uint32(c.Limits.Header.Bytes), StrictMaxConcurrentStreams: true,
			ReadIdleTimeout: c.Upstream.Idle.Duration, PingTimeout: c.Limits.Stall.Duration, WriteByteTimeout: c.Limits.Stall.Duration,
		},
		tlsConfig: tlsConfig, connectTimeout: c.Upstream.Connect.Duration, maxConns: c.Upstream.Connections, conns: map[core.Server][]*http2.ClientConn{},
	}
}

// reserveStream reserves a stream on a connection to a server, opening one if needed.
func (m *http2Pool) reserveStream(ctx context.Context, to core.Server) (*http2.ClientConn, error) {
	m.mu.Lock()
	m.conns[to] = slices.DeleteFunc(m.conns[to], func(c *http2.ClientConn) bool {
		closed := c.State().Closed
		if closed {
			m.count--
		}
		return closed
	})
	for _, c := range m.conns[to] {
		if c.ReserveNewRequest() {
			m.mu.Unlock()
			return c, nil
		}
	}
	if m.count >= m.maxConns {
		m.mu.Unlock()
		return nil, conns.ErrExhausted
	}
	m.count++
	m.mu.Unlock()
	c, err := m.dial(ctx, to)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.count--
		return nil, err
	}
	m.conns[to] = append(m.conns[to], c)
	return c, nil
}

func (m *http2Pool) dial(ctx context.Context, to core.Server) (*http2.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.connectTimeout)
	defer cancel()
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	if m.tlsConfig != nil {
		tlsConn := tls.Client(nc, m.tlsConfig)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, err
		}
		nc = tlsConn
	}
	c, err := m.transport.NewClientConn(nc)
	if err == nil && !c.ReserveNewRequest() {
		err = conns.ErrExhausted
	}
	if err != nil {
		nc.Close()
	}
	return c, err
}

// drop closes the connections to a removed server, once their streams have ended.
func (m *http2Pool) drop(to core.Server) {
	m.mu.Lock()
	all := m.conns[to]
	delete(m.conns, to)
	m.count -= len(all)
	m.mu.Unlock()
	for _, c := range all {
		go c.Shutdown(context.Background()) // waits for the streams to end
	}
}

func (m *http2Pool) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, all := range m.conns {
		for _, c := range all {
			c.Close()
		}
	}
	clear(m.conns)
}

func (m *http2Pool) attempt(ctx context.Context, x *exchange, to core.Server, end time.Time, turn *trackedTurn) core.AttemptResult {
	c, err := m.reserveStream(ctx, to)
	switch {
	case errors.Is(err, conns.ErrExhausted):
		return core.AttemptResult{Status: policy.NotSent}
	case err != nil:
		return core.AttemptResult{Status: policy.ConnectFailed}
	}
	claimed := x.rest != nil && x.restClaim.Take()
	taken := x.rest != nil && !claimed
	if taken || !turn.Begin() {
		if claimed {
			x.restClaim.Done()
		}
		// A request that is already canceled releases the reserved stream.
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		r, _ := http.NewRequestWithContext(canceled, http.MethodGet, "http://"+to.Addr+"/", nil)
		_, _ = c.RoundTrip(r)
		return core.AttemptResult{Status: policy.NotSent, Rejected: taken}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := c.RoundTrip(x.outgoing(ctx, cancel, turn.AttemptHandle))
	if err != nil {
		return core.AttemptResult{Status: statusOfHTTP2Error(err)}
	}
	defer resp.Body.Close()
	return core.AttemptResult{Status: x.receiveStream(resp, end, turn, x.newStallLimit(cancel))}
}

// Texts of errors for which x/net exports no values. The tests of goaway_test.go show that they are still these.
const (
	textStreamAboveGoAway = "http2: Transport received Server's graceful shutdown GOAWAY" // the server did not take the stream
	textConnUnusable      = "http2: client conn not usable"                               // no stream was opened
	textConnNeverUsed     = "http2: client conn could not be established"                 // no stream was ever opened
)

// statusOfHTTP2Error returns what the error of a request without an answer says of the request. The server has not
// run it if it refused the stream, or if the stream is above the last one that its GOAWAY names (RFC 9113, section
// 8.7). It may have run all others: x/net gives a GoAwayError to those that the GOAWAY names as taken.
func statusOfHTTP2Error(err error) policy.Status {
	var streamErr http2.StreamError
	switch {
	case errors.As(err, &streamErr) && streamErr.Code == http2.ErrCodeRefusedStream, err.Error() == textStreamAboveGoAway:
		return policy.Full
	case err.Error() == textConnUnusable, err.Error() == textConnNeverUsed:
		return policy.NotSent
	}
	return policy.Reset
}

// outgoing returns the request for x/net to send, whose body the caller has claimed; end ends the attempt.
func (x *exchange) outgoing(ctx context.Context, end context.CancelFunc, turn core.AttemptHandle) *http.Request {
	header := x.header.Clone()
	if t := header.Get("Traceparent"); t != "" {
		header.Set("Traceparent", fields.NextSpan(t))
	}
	header.Del("Trailer")
	r := &http.Request{Method: x.method, Host: x.host, Header: header, ContentLength: x.length, ProtoMajor: 2, Proto: "HTTP/2.0"}
	scheme := "http"
	if x.front.opt.Upstream.TLS {
		scheme = "https"
	}
	// Opaque sends the path as the client encoded it.
	r.URL = &url.URL{Scheme: scheme, Host: x.host, Opaque: x.uri}
	switch {
	case x.rest != nil:
		r.Trailer = x.trailer()
		from := x.newUpload(turn, end)
		done := sync.OnceFunc(func() { from.close(); x.restClaim.Done() })
		r.Body = &streamedBody{Reader: io.MultiReader(bytes.NewReader(x.buffered), from), stop: x.stopBody, done: done}
	case len(x.buffered) > 0:
		r.Body = io.NopCloser(bytes.NewReader(x.buffered))
	}
	return r.WithContext(ctx)
}

// streamedBody is a client's body that is sent on a stream. x/net closes it at its end, or
// earlier if the stream has ended; then a Read that waits for the client must be unblocked.
type streamedBody struct {
	io.Reader
	ended      atomic.Bool
	stop, done func()
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.ended.Store(true)
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	if !b.ended.Load() {
		b.stop()
	}
	b.done()
	return nil
}

// receiveStream buffers the answer from a stream or streams it to the client.
func (x *exchange) receiveStream(resp *http.Response, end time.Time, turn *trackedTurn, stall *stallLimit) policy.Status {
	h := h1.Head{Code: resp.StatusCode, Header: resp.Header, TrailersWithLength: len(resp.Trailer) > 0}
	b := stall.limitBody(h1.Body{Reader: resp.Body, Length: resp.ContentLength, Trailer: func() (http.Header, error) { return resp.Trailer, nil }})
	v := verdict.Of(h.Code, h.Header)
	if v.Retryable && x.rest == nil {
		status, _ := x.handleFailure(&failure{Head: h, body: b, verdict: v, turn: turn, end: end, interrupt: func() { resp.Body.Close() }})
		return status
	}
	if !turn.ClaimAnswer() {
		return policy.Cancelled
	}
	if end := x.handoff.Send(&streaming.Answer{Head: h, Body: b}); end != policy.OK {
		return end
	}
	return v.Status
}

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
	"otterstep/internal/passing"
	"otterstep/internal/web/fields"
	"otterstep/internal/web/verdict"
	"otterstep/policy"
)

// multiplexed carries attempts to servers that speak HTTP/2, many on a connection. It asks
// for streams of x/net's ClientConn one by one, because its Transport sends again by itself
// what a server has not begun.
type multiplexed struct {
	transport *http2.Transport
	secure    *tls.Config
	connect   time.Duration
	most      int

	mu   sync.Mutex
	open map[core.Server][]*http2.ClientConn
	all  int
}

func newMultiplexed(c Config, secure *tls.Config) *multiplexed {
	return &multiplexed{
		transport: &http2.Transport{
			AllowHTTP: true, DisableCompression: true, MaxHeaderListSize: uint32(c.Limits.Header.Bytes), StrictMaxConcurrentStreams: true,
			ReadIdleTimeout: c.Upstream.Idle.Duration, PingTimeout: c.Upstream.Connect.Duration, WriteByteTimeout: c.Limits.Stall.Duration,
		},
		secure: secure, connect: c.Upstream.Connect.Duration, most: c.Upstream.Connections, open: map[core.Server][]*http2.ClientConn{},
	}
}

// get reserves a stream at a server.
func (m *multiplexed) get(ctx context.Context, to core.Server) (*http2.ClientConn, error) {
	m.mu.Lock()
	m.open[to] = slices.DeleteFunc(m.open[to], func(c *http2.ClientConn) bool {
		gone := c.State().Closed
		if gone {
			m.all--
		}
		return gone
	})
	for _, c := range m.open[to] {
		if c.ReserveNewRequest() {
			m.mu.Unlock()
			return c, nil
		}
	}
	if m.all >= m.most {
		m.mu.Unlock()
		return nil, conns.ErrNone
	}
	m.all++
	m.mu.Unlock()
	c, err := m.dial(ctx, to)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.all--
		return nil, err
	}
	m.open[to] = append(m.open[to], c)
	return c, nil
}

func (m *multiplexed) dial(ctx context.Context, to core.Server) (*http2.ClientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, m.connect)
	defer cancel()
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	if m.secure != nil {
		secure := tls.Client(nc, m.secure)
		if err := secure.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, err
		}
		nc = secure
	}
	c, err := m.transport.NewClientConn(nc)
	if err == nil && !c.ReserveNewRequest() {
		err = conns.ErrNone
	}
	if err != nil {
		nc.Close()
	}
	return c, err
}

// drop closes the connections to a server that is gone, once their streams have ended.
func (m *multiplexed) drop(to core.Server) {
	m.mu.Lock()
	all := m.open[to]
	delete(m.open, to)
	m.all -= len(all)
	m.mu.Unlock()
	for _, c := range all {
		go c.Shutdown(context.Background()) // it waits for the streams
	}
}

func (m *multiplexed) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, all := range m.open {
		for _, c := range all {
			c.Close()
		}
	}
	clear(m.open)
}

// attempt makes one attempt.
func (m *multiplexed) attempt(ctx context.Context, x *exchange, to core.Server, turn core.Turn) core.Reply {
	c, err := m.get(ctx, to)
	switch {
	case errors.Is(err, conns.ErrNone):
		return core.Reply{Status: policy.Moot}
	case err != nil:
		return core.Reply{Status: policy.ConnectFailed}
	}
	taken := x.rest != nil && x.taken.Swap(true)
	if taken || !turn.Begin() {
		// The stream that was reserved goes with a request that is over before it begins.
		over, cancel := context.WithCancel(ctx)
		cancel()
		r, _ := http.NewRequestWithContext(over, http.MethodGet, "http://"+to.Addr+"/", nil)
		_, _ = c.RoundTrip(r)
		return core.Reply{Status: policy.Moot, Rejected: taken}
	}
	resp, err := c.RoundTrip(x.outgoing(ctx))
	if err != nil {
		var stream http2.StreamError
		var away http2.GoAwayError
		if errors.As(err, &stream) && stream.Code == http2.ErrCodeRefusedStream || errors.As(err, &away) {
			return core.Reply{Status: policy.Full} // RFC 9113, section 8.7: it has not run
		}
		return core.Reply{Status: policy.Reset}
	}
	defer resp.Body.Close()
	return core.Reply{Status: x.receiveStream(resp, turn)}
}

// outgoing gives the request as x/net sends it.
func (x *exchange) outgoing(ctx context.Context) *http.Request {
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
	// Opaque keeps the path as the client wrote it.
	r.URL = &url.URL{Scheme: scheme, Host: x.host, Opaque: x.uri}
	switch {
	case x.rest != nil:
		r.Trailer = x.trailer()
		x.reading.Add(1)
		r.Body = &streamedBody{Reader: io.MultiReader(bytes.NewReader(x.kept), x.rest), stop: x.stop, done: sync.OnceFunc(x.reading.Done)}
	case len(x.kept) > 0:
		r.Body = io.NopCloser(bytes.NewReader(x.kept))
	}
	return r.WithContext(ctx)
}

// streamedBody is a client's body on its way to a stream. x/net closes it once it has ended,
// or when the stream is over before; then a Read that waits for the client must end.
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

// receiveStream takes in an answer that came on a stream.
func (x *exchange) receiveStream(resp *http.Response, turn core.Turn) policy.Status {
	h := h1.Head{Code: resp.StatusCode, Header: resp.Header, Trails: len(resp.Trailer) > 0}
	b := h1.Body{Reader: resp.Body, Length: resp.ContentLength, Trailer: func() (http.Header, error) { return resp.Trailer, nil }}
	v := verdict.Of(h.Code, h.Header)
	if v.Retryable {
		text, err := io.ReadAll(io.LimitReader(resp.Body, heldBack+1))
		if err != nil {
			return policy.Reset
		}
		if len(text) <= heldBack {
			x.keep(&whole{h, text})
			return v.Status
		}
		b.Reader = io.MultiReader(bytes.NewReader(text), resp.Body)
	}
	if !turn.Pass() {
		return policy.Cancelled
	}
	if end := x.passed.Pass(&passing.Answer{Head: h, Body: b}); end != policy.OK {
		return end
	}
	return v.Status
}

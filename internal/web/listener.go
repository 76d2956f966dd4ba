package web

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/connpace"
	"otterstep/internal/framing"
)

// tlsListener accepts TLS connections, whose handshakes it makes itself: the framing of HTTP/1.1 requests has to be
// checked behind TLS, while net/http serves HTTP/2 on connections of type tls.Conn only.
type tlsListener struct {
	net.Listener
	config    *tls.Config
	timeout   time.Duration // of a handshake
	limits    framing.Limits
	ready     chan net.Conn
	failed    chan error // from the inner listener; has a buffer of one
	ctx       context.Context
	close     context.CancelFunc
	accepting sync.WaitGroup
}

// newTLSListener returns a listener for the connections of inner.
func newTLSListener(inner net.Listener, config *tls.Config, timeout time.Duration, limits framing.Limits) *tlsListener {
	l := &tlsListener{Listener: inner, config: config, timeout: timeout, limits: limits, ready: make(chan net.Conn), failed: make(chan error, 1)}
	l.ctx, l.close = context.WithCancel(context.Background())
	l.accepting.Go(l.acceptAll)
	return l
}

func (l *tlsListener) acceptAll() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			l.failed <- err
			return
		}
		l.accepting.Go(func() { l.handshake(c) })
	}
}

// handshake makes the handshake on c and hands the connection to Accept. The inner listener bounds how many there are.
func (l *tlsListener) handshake(c net.Conn) {
	ctx, cancel := context.WithTimeout(l.ctx, l.timeout)
	defer cancel()
	paced := &connpace.Conn{Conn: c}
	secure := tls.Server(paced, l.config)
	if err := secure.HandshakeContext(ctx); err != nil {
		c.Close()
		return
	}
	var conn net.Conn = secure
	if state := secure.ConnectionState(); state.NegotiatedProtocol == "h2" {
		paced.Enable()
	} else {
		framed := framing.NewConn(secure, l.limits)
		framed.TLS = &state
		conn = framed
	}
	select {
	case l.ready <- conn:
	case <-l.ctx.Done():
		conn.Close()
	}
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case err := <-l.failed:
		l.failed <- err
		return nil, err
	}
}

// Close implements net.Listener. It ends the handshakes in progress.
func (l *tlsListener) Close() error {
	err := l.Listener.Close()
	l.close()
	l.accepting.Wait()
	return err
}

// limitedListener limits the number of open connections. Further ones wait in the system's queue.
type limitedListener struct {
	net.Listener
	slots  chan struct{} // one for each open connection
	closed chan struct{}
	once   sync.Once
}

func newLimitedListener(l net.Listener, most int) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, most), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{TCPConn: c.(*net.TCPConn), release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}

type (
	framingKey struct{}
	answersKey struct{}
)

// ownAnswerInterval is the interval of the node's own answers on one connection; see connpace.Answers.
const ownAnswerInterval = time.Millisecond

// withConn is used as http.Server.ConnContext: requests find their connection's framing and the pace of the node's own
// answers in their context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	ctx = context.WithValue(ctx, answersKey{}, connpace.NewAnswers(ownAnswerInterval))
	if framed, ok := c.(*framing.Conn); ok {
		return context.WithValue(ctx, framingKey{}, framed)
	}
	return ctx
}

// framingOf returns the connection of a request over HTTP/1; nil over HTTP/2.
func framingOf(r *http.Request) *framing.Conn {
	framed, _ := r.Context().Value(framingKey{}).(*framing.Conn)
	if r.ProtoMajor != 1 {
		return nil
	}
	return framed
}

// paceOwnAnswer waits until an answer for which no server is asked may be given.
func paceOwnAnswer(r *http.Request) {
	if answers, ok := r.Context().Value(answersKey{}).(*connpace.Answers); ok {
		answers.Wait(r.Context())
	}
}

// stopFraming is used as http.Server.ConnState: a connection that was taken over carries no more requests.
func stopFraming(c net.Conn, s http.ConnState) {
	if framed, ok := c.(*framing.Conn); ok && s == http.StateHijacked {
		framed.Requests.Stop()
	}
}

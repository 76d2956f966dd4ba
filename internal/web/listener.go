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

// connState is used as http.Server.ConnState. A connection that was taken over carries no more requests.
func (f *Front) connState(c net.Conn, s http.ConnState) {
	f.resting.connState(c, s)
	if framed, ok := c.(*framing.Conn); ok && s == http.StateHijacked {
		framed.Requests.Stop()
	}
}

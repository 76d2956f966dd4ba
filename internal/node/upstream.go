package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"otterstep/internal/bodyrate"
	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/internal/streaming"
	"otterstep/policy"
)

const (
	maxBufferedBody = 64 << 10 // maximum body of a buffered answer; larger ones are streamed
	maxAnswerHead   = 16 << 10 // maximum status line and headers of an answer

	// trailerTimeout limits the wait for the trailers of an answer that the client has whole.
	trailerTimeout = 300 * time.Millisecond

	// Maximum pause of a server within a streamed answer, and within a body that is streamed to it. Servers hang for
	// up to 25 s.
	serverHangTimeout = 30 * time.Second

	settleTime = conns.DefaultSettleTime
)

// forwardedHeaders are the client's headers that are sent to servers unchanged.
var forwardedHeaders = []string{
	"X-Correlation-Id", "Idempotency-Key", "X-Service-Class", "X-Account", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type", "Accept",
}

// message is a client's request as it is forwarded to servers. It is immutable once
// submitted, so attempts can share it.
type message struct {
	method      string
	uri         string // request target exactly as the client sent it
	host        string
	header      http.Header
	body        *body              // nil for none
	timeLeft    time.Duration      // how long the client waits, counted from the request's last byte
	handoff     *streaming.Handoff // receives an answer that is streamed; nil if none can be
	needsLength bool               // the client does not support chunked encoding, so it could not detect truncation of an answer without a length
	upstream    *upstream
	client      *client // checked for a disconnect right before an attempt's first byte; nil if unknown
}

// turn is the part of core.AttemptHandle that an attempt uses.
type turn interface {
	Begin() bool
	ClaimAnswer() bool
	RequestSent(left time.Duration)
	Hold(release func()) bool
	EndHold() bool
	Stalled()
}

// Attempt implements core.Message.
func (m *message) Attempt(ctx context.Context, to core.Server, end time.Time, t core.AttemptHandle) core.AttemptResult {
	p := m.upstream.roundTrip(ctx, to, m, end, t)
	return core.AttemptResult{Status: p.status, Body: p, Rejected: p.rejected, BodyConsumed: p.bodyConsumed}
}

// bodyPending reports whether the end of the body has not arrived yet.
func (m *message) bodyPending() bool { return m.body != nil && m.body.rest != nil }

// arrival describes the client's time for an attempt that streams the body.
func (m *message) arrival(t turn) bodyrate.Arrival {
	a := bodyrate.Arrival{
		Length: m.body.length, Answer: m.timeLeft, From: m.body.restFrom, Ahead: bodyrate.SenderBuffer, Due: func() { t.RequestSent(bodyrate.DueAhead) },
	}
	if m.client != nil {
		a.Connection = m.client.received
	}
	return a
}

// bodyLength returns the length of the buffered body.
func (m *message) bodyLength() int {
	if m.body == nil {
		return 0
	}
	return int(m.body.bufferedLength())
}

// encode serializes the head, followed by a body that is in one piece, so that a single write
// sends both and shows whether the last byte was sent. more reports that body data remains to
// be sent. net/http has validated all fields on receipt, so no value contains a line break.
func (m *message) encode(wait time.Duration) (text []byte, more bool) {
	room := 512
	single := m.body != nil && len(m.body.buffered) == 1 && m.body.rest == nil
	if single {
		room += len(m.body.buffered[0])
	}
	b := make([]byte, 0, room)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Time-Left: %.3f\r\n", m.method, m.uri, m.host, wait.Seconds())
	for _, name := range forwardedHeaders {
		for _, value := range m.header[name] {
			b = fmt.Appendf(b, "%s: %s\r\n", name, value)
		}
	}
	switch {
	case m.body == nil && (m.method == http.MethodGet || m.method == http.MethodHead):
	case m.body == nil:
		b = append(b, "Content-Length: 0\r\n"...)
	case m.body.length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		b = fmt.Appendf(b, "Content-Length: %d\r\n", m.body.length)
	}
	b = append(b, "\r\n"...)
	if single {
		b = append(b, m.body.buffered[0]...)
	}
	return b, m.body != nil && !single
}

// write sends a request. A server does not begin to process it before the last byte is
// written. The error is errIncompleteBody if the client did not send all of the body.
func (m *message) write(ctx context.Context, c *conns.Conn, wait time.Duration) error {
	text, more := m.encode(wait)
	if _, err := c.Write(text); err != nil || !more {
		return err
	}
	to := io.Writer(&deadlineWriter{ctx, c})
	if m.body.length >= 0 {
		return m.body.writeTo(to)
	}
	chunks := httputil.NewChunkedWriter(to)
	if err := m.body.writeTo(chunks); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := c.Write([]byte("\r\n"))
	return err
}

// deadlineWriter sets a deadline for each write to a server; a server that accepts no data for
// that long is considered stuck.
type deadlineWriter struct {
	ctx context.Context
	c   *conns.Conn
}

// Write implements io.Writer.
func (s *deadlineWriter) Write(b []byte) (int, error) {
	s.c.SetWriteDeadline(time.Now().Add(serverHangTimeout))
	if s.ctx.Err() != nil {
		s.c.SetWriteDeadline(time.Unix(1, 0))
	}
	n, err := s.c.Write(b)
	s.c.SetWriteDeadline(time.Time{})
	return n, err
}

// reply is the result of an attempt. body is set only if the answer is OK and was buffered.
type reply struct {
	status       policy.Status
	contentType  string
	length       int64 // Content-Length of an answer to HEAD
	body         []byte
	rejected     bool // the server answered with a 4xx that blames the request
	bodyConsumed bool // the request body was consumed, so no further attempt can send it
}

// upstream makes attempts on pooled connections. Each connection carries one request at a time.
type upstream struct {
	pool *conns.Pool
	// onAttempt, set only in tests, is called after the final disconnect check and before an attempt's first byte.
	onAttempt func(*message)
}

// newUpstream returns an upstream whose idle connections are closed well before servers close
// them, which they do after connIdle.
func newUpstream(connIdle, connectTimeout time.Duration, most int) *upstream {
	return &upstream{pool: conns.New(conns.Options{MaxIdle: connIdle * 3 / 4, ConnectTimeout: connectTimeout, SettleTime: settleTime, MaxConns: most})}
}

// roundTrip makes one attempt. It calls Begin right before the first byte and sends nothing if
// Begin returns false. The status depends on whether the last byte was written: if not, the
// request cannot have run; otherwise it may have.
func (u *upstream) roundTrip(ctx context.Context, to core.Server, m *message, end time.Time, t turn) reply {
	if m.bodyPending() && m.body.restClaim.Taken() {
		return reply{status: policy.NotSent, bodyConsumed: true}
	}
	c, err := u.pool.Get(ctx, to)
	switch {
	case errors.Is(err, conns.ErrExhausted):
		return reply{status: policy.NotSent} // our own limit, not a failure of the server
	case err != nil:
		return reply{status: policy.ConnectFailed}
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // interrupts blocked reads and writes
	coming := m.bodyPending()
	if coming && !m.body.restClaim.Take() {
		u.pool.Put(c, release())
		return reply{status: policy.NotSent, bodyConsumed: true}
	}
	if c.Unasked() || m.client != nil && !coming && m.client.mayHaveLeft() || m.client != nil && coming && m.client.disconnected() || !t.Begin() {
		if coming {
			m.body.restClaim.Done()
		}
		u.pool.Put(c, release())
		return reply{status: policy.NotSent, bodyConsumed: coming}
	}
	if u.onAttempt != nil {
		u.onAttempt(m)
	}
	if coming {
		m.body.rest.ExpectAnswer(m.arrival(t))
	}
	err = m.write(ctx, c, max(0, time.Until(end))) // less the time that the start and the connect took
	if coming {
		m.body.restClaim.Done()
	}
	if err != nil {
		release()
		u.pool.Put(c, false)
		if errors.Is(err, errIncompleteBody) { // the client's fault, not the server's
			return reply{status: policy.NotSent, bodyConsumed: true}
		}
		return reply{status: policy.ConnectFailed, bodyConsumed: coming}
	}
	if coming {
		left := m.body.rest.TimeForAnswer(m.timeLeft)
		t.RequestSent(left)
		end = time.Now().Add(left)
	}
	a := &serverAnswer{ctx: ctx, c: c, message: m, turn: t, end: end}
	p, reusable := a.read()
	p.bodyConsumed = coming
	u.pool.Put(c, release() && reusable)
	return p
}

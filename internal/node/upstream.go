package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/policy"
)

const (
	maxBody = 64 << 10 // of a request or an answer

	// A server writes its answer in one go, so one that stops half-way for so long
	// will not go on: its length does not fit. Without this the attempt would hold
	// its request until the client's time is up.
	stallFor  = 300 * time.Millisecond
	settleFor = 10 * time.Millisecond // see conns.Options
)

// forwarded are the client's headers that go on to servers unchanged.
var forwarded = []string{
	"X-Correlation-Id", "Idempotency-Key", "X-Service-Class", "X-Account", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type", "Accept",
}

// message is a client's request as it goes on to servers. It does not change
// once it is handed over, so attempts may share it.
type message struct {
	method   string
	uri      string // as the client wrote it
	host     string
	header   http.Header
	body     []byte
	upstream *upstream
}

// Attempt implements core.Message.
func (m *message) Attempt(ctx context.Context, to core.Server, wait time.Duration, turn core.Turn) core.Reply {
	p := m.upstream.roundTrip(ctx, to, m, wait, turn.Begin)
	return core.Reply{Status: p.status, Body: p, Rejected: p.rejected}
}

// encode writes the whole request into memory, so that one write sends it and
// tells whether its last byte went out. What stands in it has passed net/http's
// checks on the way in, so no value holds a line's end.
func (m *message) encode(wait time.Duration) []byte {
	b := make([]byte, 0, 512+len(m.body))
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Time-Left: %.3f\r\n", m.method, m.uri, m.host, wait.Seconds())
	for _, name := range forwarded {
		for _, value := range m.header[name] {
			b = fmt.Appendf(b, "%s: %s\r\n", name, value)
		}
	}
	if m.method != http.MethodGet {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(m.body))
	}
	return append(append(b, "\r\n"...), m.body...)
}

// reply is what came of an attempt; the body only where it was served.
type reply struct {
	status      policy.Status
	contentType string
	body        []byte
	rejected    bool // the server can't use the request
}

// upstream carries out attempts on pooled connections, one request each at a
// time.
type upstream struct{ pool *conns.Pool }

// newUpstream retires idle connections well before servers do (connIdle).
func newUpstream(connIdle, connectTimeout time.Duration, most int) *upstream {
	return &upstream{conns.New(conns.Options{IdleFor: connIdle * 3 / 4, Connect: connectTimeout, Settle: settleFor, Most: most})}
}

// roundTrip makes one attempt. begin is asked right before the first byte; if it
// says no, nothing is written. The status follows from whether the last byte was
// written: before that the request can't have run, after that it may have.
func (u *upstream) roundTrip(ctx context.Context, to core.Server, m *message, wait time.Duration, begin func() bool) reply {
	c, err := u.pool.Get(ctx, to)
	switch {
	case errors.Is(err, conns.ErrNone):
		return reply{status: policy.Moot} // our own limit says nothing of the server
	case err != nil:
		return reply{status: policy.ConnectFailed}
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes reads and writes
	if !begin() {
		u.pool.Put(c, release())
		return reply{status: policy.Moot}
	}
	if _, err := c.Write(m.encode(wait)); err != nil {
		release()
		u.pool.Put(c, false)
		return reply{status: policy.ConnectFailed}
	}
	p, reusable := read(ctx, c)
	u.pool.Put(c, release() && reusable)
	return p
}

// read takes in an answer. What can't be read may have run, as may whatever is
// neither 200 nor marked as unprocessed.
func read(ctx context.Context, c *conns.Conn) (p reply, reusable bool) {
	c.Budget.N = maxAnswerHead + maxBody
	a, err := readAnswer(c.In,
		func() { limit(ctx, c, time.Time{}) },
		func() { limit(ctx, c, time.Now().Add(stallFor)) })
	if err != nil {
		return reply{status: policy.Reset}, false
	}
	turnedAway := a.code == http.StatusServiceUnavailable || a.code == http.StatusGatewayTimeout
	switch {
	case a.code == http.StatusOK:
		p = reply{status: policy.OK, contentType: a.header.Get("Content-Type"), body: a.body}
	case turnedAway && a.header.Get("X-Unprocessed") == "1":
		p.status = policy.Full
	default:
		p.status = policy.Error
		p.rejected = a.code/100 == 4 && a.code != http.StatusRequestTimeout && a.code != http.StatusTooManyRequests
	}
	limit(ctx, c, time.Time{})
	return p, !a.closes && c.In.Buffered() == 0
}

// limit sets the time limit on reading, but leaves one in place that ctx has set.
func limit(ctx context.Context, c *conns.Conn, at time.Time) {
	c.SetReadDeadline(at)
	if ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

package web

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/bodyrate"
	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/internal/h1"
	"otterstep/internal/sockbuf"
	"otterstep/internal/streaming"
	"otterstep/internal/web/fields"
	"otterstep/internal/web/verdict"
	"otterstep/policy"
)

// exchange is a client's request in progress: what each attempt sends, and the answer.
type exchange struct {
	front   *Front
	method  string
	uri     string // origin-form
	host    string
	header  http.Header // to be sent, without the fields that differ per attempt
	upgrade string      // protocol that the client asks to upgrade to; "" for none

	buffered        []byte           // first part of the body, or all of it
	rest            io.Reader        // remainder of the body, readable once; nil if all is buffered
	body            *bodyrate.Reader // the client's body
	deadline        time.Duration    // time for the answer, from the body's last byte on
	length          int64            // of the complete body; -1: unknown
	trailer         func() http.Header
	expectsContinue bool           // the client waits for 100 (Continue) before it sends the body
	restClaim       bodyrate.Claim // of the attempt that reads rest

	ctx         context.Context    // done when the client has disconnected, the answer is complete or the drain has ended
	earlyHints  chan h1.Head       // 103 responses for the client; dropped if the channel is full
	handoff     *streaming.Handoff // the one answer that is streamed to the client
	stopBody    func()             // ends reads of the client's body
	bodyStopped atomic.Bool        // stopBody was called
	http1       bool               // the client speaks HTTP/1.1
	bodyPending atomic.Bool        // over HTTP/1.1: the end of rest has still to come
	clientCtx   context.Context    // net/http's context of the request
	cancel      context.CancelFunc // ends ctx
	bodyEnded   atomic.Bool        // the end of rest has come
	relaying    atomic.Bool        // the answer is on its way to the client

	received   func() sockbuf.State // the state of the client's connection; nil over HTTP/2, where it says nothing of a body
	ahead      int64                // most that the client can have written of a body beyond what has arrived
	restFrom   time.Time            // since when the rest of the body is read at the server's pace
	mayHaveRun atomic.Int64         // attempts that can have run, or are running

	mu       sync.Mutex
	fallback *bufferedAnswer // the latest answer that was buffered
	bodyErr  error           // why the client's body did not come whole; nil if it did, or is still coming
}

// bufferedAnswer is a failed answer that was read completely, since a retry may succeed. It
// goes to the client if no retry does.
type bufferedAnswer struct {
	h1.Head
	body   []byte
	status policy.Status // what it says of the request
}

// Attempt implements core.Message.
func (x *exchange) Attempt(ctx context.Context, to core.Server, end time.Time, turn core.AttemptHandle) core.AttemptResult {
	tracked := &trackedTurn{AttemptHandle: turn, exchange: x}
	r := x.attempt(ctx, to, end, tracked)
	tracked.ended(r.Status)
	if x.bodyError() != nil { // the client's fault, which must not count against the server
		return core.AttemptResult{Status: policy.Cancelled, Rejected: true}
	}
	if x.ctx.Err() != nil { // ended by the client: it must not count against the server
		switch r.Status {
		case policy.ConnectFailed:
			r.Status = policy.NotSent
		case policy.Reset:
			r.Status = policy.Cancelled
		}
	}
	return r
}

// trackedTurn records whether its attempt can have run.
type trackedTurn struct {
	core.AttemptHandle
	exchange *exchange
	begun    bool
}

// Begin is core.AttemptHandle.Begin: from then on the attempt can have run.
func (t *trackedTurn) Begin() bool {
	t.begun = t.AttemptHandle.Begin()
	if t.begun {
		t.exchange.mayHaveRun.Add(1)
	}
	return t.begun
}

// ended takes an attempt back that is known not to have run.
func (t *trackedTurn) ended(s policy.Status) {
	if t.begun && (s == policy.Full || s == policy.ConnectFailed || s == policy.NotSent) {
		t.exchange.mayHaveRun.Add(-1)
	}
}

func (x *exchange) attempt(ctx context.Context, to core.Server, end time.Time, turn *trackedTurn) core.AttemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(x.ctx, cancel)()
	if x.rest != nil && x.restClaim.Taken() {
		return core.AttemptResult{Status: policy.NotSent, Rejected: true} // the body is consumed, so no further attempt is possible
	}
	if x.front.h2 != nil && x.upgrade == "" {
		return x.front.h2.attempt(ctx, x, to, end, turn)
	}
	c, err := x.front.pool.Get(ctx, to)
	switch {
	case errors.Is(err, conns.ErrExhausted):
		return core.AttemptResult{Status: policy.NotSent}
	case err != nil:
		return core.AttemptResult{Status: policy.ConnectFailed}
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // unblocks reads and writes
	if c.Unasked() || !turn.Begin() {
		x.front.pool.Put(c, release())
		return core.AttemptResult{Status: policy.NotSent}
	}
	if x.rest != nil && !x.restClaim.Take() {
		x.front.pool.Put(c, release())
		return core.AttemptResult{Status: policy.NotSent, Rejected: true}
	}
	head := x.encode()
	text := head
	if x.length >= 0 {
		text = append(text[:len(text):len(text)], x.buffered...)
	}
	if n, err := c.Write(text); err != nil {
		if x.rest != nil {
			x.restClaim.Done()
		}
		release()
		x.front.pool.Put(c, false)
		if n < len(head) { // a server does not run a request with an incomplete head
			return core.AttemptResult{Status: policy.ConnectFailed}
		}
		return core.AttemptResult{Status: policy.Reset}
	}
	sent, continueBody := x.sendRest(ctx, cancel, c, turn.AttemptHandle)
	status, reusable := x.receive(c, end, turn, sent, continueBody, x.newStallLimit(cancel))
	if sent != nil {
		select {
		case err := <-sent:
			reusable = reusable && err == nil
		default: // the answer came before the end of the body: stop sending
			reusable = false
			cancel()
			c.SetDeadline(time.Unix(1, 0))
			x.stopBody()
			<-sent
		}
	}
	x.front.pool.Put(c, release() && reusable)
	return core.AttemptResult{Status: status}
}

// encode serializes the request's head. net/http has validated all values when it read the
// request, so none contains a line break.
func (x *exchange) encode() []byte {
	var b bytes.Buffer
	b.WriteString(x.method + " " + x.uri + " HTTP/1.1\r\nHost: " + x.host + "\r\n")
	extra := http.Header{}
	if t := x.header.Get("Traceparent"); t != "" {
		extra.Set("Traceparent", fields.NextSpan(t))
	}
	switch {
	case x.upgrade != "":
		extra.Set("Connection", "Upgrade")
		extra.Set("Upgrade", x.upgrade)
	case x.header.Get("Te") != "":
		extra.Set("Connection", "TE")
	}
	switch {
	case x.length > 0, x.length == 0 && x.method != http.MethodGet && x.method != http.MethodHead && x.method != http.MethodOptions:
		extra.Set("Content-Length", strconv.FormatInt(x.length, 10))
	case x.length < 0:
		extra.Set("Transfer-Encoding", "chunked")
	}
	if x.expectsContinue {
		extra.Set("Expect", "100-continue")
	}
	// Writing to a bytes.Buffer never fails.
	_ = x.header.WriteSubset(&b, map[string]bool{"Traceparent": true})
	_ = extra.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// continueWait is how long to wait for a server's 100 (Continue) before the body is sent anyway
// (RFC 9110, section 10.1.1).
const continueWait = time.Second

// sendRest sends the part of the body that is not buffered, which the caller has claimed, on a new goroutine. sent delivers
// the result once; it is nil if there is nothing to send. If the client expects 100
// (Continue), the caller closes continueBody when the server asks for the body.
func (x *exchange) sendRest(ctx context.Context, end context.CancelFunc, c *conns.Conn, turn core.AttemptHandle) (sent chan error, continueBody chan struct{}) {
	if x.rest == nil {
		return nil, nil
	}
	sent = make(chan error, 1)
	if x.expectsContinue {
		continueBody = make(chan struct{})
	}
	go func() {
		defer x.restClaim.Done()
		if continueBody != nil {
			wait := time.NewTimer(continueWait)
			defer wait.Stop()
			select {
			case <-continueBody:
			case <-wait.C:
			case <-ctx.Done():
				sent <- ctx.Err()
				return
			}
		}
		from := x.newUpload(turn, end)
		defer from.close()
		sent <- x.copyRest(c, from)
	}()
	return sent, continueBody
}

func (x *exchange) copyRest(c *conns.Conn, from io.Reader) error {
	if x.length >= 0 {
		n, err := x.front.copyBuffered(c, from)
		if err == nil && n != x.length-int64(len(x.buffered)) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	w := httputil.NewChunkedWriter(c)
	if len(x.buffered) > 0 { // attempt sends the buffered part only if the length is known
		if _, err := w.Write(x.buffered); err != nil {
			return err
		}
	}
	if _, err := x.front.copyBuffered(w, from); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	var b bytes.Buffer
	_ = x.trailer().Write(&b)
	b.WriteString("\r\n")
	_, err := c.Write(b.Bytes())
	return err
}

// receive reads the answer from c and buffers it or streams it to the client.
func (x *exchange) receive(c *conns.Conn, end time.Time, turn *trackedTurn, sent chan error, continueBody chan struct{}, stall *stallLimit) (status policy.Status, reusable bool) {
	if sent == nil && x.answerPrecedesRequest(c) {
		return policy.Reset, false
	}
	h, err := x.readFinalHead(c, continueBody, stall)
	if err != nil {
		return policy.Reset, false
	}
	if h.Code == http.StatusSwitchingProtocols {
		if x.upgrade == "" {
			return policy.Reset, false // the client did not ask for an upgrade
		}
		if !turn.ClaimAnswer() {
			return policy.Cancelled, false
		}
		return x.handoff.Send(&streaming.Answer{Head: h, Tunnel: c}), false
	}
	c.ReadLimit.N = h1.NoReadLimit
	b, err := h.OpenBody(c.In, x.method)
	if err != nil {
		return policy.Reset, false
	}
	b = stall.limitBody(b)
	v := verdict.Of(h.Code, h.Header)
	if v.Retryable && sent == nil {
		status, whole := x.handleFailure(&failure{
			Head: h, body: b, verdict: v, turn: turn, end: end, interrupt: func() { c.SetReadDeadline(time.Unix(1, 0)) },
		})
		return status, whole && !h.Closes && c.In.Buffered() == 0
	}
	if !turn.ClaimAnswer() {
		return policy.Cancelled, false
	}
	answer := &streaming.Answer{Head: h, Body: b}
	select {
	case err := <-sent: // a nil channel never receives: there is nothing to send
		sent <- err
	default:
		answer.RequestPending = sent != nil
	}
	status = x.handoff.Send(answer)
	if status == policy.OK {
		status = v.Status
	}
	return status, status != policy.Reset && status != policy.Cancelled && !h.Closes && c.In.Buffered() == 0
}

// answerPrecedesRequest waits for the first byte of an answer and reports that it can't be the answer to this request.
func (x *exchange) answerPrecedesRequest(c *conns.Conn) bool {
	c.ReadLimit.N = int64(x.front.opt.Limits.Header.Bytes)
	_, err := c.In.Peek(1)
	return err == nil && c.PrecedesRequest(len(x.buffered))
}

// readFinalHead reads heads up to the final one and handles interim responses.
func (x *exchange) readFinalHead(c *conns.Conn, continueBody chan struct{}, stall *stallLimit) (h1.Head, error) {
	for range h1.MaxInterim + 1 {
		c.ReadLimit.N = int64(x.front.opt.Limits.Header.Bytes)
		if _, err := c.In.Peek(1); err != nil { // the deadline limits the wait for a head to begin
			return h1.Head{}, err
		}
		stall.start()
		h, err := h1.ReadHead(c.In)
		stall.stop()
		switch {
		case err != nil || h.Code >= 200 || h.Code == http.StatusSwitchingProtocols:
			return h, err
		case h.Code == http.StatusContinue && continueBody != nil:
			close(continueBody)
			continueBody = nil
		case h.Code == http.StatusEarlyHints:
			select {
			case x.earlyHints <- h:
			default:
			}
		}
	}
	return h1.Head{}, h1.Malformed("more than %d interim responses", h1.MaxInterim)
}

func (x *exchange) setFallback(answer *bufferedAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fallback = answer
}

// getFallback returns the answer to give if no attempt does better; nil for none. One that says that the request has
// not run is no answer where another attempt can have run it.
func (x *exchange) getFallback() *bufferedAnswer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fallback != nil && x.fallback.status == policy.Full && x.mayHaveRun.Load() > 0 {
		return nil
	}
	return x.fallback
}

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

	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/internal/h1"
	"otterstep/internal/passing"
	"otterstep/internal/web/fields"
	"otterstep/internal/web/verdict"
	"otterstep/policy"
)

// exchange is a client's request on its way: what all attempts send, and what comes back.
type exchange struct {
	front   *Front
	method  string
	uri     string // origin-form
	host    string
	header  http.Header // as it goes on, but for what is an attempt's own
	upgrade string      // protocol that the client asks to change to

	kept    []byte    // the body's first part, or all of it
	rest    io.Reader // what follows it, read once; nil if kept is all
	length  int64     // of the whole body; -1: not known
	trailer func() http.Header
	expects bool        // the client waits for 100 before it sends the body
	taken   atomic.Bool // an attempt reads the rest

	ctx     context.Context // ends when the client goes or is answered
	interim chan h1.Head    // 103s on their way to the client; one that finds no room is dropped
	passed  *passing.Hand   // the one answer that goes to the client as it comes
	reading sync.WaitGroup  // of the client's body
	stop    func()          // makes that end
	stopped atomic.Bool     // it was

	mu       sync.Mutex
	fallback *whole // the last answer that was held back
}

// whole is an answer that was read to its end, because another attempt might do better.
type whole struct {
	h1.Head
	body []byte
}

// heldBack bounds the body of such an answer; a longer one goes to the client at once.
const heldBack = 64 << 10

// Attempt implements core.Message.
func (x *exchange) Attempt(ctx context.Context, to core.Server, _ time.Time, turn core.Turn) core.Reply {
	r := x.attempt(ctx, to, turn)
	if x.ctx.Err() != nil { // the client's leaving broke it off: nothing to hold against the server
		switch r.Status {
		case policy.ConnectFailed:
			r.Status = policy.Moot
		case policy.Reset:
			r.Status = policy.Cancelled
		}
	}
	return r
}

func (x *exchange) attempt(ctx context.Context, to core.Server, turn core.Turn) core.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(x.ctx, cancel)()
	if x.rest != nil && x.taken.Load() {
		return core.Reply{Status: policy.Moot, Rejected: true} // its body is gone: no attempt can be made
	}
	if x.front.h2 != nil && x.upgrade == "" {
		return x.front.h2.attempt(ctx, x, to, turn)
	}
	c, err := x.front.pool.Get(ctx, to)
	switch {
	case errors.Is(err, conns.ErrNone):
		return core.Reply{Status: policy.Moot}
	case err != nil:
		return core.Reply{Status: policy.ConnectFailed}
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes reads and writes
	if !turn.Begin() {
		x.front.pool.Put(c, release())
		return core.Reply{Status: policy.Moot}
	}
	if x.rest != nil && x.taken.Swap(true) {
		x.front.pool.Put(c, release())
		return core.Reply{Status: policy.Moot, Rejected: true}
	}
	first := x.encode()
	text := first
	if x.length >= 0 {
		text = append(text[:len(text):len(text)], x.kept...)
	}
	if n, err := c.Write(text); err != nil {
		release()
		x.front.pool.Put(c, false)
		if n < len(first) { // no server begins with half a head
			return core.Reply{Status: policy.ConnectFailed}
		}
		return core.Reply{Status: policy.Reset}
	}
	sent, goOn := x.sendRest(ctx, c)
	status, reusable := x.receive(ctx, c, turn, sent, goOn)
	if sent != nil {
		select {
		case err := <-sent:
			reusable = reusable && err == nil
		default: // the answer came early: the rest is of no use
			reusable = false
			cancel()
			c.SetDeadline(time.Unix(1, 0))
			x.stop()
			<-sent
		}
	}
	x.front.pool.Put(c, release() && reusable)
	return core.Reply{Status: status}
}

// encode writes the request's head. All in it has passed net/http's checks on the way in,
// so no value holds a line's end.
func (x *exchange) encode() []byte {
	var b bytes.Buffer
	b.WriteString(x.method + " " + x.uri + " HTTP/1.1\r\nHost: " + x.host + "\r\n")
	own := http.Header{}
	if t := x.header.Get("Traceparent"); t != "" {
		own.Set("Traceparent", fields.NextSpan(t))
	}
	switch {
	case x.upgrade != "":
		own.Set("Connection", "Upgrade")
		own.Set("Upgrade", x.upgrade)
	case x.header.Get("Te") != "":
		own.Set("Connection", "TE")
	}
	switch {
	case x.length > 0, x.length == 0 && x.method != http.MethodGet && x.method != http.MethodHead && x.method != http.MethodOptions:
		own.Set("Content-Length", strconv.FormatInt(x.length, 10))
	case x.length < 0:
		own.Set("Transfer-Encoding", "chunked")
	}
	if x.expects {
		own.Set("Expect", "100-continue")
	}
	// Writing into a buffer does not fail.
	_ = x.header.WriteSubset(&b, map[string]bool{"Traceparent": true})
	_ = own.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// continueWait is how long a body waits for a server's 100 before it goes out all the same
// (RFC 9110, section 10.1.1).
const continueWait = time.Second

// sendRest sends what of the body is not kept, on a goroutine of its own; nil if there is
// nothing to send. sent tells the end, once; goOn, of a client that waits for it, is to be
// closed when the server wants the body.
func (x *exchange) sendRest(ctx context.Context, c *conns.Conn) (sent chan error, goOn chan struct{}) {
	if x.rest == nil {
		return nil, nil
	}
	sent = make(chan error, 1)
	if x.expects {
		goOn = make(chan struct{})
	}
	x.reading.Go(func() {
		if goOn != nil {
			wait := time.NewTimer(continueWait)
			defer wait.Stop()
			select {
			case <-goOn:
			case <-wait.C:
			case <-ctx.Done():
				sent <- ctx.Err()
				return
			}
		}
		sent <- x.copyRest(c)
	})
	return sent, goOn
}

func (x *exchange) copyRest(c *conns.Conn) error {
	if x.length >= 0 {
		n, err := x.front.copy(c, x.rest)
		if err == nil && n != x.length-int64(len(x.kept)) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	w := httputil.NewChunkedWriter(c)
	if len(x.kept) > 0 { // Attempt sent none of a body without a length
		if _, err := w.Write(x.kept); err != nil {
			return err
		}
	}
	if _, err := x.front.copy(w, x.rest); err != nil {
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

// receive takes in the answer to what was written on c.
func (x *exchange) receive(ctx context.Context, c *conns.Conn, turn core.Turn, sent chan error, goOn chan struct{}) (status policy.Status, reusable bool) {
	h, err := x.awaitHead(c, goOn)
	if err != nil {
		return policy.Reset, false
	}
	if h.Code == http.StatusSwitchingProtocols {
		if x.upgrade == "" {
			return policy.Reset, false // nobody asked for it
		}
		if !turn.Pass() {
			return policy.Cancelled, false
		}
		return x.passed.Pass(&passing.Answer{Head: h, Tunnel: c}), false
	}
	c.Budget.N = h1.Unbounded
	b, err := h.Framed(c.In, x.method)
	if err != nil {
		return policy.Reset, false
	}
	v := verdict.Of(h.Code, h.Header)
	if v.Retryable {
		if held, rest, err := hold(c, b, x.front.opt.Limits.Stall.Duration, ctx); err != nil {
			return policy.Reset, false
		} else if rest == nil {
			x.keep(&whole{h, held})
			return v.Status, !h.Closes && c.In.Buffered() == 0
		} else { // too long to be held back
			b.Reader = rest
		}
	}
	if !turn.Pass() {
		return policy.Cancelled, false
	}
	in := &passing.Answer{Head: h, Body: b}
	select {
	case err := <-sent: // nil, for ever, if there is nothing to send
		sent <- err
	default:
		in.Half = sent != nil
	}
	end := x.passed.Pass(in)
	if end == policy.OK {
		end = v.Status
	}
	return end, end != policy.Reset && end != policy.Cancelled && !h.Closes && c.In.Buffered() == 0
}

// awaitHead reads heads up to the one that counts.
func (x *exchange) awaitHead(c *conns.Conn, goOn chan struct{}) (h1.Head, error) {
	for range h1.InterimMost + 1 {
		c.Budget.N = int64(x.front.opt.Limits.Header.Bytes)
		h, err := h1.ReadHead(c.In)
		switch {
		case err != nil || h.Code >= 200 || h.Code == http.StatusSwitchingProtocols:
			return h, err
		case h.Code == http.StatusContinue && goOn != nil:
			close(goOn)
			goOn = nil
		case h.Code == http.StatusEarlyHints:
			select {
			case x.interim <- h:
			default:
			}
		}
	}
	return h1.Head{}, h1.Spoilt("over %d interim answers", h1.InterimMost)
}

// hold reads a body that may be kept whole. If it is too long it gives a reader of all of
// it instead.
func hold(c *conns.Conn, b h1.Body, stall time.Duration, ctx context.Context) ([]byte, io.Reader, error) {
	c.SetReadDeadline(time.Now().Add(stall))
	if ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
	text, err := io.ReadAll(io.LimitReader(b, heldBack+1))
	if err == nil && len(text) <= heldBack {
		_, err = b.Trailer()
	}
	c.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return nil, nil, err
	case len(text) > heldBack:
		return nil, io.MultiReader(bytes.NewReader(text), b), nil
	}
	return text, nil, nil
}

func (x *exchange) keep(w *whole) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fallback = w
}

func (x *exchange) held() *whole {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.fallback
}

package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"otterstep/internal/clienttime"
	"otterstep/internal/conns"
	"otterstep/internal/h1"
	"otterstep/internal/streaming"
	"otterstep/policy"
)

// serverAnswer is the answer to one attempt while it is read.
type serverAnswer struct {
	ctx     context.Context
	c       *conns.Conn
	message *message
	turn    turn
	end     time.Time // of the client's time
}

// left returns how much of the client's time is left.
func (a *serverAnswer) left() time.Duration { return time.Until(a.end) }

// broken is the result of an attempt whose answer can't be used: the request may have run.
var broken = reply{status: policy.Reset}

// read reads the answer. Unless the answer is a 200 or is marked as unprocessed, the request
// may have run; the same holds if the answer cannot be parsed.
func (a *serverAnswer) read() (p reply, reusable bool) {
	stall := time.AfterFunc(time.Hour, a.turn.Stalled)
	stall.Stop() // awaitHead starts it
	defer stall.Stop()
	h, err := a.awaitHead(stall)
	if err != nil {
		return broken, false
	}
	closeAnnounced := h.Closes // OpenBody sets Closes for an answer without a length, even if the server did not announce a close
	a.c.ReadLimit.N = h1.NoReadLimit
	b, err := h.OpenBody(a.c.In, a.message.method)
	switch {
	case err != nil || b.UntilClose && !closeAnnounced:
		return broken, false
	case h.Code != http.StatusOK:
		return a.readFailure(h, b)
	case b.Reader == http.NoBody: // without a body the length is what a GET would return
		return a.finish(h, b, nil)
	}
	return a.readServed(h, b, stall)
}

// readServed reads the body of a 200.
func (a *serverAnswer) readServed(h h1.Head, b h1.Body, stall *time.Timer) (p reply, reusable bool) {
	body := answerBody{serverAnswer: a, head: h, Body: b}
	text, whole, err := body.buffer()
	stall.Stop()
	b = body.Body
	reusable = true
	if whole && err == nil {
		reusable, err = a.readTrailer(b)
		b.Trailer = noTrailer
	}
	claimed := body.holding && !a.turn.EndHold()
	switch {
	case claimed && err != nil:
		b.Reader = failingReader{err}
	case claimed && whole:
		b.Reader = http.NoBody
	case err != nil:
		return broken, false
	case whole:
		p, complete := a.finish(h, b, text)
		return p, complete && reusable
	}
	p, complete := a.stream(h, b, text)
	return p, complete && reusable
}

// finish returns the result of an answer that was read whole. The connection is reusable if nothing follows.
func (a *serverAnswer) finish(h h1.Head, b h1.Body, text []byte) (p reply, reusable bool) {
	setReadDeadline(a.ctx, a.c, time.Time{})
	p = reply{status: policy.OK, contentType: h.Header.Get("Content-Type"), length: b.Length, body: text}
	return p, !h.Closes && a.c.In.Buffered() == 0
}

// noTrailer is the Trailer of a body whose trailers were read.
func noTrailer() (http.Header, error) { return nil, nil }

// failingReader fails with an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// readTrailer reads the trailers. The body has ended, so the answer does not wait long for them: reusable is false if they
// do not come.
func (a *serverAnswer) readTrailer(b h1.Body) (reusable bool, err error) {
	setReadDeadline(a.ctx, a.c, time.Now().Add(clienttime.Stall(a.left())))
	_, err = b.Trailer()
	if errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil {
		return false, nil
	}
	return true, err
}

// readFailure returns what the head of an answer says that is no 200. Its body is read only so that the connection can be
// used again: one that takes long or is large is given up.
func (a *serverAnswer) readFailure(h h1.Head, b h1.Body) (p reply, reusable bool) {
	setReadDeadline(a.ctx, a.c, time.Now().Add(clienttime.Stall(a.left())))
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxBufferedBody+1))
	if err == nil && n <= maxBufferedBody {
		_, err = b.Trailer()
	}
	late := errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil
	if err != nil && !late {
		return broken, false
	}
	unavailable := h.Code == http.StatusServiceUnavailable || h.Code == http.StatusGatewayTimeout
	if unavailable && h.Header.Get("X-Unprocessed") == "1" {
		p.status = policy.Full
	} else {
		p.status = policy.Error
		p.rejected = h.Code/100 == 4 && h.Code != http.StatusRequestTimeout && h.Code != http.StatusTooManyRequests
	}
	setReadDeadline(a.ctx, a.c, time.Time{})
	return p, !late && n <= maxBufferedBody && !h.Closes && a.c.In.Buffered() == 0
}

// errUnaskedAnswer means that an answer came for which the server had not received the request.
var errUnaskedAnswer = errors.New("the answer came before the request had reached the server")

// awaitHead skips interim responses and returns the final head of the answer. stall runs from the first byte of a head on.
func (a *serverAnswer) awaitHead(stall *time.Timer) (h1.Head, error) {
	c, m := a.c, a.message
	for i := range h1.MaxInterim + 1 {
		c.ReadLimit.N = maxAnswerHead
		setReadDeadline(a.ctx, c, time.Time{})
		if _, err := c.In.Peek(1); err != nil {
			return h1.Head{}, err
		}
		if i == 0 && !m.bodyPending() && c.PrecedesRequest(m.bodyLength()) {
			return h1.Head{}, errUnaskedAnswer
		}
		stall.Reset(clienttime.Stall(a.left()))
		setReadDeadline(a.ctx, c, a.end)
		h, err := h1.ReadHead(c.In)
		switch {
		case err != nil:
			return h, err
		case h.Code == http.StatusSwitchingProtocols:
			return h, h1.Malformed("unexpected protocol switch")
		case h.Code >= 200:
			return h, nil
		}
		stall.Stop()
	}
	return h1.Head{}, h1.Malformed("more than %d interim responses", h1.MaxInterim)
}

// stream hands the answer to the client's goroutine for streaming. ahead is the part of the body that was already read.
func (a *serverAnswer) stream(h h1.Head, b h1.Body, ahead []byte) (p reply, reusable bool) {
	if !a.turn.ClaimAnswer() {
		return reply{status: policy.Cancelled}, false
	}
	b.Reader = &deadlineReader{ctx: a.ctx, c: a.c, src: b.Reader, timeout: serverHangTimeout}
	if len(ahead) > 0 {
		b.Reader = io.MultiReader(bytes.NewReader(ahead), b.Reader)
	}
	if p.status = a.message.handoff.Send(&streaming.Answer{Head: h, Body: b}); p.status != policy.OK {
		return p, false
	}
	setReadDeadline(a.ctx, a.c, time.Now().Add(trailerTimeout))
	if _, err := b.Trailer(); err != nil { // the client already has the complete answer
		return p, false
	}
	setReadDeadline(a.ctx, a.c, time.Time{})
	return p, !h.Closes && a.c.In.Buffered() == 0
}

// deadlineReader reads an answer's body and sets a deadline for each read.
type deadlineReader struct {
	ctx     context.Context
	c       *conns.Conn
	src     io.Reader
	timeout time.Duration
}

// Read implements io.Reader.
func (t *deadlineReader) Read(b []byte) (int, error) {
	setReadDeadline(t.ctx, t.c, time.Now().Add(t.timeout))
	return t.src.Read(b)
}

// setReadDeadline sets the read deadline, but keeps reads interrupted if ctx has ended.
func setReadDeadline(ctx context.Context, c *conns.Conn, at time.Time) {
	c.SetReadDeadline(at)
	if ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"otterstep/internal/clienttime"
	"otterstep/internal/conns"
	"otterstep/internal/h1"
)

// answerBody is the body of a 200 while it is read into memory. If the answer may be streamed, that ends at a body
// that exceeds maxBufferedBody, or that has no length and pauses or takes long. It never ends before the body's first byte:
// until then the request can still be tried elsewhere, and only its own time is a limit.
type answerBody struct {
	h1.Body // reads what has not been read yet

	*serverAnswer
	head    h1.Head
	holding bool // the attempt holds back what has come; it has to end that
}

// mayStream reports whether the answer can be streamed.
func (a *answerBody) mayStream() bool {
	return a.message.handoff != nil && (a.Length >= 0 || !a.message.needsLength)
}

// buffer reads the body. whole is false if the rest is to be streamed; text holds what was read before.
func (a *answerBody) buffer() (text []byte, whole bool, err error) {
	setReadDeadline(a.ctx, a.c, a.end)
	switch {
	case a.Length > maxBufferedBody && !a.mayStream():
		return nil, false, h1.Malformed("Content-Length %d exceeds the limit", a.Length)
	case a.Length > maxBufferedBody:
		setReadDeadline(a.ctx, a.c, time.Time{})
		_, err := a.c.In.Peek(1)
		return nil, false, err
	case a.Length >= 0:
		text = make([]byte, a.Length)
		_, err := io.ReadFull(a.Body, text)
		return text, true, err
	case !a.mayStream():
		text, err = io.ReadAll(io.LimitReader(a.Body, maxBufferedBody+1))
		if err == nil && len(text) > maxBufferedBody {
			err = h1.Malformed("body exceeds the limit")
		}
		return text, true, err
	}
	return a.bufferUntilPause()
}

// bufferUntilPause reads a body of unknown length, until it pauses or has been held back for long enough.
func (a *answerBody) bufferUntilPause() (text []byte, whole bool, err error) {
	pauses := a.detectPauses()
	defer pauses.stop()
	for {
		if len(text) == cap(text) {
			text = slices.Grow(text, 1)
		}
		n, err := a.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		if n > 0 && !a.holding {
			pauses.holdUntil(time.Now().Add(clienttime.Hold(a.left())))
			a.holding = a.turn.Hold(pauses.interrupt)
		}
		switch {
		case errors.Is(err, io.EOF):
			return text, true, nil
		case errors.Is(err, errPaused):
			if err := a.reopen(pauses, len(text)); err != nil {
				return text, false, err
			}
			if len(text) > 0 {
				return text, false, nil
			}
			if pauses.full() {
				return nil, false, h1.Malformed("framing before a body exceeds the limit")
			}
		case err != nil:
			return text, false, err
		case len(text) > maxBufferedBody, pauses.holdEnded():
			return text, false, nil
		}
	}
}

// errPaused means that nothing has come for a while, or that the answer was held back for long enough.
var errPaused = errors.New("the answer pauses")

// maxRecorded is how much is recorded of an answer in chunks, with its framing, at most but for the last read.
const maxRecorded = 4 * maxBufferedBody

// pauseDetector ends reads from a connection with errPaused. It records what it reads of a body in chunks, as their
// decoder can't go on behind an error.
type pauseDetector struct {
	ctx      context.Context
	c        *conns.Conn
	src      io.Reader // what the connection reads otherwise
	pause    time.Duration
	holdEnds time.Time // the latest time of a pause; zero: not limited
	records  bool
	recorded []byte

	mu          sync.Mutex
	interrupted bool // reads end at once
	stopped     bool // the connection is read without a pauseDetector again
}

// detectPauses starts to detect pauses on the body's connection, until stop is called.
func (a *answerBody) detectPauses() *pauseDetector {
	p := &pauseDetector{ctx: a.ctx, c: a.c, src: a.c.ReadLimit.R, pause: clienttime.Pause(a.left()), records: !a.UntilClose}
	if p.records {
		ahead, _ := a.c.In.Peek(a.c.In.Buffered()) // never fails: it is buffered
		p.recorded = slices.Clone(ahead)
	}
	a.c.ReadLimit.R = p
	return p
}

// stop ends the detection.
func (p *pauseDetector) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.c.ReadLimit.R = p.src
}

// interrupt ends a pending read with errPaused, and all further ones. It may be called on any goroutine.
func (p *pauseDetector) interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		p.interrupted = true
		setReadDeadline(p.ctx, p.c, pastTime)
	}
}

// holdUntil ends reads at the given time at the latest.
func (p *pauseDetector) holdUntil(at time.Time) { p.holdEnds = at }

// holdEnded reports whether that time has come.
func (p *pauseDetector) holdEnded() bool {
	return !p.holdEnds.IsZero() && !time.Now().Before(p.holdEnds)
}

// limitRead sets the deadline of a read.
func (p *pauseDetector) limitRead() {
	at := time.Now().Add(p.pause)
	if !p.holdEnds.IsZero() && p.holdEnds.Before(at) {
		at = p.holdEnds
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.interrupted {
		at = pastTime
	}
	setReadDeadline(p.ctx, p.c, at)
}

// full reports whether no more can be recorded.
func (p *pauseDetector) full() bool { return p.records && len(p.recorded) >= maxRecorded }

// Read implements io.Reader. It ends with a pause where no more can be recorded: the body has very small chunks.
func (p *pauseDetector) Read(b []byte) (int, error) {
	if p.full() {
		return 0, errPaused
	}
	p.limitRead()
	n, err := p.src.Read(b)
	if p.records {
		p.recorded = append(p.recorded, b[:n]...)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && p.ctx.Err() == nil {
		err = errPaused
	}
	return n, err
}

// reopen makes the body readable again behind a pause: its decoder starts anew on what was recorded, and skips the
// read bytes that the caller has.
func (a *answerBody) reopen(pauses *pauseDetector, read int) error {
	if !pauses.records {
		return nil // a body that ends with its connection has no decoder
	}
	a.c.In = bufio.NewReader(io.MultiReader(bytes.NewReader(pauses.recorded), &a.c.ReadLimit))
	body, err := a.head.OpenBody(a.c.In, a.message.method)
	if err != nil {
		return err
	}
	a.Body = body
	_, err = io.CopyN(io.Discard, a.Body, int64(read))
	return err
}

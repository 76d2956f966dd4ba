// Package streaming hands a streamed answer from the attempt that reads it from the server to
// the goroutine that writes it to the client. All fronts that stream answers share it.
package streaming

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/conns"
	"otterstep/internal/h1"
	"otterstep/policy"
)

// Answer is a server's answer that is streamed to the client. Its attempt waits until Finish is called.
type Answer struct {
	h1.Head
	h1.Body
	Tunnel         *conns.Conn // the server connection after a protocol switch
	RequestPending bool        // the request body has not been fully sent yet

	result chan policy.Status // receives the final status; has a buffer of one
}

// Finish reports the answer's final status to its attempt. It must be called exactly once.
func (a *Answer) Finish(s policy.Status) { a.result <- s }

// Handoff transfers the single streamed answer of an exchange. Create it with New.
type Handoff struct {
	mu      sync.Mutex
	closed  bool // no answer is accepted any more
	answers chan *Answer
}

func New() *Handoff { return &Handoff{answers: make(chan *Answer, 1)} }

// Send hands the answer over and blocks until it has been written or given up.
func (h *Handoff) Send(a *Answer) policy.Status {
	a.result = make(chan policy.Status, 1)
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return policy.Cancelled
	}
	h.answers <- a // does not block: at most one attempt hands over an answer
	h.mu.Unlock()
	return <-a.result
}

// Answers returns the channel on which the answer arrives.
func (h *Handoff) Answers() <-chan *Answer { return h.answers }

// Close rejects further answers and cancels one that was handed over but not yet received.
func (h *Handoff) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	select {
	case a := <-h.answers:
		a.result <- policy.Cancelled
	default:
	}
}

// Reasons for an incomplete answer. The caller must abort the client's connection or stream,
// so that the client can tell that the answer is truncated.
var (
	ErrClientGone = errors.New("client closed the connection before the answer was complete")
	ErrTruncated  = errors.New("server ended its answer before it was complete")
)

// headDelay is how long a head may wait for the first part of its body, with which it is written.
const headDelay = 100 * time.Millisecond

// Copy streams the body to the client using buf. Each write may take up to stall, or for as long
// as the connection permits if stall is 0. Output is flushed whenever no more input is available,
// so nothing is held back. ctx ends with the exchange.
func (a *Answer) Copy(ctx context.Context, w http.ResponseWriter, stall time.Duration, buf []byte) error {
	control := http.NewResponseController(w)
	if stall > 0 {
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // the next answer sets its own
	}
	cancelFlush := flushHeadLater(control, stall)
	for first := true; ; first = false {
		n, err := a.Read(buf)
		if first {
			cancelFlush()
		}
		if n > 0 {
			limitWrite(control, stall)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return ErrClientGone
			}
			// A full buffer means that more input is available. An answer of unknown length
			// may pause after any part, so it is always flushed.
			if (a.Length < 0 || n < len(buf)) && control.Flush() != nil {
				return ErrClientGone
			}
		} else if err == nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		case ctx.Err() != nil: // the client's disconnect canceled the attempt
			return ErrClientGone
		default:
			return ErrTruncated
		}
	}
}

// flushHeadLater writes the head if it still waits for the body after headDelay. The function that it returns cancels
// that and must be called before anything else is written.
func flushHeadLater(control *http.ResponseController, stall time.Duration) (cancel func()) {
	var mu sync.Mutex
	canceled := false
	timer := time.AfterFunc(headDelay, func() {
		mu.Lock()
		defer mu.Unlock()
		if canceled {
			return
		}
		limitWrite(control, stall)
		_ = control.Flush() // a failure shows at the first write
	})
	return func() {
		if timer.Stop() {
			return
		}
		mu.Lock() // a flush that has begun ends first
		defer mu.Unlock()
		canceled = true
	}
}

// limitWrite limits the next write to stall, unless that is 0.
func limitWrite(control *http.ResponseController, stall time.Duration) {
	if stall > 0 {
		_ = control.SetWriteDeadline(time.Now().Add(stall)) // a failure shows in the write
	}
}

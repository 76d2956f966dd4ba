package web

import (
	"context"
	"io"
	"net/http"
	"time"

	"otterstep/internal/h1"
)

// stallLimit ends an attempt whose server makes it wait for the rest of an answer that has begun. Only the time in
// which the answer is waited for counts, not that in which the client takes it.
type stallLimit struct {
	limit time.Duration
	timer *time.Timer // ends the attempt
}

// newStallLimit returns a limit that is not running; end ends the attempt.
func (x *exchange) newStallLimit(end context.CancelFunc) *stallLimit {
	limit := x.front.opt.Limits.Stall.Duration
	timer := time.AfterFunc(limit, end)
	timer.Stop()
	return &stallLimit{limit, timer}
}

func (s *stallLimit) start() { s.timer.Reset(s.limit) }
func (s *stallLimit) stop()  { s.timer.Stop() }

// limitBody returns b with the limit on each read and on its trailers.
func (s *stallLimit) limitBody(b h1.Body) h1.Body {
	trailer := b.Trailer
	b.Reader = &stallReader{b.Reader, s}
	b.Trailer = func() (http.Header, error) {
		s.start()
		defer s.stop()
		return trailer()
	}
	return b
}

// stallReader reads under a stallLimit.
type stallReader struct {
	src   io.Reader
	stall *stallLimit
}

// Read implements io.Reader.
func (r *stallReader) Read(b []byte) (int, error) {
	r.stall.start()
	defer r.stall.stop()
	return r.src.Read(b)
}

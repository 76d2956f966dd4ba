// Package bodyrate reads request bodies as long as their clients send them fast enough.
package bodyrate

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits says how slowly a body may arrive.
type Limits struct {
	BytesPerSecond int           // minimum rate
	Grace          time.Duration // time that a body may take in addition to what the rate permits
	Pause          time.Duration // maximum time of one read; 0 for no limit but the rate
}

// ErrStopped is the error of reads after Stop.
var ErrStopped = errors.New("reading the body was stopped")

// Reader reads a body within limits. Only time spent in Read counts, so a reader that is slow to ask for more does
// not blame the client. Read must not be called concurrently; the other methods are safe for concurrent use.
type Reader struct {
	src    io.Reader
	limits Limits

	mu      sync.Mutex
	control *http.ResponseController // nil once detached

	received int64
	waited   time.Duration
	waived   atomic.Bool // the rate does not count any more
	stopped  atomic.Bool // all further reads fail
	arrival  arrival
}

// NewReader returns a reader of src, the body of the request that control answers.
func NewReader(src io.Reader, control *http.ResponseController, limits Limits) *Reader {
	return &Reader{src: src, control: control, limits: limits}
}

// Stop interrupts a pending read and makes all further ones fail.
func (r *Reader) Stop() {
	r.stopped.Store(true)
	r.arrival.end()
	r.setReadDeadline(time.Unix(1, 0))
}

// Detach is called before the request's handler returns: its ResponseController may not be used afterwards, by whoever
// still holds the Reader. All further reads fail.
func (r *Reader) Detach() {
	r.stopped.Store(true)
	r.arrival.end()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.control = nil
}

// setReadDeadline sets the deadline of reads, unless the Reader is detached.
func (r *Reader) setReadDeadline(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.control != nil {
		_ = r.control.SetReadDeadline(at) // a broken connection fails in the read
	}
}

// WaiveRate lifts the minimum rate; Pause still holds.
func (r *Reader) WaiveRate() { r.waived.Store(true) }

// Read implements io.Reader. At the body's end it clears the deadline, which would else end the wait for the answer.
func (r *Reader) Read(b []byte) (int, error) {
	began := time.Now()
	r.setReadDeadline(r.deadline(began))
	if r.stopped.Load() {
		return 0, ErrStopped
	}
	empty := r.arrival.beginRead()
	n, err := r.src.Read(b)
	r.received += int64(n)
	ended := time.Now()
	took := ended.Sub(began)
	r.waited += took
	if r.arrival.endRead(ended, empty && took >= hadToWait, r.received); err != nil {
		r.arrival.end()
	}
	if errors.Is(err, io.EOF) && !r.stopped.Load() {
		r.setReadDeadline(time.Time{})
	}
	return n, err
}

// deadline returns the deadline of a read that begins now.
func (r *Reader) deadline(now time.Time) time.Time {
	var pauseEnds time.Time
	if r.limits.Pause > 0 {
		pauseEnds = now.Add(r.limits.Pause)
	}
	if r.waived.Load() {
		return pauseEnds
	}
	permitted := r.limits.Grace + time.Duration(float64(r.received)/float64(r.limits.BytesPerSecond)*float64(time.Second))
	rateEnds := now.Add(permitted - r.waited)
	if !pauseEnds.IsZero() && pauseEnds.Before(rateEnds) {
		return pauseEnds
	}
	return rateEnds
}

package framing

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/membudget"
)

// Limits bound what one request's head and its fields can make the process hold.
type Limits struct {
	HeadBytes int // of a request's head, with its line
	Fields    int // in a request's head
	// HeadTime is the time for a head that begins behind another request; 0: not limited here.
	HeadTime time.Duration
	// RequestBytes is what a request in progress holds besides its head and its body.
	RequestBytes int64
	Heads        *membudget.Account // of incomplete heads; nil: not counted
	Requests     *membudget.Account // of requests in progress; nil: not counted
}

const (
	// freeHeadBytes of an incomplete head are a part of what its connection costs, and not counted.
	freeHeadBytes = 1 << 10
	// fieldBytes is what net/http holds for a field besides its text: entries of its map, and their strings.
	fieldBytes = 128
	// minRead is the size of a read that continues a head. net/http's first read is a short one.
	minRead = 4 << 10
	// smallHeadBytes is a head's size up to which a request without a body may use the whole budget.
	smallHeadBytes = 4 << 10
	// largePart is the part of the budget that is for all other requests.
	largePart = 0.75
)

// ErrNoMemory says why a request was rejected for which no memory was left.
var ErrNoMemory = errors.New("no memory is left for the request")

// HeadError says why a request's head was rejected.
type HeadError struct{ Text string }

func (e *HeadError) Error() string { return e.Text }

// TooManyFields is the error of a head with more than most fields.
func TooManyFields(most int) error { return &HeadError{fmt.Sprintf("head: over %d fields", most)} }

// StatusCode returns the status of the response to a request that a Reader has rejected for err.
func StatusCode(err error) int {
	if errors.Is(err, ErrNoMemory) {
		return http.StatusServiceUnavailable
	}
	return http.StatusRequestHeaderFieldsTooLarge
}

// Reader reads a client's bytes for net/http. It holds a request's head back until that is whole, in the form in which
// it came: net/http keeps each field as soon as it has read it, which takes many times as much memory. It limits the
// head's size, and reserves the memory of a request before net/http sees it.
//
// A request beyond a limit is replaced by a short one, behind which nothing more is read; its handler asks Rejected and
// answers with the error. Read must not be called concurrently; the other methods may be called at any time.
type Reader struct {
	Checker
	source io.Reader
	limits Limits
	// HeadStarted, if set, is called when the head of a request that is not the connection's first has begun and is
	// incomplete, so that its time can be limited.
	HeadStarted func()

	ready []byte // to be returned next
	held  []byte // an incomplete head
	err   error  // of the source, to be returned behind ready
	later bool   // a head was read before

	heads, requests reservation
	rejected        atomic.Pointer[error]
}

// NewReader returns a reader of source.
func NewReader(source io.Reader, limits Limits) *Reader {
	r := &Reader{source: source, limits: limits, heads: reservation{account: limits.Heads}, requests: reservation{account: limits.Requests}}
	r.most = HeadSize{Bytes: limits.HeadBytes, Fields: limits.Fields}
	return r
}

// rejectedRequest stands in for a request that was rejected.
const (
	rejectedHost    = "rejected"
	rejectedRequest = "GET / HTTP/1.1\r\nHost: " + rejectedHost + "\r\nConnection: close\r\n\r\n"
)

// Rejected returns why q, a request of this connection, is one that was rejected; nil if it is not.
func (r *Reader) Rejected(q *http.Request) error {
	if reason := r.rejected.Load(); reason != nil && q.Host == rejectedHost {
		return *reason
	}
	return nil
}

// maxDiscardTime is how long the rest of a rejected request is read and discarded, since many clients read no answer
// before they have sent all, and a close over unread bytes resets the connection.
const maxDiscardTime = 3 * time.Second

// AwaitRest is called by the handler of a rejected request once the answer is written: it waits until the client has
// closed the connection, or for maxDiscardTime.
func AwaitRest(w http.ResponseWriter, q *http.Request) {
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	limit := time.NewTimer(maxDiscardTime)
	defer limit.Stop()
	select {
	case <-q.Context().Done():
	case <-limit.C:
	}
}

// Close returns the reserved memory.
func (r *Reader) Close() {
	r.heads.close()
	r.requests.close()
}

// Read implements io.Reader.
func (r *Reader) Read(b []byte) (int, error) {
	// While a request is open, net/http looks for the client's disconnect by reading one byte. It is the beginning of
	// what is read next.
	look := len(b) == 1
	var scratch []byte
	if !look && len(r.ready) == 0 && r.betweenRequests() { // what is ready belongs to requests that net/http has not read yet
		r.requests.release()
	}
	for {
		switch {
		case len(r.ready) > 0:
			return r.returnReady(b), nil
		case look && len(r.held) > 0:
			n := copy(b, r.held)
			r.held = r.held[n:]
			return n, nil
		case r.err != nil:
			err := r.err
			r.err = nil // a read behind a deadline may go on
			return 0, err
		case r.rejected.Load() != nil:
			return 0, r.discard()
		}
		in := b
		if len(r.held) > 0 && len(b) < minRead {
			if scratch == nil {
				scratch = make([]byte, minRead)
			}
			in = scratch
		}
		n, err := r.source.Read(in)
		whole := r.Observe(in[:n])
		if reason := r.admit(r.takeCompleted()); reason != nil {
			r.reject(reason)
			continue
		}
		if r.tooLarge {
			if whole > 0 { // requests before the one that is too large
				r.ready = append(r.held, in[:whole]...)
			}
			r.reject(r.headError())
			continue
		}
		if err == nil && len(r.held) == 0 && (whole == n || look) {
			return n, nil // nothing to hold back, as with most reads
		}
		if reason := r.hold(in[:n], whole); reason != nil {
			r.reject(reason)
			continue
		}
		if r.err = err; errors.Is(err, io.EOF) { // net/http has to see that the head is incomplete
			r.ready, r.held = append(r.ready, r.held...), nil
		}
	}
}

// returnReady copies from ready to b.
func (r *Reader) returnReady(b []byte) int {
	n := copy(b, r.ready)
	if r.ready = r.ready[n:]; len(r.ready) == 0 {
		r.ready = nil
		if len(r.held) == 0 {
			r.heads.release()
		}
	}
	return n
}

// headError returns the error of a head that is too large.
func (r *Reader) headError() error {
	if r.head.Fields > r.limits.Fields {
		return TooManyFields(r.limits.Fields)
	}
	return &HeadError{fmt.Sprintf("head: over %d bytes", r.limits.HeadBytes)}
}

// admit reserves memory for a request whose head has ended. Requests that came together are served one after the other;
// completed has the largest sizes of theirs.
func (r *Reader) admit(completed HeadSize) error {
	if completed.Bytes == 0 {
		return nil
	}
	r.later = true
	if r.requests.held() > 0 {
		return nil
	}
	need := r.limits.RequestBytes + int64(completed.Bytes+completed.Fields*fieldBytes)
	part := 1.0
	if completed.Bytes > smallHeadBytes || !r.betweenRequests() {
		part = largePart // it has a body, or a large head
	}
	if !r.requests.add(need, part) {
		return ErrNoMemory
	}
	return nil
}

// hold makes the first whole bytes of b ready, behind what is held, and holds the rest back.
func (r *Reader) hold(b []byte, whole int) error {
	if whole > 0 {
		r.ready, r.held = append(r.held, b[:whole]...), nil
	}
	if whole == len(b) {
		return nil
	}
	before := max(cap(r.held), freeHeadBytes)
	started := len(r.held) == 0
	r.held = append(r.held, b[whole:]...)
	if started && r.later && r.HeadStarted != nil {
		r.HeadStarted()
	}
	if more := cap(r.held) - before; more > 0 && !r.heads.add(int64(more), 1) {
		return ErrNoMemory
	}
	return nil
}

// reject replaces the request that is being read. Requests before it that are ready are served.
func (r *Reader) reject(reason error) {
	r.rejected.Store(&reason)
	r.ready, r.held, r.err = append(r.ready, rejectedRequest...), nil, nil
	r.heads.release()
}

// discard reads what follows a rejected request, so that the answer is not lost to a reset.
func (r *Reader) discard() error {
	var scratch [512]byte
	for {
		if _, err := r.source.Read(scratch[:]); err != nil {
			return err
		}
	}
}

// reservation is what one connection has reserved in an account.
type reservation struct {
	account *membudget.Account

	mu     sync.Mutex
	bytes  int64
	closed bool
}

// add reserves further bytes within a part of the account; see membudget.Account.ReserveWithin.
func (r *reservation) add(n int64, part float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || !r.account.ReserveWithin(n, part) {
		return false
	}
	r.bytes += n
	return true
}

func (r *reservation) held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// release returns all bytes.
func (r *reservation) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes > 0 {
		r.account.Release(r.bytes)
		r.bytes = 0
	}
}

// close returns all bytes, and makes add fail from now on.
func (r *reservation) close() {
	r.release()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

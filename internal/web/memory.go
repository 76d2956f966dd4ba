package web

import (
	"net/http"

	"otterstep/internal/framing"
	"otterstep/internal/membudget"
)

// Memory is what the clients of a front can make it hold. The zero value sets no limits beside those of the
// configuration.
type Memory struct {
	MaxConnections  int                // of clients; 0: as the configuration says
	ConnectionBytes int64              // that each of them takes of Connections
	Connections     *membudget.Account // of all fronts
	Heads           *membudget.Account // incomplete heads
	Requests        *membudget.Account // requests in progress
	Bodies          *membudget.Account // bodies that are kept for further attempts
	Buffers         *membudget.Account // for streaming bodies and answers
}

const (
	// requestBytes is what a request in progress holds besides its head and body: goroutines, a connection to a server,
	// small buffers.
	requestBytes = 24 << 10
	// uploadBytes is what a body that is streamed to its server holds besides: goroutines, timers, the buffers of two
	// connections that are in use at once.
	uploadBytes = 16 << 10
	// uploadPart of the memory for requests is all that streamed bodies can fill; the rest is for other requests.
	uploadPart = 0.75
	// headSlop is what net/http takes beyond its limit for a head.
	headSlop = 4 << 10
)

// maxConnections returns how many connections of clients the front can have.
func (f *Front) maxConnections() int {
	most := f.opt.Limits.Connections
	if f.memory.MaxConnections > 0 {
		most = min(most, f.memory.MaxConnections)
	}
	return most
}

// requestLimits returns the limits of requests over HTTP/1. A request costs a quarter of the limit for a head more, as its
// head is there twice: as it came and as it is sent.
func (f *Front) requestLimits() framing.Limits {
	l := f.opt.Limits
	return framing.Limits{
		HeadBytes: l.Header.Bytes + headSlop, Fields: l.Fields, HeadTime: l.Read.Duration, RequestBytes: requestBytes + int64(l.Header.Bytes)/4,
		Heads: f.memory.Heads, Requests: f.memory.Requests,
	}
}

// admit checks that a request's head is within the limits, and that there is memory for the request. The caller calls
// release if there is no problem.
func (f *Front) admit(r *http.Request) (release func(), p *problem) {
	if conn := framingOf(r); conn != nil { // its Reader has checked and reserved
		if err := conn.Requests.Rejected(r); err != nil {
			return nil, f.headProblem(err)
		}
		return func() {}, nil
	}
	count, bytes := 0, 0
	for name, values := range r.Header {
		count += len(values)
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	if count > f.opt.Limits.Fields {
		return nil, f.headProblem(framing.TooManyFields(f.opt.Limits.Fields))
	}
	need := int64(requestBytes + 2*bytes)
	if !f.memory.Requests.Reserve(need) {
		return nil, f.headProblem(framing.ErrNoMemory)
	}
	return func() { f.memory.Requests.Release(need) }, nil
}

// headProblem returns the answer to a request that was rejected for its head, or for want of memory.
func (f *Front) headProblem(err error) *problem {
	p := &problem{Status: framing.StatusCode(err), Title: "head too large", Detail: err.Error(), closeConn: true}
	if p.Status == http.StatusServiceUnavailable {
		p.Title, p.Type, p.retryAfter = "refused", "refused", f.opt.RetryAfter.Duration
		p.Detail += "; it has not run"
	}
	return p
}

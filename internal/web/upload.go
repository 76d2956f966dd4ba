package web

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/bodyrate"
	"otterstep/internal/core"
)

// upload reads the part of a client's body that was not buffered, for the one attempt that sends it.
//
// The request's deadline counts from the body's last byte. Until then two limits hold: the client has to send at a
// minimum rate (bodyrate), and the server has to accept what it is sent within stall. If either is missed, the
// attempt ends.
type upload struct {
	exchange *exchange
	turn     core.AttemptHandle
	end      context.CancelFunc // ends the attempt

	stall    time.Duration
	mu       sync.Mutex
	accepted *time.Timer // ends the attempt if the next read does not come in time
	ended    bool        // the body has ended or failed, or the attempt has
}

// streamRest leaves what has not been read of the body to the attempt, which sends it while it comes. It returns false if
// there is no memory for that; nothing was sent then.
func (x *exchange) streamRest(control *http.ResponseController) bool {
	if !x.front.memory.Requests.ReserveWithin(uploadBytes, uploadPart) {
		return false
	}
	x.rest, x.restFrom = x.body, time.Now()
	x.bodyPending.Store(x.http1)
	_ = control.EnableFullDuplex() // no-op for HTTP/2, which is always full duplex
	return true
}

// releaseUpload returns the memory that streamRest has reserved.
func (x *exchange) releaseUpload() {
	if x.rest != nil {
		x.front.memory.Requests.Release(uploadBytes)
	}
}

// discardTime is how long the rest of a body is read behind an early answer.
const discardTime = 3 * time.Second

// discardRest reads and discards what still comes of the body behind an answer, so that a client that reads none before it
// has sent all gets it. No attempt may be in progress.
func (x *exchange) discardRest(w http.ResponseWriter, r *http.Request) {
	conn := framingOf(r)
	if x.rest == nil || x.bodyEnded.Load() || conn == nil {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	x.stopBody()
	x.restClaim.Close()
	x.body.Detach() // an attempt that ends later stops the body again, which would end the reading
	conn.Discard(x.front.requestCtx, discardTime)
}

// newUpload starts to read the body for an attempt. The caller must call close.
func (x *exchange) newUpload(turn core.AttemptHandle, end context.CancelFunc) *upload {
	stall := x.front.opt.Limits.Stall.Duration
	x.body.ExpectAnswer(bodyrate.Arrival{
		Length: x.length, Answer: x.deadline, From: x.restFrom, Connection: x.received, Ahead: x.ahead,
		Due: func() { turn.RequestSent(bodyrate.DueAhead) },
	})
	return &upload{exchange: x, turn: turn, end: end, stall: stall, accepted: time.AfterFunc(stall, end)}
}

// Read implements io.Reader.
func (u *upload) Read(b []byte) (int, error) {
	u.accepted.Stop()
	n, err := u.exchange.rest.Read(b)
	switch {
	case err == nil:
		u.expectNextRead()
	case errors.Is(err, io.EOF):
		u.close()
		u.exchange.clientBodyEnded()
		u.turn.RequestSent(u.exchange.body.TimeForAnswer(u.exchange.deadline))
	default:
		u.close()
		u.exchange.clientBodyFailed(err, u.end)
	}
	return n, err
}

// expectNextRead gives the server time to accept what was read.
func (u *upload) expectNextRead() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		u.accepted.Reset(u.stall)
	}
}

// close ends the limit on the server.
func (u *upload) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended = true
	u.accepted.Stop()
}

// clientDisconnected ends the exchange if net/http's report of a disconnect is to be believed. Over HTTP/1.1 it
// reports each failed read of a body as one, also a read that took too long: clientBodyFailed deals with these.
func (x *exchange) clientDisconnected() {
	if !x.bodyStopped.Load() && !x.bodyPending.Load() {
		x.cancel()
	}
}

// clientBodyEnded records that the body's last byte has come.
func (x *exchange) clientBodyEnded() {
	x.bodyEnded.Store(true)
	x.bodyPending.Store(false)
	if x.clientCtx.Err() != nil { // it ended while the report would not have been believed
		x.clientDisconnected()
	}
}

// clientBodyFailed records that the client's body did not come whole, and ends the attempt that sends it.
func (x *exchange) clientBodyFailed(err error, endAttempt context.CancelFunc) {
	if x.bodyStopped.Load() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bodyErr = err
	endAttempt()
}

// bodyError returns why the client's body did not come whole; nil if it did, or is still coming.
func (x *exchange) bodyError() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.bodyErr
}

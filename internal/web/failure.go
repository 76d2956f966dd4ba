package web

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"otterstep/internal/clienttime"
	"otterstep/internal/h1"
	"otterstep/internal/streaming"
	"otterstep/internal/web/verdict"
	"otterstep/policy"
)

// maxBufferedAnswer is the largest body of a failure that is held back; longer ones are streamed to the client at once.
const maxBufferedAnswer = 64 << 10

// failure is a server's answer that says that the request failed. It is held back while another attempt may do better.
type failure struct {
	h1.Head
	body      h1.Body
	verdict   verdict.Verdict
	turn      *trackedTurn
	end       time.Time // of the client's time
	interrupt func()    // ends reads of body
}

// errAnswerEnded is the error of a body whose answer has ended before it was read.
var errAnswerEnded = errors.New("the answer has ended")

// handleFailure holds the answer until it is whole, and keeps it in case that no other attempt does better. If it is too long, or
// still on its way when the client's time ends, it is streamed to the client. reusable reports that it was read to its end.
func (x *exchange) handleFailure(f *failure) (status policy.Status, reusable bool) {
	body := startReading(f.body, f.interrupt)
	defer body.close()
	stall := time.AfterFunc(clienttime.Stall(time.Until(f.end)), f.turn.Stalled)
	defer stall.Stop()
	released := make(chan struct{})
	f.turn.Hold(func() { close(released) }) // once abandoned, the body ends with an error
	text, rest, err := body.readUntil(released)
	if err == nil && rest == nil {
		_, err = f.body.Trailer()
		f.body.Trailer = func() (http.Header, error) { return nil, nil }
	}
	claimed := !f.turn.EndHold()
	switch {
	case err != nil && !claimed:
		return policy.Reset, false
	case rest == nil && !claimed:
		x.setFallback(&bufferedAnswer{f.Head, text, f.verdict.Status})
		return f.verdict.Status, true
	case err != nil:
		rest = failingReader{err}
	case rest == nil:
		rest = http.NoBody
	}
	f.body.Reader = io.MultiReader(bytes.NewReader(text), rest)
	if !f.turn.ClaimAnswer() {
		return policy.Cancelled, false
	}
	if end := x.handoff.Send(&streaming.Answer{Head: f.Head, Body: f.body}); end != policy.OK {
		return end, false
	}
	return f.verdict.Status, true
}

// failingReader fails with an error.
type failingReader struct{ err error }

// Read implements io.Reader.
func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

// pieceSize is the size of the pieces in which a backgroundBody is read.
const pieceSize = 4 << 10

// backgroundBody is a body that is read on a goroutine of its own, a piece ahead, so that its reader can stop to wait for it
// and go on later.
type backgroundBody struct {
	interrupt func()
	pieces    chan []byte // closed at the end
	err       error       // of the end; set before pieces is closed
	closed    chan struct{}
	piece     []byte // the rest of the latest one
}

// startReading starts to read a body. The caller must call close; interrupt ends a read that waits.
func startReading(body io.Reader, interrupt func()) *backgroundBody {
	b := &backgroundBody{interrupt: interrupt, pieces: make(chan []byte), closed: make(chan struct{})}
	go func() {
		defer close(b.pieces)
		for b.err == nil {
			piece := make([]byte, pieceSize)
			n, err := body.Read(piece)
			b.err = err
			if n == 0 {
				continue
			}
			select {
			case b.pieces <- piece[:n]:
			case <-b.closed:
				b.err = errAnswerEnded
			}
		}
	}()
	return b
}

// close ends the reading.
func (b *backgroundBody) close() {
	close(b.closed)
	select {
	case _, more := <-b.pieces:
		if !more {
			return // it has ended by itself: what comes next on the connection is left alone
		}
	default:
	}
	b.interrupt()
	for range b.pieces { // until it has ended
	}
}

// readUntil reads the body. Where that takes until released is closed, or it is longer than maxBufferedAnswer, rest returns
// what follows text.
func (b *backgroundBody) readUntil(released <-chan struct{}) (text []byte, rest io.Reader, err error) {
	for {
		select {
		case piece, more := <-b.pieces:
			if text = append(text, piece...); len(text) > maxBufferedAnswer {
				return text, b, nil
			}
			if !more && errors.Is(b.err, io.EOF) {
				return text, nil, nil
			}
			if !more {
				return text, nil, b.err
			}
		case <-released:
			return text, b, nil
		}
	}
}

// Read implements io.Reader.
func (b *backgroundBody) Read(p []byte) (int, error) {
	if len(b.piece) == 0 {
		piece, more := <-b.pieces
		if !more {
			return 0, b.err
		}
		b.piece = piece
	}
	n := copy(p, b.piece)
	b.piece = b.piece[n:]
	return n, nil
}

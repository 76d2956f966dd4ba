package node

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"otterstep/internal/bodyrate"
	"otterstep/internal/copybuffer"
	"otterstep/internal/membudget"
)

// Limits for request bodies. A body that does not fit into the memory budget is streamed to
// the server as it arrives; such a request has only one attempt.
const (
	smallBody      = 4 << 10  // not counted: no more than a connection's other buffers
	largeBody      = 64 << 10 // a larger body cannot use the last quarter of the budget
	bodyChunk      = 32 << 10
	bodyGrace      = 2 * time.Second // time a client may take for a body in addition to what minBodyRate permits
	discardTimeout = 3 * time.Second // how long the rest of a body is read and discarded after an early answer
	minBodyRate    = 32 << 10        // minimum rate of a body in bytes per second: half of what the platform's clients send
)

// reserveLarge reserves memory from the first three quarters of an account only; the rest is for smaller bodies.
func reserveLarge(account *membudget.Account, n int64) bool { return account.ReserveWithin(n, 0.75) }

// body is a request body. It consists of a buffered part, which all attempts can send, and
// possibly a rest that is still arriving, which only one attempt can read. The owner calls
// release after the last attempt.
type body struct {
	buffered [][]byte
	length   int64            // total length; -1 if not known in advance
	rest     *bodyrate.Reader // nil if the whole body is buffered
	restFrom time.Time        // since when rest is read at the server's pace

	memory      *clientMemory
	reserved    int64          // bytes reserved for buffered
	restClaim   bodyrate.Claim // of the attempt that reads rest
	restTooSlow atomic.Bool    // a read of rest has reached the limit of its time
}

// cameTooSlowly reports whether the rest of the body came too slowly. No attempt can begin to read it any more; one
// that reads it has to be ended by the caller.
func (b *body) cameTooSlowly() bool {
	b.restClaim.Close()
	return b.restTooSlow.Load()
}

// release returns the reserved memory. It interrupts a read that is still waiting, since its
// attempt is over.
func (b *body) release() {
	if b.rest != nil {
		b.rest.Stop()
		b.restClaim.Close()
		b.memory.requests.Release(uploadBytes)
	}
	b.memory.bodies.Release(b.reserved)
}

// discard reads the rest of the body for up to discardTimeout after an early answer, because many
// clients read no answer before they have sent the whole body. All attempts must be over.
func (b *body) discard(w http.ResponseWriter) {
	b.restClaim.Close()
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	buf := copybuffer.Get(b.memory.buffers)
	defer buf.Release()
	for until := time.Now().Add(discardTimeout); time.Now().Before(until); {
		if _, err := b.rest.Read(buf.Bytes); err != nil {
			return
		}
	}
}

// writeTo sends the body. Errors in reading from the client are returned as errIncompleteBody.
func (b *body) writeTo(w io.Writer) error {
	for _, piece := range b.buffered {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	if b.rest == nil {
		return nil
	}
	buf := copybuffer.Get(b.memory.buffers)
	defer buf.Release()
	for sent := b.bufferedLength(); ; {
		n, err := b.rest.Read(buf.Bytes)
		if n > 0 {
			if _, werr := w.Write(buf.Bytes[:n]); werr != nil {
				return werr
			}
			sent += int64(n)
		}
		switch {
		case errors.Is(err, io.EOF) && (b.length < 0 || sent == b.length):
			return nil
		case err != nil:
			b.restTooSlow.Store(errors.Is(err, os.ErrDeadlineExceeded))
			return errIncompleteBody
		}
	}
}

func (b *body) bufferedLength() (n int64) {
	for _, piece := range b.buffered {
		n += int64(len(piece))
	}
	return n
}

var errIncompleteBody = &clientError{http.StatusRequestTimeout, "body: it did not come whole, or came too slowly"}

// readBody buffers a body as far as the memory budget permits. full reports that there was no memory for a body of a
// size that is always buffered, or for streaming the rest of a larger one; nothing of it was forwarded then.
func (f *front) readBody(w http.ResponseWriter, r *http.Request) (b *body, full bool, err error) {
	in := bodyrate.NewReader(r.Body, http.NewResponseController(w), bodyrate.Limits{BytesPerSecond: minBodyRate, Grace: bodyGrace})
	b = &body{length: r.ContentLength, memory: f.memory}
	defer func(b *body) {
		if err != nil {
			b.memory.bodies.Release(b.reserved)
		}
	}(b)
	if n := r.ContentLength; n >= 0 && n <= largeBody {
		if n > smallBody {
			if !f.memory.bodies.Reserve(n) {
				return nil, true, nil
			}
			b.reserved = n
		}
		all := make([]byte, n)
		if _, err := io.ReadFull(in, all); err != nil {
			return nil, false, errIncompleteBody
		}
		b.buffered = [][]byte{all}
		return b, false, nil
	}
	for size := int64(smallBody); size == smallBody || reserveLarge(f.memory.bodies, size); size = bodyChunk {
		if size > smallBody {
			b.reserved += size
		}
		piece, err := readChunk(in, size)
		b.buffered = append(b.buffered, piece)
		kept := b.bufferedLength()
		switch {
		case errors.Is(err, io.EOF) && (b.length < 0 || kept == b.length):
			b.length = kept
			return b, false, nil
		case err != nil:
			return nil, false, errIncompleteBody
		case kept == b.length: // complete; reading on would wait for io.EOF while the client awaits its answer
			return b, false, nil
		}
		if kept >= f.memory.bodies.Limit()/4 {
			break
		}
	}
	if !reserveLarge(f.memory.requests, uploadBytes) {
		b.memory.bodies.Release(b.reserved)
		return nil, true, nil
	}
	b.rest, b.restFrom = in, time.Now()
	return b, false, nil
}

// readChunk reads up to size bytes. Only io.EOF means that the body is complete.
func readChunk(in io.Reader, size int64) ([]byte, error) {
	piece := make([]byte, 0, size)
	for int64(len(piece)) < size {
		n, err := in.Read(piece[len(piece):size])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

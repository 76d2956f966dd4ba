// Package framing detects HTTP/1 requests whose end two readers could see at different places.
//
// net/http drops a Content-Length beside a Transfer-Encoding without a word. A reader that goes by the length would
// take a part of such a request's body for another request, so that one can be hidden in the other (RFC 9112, sections
// 6.1 to 6.3).
package framing

import (
	"bytes"
	"errors"
	"strconv"
	"sync/atomic"
)

// ErrAmbiguous says what is wrong with a request after which Checker.Ambiguous returns true.
var ErrAmbiguous = errors.New("Content-Length beside Transfer-Encoding, or a Transfer-Encoding in HTTP/1.0 (RFC 9112, section 6.1)")

// Checker parses a client's bytes alongside net/http. It finds message boundaries the same way net/http does, and stops
// at the first ambiguous request because nothing after it is served. Observe must not be called concurrently; the other
// methods are safe for concurrent use. The zero value checks a connection from its first byte on.
type Checker struct {
	ambiguous atomic.Bool
	stop      atomic.Bool // set by Stop
	http2     bool        // the connection began with the preface of HTTP/2

	state     state
	line      []byte // the current line so far, at most maxLine bytes
	inFields  bool   // the request line has ended
	http10    bool   // the request is HTTP/1.0
	chunked   bool
	hasLength bool
	badLength bool  // net/http rejects the request at the end of its head
	remaining int64 // remaining bytes of the body or chunk

	most      HeadSize // of a head; 0: no limit
	tooLarge  bool     // a head is larger; parsing has stopped at its beginning
	head      HeadSize // of the head that has begun
	completed HeadSize // the largest sizes of heads that have ended since takeCompleted
}

// HeadSize is the size of a request's head.
type HeadSize struct {
	Bytes  int
	Fields int // lines behind the request line
}

// state is the part of a request that the next byte belongs to.
type state uint8

const (
	inHead state = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	stopped // parsing has stopped
)

// maxLine is the number of bytes kept of a line, enough for the relevant names and values.
const maxLine = 256

// Ambiguous reports that the client has sent an ambiguous request.
func (f *Checker) Ambiguous() bool { return f.ambiguous.Load() }

// HTTP2 reports that the connection carries HTTP/2. It must not be called concurrently with Observe.
func (f *Checker) HTTP2() bool { return f.http2 }

// Stop ends the parsing, as the connection carries no more requests of HTTP/1.
func (f *Checker) Stop() { f.stop.Store(true) }

// Observe processes bytes received from the client. It returns how many of them come before the head that they leave
// incomplete; all of them, if they do not end within a head. Behind a head that is too large it is those before that.
func (f *Checker) Observe(b []byte) (whole int) {
	if f.stop.Load() {
		return len(b)
	}
	all := len(b)
	for len(b) > 0 && f.state != stopped {
		if f.state != inHead || f.head.Bytes == 0 {
			whole = all - len(b)
		}
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, int64(len(b)))
			b = b[n:]
			if f.remaining -= n; f.remaining == 0 {
				if f.state == inBody {
					f.reset()
				} else {
					f.state = inChunkEnd
				}
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		piece := b
		if end >= 0 {
			piece = b[:end]
		}
		if f.state == inHead && !f.inFields { // keep the tail, which holds the HTTP version
			f.line = append(f.line, piece[max(0, len(piece)-maxLine/2):]...)
			f.line = f.line[:copy(f.line, f.line[max(0, len(f.line)-maxLine/2):])]
		} else {
			f.line = append(f.line, piece[:min(len(piece), maxLine-len(f.line))]...)
		}
		if f.state == inHead {
			f.head.Bytes += min(len(piece)+1, len(b))
			if f.tooLarge = f.exceedsMost(); f.tooLarge {
				f.state = stopped
				return whole
			}
		}
		if end < 0 {
			b = nil
			break
		}
		b = b[end+1:]
		f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
	if f.state != inHead || f.head.Bytes == 0 {
		whole = all
	}
	return whole
}

func (f *Checker) reset() {
	f.state, f.inFields, f.http10, f.chunked, f.hasLength, f.badLength, f.remaining = inHead, false, false, false, false, false, 0
}

// takeCompleted returns the largest sizes of the heads that have ended since the last call.
func (f *Checker) takeCompleted() HeadSize {
	size := f.completed
	f.completed = HeadSize{}
	return size
}

// exceedsMost reports that the head that has begun is too large.
func (f *Checker) exceedsMost() bool {
	return f.most.Bytes > 0 && f.head.Bytes > f.most.Bytes || f.most.Fields > 0 && f.head.Fields > f.most.Fields
}

// betweenRequests reports that no request has begun whose end has not been seen.
func (f *Checker) betweenRequests() bool { return f.state == inHead && f.head.Bytes == 0 }

// endLine processes a complete line.
func (f *Checker) endLine(line []byte) {
	switch f.state {
	case inHead:
		f.headLine(line)
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimRight(size, " \t")), 16, 63)
		switch {
		case err != nil || n < 0: // net/http rejects this request
			f.state = stopped
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.remaining = inChunk, n
		}
	case inChunkEnd:
		f.state = inChunkLine
	case inTrailer:
		if len(line) == 0 {
			f.reset()
		}
	}
}

func (f *Checker) headLine(line []byte) {
	switch {
	case len(line) == 0 && !f.inFields: // blank line before a request
		return
	case len(line) == 0:
		f.endHead()
		return
	case !f.inFields:
		f.http10 = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		f.inFields = true
		if bytes.Equal(line, []byte("PRI * HTTP/2.0")) { // the preface of HTTP/2, which frames its requests otherwise
			f.state, f.http2 = stopped, true
		}
		return
	}
	f.head.Fields++
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength = true
		n, err := strconv.ParseInt(string(value), 10, 63)
		f.badLength = f.badLength || err != nil || n < 0
		f.remaining = n
	}
}

func (f *Checker) endHead() {
	f.completed.Bytes = max(f.completed.Bytes, f.head.Bytes)
	f.completed.Fields = max(f.completed.Fields, f.head.Fields)
	f.head = HeadSize{}
	switch {
	case f.badLength:
		f.state = stopped
	case f.chunked && (f.hasLength || f.http10):
		f.state = stopped
		f.ambiguous.Store(true)
	case f.chunked:
		f.state = inChunkLine
	case f.remaining > 0:
		f.state = inBody
	default:
		f.reset()
	}
}

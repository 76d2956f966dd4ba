package node

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// framingChecker parses a client's bytes alongside net/http to detect requests with both a
// Content-Length and a Transfer-Encoding (RFC 9112, section 6.1), which net/http does not
// report. It finds message boundaries the same way net/http does, and stops at the first
// ambiguous request because nothing after it is served.
type framingChecker struct {
	ambiguous atomic.Bool

	state       framingState
	line        []byte // the current line so far, at most maxLine bytes
	requestLine bool   // the current line is the request line
	http10      bool   // the request is HTTP/1.0
	chunked     bool
	hasLength   bool
	remaining   int64 // remaining bytes of the body or chunk
}

// framingState is the part of a request that the next byte belongs to.
type framingState uint8

const (
	inHead framingState = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	framingStopped // parsing has stopped
)

// maxLine is the number of bytes kept of a line, enough for the relevant names and values.
const maxLine = 256

// observe processes bytes received from the client.
func (f *framingChecker) observe(b []byte) {
	for len(b) > 0 && f.state != framingStopped {
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
		if f.state == inHead && f.requestLine { // keep the tail, which holds the HTTP version
			f.line = append(f.line, piece[max(0, len(piece)-maxLine/2):]...)
			f.line = f.line[:copy(f.line, f.line[max(0, len(f.line)-maxLine/2):])]
		} else {
			f.line = append(f.line, piece[:min(len(piece), maxLine-len(f.line))]...)
		}
		if end < 0 {
			return
		}
		b = b[end+1:]
		f.endLine(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

func (f *framingChecker) reset() {
	f.state, f.requestLine, f.http10, f.chunked, f.hasLength, f.remaining = inHead, true, false, false, false, 0
}

// endLine processes a complete line.
func (f *framingChecker) endLine(line []byte) {
	switch f.state {
	case inHead:
		f.headLine(line)
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimRight(size, " \t")), 16, 63)
		switch {
		case err != nil || n < 0: // net/http rejects this request
			f.state = framingStopped
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

func (f *framingChecker) headLine(line []byte) {
	switch {
	case len(line) == 0 && f.requestLine: // blank line before a request
		return
	case len(line) == 0:
		f.endHead()
		return
	case f.requestLine:
		f.http10 = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		f.requestLine = false
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.hasLength = true
		n, err := strconv.ParseInt(string(value), 10, 63)
		if err != nil || n < 0 { // net/http rejects this request
			f.state = framingStopped
		}
		f.remaining = n
	}
}

func (f *framingChecker) endHead() {
	switch {
	case f.chunked && (f.hasLength || f.http10):
		f.state = framingStopped
		f.ambiguous.Store(true)
	case f.chunked:
		f.state = inChunkLine
	case f.remaining > 0:
		f.state = inBody
	default:
		f.reset()
	}
}

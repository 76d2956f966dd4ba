package node

import (
	"bytes"
	"strconv"
	"sync/atomic"
)

// framing looks on as a client's bytes come in, for what net/http no longer tells: that a
// request had both lengths (RFC 9112, section 6.1). It follows requests' ends the way net/http
// does, and stops at the first one that is doubtful, as nothing behind it is served.
type framing struct {
	doubtful atomic.Bool

	part    part
	line    []byte // the present line so far, lineMost bytes at most
	first   bool   // it is a head's first line
	old     bool   // HTTP/1.0
	chunked bool
	sized   bool
	left    int64 // bytes of a body or chunk
}

// part is where in a request the next byte stands.
type part uint8

const (
	inHead part = iota
	inBody
	inChunkLine
	inChunk
	inChunkEnd
	inTrailer
	inDoubt // nothing is followed any more
)

// lineMost is what is kept of a line: enough for the names and values that matter.
const lineMost = 256

// see takes in what came.
func (f *framing) see(b []byte) {
	for len(b) > 0 && f.part != inDoubt {
		if f.part == inBody || f.part == inChunk {
			n := min(f.left, int64(len(b)))
			b = b[n:]
			if f.left -= n; f.left == 0 {
				if f.part == inBody {
					f.begin()
				} else {
					f.part = inChunkEnd
				}
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		piece := b
		if end >= 0 {
			piece = b[:end]
		}
		if f.part == inHead && f.first { // its end matters, however long it is
			f.line = append(f.line, piece[max(0, len(piece)-lineMost/2):]...)
			f.line = f.line[:copy(f.line, f.line[max(0, len(f.line)-lineMost/2):])]
		} else {
			f.line = append(f.line, piece[:min(len(piece), lineMost-len(f.line))]...)
		}
		if end < 0 {
			return
		}
		b = b[end+1:]
		f.ended(bytes.TrimSuffix(f.line, []byte("\r")))
		f.line = f.line[:0]
	}
}

func (f *framing) begin() {
	f.part, f.first, f.old, f.chunked, f.sized, f.left = inHead, true, false, false, false, 0
}

// ended takes a whole line.
func (f *framing) ended(line []byte) {
	switch f.part {
	case inHead:
		f.headLine(line)
	case inChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimRight(size, " \t")), 16, 63)
		switch {
		case err != nil || n < 0: // net/http will say so
			f.part = inDoubt
		case n == 0:
			f.part = inTrailer
		default:
			f.part, f.left = inChunk, n
		}
	case inChunkEnd:
		f.part = inChunkLine
	case inTrailer:
		if len(line) == 0 {
			f.begin()
		}
	}
}

func (f *framing) headLine(line []byte) {
	switch {
	case len(line) == 0 && f.first: // blank lines ahead of a request
		return
	case len(line) == 0:
		f.headEnded()
		return
	case f.first:
		f.old = bytes.HasSuffix(line, []byte("HTTP/1.0"))
		f.first = false
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		f.sized = true
		n, err := strconv.ParseInt(string(value), 10, 63)
		if err != nil || n < 0 { // net/http will say so
			f.part = inDoubt
		}
		f.left = n
	}
}

func (f *framing) headEnded() {
	switch {
	case f.chunked && (f.sized || f.old):
		f.part = inDoubt
		f.doubtful.Store(true)
	case f.chunked:
		f.part = inChunkLine
	case f.left > 0:
		f.part = inBody
	default:
		f.begin()
	}
}

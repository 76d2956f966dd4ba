package message

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge reports a message on a stream whose header exceeds the size limit. The start
// of the next message is unknown, so the stream can't be used any more.
var ErrTooLarge = errors.New("a message larger than is taken")

// Reader reads messages from a stream (RFC 3261 section 18.3).
type Reader struct {
	in       *bufio.Reader
	maxBytes int
	header   []byte
}

// NewReader makes a Reader for messages of up to most bytes.
func NewReader(r io.Reader, most int) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 2<<10), maxBytes: most}
}

// Next returns the next message. An error from the stream is wrapped. After any error the
// stream can't be used any more; this includes an *Error, since the message's length may be
// wrong. For a keep-alive (an empty line, RFC 5626 section 3.5.1) Next returns neither a
// message nor an error.
func (r *Reader) Next() (*Message, error) {
	r.header = r.header[:0]
	for !bytes.HasSuffix(r.header, []byte("\r\n\r\n")) {
		line, err := r.in.ReadSlice('\n')
		if len(r.header)+len(line) > r.maxBytes {
			return nil, ErrTooLarge
		}
		r.header = append(r.header, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if len(r.header) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("read: %w", err)
		}
		if len(bytes.Trim(r.header, "\r\n")) == 0 && len(line) > 0 && line[len(line)-1] == '\n' {
			return nil, nil // keep-alive, or an empty line before a message
		}
	}
	m, length, err := parseHeader(r.header)
	switch {
	case m == nil:
		return nil, err
	case err != nil:
		return m, err
	case length < 0:
		return m, badRequest("Content-Length", "missing on a stream")
	case len(r.header)+length > r.maxBytes:
		return m, &Error{513, "Content-Length", "a message larger than is taken"}
	}
	if length > 0 {
		m.Body = make([]byte, length)
		if _, err := io.ReadFull(r.in, m.Body); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("read a body: %w", err)
		}
	}
	return m, nil
}

package message

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// ErrTooLarge is a message on a stream that is longer than it may be. What follows it
// can't be found, so the stream is of no further use.
var ErrTooLarge = errors.New("a message larger than is taken")

// Reader takes messages from a stream (RFC 3261 section 18.3).
type Reader struct {
	in   *bufio.Reader
	most int
	head []byte
}

// NewReader reads messages of up to most bytes.
func NewReader(r io.Reader, most int) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 2<<10), most: most}
}

// Next gives the next message. An error from the stream is wrapped; after any error but
// *Error the stream is of no further use, and neither is it after an *Error, as the
// message's length may be at fault. A keep-alive (an empty line, RFC 5626 section 3.5.1)
// gives no message and no error.
func (r *Reader) Next() (*Message, error) {
	r.head = r.head[:0]
	for !bytes.HasSuffix(r.head, []byte("\r\n\r\n")) {
		line, err := r.in.ReadSlice('\n')
		if len(r.head)+len(line) > r.most {
			return nil, ErrTooLarge
		}
		r.head = append(r.head, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			if len(r.head) > 0 && errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, fmt.Errorf("read: %w", err)
		}
		if len(bytes.Trim(r.head, "\r\n")) == 0 && len(line) > 0 && line[len(line)-1] == '\n' {
			return nil, nil // an empty line before a message
		}
	}
	m, length, err := head(r.head)
	switch {
	case m == nil:
		return nil, err
	case err != nil:
		return m, err
	case length < 0:
		return m, bad("Content-Length", "missing on a stream")
	case len(r.head)+length > r.most:
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

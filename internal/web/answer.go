package web

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// interimMost is how many 1xx answers may come ahead of the one that counts.
const interimMost = 16

// errSpoilt is wrapped by whatever is wrong with an answer.
var errSpoilt = errors.New("spoilt answer")

func spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSpoilt, fmt.Sprintf(format, args...))
}

// head is a server's answer without its body.
type head struct {
	code   int
	header http.Header
	closes bool // the server ends the connection behind the answer
	// trails tells of trailers beside a length, which HTTP/2 may have and HTTP/1.1 may not.
	trails bool
}

// readHead reads the head of one answer, strictly (RFC 9112, section 4): what two readers
// could take differently is an error.
func readHead(in *bufio.Reader) (h head, err error) {
	text := textproto.NewReader(in)
	line, err := text.ReadLine()
	if err != nil {
		return h, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 {
		return h, spoilt("status line %.40q", line)
	}
	if h.code, err = strconv.Atoi(code); err != nil || h.code < 100 {
		return h, spoilt("status line %.40q", line)
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return h, err
	}
	h.header = http.Header(fields)
	if err := checkFields(h.header); err != nil {
		return h, err
	}
	h.closes = version == "HTTP/1.0" || httpguts.HeaderValuesContainsToken(h.header["Connection"], "close")
	return h, nil
}

func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return spoilt("a field called %.40q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return spoilt("field %s", name)
			}
		}
	}
	return nil
}

// body reads an answer's body as it comes; its end is io.EOF only if it is whole.
type body struct {
	io.Reader
	length  int64 // -1: not known ahead
	trailer func() (http.Header, error)
	toClose bool // it ends with its connection
}

// framed gives the body behind a head (RFC 9112, section 6.3). An answer with two lengths,
// or a coding other than chunked, is an error: its end can't be told from the next one's
// beginning.
func (h *head) framed(in *bufio.Reader, method string) (body, error) {
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	none := func() (http.Header, error) { return nil, nil }
	if len(codings) > 0 && (len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked")) {
		return body{}, spoilt("%d lengths beside coding %.40q", len(lengths), codings)
	}
	length := int64(-1)
	for i, text := range lengths {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil || i > 0 {
			return body{}, spoilt("length %.40q", lengths)
		}
		length = int64(n)
	}
	switch {
	case method == http.MethodHead, h.code == http.StatusNoContent, h.code == http.StatusNotModified:
		return body{http.NoBody, length, none, false}, nil
	case len(codings) > 0:
		return body{httputil.NewChunkedReader(in), -1, func() (http.Header, error) {
			fields, err := textproto.NewReader(in).ReadMIMEHeader()
			if err == nil {
				err = checkFields(http.Header(fields))
			}
			return http.Header(fields), err
		}, false}, nil
	case length >= 0:
		return body{&exactly{in, length}, length, none, false}, nil
	}
	h.closes = true
	return body{in, -1, none, true}, nil
}

// exactly reads so many bytes; fewer are io.ErrUnexpectedEOF.
type exactly struct {
	in   io.Reader
	left int64
}

// Read implements io.Reader.
func (e *exactly) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.in.Read(p[:min(int64(len(p)), e.left)])
	e.left -= int64(n)
	if errors.Is(err, io.EOF) && e.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// unbounded is what a connection may read of a body: its reader bounds what it holds.
const unbounded = math.MaxInt64

// Package h1 parses HTTP/1.1 responses (RFC 9112) from servers for all fronts that speak
// HTTP/1.1. Parsing is strict: if two parsers could disagree on where a response ends, the
// rest of it could be taken for the next response.
package h1

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

// MaxInterim is the maximum number of 1xx responses before the final one.
const MaxInterim = 16

// ErrMalformed is wrapped by all errors about malformed responses.
var ErrMalformed = errors.New("malformed HTTP/1.1 response")

// Malformed returns an error that wraps ErrMalformed and describes the malformation.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Head is a response's status code and header fields.
type Head struct {
	Code   int
	Header http.Header
	Closes bool // the server closes the connection after this response
	// TrailersWithLength reports that trailers follow although a length is given, which HTTP/2 permits and
	// HTTP/1.1 does not.
	TrailersWithLength bool
}

// ReadHead reads the status line and header fields of one response (RFC 9112, section 4).
// Anything that two parsers could interpret differently is an error.
func ReadHead(in *bufio.Reader) (h Head, err error) {
	text := textproto.NewReader(in)
	line, err := text.ReadLine()
	if err != nil {
		return h, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 {
		return h, Malformed("invalid status line %.40q", line)
	}
	if h.Code, err = strconv.Atoi(code); err != nil || h.Code < 100 {
		return h, Malformed("invalid status line %.40q", line)
	}
	fields, err := text.ReadMIMEHeader()
	if err != nil {
		return h, err
	}
	h.Header = http.Header(fields)
	if err := validateFields(h.Header); err != nil {
		return h, err
	}
	h.Closes = version == "HTTP/1.0" || httpguts.HeaderValuesContainsToken(h.Header["Connection"], "close")
	return h, nil
}

func validateFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return Malformed("invalid field name %.40q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return Malformed("invalid value of field %s", name)
			}
		}
	}
	return nil
}

// Body streams a response body. Read returns io.EOF only if the body is complete.
type Body struct {
	io.Reader
	Length     int64 // -1 if not known in advance
	Trailer    func() (http.Header, error)
	UntilClose bool // the body extends to the end of the connection
}

// OpenBody returns the body that follows the head (RFC 9112, section 6.3). More than one
// length, or a transfer coding other than chunked, is an error because the end of such a body
// is ambiguous.
func (h *Head) OpenBody(in *bufio.Reader, method string) (Body, error) {
	lengths, codings := h.Header["Content-Length"], h.Header["Transfer-Encoding"]
	none := func() (http.Header, error) { return nil, nil }
	if len(codings) > 0 && (len(lengths) > 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked")) {
		return Body{}, Malformed("%d Content-Length fields with Transfer-Encoding %.40q", len(lengths), codings)
	}
	length := int64(-1)
	for i, text := range lengths {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil || i > 0 {
			return Body{}, Malformed("invalid Content-Length %.40q", lengths)
		}
		length = int64(n)
	}
	switch {
	case method == http.MethodHead, h.Code == http.StatusNoContent, h.Code == http.StatusNotModified:
		return Body{http.NoBody, length, none, false}, nil
	case len(codings) > 0:
		return Body{httputil.NewChunkedReader(in), -1, func() (http.Header, error) {
			fields, err := textproto.NewReader(in).ReadMIMEHeader()
			if err == nil {
				err = validateFields(http.Header(fields))
			}
			return http.Header(fields), err
		}, false}, nil
	case length >= 0:
		return Body{&exactReader{in, length}, length, none, false}, nil
	}
	h.Closes = true
	return Body{in, -1, none, true}, nil
}

// exactReader reads exactly the remaining bytes; an earlier end of the input is io.ErrUnexpectedEOF.
type exactReader struct {
	in        io.Reader
	remaining int64
}

// Read implements io.Reader.
func (e *exactReader) Read(p []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n, err := e.in.Read(p[:min(int64(len(p)), e.remaining)])
	e.remaining -= int64(n)
	if errors.Is(err, io.EOF) && e.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// NoReadLimit is a connection's read limit for a body, whose size the caller bounds itself.
const NoReadLimit = math.MaxInt64

package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	maxInterim    = 8        // 1xx answers ahead of the one that counts
	maxAnswerHead = 16 << 10 // of an answer, interim ones included
)

// serverAnswer is an answer as it came from a server, whole.
type serverAnswer struct {
	code   int
	header textproto.MIMEHeader
	body   []byte
	closes bool // the server ends the connection behind it
}

// errSpoilt is wrapped by whatever is wrong with an answer.
var errSpoilt = errors.New("spoilt answer")

func spoilt(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSpoilt, fmt.Sprintf(format, args...))
}

// readAnswer reads one answer. It is stricter than net/http's client, which takes
// an answer with no length up to the end of its connection (here: for as long as
// the client waits), drops a Content-Length beside a Transfer-Encoding and reads a
// body of any length: an answer whose end two readers could see at two places
// can't be told from the next one's beginning. begun is called with the first byte
// of each head, and waiting before it.
func readAnswer(in *bufio.Reader, waiting, begun func()) (serverAnswer, error) {
	for range maxInterim + 1 {
		waiting()
		if _, err := in.Peek(1); err != nil {
			return serverAnswer{}, err
		}
		begun()
		a, err := readHead(in)
		switch {
		case err != nil:
			return serverAnswer{}, err
		case a.code == http.StatusSwitchingProtocols:
			return serverAnswer{}, spoilt("switches protocols")
		case a.code >= 200:
			a.body, err = readBody(in, a.header)
			return a, err
		}
	}
	return serverAnswer{}, spoilt("over %d interim answers", maxInterim)
}

func readHead(in *bufio.Reader) (a serverAnswer, err error) {
	text := textproto.NewReader(in)
	line, err := text.ReadLine()
	if err != nil {
		return a, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" || len(code) != 3 {
		return a, spoilt("status line %.40q", line)
	}
	if a.code, err = strconv.Atoi(code); err != nil || a.code < 100 {
		return a, spoilt("status line %.40q", line)
	}
	if a.header, err = text.ReadMIMEHeader(); err != nil {
		return a, err
	}
	a.closes = version == "HTTP/1.0" || strings.EqualFold(a.header.Get("Connection"), "close")
	return a, nil
}

func readBody(in *bufio.Reader, h textproto.MIMEHeader) ([]byte, error) {
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	switch {
	case len(codings) == 1 && len(lengths) == 0 && strings.EqualFold(codings[0], "chunked"):
		body, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(in), maxBody+1))
		if err != nil {
			return nil, err
		}
		if len(body) > maxBody {
			return nil, spoilt("body over the limit")
		}
		// Behind the last chunk come trailers, none as a rule, and an empty line.
		if _, err := textproto.NewReader(in).ReadMIMEHeader(); err != nil {
			return nil, err
		}
		return body, nil
	case len(codings) != 0 || len(lengths) != 1:
		return nil, spoilt("%d lengths, %d codings", len(lengths), len(codings))
	}
	length, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil || length > maxBody {
		return nil, spoilt("length %.40q", lengths[0])
	}
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	return body, err
}

package h1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// read parses one complete response.
func read(text, method string) (h Head, body string, err error) {
	in := bufio.NewReader(strings.NewReader(text))
	if h, err = ReadHead(in); err != nil {
		return h, "", err
	}
	b, err := h.OpenBody(in, method)
	if err != nil {
		return h, "", err
	}
	all, err := io.ReadAll(b)
	if err != nil {
		return h, "", err
	}
	_, err = b.Trailer()
	return h, string(all), err
}

func TestFraming(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		text, method, body string
		closes             bool
		err                error
	}{
		{ok + "Content-Length: 3\r\n\r\nabcd", "GET", "abc", false, nil},
		{ok + "Transfer-Encoding: chunked\r\n\r\n2;x=\"y\"\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n", "GET", "abc", false, nil},
		{ok + "Connection: close\r\n\r\nabc", "GET", "abc", true, nil},
		{"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\na", "GET", "a", true, nil},
		{ok + "Content-Length: 3\r\n\r\n", "HEAD", "", false, nil},
		{"HTTP/1.1 204 No Content\r\n\r\n", "GET", "", false, nil},
		{ok + "Content-Length: 3\r\n\r\nab", "GET", "", false, io.ErrUnexpectedEOF},
		{ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab", "GET", "", false, io.ErrUnexpectedEOF},
		{ok + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "GET", "", false, ErrMalformed},
		{ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "GET", "", false, ErrMalformed},
		{ok + "Transfer-Encoding: gzip\r\n\r\n", "GET", "", false, ErrMalformed},
		{ok + "Content-Length: -3\r\n\r\n", "GET", "", false, ErrMalformed},
		{"ICY 200 OK\r\n\r\n", "GET", "", false, ErrMalformed},
		{"HTTP/1.1 20 OK\r\n\r\n", "GET", "", false, ErrMalformed},
		{"HTTP/1.1 099 OK\r\n\r\n", "GET", "", false, ErrMalformed},
	} {
		h, body, err := read(c.text, c.method)
		if !errors.Is(err, c.err) || c.err == nil && (body != c.body || h.Closes != c.closes) {
			t.Errorf("%q: %q, closes %v, %v; want %q, %v, %v", c.text, body, h.Closes, err, c.body, c.closes, c.err)
		}
	}
}

// Every response that this package accepts as complete is read identically by net/http,
// which is more lenient.
func FuzzAgainstNetHTTP(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nabc", "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		h, body, err := read(text, http.MethodGet)
		if err != nil || h.Code < 200 { // interim responses have no body to compare
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			return // net/http is stricter about some fields that do not affect the framing
		}
		all, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != h.Code || string(all) != body {
			t.Errorf("%q: read as %d %q, net/http reads %d %q, %v", text, h.Code, body, resp.StatusCode, all, err)
		}
	})
}

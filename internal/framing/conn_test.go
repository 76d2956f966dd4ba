package framing

import (
	"io"
	"net"
	"testing"
)

// Guards against floods of HTTP/2 frames that keep other connections from their turn: reads of a connection are paced
// from the preface of HTTP/2 on, and not with HTTP/1.
func TestReadsOfHTTP2ArePaced(t *testing.T) {
	for text, want := range map[string]bool{
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n":                   true,
		"GET /PRI HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1": false,
	} {
		near, far := net.Pipe()
		go func() {
			_, _ = io.WriteString(far, text) // an error shows as a short read
			far.Close()
		}()
		c := NewConn(near, Limits{HeadBytes: 1 << 10, Fields: 100})
		if _, err := io.ReadAll(c); err != nil {
			t.Fatal(err)
		}
		if c.Enabled() != want {
			t.Errorf("%q: paced is %v", text, c.Enabled())
		}
	}
}

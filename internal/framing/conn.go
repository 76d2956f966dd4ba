package framing

import (
	"crypto/tls"
	"net"

	"otterstep/internal/connpace"
)

// Conn is a client's connection whose bytes a Checker observes.
type Conn struct {
	*connpace.Conn
	Checker Checker
	TLS     *tls.ConnectionState // of the TLS connection that Conn reads from; nil for plain text
}

// NewConn returns c with a Checker of its own.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: &connpace.Conn{Conn: c}} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.Checker.Observe(b[:n]); c.Checker.HTTP2() {
		c.Enable()
	}
	return n, err
}

// Listener wraps the connections of a listener in Conn.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

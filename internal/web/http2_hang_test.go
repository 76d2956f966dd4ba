package web

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// hangingServer serves one request over HTTP/2: it begins the answer, hangs once it is asked for a sign of life, which it does
// not give, and then ends the answer.
func hangingServer(c net.Conn, hang time.Duration) error {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return err
	}
	f := http2.NewFramer(c, c)
	requests, pings := make(chan uint32, 1), make(chan struct{}, 1)
	go func() { // a pipe has no buffer: what the client writes has to be read meanwhile
		for {
			switch frame, err := f.ReadFrame(); frame := frame.(type) {
			case nil:
				_ = err // the client has closed the connection
				return
			case *http2.HeadersFrame:
				requests <- frame.StreamID
			case *http2.PingFrame:
				pings <- struct{}{}
			}
		}
	}()
	stream := <-requests
	var block bytes.Buffer
	_ = hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: ":status", Value: "200"}) // a buffer takes all
	if err := errors.Join(f.WriteSettings(), f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}),
		f.WriteData(stream, false, []byte("part"))); err != nil {
		return err
	}
	<-pings
	time.Sleep(hang) // by the test's clock
	return f.WriteData(stream, true, []byte(" and rest"))
}

// Guards against a long answer that is cut off while its server hangs for less than limits.stall: over HTTP/2 the time to
// connect limited how long a server may take to answer a PING. A server that hangs for longer is given up.
func TestHTTP2AnswerOutlivesAHang(t *testing.T) {
	const connect, stall = 100 * time.Millisecond, 10 * time.Second
	for hang, whole := range map[time.Duration]bool{connect - time.Millisecond: true, 4 * connect: true, stall - time.Millisecond: true, stall + time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			var c Config
			c.Upstream.Idle.Duration, c.Upstream.Connect.Duration, c.Limits.Stall.Duration = connect, connect, stall
			client, server := net.Pipe()
			ended := make(chan error, 1)
			go func() { ended <- hangingServer(server, hang) }()
			conn, err := newHTTP2Pool(c, nil).transport.NewClientConn(client)
			if err != nil {
				t.Fatal(err)
			}
			r, err := http.NewRequest(http.MethodGet, "http://a/", nil)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := conn.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if whole && (err != nil || string(text) != "part and rest") || !whole && err == nil {
				t.Errorf("a hang of %v: %q, %v", hang, text, err)
			}
			conn.Close()
			if err := <-ended; whole && err != nil {
				t.Errorf("a hang of %v: the server's connection ended: %v", hang, err)
			}
		})
	}
}

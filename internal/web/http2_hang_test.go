package web

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// hangWithinAnswer serves one connection of HTTP/2: it begins each answer, hangs, and ends it only a while after it was
// asked for a sign of life, which it does not give.
func hangWithinAnswer(c net.Conn, longerThan time.Duration) error {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return err
	}
	f := http2.NewFramer(c, c)
	if err := f.WriteSettings(); err != nil {
		return err
	}
	stream := uint32(0)
	for {
		frame, err := f.ReadFrame()
		switch frame := frame.(type) {
		case nil:
			return err
		case *http2.HeadersFrame:
			stream = frame.StreamID
			var block bytes.Buffer
			_ = hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: ":status", Value: "200"}) // a buffer takes all
			err = errors.Join(f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true}), f.WriteData(stream, false, []byte("part")))
		case *http2.PingFrame:
			time.Sleep(longerThan)
			err = f.WriteData(stream, true, []byte(" and rest"))
		}
		if err != nil {
			return err
		}
	}
}

// Guards against a long answer that is cut off while its server hangs for less than limits.stall: over HTTP/2 the time to
// connect limited how long a server may take to answer a PING.
func TestHTTP2AnswerOutlivesAHang(t *testing.T) {
	const connect = 100 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		_ = hangWithinAnswer(c, 4*connect) // ends with the front's connection
	}()
	r := &fixture{t: t}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[web.upstream]\nhttp2 = true\nidle = \"100ms\"\nconnect = %q\n[web.limits]\nstall = \"10s\"\n"+
		"[[web.server]]\nname = \"a\"\naddress = %q\n", connect, l.Addr()))
	t.Cleanup(func() { l.Close(); <-ended })
	if a := r.roundTrip("GET", getRequest("/")); a.err != nil || a.code != 200 || a.body != "part and rest" {
		t.Errorf("%d %q, %v", a.code, a.body, a.err)
	}
	r.stop()
}

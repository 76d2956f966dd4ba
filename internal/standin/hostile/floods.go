package hostile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// floods returns the loads whose clients send without waiting.
func floods() []Load {
	platform, web, sip := []FrontKind{Platform}, []FrontKind{Web}, []FrontKind{SIP}
	up := func(target) string { return "GET /up HTTP/1.1\r\nHost: a\r\n\r\n" }
	unknownClass := func(target) string {
		return fmt.Sprintf("GET /none/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: flood%d\r\nX-Service-Class: none\r\nX-Time-Left: 1\r\n\r\n", nextID())
	}
	sound := func(f target) string { return f.head("GET", "", 0) + "\r\n" }
	badTarget := func(target) string { return "GET /%2e%2e/x HTTP/1.1\r\nHost: a\r\n\r\n" }
	return []Load{
		{Name: "flood: GET /up, one connection", Fronts: platform, run: pipelined(1, up)},
		{Name: "flood: GET /up, six connections", Fronts: platform, run: pipelined(6, up)},
		{Name: "flood: GET /up, a hundred connections", Fronts: platform, run: pipelined(100, up)},
		{Name: "flood: unknown classes under new ids", Fronts: platform, run: pipelined(1, unknownClass)},
		{Name: "flood: sound requests under new ids", Fronts: []FrontKind{Platform, Web}, run: pipelined(1, sound)},
		{Name: "flood: requests that are refused", Fronts: web, run: pipelined(6, badTarget)},
		{Name: "flood: HTTP/2 PING", Fronts: web, run: http2Flood(func(f *http2.Framer, _ uint32) error { return f.WritePing(false, [8]byte{1}) })},
		{Name: "flood: HTTP/2 SETTINGS", Fronts: web, run: http2Flood(func(f *http2.Framer, _ uint32) error { return f.WriteSettings() })},
		{Name: "flood: HTTP/2 WINDOW_UPDATE", Fronts: web, run: http2Flood(func(f *http2.Framer, _ uint32) error { return f.WriteWindowUpdate(0, 1) })},
		{Name: "flood: HTTP/2 RST_STREAM", Fronts: web, run: http2Flood(openAndReset)},
		{Name: "flood: OPTIONS over UDP", Fronts: sip, run: datagrams(func(f target) string { return sipRequest("OPTIONS", f.addr, "UDP") })},
		{Name: "flood: broken datagrams", Fronts: sip, run: datagrams(func(target) string { return "OPTIONS sip:x SIP/2.0\r\nVia: broken\r\n\r\n" })},
		{Name: "flood: calls over UDP, under new ids", Fronts: sip, run: datagrams(func(target) string { return sipRequest("INVITE", "pool.invalid", "UDP") })},
		{Name: "flood: long messages over UDP, under new ids", Fronts: sip, run: datagrams(func(target) string {
			return strings.Replace(sipRequest("MESSAGE", "pool.invalid", "UDP"), "Content-Length: 0\r\n\r\n", "Content-Length: 12000\r\n\r\n"+strings.Repeat("x", 12_000), 1)
		})},
		{Name: "flood: OPTIONS over TCP", Fronts: sip, run: pipelined(1, func(f target) string { return sipRequest("OPTIONS", f.addr, "TCP") })},
	}
}

// http2Flood has a client write frames without waiting on one connection. write gets the next stream's number.
func http2Flood(write func(f *http2.Framer, stream uint32) error) func(context.Context, target) {
	return func(ctx context.Context, f target) {
		again(ctx, f.addr, func(c net.Conn) {
			go waitForClose(c)
			if _, err := io.WriteString(c, http2.ClientPreface); err != nil {
				return
			}
			var batch bytes.Buffer
			framer := http2.NewFramer(&batch, nil)
			if framer.WriteSettings() != nil {
				return
			}
			for stream := uint32(1); ctx.Err() == nil && stream < 1<<31-200; {
				for range 100 {
					if write(framer, stream) != nil {
						return
					}
					stream += 2
				}
				if _, err := c.Write(batch.Bytes()); err != nil {
					return
				}
				batch.Reset()
			}
		})
	}
}

// openAndReset opens a stream with a request and resets it.
func openAndReset(f *http2.Framer, stream uint32) error {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/avail-read/1"}, {":authority", "a"}} {
		if err := encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}); err != nil {
			return err
		}
	}
	if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true}); err != nil {
		return err
	}
	return f.WriteRSTStream(stream, http2.ErrCodeCancel)
}

// sipRequest returns a request under a new Call-ID.
func sipRequest(method, host, transport string) string {
	id := nextID()
	return fmt.Sprintf("%s sip:%s SIP/2.0\r\nVia: SIP/2.0/%s 127.0.0.1:5999;branch=z9hG4bKh%d;rport\r\nMax-Forwards: 70\r\nFrom: <sip:a@b>;tag=t%d\r\n"+
		"To: <sip:desk@pool.invalid>\r\nCall-ID: hostile%d\r\nCSeq: 1 %s\r\nContact: <sip:a@127.0.0.1:5999>\r\nContent-Length: 0\r\n\r\n", method, host, transport, id, id, id, method)
}

// datagrams has clients send datagrams without waiting.
func datagrams(text func(target) string) func(context.Context, target) {
	const clients = 2
	return func(ctx context.Context, f target) {
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				c, err := net.Dial("udp", f.addr)
				if err != nil {
					return
				}
				defer c.Close()
				for ctx.Err() == nil {
					_, _ = io.WriteString(c, text(f)) // a full queue drops datagrams
				}
			})
		}
		all.Wait()
	}
}

package web

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"otterstep/internal/bodyrate"
	"otterstep/internal/framing"
)

// Guards against answers that are lost to a reset: an attempt that ends while the rest of the body is discarded behind its
// answer stops the body once more.
func TestEndOfAnAttemptDoesNotEndTheDiscard(t *testing.T) {
	const size = 64 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	halfDiscarded, stopped, served := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnContext: withConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(served)
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		x := &exchange{front: &Front{requestCtx: context.Background()}}
		x.body = bodyrate.NewReader(r.Body, control, bodyrate.Limits{BytesPerSecond: 1 << 20, Grace: testTimeout})
		x.rest, x.stopBody = x.body, x.body.Stop
		go func() { // the attempt
			defer close(stopped)
			<-halfDiscarded
			x.stopBody()
		}()
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		x.discardRest(w, r)
	})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(framing.Listener(l, framing.Limits{HeadBytes: 16 << 10, Fields: 100, HeadTime: testTimeout}))
	}()
	defer func() { server.Close(); <-ended }()

	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	half := make([]byte, size/2)
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(half); err != nil {
		t.Fatal(err)
	}
	close(halfDiscarded) // the system's buffers hold a few megabytes
	<-stopped
	if _, err := c.Write(half); err != nil {
		t.Errorf("cut off while it sends: %v", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("%v, %v, want 413", resp, err)
	}
	c.Close()
	<-served
}

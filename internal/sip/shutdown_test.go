package sip

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"otterstep/internal/sip/proxy"
	"otterstep/internal/standin/sipua"
)

// establishCall sets up a call and returns its INVITE.
func (d *testFront) establishCall() *sipua.Transaction {
	d.t.Helper()
	call := d.caller.Send(sipua.Request{Method: "INVITE"})
	if code := call.AwaitFinal(waitLimit); code != 200 {
		d.t.Fatalf("INVITE: %d", code)
	}
	return call
}

// While a front shuts down it goes on with the requests that it has taken, and takes no more: a request over TCP is
// refused, one over UDP is left to its retransmission. Without a request in progress Shutdown does not wait.
func TestShutdownTakesNothingMore(t *testing.T) {
	for _, transport := range []string{"udp", "tcp"} {
		t.Run(transport, func(t *testing.T) {
			d := startTestFront(t, testFrontOptions{transport: transport})
			call := d.establishCall()
			d.front.Drain(t.Context())
			info := call.Dialog()
			info.Method = "INFO"
			expectFinal(t, d.caller.Send(info), 200) // calls go on behind Drain
			d.front.post(d.front.machine.Close)
			info.Seq, info.Branch = info.Seq+1, ""
			late := d.caller.Send(info)
			if transport == "tcp" {
				expectFinal(t, late, 503)
			}
			d.await("refused requests", func(v View) bool { return v.Refused["closed"] > 0 })
			d.front.Shutdown(t.Context())
			if n := d.servers[0].Count("INFO", call.CallID); n != 1 {
				t.Errorf("%d INFOs at the server, want the first alone", n)
			}
			if n := len(late.Finals()); transport == "udp" && n != 0 {
				t.Errorf("%d final responses to a request that was not taken", n)
			}
		})
	}
}

// Guards against the loss of a final response that is queued on a connection when the process ends: the caller reads
// its 200 only once the front shuts down.
func TestShutdownWritesQueuedResponses(t *testing.T) {
	d := startTestFront(t, testFrontOptions{transport: "tcp"})
	near, far := net.Pipe() // a write waits for its reader
	defer far.Close()
	remote := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 7), Port: 5070}
	caller, err := d.front.streams.add(connWithRemote{near, remote}, proxy.TCP, false)
	if err != nil {
		t.Fatal(err)
	}
	q := sipua.Request{Method: "MESSAGE", Via: "SIP/2.0/TCP 127.0.0.7:5070;branch=z9hG4bKqueued", Branch: "z9hG4bKqueued"}
	if _, err := far.Write(d.caller.Write(&q)); err != nil {
		t.Fatal(err)
	}
	d.await("a final response", func(v View) bool { return v.Finals[200] == 1 })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.front.Shutdown(context.WithoutCancel(t.Context()))
		d.stop()
	}()
	for len(caller.out) == 0 { // the end of the connection is not queued behind the response yet
		select {
		case <-ended:
			t.Fatal("the front has stopped without writing the response")
		default:
			runtime.Gosched()
		}
	}
	text, err := io.ReadAll(far)
	if err != nil || !strings.HasPrefix(string(text), "SIP/2.0 200 ") {
		t.Errorf("the caller got %q, %v", text, err)
	}
	<-ended
}

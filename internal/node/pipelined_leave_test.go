package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"otterstep/internal/conns"
	"otterstep/internal/standin/webbox"
)

// Guards against requests that are sent on for a client which has closed its connection behind more bytes than the system
// holds for it: the close is not to be seen before they are read.
func TestRequestsBehindAnUnreadCloseAreNotSent(t *testing.T) {
	for _, kb := range []int{10, 100, 1000, 4000} {
		t.Run(fmt.Sprint(kb, " kB"), func(t *testing.T) {
			box, err := webbox.New(webbox.Respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true), false)
			if err != nil {
				t.Fatal(err)
			}
			defer box.Close()
			connecting, closed := make(chan struct{}, 8), make(chan struct{})
			up := newUpstream(time.Minute, time.Minute, 8)
			up.pool = conns.New(conns.Options{MaxIdle: time.Minute, ConnectTimeout: time.Minute, MaxConns: 8, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				connecting <- struct{}{}
				<-closed
				return new(net.Dialer).DialContext(ctx, network, addr)
			}})
			f := startFront(t, up, 1, box.Addr())
			c, err := net.Dial("tcp", f.addr)
			if err != nil {
				t.Fatal(err)
			}
			var text strings.Builder
			for n := range kb {
				text.WriteString(headOf("GET", "read", fmt.Sprintf("left-%d-%d", kb, n), "Accept: "+strings.Repeat("x", 850)+"\r\n"))
			}
			first := text.Len() / kb
			if _, err := io.WriteString(c, text.String()[:first]); err != nil {
				t.Fatal(err)
			}
			<-connecting
			if _, err := io.WriteString(c, text.String()[first:]); err != nil {
				t.Fatal(err)
			}
			c.Close()
			close(closed)
			waitFor(t, "end of all requests", func() bool { return f.open(t) == 0 && f.front.clients.connected() == 0 })
			if n := len(box.Requests()); n > 0 {
				t.Errorf("%d requests were sent on behind the close", n)
			}
		})
	}
}

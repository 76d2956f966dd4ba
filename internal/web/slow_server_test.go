package web

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"otterstep/internal/standin/stuckserver"
)

// Guards against answers that come seconds after their time: a server reads nothing of a large request, whose client has
// written its last byte into the buffers of both systems. The client's time counts from then.
func TestServerThatReadsSlowlyIsAnsweredInTime(t *testing.T) {
	const deadline, slack = time.Second, 50 * time.Millisecond
	r := &fixture{t: t}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"a\"\naddress = %q\n"+
		"[[web.class]]\nname = \"all\"\naim = \"500ms\"\ndeadline = \"1s\"\n", stuckserver.New(t).Addr()))
	const size = 8 << 20
	c := r.dial()
	written := make(chan time.Time, 1)
	go func() {
		_, _ = io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)+strings.Repeat("b", size))
		written <- time.Now()
	}()
	a := readResponse(bufio.NewReader(c), "POST")
	answered := time.Now()
	if a.err != nil || a.code < 500 {
		t.Fatalf("%d, %v, want an error in place of an answer", a.code, a.err)
	}
	if late := answered.Sub(<-written) - deadline; late > slack {
		t.Errorf("answered %v after the client's time", late)
	}
}

package web

import (
	"net"
	"regexp"
	"testing"

	"otterstep/internal/standin/webbox"
)

// Guards against failures that no log explains: the client's id, and what became of each attempt.
func TestFailedRequestIsLogged(t *testing.T) {
	r := &fixture{t: t}
	r.startWith("", func(webbox.Request, net.Conn) bool { return false })
	a := r.roundTrip("POST", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nX-Request-Id: order-17\r\n\r\n")
	if a.code != 502 {
		t.Fatalf("%+v", a)
	}
	line := regexp.MustCompile(`msg="request failed" web=t id=order-17 class=default outcome=failed took=\S+ attempts="` + regexp.QuoteMeta(r.servers[0].Addr()) + ` broken off \S+" omitted=0`)
	r.waitFor("line like "+line.String(), func() bool { return line.MatchString(r.log.String()) })
}

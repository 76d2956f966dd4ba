package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a connection that asks for /up without waiting and keeps all others from their turn: behind a burst its
// answers are paced, each of them still comes, and another client's requests are served meanwhile.
func TestFloodOfUpIsPaced(t *testing.T) {
	const beyondBurst = 20
	const asked = 20 + beyondBurst // the burst of connpace.Answers, and more
	d := newRegistry(t, listedTarget(newServer(t, respondWith(ok("1"), true)), "s1"))
	addr, _ := startNode(t, d)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	began := time.Now()
	if _, err := io.WriteString(c, strings.Repeat("GET /up HTTP/1.1\r\nHost: a\r\n\r\n", asked)); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for n := range asked {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("answer %d: %v, %v", n+1, resp, err)
		}
		if n == asked/2 {
			if code, _, _ := do(t, clientRequest(t, addr, "read", "2")); code != http.StatusOK {
				t.Errorf("another client's request: %d", code)
			}
		}
	}
	if took := time.Since(began); took < beyondBurst*upInterval {
		t.Errorf("%d answers came within %v", asked, took)
	}
}

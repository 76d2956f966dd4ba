package web

import (
	"io"
	"net/http"
	"testing"
	"time"

	"otterstep/internal/membudget"
)

// Guards against slow uploads that starve all other clients: bodies that stop half-way took all that the front lets a
// server have in flight.
func TestStoppedUploadsLeaveOthersTheirTurn(t *testing.T) {
	const uploads = 24
	begun := make(chan struct{}, uploads)
	eachProtocolFixture(t, "[web.limits]\nkept = \"1KiB\"\n", func(_ http.ResponseWriter, q *http.Request) {
		if q.Method == http.MethodPost {
			begun <- struct{}{}
			_, _ = io.Copy(io.Discard, q.Body) // until the test's end
		}
	}, func(t *testing.T, r *fixture, first testUpload) {
		for n := range uploads {
			up := first
			if n > 0 {
				up = beginHTTP1Upload(r)
			}
			if _, err := up.Write(make([]byte, 2<<10)); err != nil {
				t.Fatal(err)
			}
		}
		timeout := time.After(testTimeout)
		for n := range uploads {
			select {
			case <-begun:
			case <-timeout:
				t.Fatalf("%d of %d uploads have reached the server", n, uploads)
			}
		}
		if a := r.roundTrip("GET", getRequest("/x")); a.code != http.StatusOK {
			t.Errorf("a usual request is answered %d", a.code)
		}
	})
}

// An upload for which no memory is left is refused before anything of it is passed on, while other requests still find
// room, and what uploads held comes back.
func TestNoMemoryForAnUpload(t *testing.T) {
	budget := membudget.New(1 << 20)
	r := &fixture{t: t, memory: Memory{Requests: budget.Account("requests", 1)}}
	r.start("[[web]]\nlisten = \"127.0.0.1:0\"\n[web.limits]\nkept = \"1KiB\"\n[[web.server]]\nname = \"a\"\naddress = \"" +
		startNetHTTPServer(t, false, func(_ http.ResponseWriter, q *http.Request) { _, _ = io.Copy(io.Discard, q.Body) }) + "\"\n")
	post := func() int { return r.roundTrip("POST", postRequest(string(make([]byte, 4<<10)))).code }
	if code := post(); code != http.StatusOK {
		t.Errorf("answered %d", code)
	}
	others := budget.Account("others", 1)
	r.waitFor("memory that came back", func() bool { return budget.Inspect()[0].Held == 0 })
	others.Reserve(730 << 10) // room for the request, not for its upload within uploadPart
	if code := post(); code != http.StatusServiceUnavailable {
		t.Errorf("an upload is answered %d without memory", code)
	}
	if a := r.roundTrip("GET", getRequest("/x")); a.code != http.StatusOK {
		t.Errorf("another request is answered %d", a.code)
	}
	r.waitFor("memory that came back", func() bool { return budget.Inspect()[0].Held == 0 })
}

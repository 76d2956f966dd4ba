package web

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// Guards against a drain that cuts off a request without a word: one whose body is still arriving when the drain's time
// expires is reported, and its client does not take what it got for an answer.
func TestDrainReportsWhatItCutsOff(t *testing.T) {
	arrived := make(chan struct{}, 8)
	eachProtocolFixture(t, "drain = \"500ms\"\n[web.limits]\nkept = \"1KiB\"\n", func(w http.ResponseWriter, q *http.Request) {
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, q.Body)
	}, func(t *testing.T, r *fixture, up testUpload) {
		if _, err := up.Write(make([]byte, 8<<10)); err != nil { // more than is kept, so that it is streamed
			t.Fatal(err)
		}
		<-arrived
		r.front.Drain(t.Context())
		if a := up.await(t); a.err == nil && a.code < http.StatusInternalServerError {
			t.Errorf("looks answered: %+v", a)
		}
		if !r.log.Contains("drain time expired") || !r.log.Contains("open=1") {
			t.Errorf("not reported: %s", r.log.String())
		}
	})
}

// Guards against a drain that is shorter than a deadline and cuts off requests: one that waits for its answer when the
// drain's time expires still gets it.
func TestDrainLeavesRequestsTheirDeadline(t *testing.T) {
	for _, http2Server := range []bool{false, true} {
		for name, transport := range map[string]interface {
			http.RoundTripper
			CloseIdleConnections()
		}{"HTTP/1.1": &http.Transport{}, "HTTP/2": newHTTP2Transport()} {
			t.Run(fmt.Sprintf("client %s, server HTTP/2 %v", name, http2Server), func(t *testing.T) {
				arrived, gate := make(chan struct{}, 1), make(chan struct{})
				r := &fixture{t: t}
				r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\ndrain = \"500ms\"\n[web.upstream]\nhttp2 = %v\n[[web.class]]\nname = \"a\"\naim = \"10s\"\ndeadline = \"20s\"\n"+
					"[[web.server]]\nname = \"a\"\naddress = %q\n", http2Server, startNetHTTPServer(t, http2Server, func(w http.ResponseWriter, _ *http.Request) {
					arrived <- struct{}{}
					<-gate
					fmt.Fprint(w, "late")
				})))
				answered := make(chan string, 1)
				go func() {
					request, err := http.NewRequest(http.MethodGet, "http://"+r.front.Addr()+"/x", nil)
					if err != nil {
						panic(err) // the address is that of a listener
					}
					answered <- describeAnswer(transport.RoundTrip(request))
				}()
				<-arrived
				drained := make(chan struct{})
				go func() {
					defer close(drained)
					r.front.Drain(t.Context())
				}()
				r.waitFor("the end of the drain's time", func() bool { return r.log.Contains("drain time expired") })
				close(gate)
				if got := <-answered; got != "200 late" {
					t.Errorf("answered %s", got)
				}
				transport.CloseIdleConnections()
				<-drained
			})
		}
	}
}

// describeAnswer returns the status and body of an answer, or its error.
func describeAnswer(resp *http.Response, err error) string {
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(text))
}

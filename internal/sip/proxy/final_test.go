package proxy

import (
	"fmt"
	"net/netip"
	"testing"

	"otterstep/internal/sip/message"
)

// recordingHost records the final responses to the caller and the request sent last; the test takes the core's part.
type recordingHost struct {
	*simulation
	finals []int
	sent   *message.Message
	branch string
}

func (h *recordingHost) Transmit(_ Peer, id string, text []byte) {
	m, err := message.Parse(text)
	switch {
	case err != nil:
		h.t.Fatal(err)
	case m.IsRequest() && id != "":
		h.sent, h.branch = m, id
	case m.Code >= 200:
		h.finals = append(h.finals, m.Code)
	}
}
func (h *recordingHost) Submit(RoutingRequest) {}
func (h *recordingHost) Withdraw(uint64)       {}
func (h *recordingHost) Finish(uint64, End)    {}

// Guards against a 503 to a request that a server may have processed: its caller would send the request again.
func TestNo503AfterAnAttemptThatMayHaveRun(t *testing.T) {
	const reset, refused, silent = -1, -2, -3 // ends of an attempt without a response; else its status code
	for _, c := range []struct {
		method string
		ends   []int
		answer Answer
		want   int
	}{
		{"MESSAGE", []int{503, reset}, AnswerFailed, 500},
		{"MESSAGE", []int{503, 503, reset}, AnswerFailed, 500},
		{"MESSAGE", []int{503, 504}, AnswerFailed, 504},
		{"MESSAGE", []int{503, silent}, AnswerFailed, 504},
		{"OPTIONS", []int{reset, 503}, AnswerFailed, 500},
		{"OPTIONS", []int{504, 503}, AnswerFailed, 504},
		{"OPTIONS", []int{silent, 503}, AnswerFailed, 500},
		{"OPTIONS", []int{reset, refused}, AnswerRefused, 500},
		{"OPTIONS", []int{silent, refused}, AnswerRefused, 500},
		{"INVITE", []int{503, reset}, AnswerFailed, 500},
		{"INVITE", []int{refused, reset}, AnswerFailed, 500},
		{"MESSAGE", []int{503, refused}, AnswerRefused, 503},
		{"MESSAGE", []int{503, 503}, AnswerRefused, 503},
		{"MESSAGE", []int{refused}, AnswerRefused, 503},
		{"INVITE", []int{503}, AnswerRefused, 503},
	} {
		t.Run(fmt.Sprint(c.method, c.ends), func(t *testing.T) {
			w := newSimulation(t, 1, 0)
			h := &recordingHost{simulation: w}
			w.m.options.Host = h
			q, err := message.Parse(fmt.Appendf(nil, "%s sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.3:9000;branch=z9hG4bKa\r\nFrom: <sip:a@b>;tag=t\r\nTo: <sip:desk@pool>\r\nCall-ID: c\r\nCSeq: 1 %s\r\n\r\n", c.method, c.method))
			if err != nil {
				t.Fatal(err)
			}
			w.m.Receive(w.now, Peer{Transport: UDP, Addr: netip.MustParseAddrPort("127.0.0.3:9000")}, q, nil)
			id := w.m.lastID
			for n, end := range c.ends {
				attempt := uint64(n + 1)
				w.m.Attempt(w.now, id, attempt, uint64(n), serverPeer(n), func() bool { return true })
				switch end {
				case reset, refused:
					w.m.DeliveryFailed(w.now, h.branch, end == reset)
				case silent:
					w.m.Abandon(w.now, attempt)
				default:
					w.m.Receive(w.now, serverPeer(n), h.sent.Response(end, "s"), nil)
				}
			}
			w.m.Answer(w.now, id, c.answer, 0)
			if len(h.finals) != 1 || h.finals[0] != c.want {
				t.Errorf("final responses %v, want %d", h.finals, c.want)
			}
		})
	}
}

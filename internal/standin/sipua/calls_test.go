package sipua

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"otterstep/internal/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Calls are set up and ended, each counts under its outcome, and callers keep no transaction of an ended call.
func TestCallsAsLoad(t *testing.T) {
	const t1 = 50 * time.Millisecond
	for _, transport := range []string{"udp", "tcp"} {
		s, err := NewServer(Options{Transport: transport, T1: t1}, nil)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		s.SetScript(func(c *Call) {
			s.mu.Lock()
			n++
			which := n % 4
			s.mu.Unlock()
			switch which {
			case 0:
				c.Reply(503)
			case 1:
				c.Reply(486)
			case 2:
				c.Reply(180) // and nothing else until the CANCEL
				if c.Cancelled(10 * time.Second) {
					c.Reply(487)
				}
			default:
				RingAndAnswer(c)
			}
		})
		c, err := NewCalls(CallsOptions{URL: "sip:" + s.Addr() + ";transport=" + transport, Callers: 3, T1: t1})
		if err != nil {
			t.Fatal(err)
		}
		r, err := load.Run(t.Context(), c, load.Options{
			Duration: time.Second, MaxOpen: 200, Timeout: 400 * time.Millisecond, Aim: 300 * time.Millisecond, Steady: true,
			Rate: func(time.Duration) float64 { return 80 },
		})
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		for _, how := range []string{"served", "refused", "failed", "broken"} {
			if got := r.Outcomes[how]; got < 15 || got > 25 {
				t.Errorf("%s: %d calls %s of %d", transport, got, how, r.Sent)
			}
		}
		if served := r.Outcomes["served"]; r.Within > served || r.Within == 0 || s.Count("BYE", "") != int(served) || c.FailedHangups() > 0 {
			t.Errorf("%s: %d set up, %d of them in time, %d BYEs, %d not ended", transport, served, r.Within, s.Count("BYE", ""), c.FailedHangups())
		}
		for _, u := range c.callers {
			if len(u.requests) > 0 {
				t.Errorf("%s: a caller still holds %d transactions", transport, len(u.requests))
			}
		}
		s.Close()
	}
}

// NewCalls rejects invalid options before any call is sent.
func TestNewCallsRejectsInvalidOptions(t *testing.T) {
	for url, want := range map[string]string{
		"http://127.0.0.1:1/": "is no sip:", "sip:127.0.0.1": "is no sip:", "sip:192.0.2.1:5060": "127.0.0.0/8 only",
		"sip:127.0.0.1:5060;transport=sctp": "is no sip:", "sip:desk.invalid:5060": "is no sip:",
	} {
		if c, err := NewCalls(CallsOptions{URL: url}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, %v", url, c, err)
		}
	}
	if _, err := NewCalls(CallsOptions{URL: "sip:127.0.0.1:5060", Callers: maxCallers + 1}); err == nil {
		t.Error("too many callers are accepted")
	}
}

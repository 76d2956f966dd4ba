package sip

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"otterstep/internal/core"
	"otterstep/internal/membudget"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/sip/transaction"
	"otterstep/internal/standin/sipua"
	"otterstep/internal/tomlfile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit is far longer than any wait of a passing test.
const waitLimit = 10 * time.Second

// t1 is a short T1 for quick retransmissions.
const t1 = 20 * time.Millisecond

// testFront is a front with its servers and one caller.
type testFront struct {
	t       testing.TB
	front   *Front
	servers []*sipua.Server
	caller  *sipua.Caller
	timing  transaction.Timing
	memory  *membudget.Account
	stop    func()
}

type testFrontOptions struct {
	servers     int
	transport   string // of callers and servers
	modify      func(*Config)
	script      sipua.Script
	tls         *tls.Config // of the stand-in user agents
	extraConfig string      // appended to the configuration
	loss        func(caller bool) sipua.Loss
	key         string
	timing      transaction.Timing // short times if zero
	memory      *membudget.Account
}

// parseConfig parses and checks a configuration in TOML.
func parseConfig(t testing.TB, text string) Config {
	t.Helper()
	var file struct {
		SIP Config `toml:"sip"`
	}
	f := tomlfile.Parse("operator.toml", []byte(text), &file)
	file.SIP.Check(f)
	if err := f.Err(); err != nil {
		t.Fatal(err)
	}
	return file.SIP
}

func keyFile(t testing.TB) string {
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(strings.Repeat("k", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func startTestFront(t testing.TB, o testFrontOptions) *testFront {
	t.Helper()
	if o.servers == 0 {
		o.servers = 1
	}
	if o.transport == "" {
		o.transport = "udp"
	}
	if o.script == nil {
		o.script = sipua.RingAndAnswer
	}
	if o.key == "" {
		o.key = keyFile(t)
	}
	loss := func(caller bool) sipua.Loss {
		if o.loss == nil {
			return nil
		}
		return o.loss(caller)
	}
	d := &testFront{t: t, timing: o.timing, memory: o.memory}
	if d.timing.T1 == 0 {
		d.timing = transaction.Timing{T1: t1, T2: 8 * t1, T4: 10 * t1}
	}
	text := fmt.Sprintf("[sip]\nudp = \"127.0.0.1:0\"\ntcp = \"127.0.0.1:0\"\ntoken_key = %q\nping = \"20ms\"\nupstream.transport = %q\n%s", o.key, o.transport, o.extraConfig)
	for n := range o.servers {
		s, err := sipua.NewServer(sipua.Options{Transport: o.transport, TLS: o.tls, T1: t1, Loss: loss(false)}, o.script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if d.servers[n] == s {
				s.Close()
			}
		})
		d.servers = append(d.servers, s)
		text += fmt.Sprintf("[[sip.server]]\nname = \"s%d\"\naddress = %q\n", n+1, s.Addr())
	}
	c := parseConfig(t, text)
	if o.modify != nil {
		o.modify(&c)
	}
	d.start(c)
	caller, err := sipua.NewCaller(sipua.Options{Proxy: d.front.Listen()[o.transport], Transport: o.transport, TLS: o.tls, T1: t1, Loss: loss(true)})
	if err != nil {
		t.Fatal(err)
	}
	d.caller = caller
	t.Cleanup(caller.Close)
	return d
}

// start runs a front until the end of the test or until d.stop is called.
func (d *testFront) start(c Config) {
	d.t.Helper()
	f, err := newFront(c, d.memory, 1, core.NewClock(), d.timing, slog.New(slog.DiscardHandler))
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	d.stop = func() { cancel(); <-ended }
	d.t.Cleanup(d.stop)
	d.front = f
	d.await("the server list is not applied", func(v View) bool { return v.Pool.Members == len(c.Servers) })
}

func (d *testFront) view() View {
	d.t.Helper()
	v, err := d.front.Inspect(d.t.Context())
	if err != nil {
		d.t.Fatal(err)
	}
	return v
}

// viewBehind returns a view in which a number of calls are counted: a call is counted after its final response.
func (d *testFront) viewBehind(calls int64) (v View) {
	d.t.Helper()
	d.await("outcomes of all calls", func(now View) bool {
		v = now
		counted := int64(0)
		for _, n := range v.Pool.Counts[proxy.ClassInvite] {
			counted += n
		}
		return counted >= calls
	})
	return v
}

// expectFinal checks that a transaction has exactly one final response, with the given code.
func expectFinal(t *testing.T, tx *sipua.Transaction, code int) {
	t.Helper()
	if got := tx.AwaitFinal(waitLimit); got != code {
		t.Fatalf("%s ended with %d, want %d", tx.Method, got, code)
	}
	if f := tx.Finals(); len(f) != 1 {
		t.Fatalf("%s has the final responses %q, want one", tx.Method, f)
	}
}

// A complete call over each transport: ringing, answer, re-INVITE, and BYE from either side.
func TestCall(t *testing.T) {
	for _, transport := range []string{"udp", "tcp"} {
		t.Run(transport, func(t *testing.T) {
			d := startTestFront(t, testFrontOptions{transport: transport})
			invite := d.caller.Send(sipua.Request{Method: "INVITE"})
			expectFinal(t, invite, 200)
			if !invite.AwaitCode(180, waitLimit) {
				t.Error("no 180")
			}
			s := d.servers[0]
			if !s.Await("ACK", invite.CallID, 1, waitLimit) {
				t.Error("the ACK did not arrive")
			}
			q := invite.Dialog()
			q.Method = "INVITE"
			expectFinal(t, d.caller.Send(q), 200)
			q.Method, q.Seq, q.Branch = "BYE", q.Seq+1, ""
			expectFinal(t, d.caller.Send(q), 200)
			if n := s.Count("BYE", invite.CallID); n != 1 {
				t.Errorf("%d BYEs", n)
			}
			s.SetScript(func(c *sipua.Call) {
				c.Reply(200)
				if c.Acked(waitLimit) {
					c.Bye()
				}
			})
			back := d.caller.Send(sipua.Request{Method: "INVITE"})
			expectFinal(t, back, 200)
			if !d.caller.AwaitReceived("BYE", back.CallID, waitLimit) || !s.Await("200", back.CallID, 1, waitLimit) {
				t.Error("the server's BYE or its 200 was not forwarded")
			}
			for _, method := range []string{"REGISTER", "OPTIONS", "SUBSCRIBE", "MESSAGE"} {
				expectFinal(t, d.caller.Send(sipua.Request{Method: method}), 200)
			}
			d.await("counts", func(v View) bool {
				return v.Dialogs == 2 && v.Byes == 2 && v.Requests == 6 && v.InDialog == 3 && v.Ends["success"] == 9 && v.Unmatched == 0 &&
					v.Pool.Requests == 0 && v.Pool.Counts[proxy.ClassInvite][core.Served] == 2
			})
		})
	}
}

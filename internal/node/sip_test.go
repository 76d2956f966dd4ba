package node

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/operator"
	"otterstep/internal/sip"
	"otterstep/internal/standin/sipua"
)

// sipOperatorFile returns an operator's file with SIP over UDP and TCP, further settings of [sip], and a control socket.
func sipOperatorFile(t *testing.T, settings string) (op operator.File, socket string) {
	t.Helper()
	dir := t.TempDir()
	path, socket, key := filepath.Join(dir, "operator.toml"), filepath.Join(dir, "c.sock"), filepath.Join(dir, "key")
	text := fmt.Sprintf("[control]\nsocket = %q\n[sip]\nudp = \"127.0.0.1:0\"\ntcp = \"127.0.0.1:0\"\ntoken_key = %q\n%s", socket, key, settings)
	for name, content := range map[string]string{path: text, key: strings.Repeat("k", 32)} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	op, err := operator.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return op, socket
}

// With [sip] in the operator's file the node sends SIP calls to the servers of the configured model in discovery's
// list, and HTTP requests to the others. Neither pool contains the other's servers, inspect shows both, and new calls to
// a draining server are refused while existing dialogs go on.
func TestSIPCallsAndRequests(t *testing.T) {
	const limit = 10 * time.Second
	desk, err := sipua.NewServer(sipua.Options{Transport: "udp", T1: 50 * time.Millisecond}, sipua.RingAndAnswer)
	if err != nil {
		t.Fatal(err)
	}
	defer desk.Close()
	app := newServer(t, respondWith(ok("1"), true))
	entry := target{UID: "pbx1", Endpoint: desk.Addr(), Model: "pbx", State: "in_service", CapacityHint: 1}
	d := newRegistry(t, listedTarget(app, "s1"), entry)

	op, socket := sipOperatorFile(t, "model = \"pbx\"\ndrain = \"1s\"\n")
	addr, stop := startNodeWithOperatorFile(t, d, op, Reloads{})
	v, err := control.Inspect(t.Context(), socket)
	if err != nil || v.SIP == nil || len(v.SIP.Servers) != 1 || v.SIP.Servers[0].Endpoint != desk.Addr() ||
		len(v.Servers) != 1 || v.Servers[0].Endpoint == desk.Addr() {
		t.Fatalf("%+v, %v", v, err)
	}
	caller, err := sipua.NewCaller(sipua.Options{Proxy: v.SIP.Listen["udp"], Transport: "udp", T1: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	call := caller.Send(sipua.Request{Method: "INVITE"})
	if code := call.AwaitFinal(limit); code != 200 {
		t.Fatalf("INVITE: %d", code)
	}
	if code, _, _ := do(t, clientRequest(t, addr, "read", "2")); code != 200 {
		t.Errorf("GET: %d", code)
	}

	// Once discovery reports that the server drains, the node starts no new calls there.
	entry.State = "terminating"
	d.change(entry)
	for end := time.Now().Add(500 * time.Millisecond); ; {
		if v, err = control.Inspect(t.Context(), socket); err == nil && len(v.SIP.Servers) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("500 ms after the change: %+v, %v", v.SIP, err)
		}
	}
	if code := caller.Send(sipua.Request{Method: "INVITE"}).AwaitFinal(limit); code != 503 {
		t.Errorf("INVITE while the only server drains: %d", code)
	}
	if n := desk.Count("INVITE", ""); n != 1 {
		t.Errorf("%d INVITEs", n)
	}
	q := call.Dialog()
	q.Method = "BYE"
	if code := caller.Send(q).AwaitFinal(limit); code != 200 {
		t.Errorf("BYE to a draining server: %d", code)
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// Guards against a node that ends while an INVITE within a call, taken after it was told to end, has no final response:
// the server answers once the platform's front has drained.
func TestRequestInACallOutlivesTheOtherFronts(t *testing.T) {
	const limit = 10 * time.Second
	for _, transport := range []string{"udp", "tcp"} {
		t.Run(transport, func(t *testing.T) {
			answer := make(chan struct{})
			desk, err := sipua.NewServer(sipua.Options{Transport: transport, T1: 50 * time.Millisecond}, sipua.RingAndAnswer)
			if err != nil {
				t.Fatal(err)
			}
			defer desk.Close()
			op, socket := sipOperatorFile(t, fmt.Sprintf("upstream.transport = %q\n[[sip.server]]\nname = \"pbx1\"\naddress = %q\n", transport, desk.Addr()))
			addr, stop := startNodeWithOperatorFile(t, newRegistry(t, listedTarget(newServer(t, respondWith(ok("1"), true)), "s1")), op, Reloads{})
			v, err := control.Inspect(t.Context(), socket)
			if err != nil {
				t.Fatal(err)
			}
			listen := v.SIP.Listen[transport]
			caller, err := sipua.NewCaller(sipua.Options{Proxy: listen, Transport: transport, T1: 50 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			defer caller.Close()
			call := caller.Send(sipua.Request{Method: "INVITE"})
			if code := call.AwaitFinal(limit); code != 200 {
				t.Fatalf("INVITE: %d", code)
			}
			desk.SetScript(func(c *sipua.Call) {
				c.Reply(180)
				<-answer
				c.Reply(200)
			})
			ended := make(chan error, 1)
			go func() { ended <- stop() }()
			waitFor(t, "a draining SIP front", func() bool { return sip.Check(t.Context(), transport+":"+listen) != nil })
			hold := call.Dialog()
			hold.Method = "INVITE"
			tx := caller.Send(hold)
			if !tx.AwaitCode(180, limit) {
				t.Error("no 180")
			}
			waitFor(t, "the end of the platform's front", func() bool {
				c, err := net.Dial("tcp", addr)
				if err == nil {
					c.Close()
				}
				return err != nil
			})
			close(answer)
			if code := tx.AwaitFinal(limit); code != 200 {
				t.Errorf("INVITE within the call: %d", code)
			}
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

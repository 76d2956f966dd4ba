package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/operator"
	"otterstep/internal/standin/sipua"
)

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

	dir := t.TempDir()
	path, socket, key := filepath.Join(dir, "operator.toml"), filepath.Join(dir, "c.sock"), filepath.Join(dir, "key")
	text := fmt.Sprintf("[control]\nsocket = %q\n[sip]\nudp = \"127.0.0.1:0\"\nmodel = \"pbx\"\ntoken_key = %q\ndrain = \"1s\"\n", socket, key)
	for name, content := range map[string]string{path: text, key: strings.Repeat("k", 32)} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	op, err := operator.Load(path)
	if err != nil {
		t.Fatal(err)
	}
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

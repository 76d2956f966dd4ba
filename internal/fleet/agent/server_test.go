package agent

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/instances"
)

// TestMain lets the test binary run as another user, which connects to a socket and
// prints the result.
func TestMain(m *testing.M) {
	if path := os.Getenv("OTTERAGENT_CONNECT"); path != "" {
		c, err := net.Dial("unix", path)
		if err == nil {
			_, err = io.WriteString(c, "GET /v1/agent HTTP/1.1\r\nHost: a\r\n\r\n")
			var b [1]byte
			if _, e := c.Read(b[:]); err == nil {
				err = e
			}
		}
		fmt.Println(err)
		return
	}
	os.Exit(m.Run())
}

// newAuthority creates a certificate authority with certificates for an agent, a viewer
// and an operator, and returns its folder.
func newAuthority(t *testing.T, now time.Time) string {
	t.Helper()
	dir := t.TempDir()
	if err := pki.Init(dir, "fleet", now); err != nil {
		t.Fatal(err)
	}
	for _, r := range []pki.Request{
		{Name: "m1", Role: pki.Agent, Hosts: []string{"127.0.0.1"}}, {Name: "vera", Role: pki.Viewer}, {Name: "ada", Role: pki.Operator},
	} {
		r.ValidFor = time.Hour
		if err := pki.Issue(dir, r, now); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// startRemote starts an agent that listens with TLS, and returns its address.
func startRemote(t *testing.T, dir string) (*Agent, string) {
	t.Helper()
	cfg := newFixture(t).cfg
	cfg.Listen = "127.0.0.1:0"
	cfg.TLS.CA, cfg.TLS.Cert, cfg.TLS.Key = filepath.Join(dir, "ca.pem"), filepath.Join(dir, "m1.pem"), filepath.Join(dir, "m1.key")
	a, err := New(cfg, Options{Runner: instances.NewMachine().Runner(), Version: "test", FirstStart: true})
	if err != nil {
		t.Fatal(err)
	}
	servers, err := a.listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- servers[0].serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
		a.lockFile.Close()
	})
	return a, servers[0].listener.Addr().String()
}

func clientAs(t *testing.T, addr, caDir, certDir, name string) *client.Client {
	t.Helper()
	conf, err := pki.ClientConfig(filepath.Join(caDir, "ca.pem"), filepath.Join(certDir, name+".pem"), filepath.Join(certDir, name+".key"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := client.New("m1", "https://"+addr, conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// A viewer may read but not give commands. Clients with an expired certificate, one of
// another authority, an agent's certificate or none are refused, and each is counted.
func TestCertificateAuthorization(t *testing.T) {
	now := time.Now()
	dir := newAuthority(t, now)
	a, addr := startRemote(t, dir)
	ctx := t.Context()
	if _, err := clientAs(t, addr, dir, dir, "vera").Agent(ctx); err != nil {
		t.Errorf("a viewer reads: %v", err)
	}
	drain := protocol.CommandRequest{ID: protocol.NewID(now, 1), Kind: protocol.Drain, Instances: []protocol.InstanceGeneration{{Name: "a"}}}
	if _, err := clientAs(t, addr, dir, dir, "vera").Open(ctx, drain); code(err) != protocol.CodeForbidden {
		t.Errorf("a viewer gives a command: %v", err)
	}
	if c, err := clientAs(t, addr, dir, dir, "ada").Open(ctx, drain); err != nil || c.Operator != "ada" {
		t.Errorf("an operator gives a command: %+v, %v", c, err)
	}
	other := newAuthority(t, now)
	if _, err := clientAs(t, addr, dir, other, "ada").Agent(ctx); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	if err := pki.Issue(dir, pki.Request{Name: "old", Role: pki.Operator, ValidFor: time.Minute}, now.Add(-time.Hour)); err != nil {
		t.Fatal(err)
	}
	if _, err := clientAs(t, addr, dir, dir, "old").Agent(ctx); err == nil {
		t.Error("an expired certificate was accepted")
	}
	if _, err := clientAs(t, addr, dir, dir, "m1").Agent(ctx); err == nil {
		t.Error("an agent's certificate was accepted as a tool's")
	}
	conf, err := pki.ClientConfig(filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ada.pem"), filepath.Join(dir, "ada.key"))
	if err != nil {
		t.Fatal(err)
	}
	conf.Certificates = nil
	none, err := client.New("m1", "https://"+addr, conf)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := none.Agent(ctx); err == nil {
		t.Error("a client without a certificate was accepted")
	}
	old := conf.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	if _, err := tls.Dial("tcp", addr, old); err == nil {
		t.Error("TLS 1.2 was accepted")
	}
	want := map[string]int64{"role": 2, "certificate: authority": 1, "certificate: expired": 1, "certificate: none": 1}
	if got := a.refused.all(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("refused %v, want %v", got, want)
	}
}

// startLocal starts an agent that listens on a Unix socket.
func startLocal(t *testing.T) (*Agent, string) {
	t.Helper()
	cfg := newFixture(t).cfg
	dir, err := os.MkdirTemp("", "oa") // short, as a socket's path length is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	if err := os.Chmod(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	cfg.Socket = filepath.Join(dir, "s")
	a, err := New(cfg, Options{Runner: instances.NewMachine().Runner(), Version: "test", FirstStart: true})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	for {
		if _, err := os.Stat(cfg.Socket); err == nil {
			return a, cfg.Socket
		}
		time.Sleep(time.Millisecond)
	}
}

// Another user of the machine can't use the socket, neither with its own mode nor after
// the mode was changed to 0777.
func TestOtherUserIsRefused(t *testing.T) {
	if os.Getuid() != 0 {
		t.Skip("only root can become another user")
	}
	a, socket := startLocal(t)
	program := filepath.Join(filepath.Dir(socket), "other")
	text, err := os.ReadFile("/proc/self/exe")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(program, text, 0o755); err != nil {
		t.Fatal(err)
	}
	connect := func() string {
		cmd := exec.Command(program)
		cmd.Env = []string{"OTTERAGENT_CONNECT=" + socket}
		cmd.Dir = "/"
		cmd.SysProcAttr = &syscall.SysProcAttr{Credential: &syscall.Credential{Uid: 65534, Gid: 65534}}
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		return string(out)
	}
	if out := connect(); !strings.Contains(out, "permission denied") {
		t.Errorf("with the socket's own mode: %q", out)
	}
	if err := os.Chmod(socket, 0o777); err != nil {
		t.Fatal(err)
	}
	if said := connect(); strings.HasPrefix(said, "<nil>") {
		t.Errorf("with mode 0777: %q", said)
	}
	if n := a.refused.all()["user"]; n != 1 {
		t.Errorf("%d refusals counted, want 1", n)
	}
}

// post sends a raw request to a socket.
func post(t *testing.T, socket, path string, header http.Header, body []byte) (int, protocol.Error) {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true, DialContext: func(context.Context, string, string) (net.Conn, error) { return net.Dial("unix", socket) }}
	req, err := http.NewRequest(http.MethodPost, "http://agent"+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	resp, err := tr.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var e protocol.Error
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		t.Errorf("%s: the response body is not an error: %v", path, err)
	}
	return resp.StatusCode, e
}

// Requests that are too large, malformed, have unknown fields or another version are
// refused with a specific error, and change nothing.
func TestBadRequestsAreRefused(t *testing.T) {
	a, socket := startLocal(t)
	good := fmt.Sprintf(`{"id":%q,"kind":"drain","instances":[{"name":"a","generation":0}]`, protocol.NewID(time.Now(), 1))
	for name, c := range map[string]struct {
		path   string
		header http.Header
		body   string
		code   string
		text   string
	}{
		"too large":     {"/v1/commands", nil, good + `,"plan":"` + strings.Repeat("x", protocol.MaxBodySize) + `"}`, protocol.CodeUsage, "over 1048576 bytes"},
		"unknown field": {"/v1/commands", nil, good + `,"force":true}`, protocol.CodeUsage, "force"},
		"two values":    {"/v1/commands", nil, good + `}{}`, protocol.CodeUsage, "more than one"},
		"no JSON":       {"/v1/commands", nil, "restart a", protocol.CodeUsage, "body"},
		"empty":         {"/v1/commands", nil, "", protocol.CodeUsage, "body"},
		"newer path":    {"/v2/commands", nil, good + "}", protocol.CodeVersion, "speaks version 1"},
		"older path":    {"/v0/commands", nil, good + "}", protocol.CodeVersion, `version "0"`},
		"newer header":  {"/v1/commands", http.Header{protocol.VersionHeader: {"2"}}, good + "}", protocol.CodeVersion, "bring tool and agent to one version"},
		"no version":    {"/commands", nil, good + "}", protocol.CodeVersion, "speaks"},
		"no such call":  {"/v1/explode", nil, "{}", protocol.CodeNotFound, "no such call"},
		"no instance":   {"/v1/commands/x/run/zzz", nil, "", protocol.CodeNotFound, "no command"},
	} {
		if c.header == nil {
			c.header = http.Header{}
		}
		status, e := post(t, socket, c.path, c.header, []byte(c.body))
		if status/100 != 4 || e.Code != c.code || !strings.Contains(e.Text, c.text) {
			t.Errorf("%s: %d %+v, want %s with %q", name, status, e, c.code, c.text)
		}
	}
	if commands := a.commands(10); len(commands) != 0 {
		t.Errorf("commands were accepted: %+v", commands)
	}
	c, err := client.New("m1", "unix:"+socket, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Inspect(t.Context(), "zzz"); code(err) != protocol.CodeNotFound {
		t.Errorf("inspecting an unknown instance: %v", err)
	}
	if s, err := c.Agent(t.Context()); err != nil || s.Refused["version"] != 4 || s.Record != "ok" || s.Protocol != protocol.Version {
		t.Errorf("agent: %+v, %v", s, err)
	}
}

func FuzzCommandRequest(f *testing.F) {
	f.Add([]byte(`{"id":"019200000000-0000000000000001","kind":"drain","instances":[{"name":"a","generation":0}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := http.NewRequest(http.MethodPost, "http://a/v1/commands", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		var q protocol.CommandRequest
		if err := decodeStrict(r, &q); err != nil && code(err) != protocol.CodeUsage {
			t.Errorf("%v", err)
		}
	})
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain runs main instead of the tests if OTTERSTEP_MAIN is set, so that tests can start the test binary as the
// program.
func TestMain(m *testing.M) {
	if os.Getenv("OTTERSTEP_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(config string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "OTTERSTEP_MAIN=1", "PROXY_CONFIG="+config)
	return cmd
}

// startProgram starts a program and kills it at the end of the test. until reads its log up to a line that contains
// text. Up to 1,000 lines are buffered, which is more than these programs write.
func startProgram(t *testing.T, cmd *exec.Cmd) (until func(text string) string) {
	t.Helper()
	lines := make(chan string, 1000)
	read, write := io.Pipe()
	cmd.Stderr = write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); write.Close() })
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(read); in.Scan(); {
			lines <- in.Text()
		}
	}()
	return func(text string) string {
		t.Helper()
		for {
			select {
			case line, more := <-lines:
				if !more {
					t.Fatalf("the log ends without %q", text)
				}
				if strings.Contains(line, text) {
					return line
				}
			case <-time.After(20 * time.Second):
				t.Fatalf("no log line with %q within 20 s", text)
			}
		}
	}
}

func configFile(t testing.TB, change func(map[string]any)) string {
	t.Helper()
	config := map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": []any{}},
		"settings": map[string]any{
			"Classes": []any{map[string]any{"Name": "book", "DeadlineMs": 2000, "Effect": "side_effect"}},
			"Limits":  map[string]any{"MaxAttempts": 2},
		},
	}
	change(config)
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestInvalidConfigurationIsReportedInOneLine(t *testing.T) {
	invalidJSON := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(invalidJSON, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ path, word string }{
		"none named": {"", "PROXY_CONFIG"},
		"no file":    {filepath.Join(t.TempDir(), "none.json"), "none.json"},
		"no JSON":    {invalidJSON, "JSON"},
		"listen":     {configFile(t, func(c map[string]any) { c["listen"] = "nowhere" }), "listen"},
		"discovery":  {configFile(t, func(c map[string]any) { delete(c, "discovery") }), "discovery"},
		"seed":       {configFile(t, func(c map[string]any) { c["seed"] = "xyz" }), "seed"},
		"sockets":    {configFile(t, func(c map[string]any) { c["limits"] = map[string]any{"sockets": 3} }), "sockets"},
		"settings":   {configFile(t, func(c map[string]any) { delete(c, "settings") }), "settings"},
		"module": {configFile(t, func(c map[string]any) {
			c["settings"] = map[string]any{"Classes": []any{map[string]any{"Name": "a", "DeadlineMs": -5}}}
		}), "Deadline"},
		"address": {configFile(t, func(c map[string]any) { c["listen"] = "127.0.0.1:99999" }), "listen"},
	} {
		var stderr bytes.Buffer
		cmd := program(c.path)
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
			t.Errorf("%s: ended with %v, want a non-zero exit code", name, err)
		}
		if text := stderr.String(); strings.Count(text, "\n") != 1 || !strings.Contains(text, c.word) {
			t.Errorf("%s: stderr %q, want one line that names %s", name, text, c.word)
		}
	}
}

// The operator's file is checked completely before the node starts, and -check does not start it.
func TestOperatorFileIsChecked(t *testing.T) {
	config := configFile(t, func(map[string]any) {})
	file := filepath.Join(t.TempDir(), "operator.toml")
	run := func(text string, args ...string) (string, error) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := program(config)
		cmd.Args = append(cmd.Args, args...)
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	if out, err := run("[control]\nsocket = \"/tmp/n1.sock\"\n[drain]\ntell_up = true\n", "-check", "-operator", file); err != nil || out != "" {
		t.Errorf("valid file: %v, %s", err, out)
	}
	out, err := run("[control]\nsocket = \"n1.sock\"\n[drian]\ntell_up = true\n", "-operator", file)
	for _, want := range []string{"operator.toml:2: control.socket:", "operator.toml:3: drian: unknown key, did you mean drain?"} {
		if err == nil || !strings.Contains(out, want) {
			t.Errorf("missing %q: %v, %s", want, err, out)
		}
	}
	if out, err := run("", "-operator", file, "more"); err == nil || !strings.Contains(out, "unexpected argument") {
		t.Errorf("unexpected argument: %v, %s", err, out)
	}
}

// startDiscovery starts a discovery service that lists the given number of servers, all at one address, and returns its
// address.
func startDiscovery(t testing.TB, servers int, endpoint string) string {
	t.Helper()
	var targets []any
	for i := range servers {
		targets = append(targets, map[string]any{"uid": fmt.Sprint("s", i), "endpoint": endpoint, "state": "in_service", "capacity_hint": 1})
	}
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list := map[string]any{"rev": 1, "all": true, "targets": targets}
		if r.URL.Query().Has("since") {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
			list["all"], list["targets"] = false, []any{}
		}
		_ = json.NewEncoder(w).Encode(list)
	}))
	t.Cleanup(d.Close)
	return d.Listener.Addr().String()
}

// freeAddress returns an address that the program can listen on.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitUp waits until the program accepts clients; log is printed if it does not.
func awaitUp(t testing.TB, addr string, log fmt.Stringer) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if resp, err := http.Get("http://" + addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Since(start) > 20*time.Second {
			t.Fatalf("not up: %s", log)
		}
	}
}

// Guards against lost requests during a reload and a planned restart (rule 1): under load, every request on a
// connection made before the node stopped accepting gets its complete answer, and the exit code is 0.
func TestSignalsUnderLoadLoseNoRequests(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer backend.Close()
	discovery := startDiscovery(t, 1, backend.Listener.Addr().String())
	addr := freeAddress(t)

	var stderr bytes.Buffer
	cmd := program(configFile(t, func(c map[string]any) {
		c["listen"], c["discovery"] = addr, discovery
	}))
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer cmd.Process.Kill()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	awaitUp(t, addr, &stderr)

	var clients sync.WaitGroup
	var answered, atTerm atomic.Int64
	stop := make(chan struct{})
	for n := range 8 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", n, i)
				r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/book/x", strings.NewReader("b"))
				for name, value := range map[string]string{
					"X-Correlation-Id": id, "X-Service-Class": "book", "X-Time-Left": "2.0",
				} {
					r.Header.Set(name, value)
				}
				resp, err := client.Do(r)
				if err != nil {
					t.Errorf("request %s: %v", id, err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode == http.StatusOK && string(body) != id {
					t.Errorf("request %s: %s, body %q, %v", id, resp.Status, body, err)
				}
				answered.Add(1)
			}
		})
	}
	for answered.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	// A reload must not end the program, as an unhandled SIGHUP does.
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for hangup := answered.Load(); answered.Load() < hangup+20 && !t.Failed(); {
		time.Sleep(time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	atTerm.Store(answered.Load())
	time.Sleep(150 * time.Millisecond) // new connections arrive for a while
	close(stop)
	clients.Wait()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v: %s", err, &stderr)
		}
	case <-time.After(20 * time.Second):
		t.Error("the program does not end within 20 s")
	}
	if answered.Load() == atTerm.Load() {
		t.Error("nothing was answered after SIGTERM")
	}
}

// "otterstep serve" load-balances any service until SIGTERM drains it; invalid arguments are reported and nothing is
// served.
func TestServe(t *testing.T) {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusTeapot)
		fmt.Fprint(w, r.Method, " ", r.URL.Path)
	}))
	defer service.Close()
	serve := func(args ...string) *exec.Cmd {
		cmd := exec.Command(os.Args[0], append([]string{"serve"}, args...)...)
		cmd.Env = append(os.Environ(), "OTTERSTEP_MAIN=1", "PROXY_CONFIG=")
		return cmd
	}
	for want, args := range map[string][]string{
		"no servers":                 {"--listen", "127.0.0.1:0"},
		"not an IP address and port": {"--listen", "127.0.0.1:0", "--server", "localhost:80"},
		"at least one of":            {"--server", "127.0.0.1:1"},
		"unknown flag":               {"--moon"},
		"no such file":               {"--file", "/none"},
		"none of the othe":           {"--file", "x", "--listen", "127.0.0.1:0"},
	} {
		out, err := serve(args...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) {
			t.Errorf("%v: %v, %s", args, err, out)
		}
	}
	cmd := serve("--listen", "127.0.0.1:0", "--server", service.Listener.Addr().String())
	until := startProgram(t, cmd)
	_, rest, _ := strings.Cut(until("listen="), "listen=")
	addr, _, _ := strings.Cut(rest, " ")
	resp, err := http.Post("http://"+addr+"/tea", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusTeapot || string(text) != "POST /tea" {
		t.Errorf("%s %q, %v", resp.Status, text, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

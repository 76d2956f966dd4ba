package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/record"
	"otterstep/internal/handover"
	"otterstep/internal/nodestate"
	"otterstep/internal/operator"
	"otterstep/internal/standin/logbuffer"
)

// platform holds the clients' listening socket and starts nodes that inherit it, all within the test process.
type platform struct {
	t        *testing.T
	listener *net.TCPListener
	cfg      Config
	op       operator.File
}

func newPlatform(t *testing.T, d *registry) *platform {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	dir, err := os.MkdirTemp("", "up") // a short path, because of the length limit of Unix sockets
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return &platform{t: t, listener: l.(*net.TCPListener), cfg: Config{
		Name: "n0", Listen: l.Addr().String(), Discovery: d.Listener.Addr().String(), Seed: 1, Temp: dir,
		Sockets: 384, MemoryMB: 64, Known: hostList{Rev: 1, All: true}, Site: siteOf(t, settings),
	}}
}

// process is a running node.
type process struct {
	t            *testing.T
	operatorAddr string // address of its operator API
	stop         context.CancelFunc
	ended        chan error
	log          *logBuffer
}

// logBuffer is a log that tests can read while it is written.
type logBuffer struct{ logbuffer.Buffer }

// operatorAddr returns the address of the operator API from the log, or "" if it is not logged yet.
func (l *logBuffer) operatorAddr() string {
	_, rest, _ := strings.Cut(l.String(), "operators' door\" listen=")
	at, _, _ := strings.Cut(rest, "\n")
	return at
}

func (p *platform) start() *process {
	p.t.Helper()
	f, err := p.listener.File()
	if err != nil {
		p.t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		p.t.Fatal(err)
	}
	listener, err := handover.Inherit(fmt.Sprint(fd), p.cfg.Listen)
	if err != nil {
		p.t.Fatal(err)
	}
	cfg := p.cfg
	cfg.Operator = "127.0.0.1:0"
	ctx, stop := context.WithCancel(context.Background())
	r := &process{p.t, "", stop, make(chan error, 1), &logBuffer{}}
	go func() {
		r.ended <- serve(ctx, cfg, p.op, listener, Reloads{}, slog.New(slog.NewTextHandler(r.log, nil)))
	}()
	waitFor(p.t, "operators' door", func() bool {
		r.operatorAddr = r.log.operatorAddr()
		return r.operatorAddr != ""
	})
	return r
}

// tell sends one request to the process's operator API and returns the status, 0 if there is no answer.
func (r *process) tell(method, path string) int {
	req, err := http.NewRequest(method, "http://"+r.operatorAddr+path, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// mustPost sends a POST that has to be answered with 200.
func (r *process) mustPost(path string) {
	r.t.Helper()
	if code := r.tell("POST", path); code != http.StatusOK {
		r.t.Fatalf("%s: %d, %s", path, code, r.log)
	}
}

func (r *process) awaitReady() {
	r.t.Helper()
	waitFor(r.t, "ready process", func() bool { return r.tell("GET", "/admin/health") == 200 })
}

func (r *process) end() {
	r.t.Helper()
	r.stop()
	if err := <-r.ended; err != nil {
		r.t.Error(err)
	}
}

// Guards requests during upgrades: in thirty upgrades in a row under load, with clients that reuse connections and
// clients that do not, no request is lost, executed twice or refused a connection.
func TestConsecutiveUpgrades(t *testing.T) {
	var mu sync.Mutex
	executions := map[string]int{}
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		mu.Lock()
		executions[r.Header.Get("X-Correlation-Id")]++
		mu.Unlock()
		io.WriteString(c, ok("x"))
		return true
	})
	d := newRegistry(t, listedTarget(s, "s1"))
	p := newPlatform(t, d)
	p.cfg.Known.Targets = []target{listedTarget(s, "s1")}
	current := p.start()
	current.awaitReady()
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	var served atomic.Int64
	for n := range 6 {
		clients.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for ctx.Err() == nil {
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", p.cfg.Listen); err != nil {
						t.Errorf("refused: %v", err)
						return
					}
					in = bufio.NewReader(c)
				}
				r := clientRequest(t, p.cfg.Listen, []string{"read", "push", "book"}[n%3], "2.9")
				err := r.Write(c)
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(in, r)
				}
				if err != nil {
					t.Errorf("request %s: %v", r.Header.Get("X-Correlation-Id"), err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				// A refusal counts as an answer: on a busy machine the only server may be slow.
				if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
					t.Errorf("answered %d", resp.StatusCode)
				}
				served.Add(1)
				if resp.Close || n%2 == 0 {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
	for i := range 30 {
		next := p.start()
		next.awaitReady()
		current.end()
		current = next
		for at := served.Load(); served.Load() < at+5 && !t.Failed(); {
			time.Sleep(time.Millisecond)
		}
		if t.Failed() {
			t.Fatalf("upgrade %d: %s", i, current.log)
		}
	}
	cancel()
	clients.Wait()
	current.end()
	for id, n := range executions {
		if n != 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// Manual cordons and quiesce hold across upgrades, whichever process received the call, and also for a process that
// finds no running one.
func TestOperatorCallsSurviveUpgrades(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	d := newRegistry(t, listedTarget(one, "s1"), listedTarget(two, "s2"))
	p := newPlatform(t, d)
	p.cfg.Known.Targets = []target{listedTarget(one, "s1"), listedTarget(two, "s2")}
	served := func() map[string]int {
		got := map[string]int{}
		for range 6 {
			r := clientRequest(t, p.cfg.Listen, "read", "2.5")
			r.Close = true
			code, _, body := do(t, r)
			if code != http.StatusOK && code != http.StatusServiceUnavailable { // an uncordoned server is cold and may refuse
				t.Errorf("answered %d", code)
			}
			got[body]++
		}
		return got
	}
	first := p.start()
	first.awaitReady()
	first.mustPost("/admin/cordon/s1")
	second := p.start()
	second.awaitReady()
	if got := served(); got["1"] > 0 {
		t.Fatalf("s1 was cordoned before the upgrade: %v", got)
	}
	// During the handover, each process receives a call for a different server.
	first.mustPost("/admin/cordon/s2")
	second.mustPost("/admin/uncordon/s1")
	if got := served(); got["2"] > 0 {
		t.Errorf("s2 was cordoned during the handover, at the old process: %v", got)
	}
	first.end()
	second.mustPost("/admin/uncordon/s2")
	second.mustPost("/admin/cordon/s1")
	second.mustPost("/admin/quiesce")
	third := p.start()
	third.awaitReady()
	if got := served(); got["1"] > 0 {
		t.Errorf("s1 was cordoned before the second upgrade: %v", got)
	}
	up := func() int {
		resp, err := http.Get("http://" + p.cfg.Listen + "/up")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if up() != 503 {
		t.Error("the quiesce was lost in the upgrade")
	}
	second.mustPost("/admin/resume")
	if up() != 200 {
		t.Error("the resume at the old process did not reach the new one")
	}
	second.end()
	third.end()
	fourth := p.start() // no other process is running
	fourth.awaitReady()
	if got := served(); got["1"] > 0 {
		t.Errorf("the cordon of s1 was not read from the file: %v", got)
	}
	fourth.end()
}

// Two processes of a node share the state files, which the predecessor writes: cordons made at the successor and
// uncordons made at the predecessor both reach the disk; after the predecessor's end the successor writes.
func TestStateFilesOfTwoProcesses(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	d := newRegistry(t, listedTarget(one, "s1"), listedTarget(two, "s2"))
	p := newPlatform(t, d)
	p.cfg.Known.Targets = []target{listedTarget(one, "s1"), listedTarget(two, "s2")}
	p.op.Kept.File, p.op.Kept.Every.Duration = filepath.Join(t.TempDir(), "kept"), time.Second
	out := func(uid string, want bool) {
		t.Helper()
		waitFor(t, fmt.Sprint("state on disk with ", uid, " cordoned: ", want), func() bool {
			s, v, _ := nodestate.Open(record.OS{}, p.op.Kept.File, p.cfg.Name)
			defer s.Close()
			return v != nil && slices.ContainsFunc(v.ManualCordons, func(e cordon.Entry) bool { return e.ID == uid && e.Out == want })
		})
	}
	first := p.start()
	first.awaitReady()
	second := p.start()
	second.awaitReady()
	second.mustPost("/admin/cordon/s1")
	out("s1", true)
	second.mustPost("/admin/cordon/s2")
	out("s2", true)
	first.mustPost("/admin/uncordon/s2")
	out("s2", false)
	first.end()
	second.mustPost("/admin/cordon/s2")
	out("s2", true)
	second.end()
}

// A successor that dies before or just after reporting that it serves does not interrupt service, and a later
// successor works.
func TestSuccessorThatDiesEarly(t *testing.T) {
	t.Parallel()
	s := newServer(t, respondWith(ok("x"), true))
	d := newRegistry(t, listedTarget(s, "s1"))
	p := newPlatform(t, d)
	old := p.start()
	old.awaitReady()
	successor, err := handover.Dial(filepath.Join(p.cfg.Temp, "otterstep-n0.sock"), handover.State{Name: "n0"})
	if err != nil || successor == nil {
		t.Fatalf("%v, %v", successor, err)
	}
	ctx, kill := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- successor.Run(ctx, func(handover.Message) error { return nil }) }()
	waitFor(t, "connected successor in the log", func() bool { return strings.Contains(old.log.String(), "role=attended") })
	ask := func() {
		t.Helper()
		r := clientRequest(t, p.cfg.Listen, "book", "2.5")
		r.Close = true
		if code, _, _ := do(t, r); code != 200 {
			t.Errorf("answered %d", code)
		}
	}
	ask()
	// The worst moment: it has reported that it serves, and dies before it accepts anything.
	if err := successor.SendConfirmed(ctx, handover.Message{Serving: true}); err != nil {
		t.Fatal(err)
	}
	kill()
	<-ended
	ask()
	next := p.start()
	next.awaitReady()
	old.end()
	ask()
	next.end()
}

// Guards against two processes that act on their own: whenever a successor is killed, the next one finds the older process,
// and operators' calls at its door are in force in both.
func TestOlderProcessIsFoundBehindAKilledSuccessor(t *testing.T) {
	t.Parallel()
	for step, at := range map[string]int{"connected": 0, "serving": 1, "listening": 2} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t, newRegistry(t, listedTarget(newServer(t, respondWith(ok("x"), true)), "s1"), listedTarget(newServer(t, respondWith(ok("y"), true)), "s2")))
			old := p.start()
			old.awaitReady()
			path := filepath.Join(p.cfg.Temp, "otterstep-n0.sock")
			successor, err := handover.Dial(path, handover.State{Name: "n0"})
			if err != nil || successor == nil {
				t.Fatalf("%v, %v", successor, err)
			}
			ctx, kill := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- successor.Run(ctx, func(handover.Message) error { return nil }) }()
			waitFor(t, "connected successor in the log", func() bool { return strings.Contains(old.log.String(), "role=attended") })
			if at >= 1 {
				if err := successor.SendConfirmed(ctx, handover.Message{Serving: true}); err != nil {
					t.Fatal(err)
				}
			}
			if at >= 2 {
				l, err := handover.Listen(path)
				if err != nil {
					t.Fatal(err)
				}
				l.Close()
			}
			kill()
			<-ended
			next := p.start()
			next.awaitReady()
			if log := next.log.String(); !strings.Contains(log, "taking over") {
				t.Errorf("the next process did not find the older one: %s", log)
			}
			next.mustPost("/admin/cordon/s1")
			if log := old.log.String(); !strings.Contains(log, "manual cordon changed, received from another process") {
				t.Errorf("a call at the newer process is not in force in the older one: %s", log)
			}
			old.end()
			next.end()
		})
	}
}

// An unreadable handover file in $TMPDIR is logged and moved aside.
func TestDamagedCallsFileIsMovedAside(t *testing.T) {
	t.Parallel()
	s := newServer(t, respondWith(ok("x"), true))
	d := newRegistry(t, listedTarget(s, "s1"))
	p := newPlatform(t, d)
	base := filepath.Join(p.cfg.Temp, "otterstep-n0.hand")
	for _, text := range []string{"no record at all\nof any kind\n", ""} {
		if err := os.WriteFile(base, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		r := p.start()
		r.awaitReady()
		r.end()
		if text != "" && !strings.Contains(r.log.String(), "can't be read") {
			t.Errorf("%q: nothing was logged: %s", text, r.log)
		}
	}
	if _, err := os.Stat(base + ".damaged"); err != nil {
		t.Error(err)
	}
	// With the file moved aside, the next process gets the calls from the running one and stores them.
	if err := os.WriteFile(base, []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	old := p.start()
	old.awaitReady()
	if code := old.tell("POST", "/admin/cordon/s1"); code != 200 {
		t.Errorf("cordon: %d", code)
	}
	if err := os.WriteFile(base, []byte("no record at all\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	next := p.start()
	next.awaitReady()
	if text, err := os.ReadFile(base); err != nil || !strings.Contains(string(text), `"s1"`) {
		t.Errorf("the file does not contain the cordon: %s, %v", text, err)
	}
	// An uncordon of a server that was never cordoned is accepted by the other process too.
	if code := next.tell("POST", "/admin/uncordon/s1"); code != 200 {
		t.Errorf("uncordon: %d", code)
	}
	if strings.Contains(old.log.String(), "does not fit") {
		t.Errorf("%s", old.log)
	}
	old.end()
	next.end()
	// Entries that are rejected are logged.
	ops := newOperations(nil, nil, quiet())
	log := &logBuffer{}
	ops.log = slog.New(slog.NewTextHandler(log, nil))
	ops.merge(nil, []cordon.Entry{{ID: "", Out: true}})
	if !strings.Contains(log.String(), "repeat it") {
		t.Errorf("%s", log)
	}
}

// A retry that is pending in the old process when the new one takes over is carried out by the old process: the
// request is answered once, and both attempts have its idempotency key.
func TestUpgradeCompletesPendingRetry(t *testing.T) {
	t.Parallel()
	failed := make(chan struct{}, 4)
	var ran sync.Map
	s := newServer(t, func(n int64, r *http.Request, c net.Conn) bool {
		ran.Store(n, r.Header.Get("Idempotency-Key"))
		if n == 1 {
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			failed <- struct{}{}
			return true
		}
		io.WriteString(c, ok("again"))
		return true
	})
	d := newRegistry(t, listedTarget(s, "s1"), listedTarget(s, "s2"))
	p := newPlatform(t, d)
	old := p.start()
	old.awaitReady()
	answered := make(chan string, 1)
	go func() {
		code, _, body := do(t, clientRequest(t, p.cfg.Listen, "push", "2.9"))
		answered <- fmt.Sprint(code, " ", body)
	}()
	<-failed
	next := p.start()
	next.awaitReady()
	old.end() // it waits for the requests that it has accepted
	if got := <-answered; got != "200 again" {
		t.Errorf("answered %s", got)
	}
	if n := s.requests.Load(); n != 2 {
		t.Errorf("%d attempts, want 2", n)
	}
	for n := range int64(2) {
		if key, _ := ran.Load(n + 1); key != "idem" {
			t.Errorf("attempt %d had key %v", n+1, key)
		}
	}
	next.end()
}

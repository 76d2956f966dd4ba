package proc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain lets the test binary act as the launcher, as a program that waits for
// SIGTERM, and as a supervisor that starts a process and is killed.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 4 && os.Args[1] == "launch":
		Launch(os.Args[2], os.Args[3], os.Args[4:])
		os.Exit(1)
	case len(os.Args) > 1 && os.Args[1] == "wait":
		c := make(chan os.Signal, 1)
		signal.Notify(c, syscall.SIGTERM)
		fmt.Println("waiting")
		<-c
	case len(os.Args) > 1 && os.Args[1] == "supervise":
		p, err := Start(launcher, spec(os.Args[2]), "token-1")
		if err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(p.Pid)
		os.Stdout.Sync()
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
	default:
		os.Exit(m.Run())
	}
}

var launcher = []string{"/proc/self/exe", "launch"}

func spec(dir string) Spec {
	return Spec{
		Argv: []string{os.Args[0], "wait"}, Env: os.Environ(),
		RunFile: filepath.Join(dir, "n1.run"), LogFile: filepath.Join(dir, "n1.log"),
	}
}

func start(t *testing.T, s Spec, token string) *Process {
	t.Helper()
	p, err := Start(launcher, s, token)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Signal(syscall.SIGKILL)
		<-p.Done()
		p.Release()
	})
	return p
}

func waitFor(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatalf("timed out after 20 s waiting for %s", what)
	}
}

func TestStartSignalEnd(t *testing.T) {
	s := spec(t.TempDir())
	p := start(t, s, "token-1")
	if now, err := IdentityOf(p.Pid); err != nil || now != p.Identity {
		t.Errorf("identity %+v, %v, want %+v", now, err, p.Identity)
	}
	for { // wait until the program has installed its signal handler
		if log, _ := os.ReadFile(s.LogFile); bytes.Contains(log, []byte("waiting")) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "end", p.Done())
	if p.State() != "exit status 0" {
		t.Errorf("ended with %q", p.State())
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("signalling an ended process: %v", err)
	}
	if q, err := Adopt(s.RunFile); q != nil || err != nil {
		t.Errorf("adopted %v, %v after the end", q, err)
	}
}

// A second process of an instance can't be started while one runs, even by a supervisor that
// does not know of the first.
func TestSecondStartIsRefused(t *testing.T) {
	s := spec(t.TempDir())
	p := start(t, s, "token-1")
	if q, err := Start(launcher, s, "token-2"); err == nil || !strings.Contains(err.Error(), "held by a process that runs") {
		t.Errorf("started %v, %v, want a refusal", q, err)
	}
	q, err := Adopt(s.RunFile)
	if err != nil || q == nil || q.RunRecord != p.RunRecord {
		t.Errorf("adopted %+v, %v, want the first one", q, err)
	}
	q.Release()
}

// If a supervisor is killed with SIGKILL right after a start, the next one can adopt the
// process, signal it and observe its end.
func TestAdoptAfterSupervisorKilled(t *testing.T) {
	dir := t.TempDir()
	out, err := exec.Command(os.Args[0], "supervise", dir).Output()
	if err == nil {
		t.Fatal("the supervisor was not killed")
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(out)))
	if err != nil {
		t.Fatalf("supervisor printed %q", out)
	}
	p, err := Adopt(spec(dir).RunFile)
	if err != nil || p == nil {
		t.Fatalf("adopted %v, %v", p, err)
	}
	defer p.Release()
	if p.Pid != pid || p.Token != "token-1" || !p.Adopted() {
		t.Errorf("adopted %+v, want process %d", p.RunRecord, pid)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "end of an adopted process", p.Done())
}

// lockRunFile writes a run file and locks it as a running instance does.
func lockRunFile(t *testing.T, path string, r RunRecord) {
	t.Helper()
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
}

// Process ids are reused: a process with the recorded id but another start time or boot id
// must not be adopted.
func TestReusedProcessIDs(t *testing.T) {
	self, err := IdentityOf(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(*Identity){
		"other start": func(i *Identity) { i.Start++ },
		"other boot":  func(i *Identity) { i.Boot = "00000000-0000-0000-0000-000000000000" },
		"no process":  func(i *Identity) { i.Pid = 1 << 30 },
	} {
		path := filepath.Join(t.TempDir(), "n1.run")
		r := RunRecord{"token-1", self}
		change(&r.Identity)
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if p, err := Adopt(path); p != nil || err != nil {
			t.Errorf("%s: adopted %v, %v, want no process", name, p, err)
		}
		lockRunFile(t, path, r) // the lock is held by a process other than the recorded one
		if p, err := Adopt(path); p != nil || err == nil {
			t.Errorf("%s: adopted %v, %v, want an error", name, p, err)
		}
	}
	path := filepath.Join(t.TempDir(), "n1.run")
	lockRunFile(t, path, RunRecord{"token-1", self})
	if p, err := Adopt(path); err != nil || p == nil || p.Pid != os.Getpid() {
		t.Errorf("adopted %v, %v, want this process", p, err)
	}
}

func TestStartFailures(t *testing.T) {
	s := spec(t.TempDir())
	s.Argv = []string{filepath.Join(t.TempDir(), "none")}
	if _, err := Start(launcher, s, "t"); err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("missing program: %v", err)
	}
	s = spec(t.TempDir())
	s.RunFile = filepath.Join(t.TempDir(), "no", "n1.run")
	if _, err := Start(launcher, s, "t"); err == nil || !strings.Contains(err.Error(), "n1.run") {
		t.Errorf("missing directory: %v", err)
	}
	// A truncated run file that is not locked does not prevent a start.
	s = spec(t.TempDir())
	if err := os.WriteFile(s.RunFile, []byte(`{"tok`), 0o600); err != nil {
		t.Fatal(err)
	}
	if p, err := Adopt(s.RunFile); p != nil || err != nil {
		t.Errorf("truncated run file: %v, %v", p, err)
	}
	start(t, s, "t")
}

func TestKillAll(t *testing.T) {
	dir := t.TempDir()
	p := start(t, spec(dir), "token-1")
	if err := KillAll(dir); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "end", p.Done())
}

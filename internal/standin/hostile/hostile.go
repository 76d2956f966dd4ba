// Package hostile measures what a process of the node holds and how it serves its usual clients while other clients
// behave badly: slowly, in great number, or without waiting for answers.
package hostile

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/standin"
)

// Options configure a measurement.
type Options struct {
	Node     []string      // command that starts the node
	Dir      string        // for configurations and logs; absolute, must exist
	MemoryMB int           // limit of the node's memory
	Sockets  int           // limit of its descriptors
	Cores    int           // processor cores that the node may use
	Time     time.Duration // of each load
}

// Check reports the first option that is out of range.
func (o Options) Check() error {
	switch {
	case o.MemoryMB < 1:
		return fmt.Errorf("memory of %d MB", o.MemoryMB)
	case o.Sockets < 1:
		return fmt.Errorf("%d descriptors", o.Sockets)
	case o.Cores < 1 || o.Cores > runtime.NumCPU():
		return fmt.Errorf("%d cores, this machine has %d", o.Cores, runtime.NumCPU())
	case o.Time <= 0:
		return fmt.Errorf("a time of %v", o.Time)
	}
	return nil
}

// Result is what one load did to a node.
type Result struct {
	Load      string
	Front     FrontKind
	PeakBytes int64 // peak of the resident memory
	Exceeded  bool  // the peak is over the share of the limit that may be used
	Ended     bool  // the process ended by itself
	Usual     Usual
}

// Usual is how the usual clients were served.
type Usual struct {
	Sent   int
	Served int
	Late   int // answered after their time, or not at all
	Other  int // answered in time, otherwise than served
	P50    time.Duration
	P99    time.Duration
}

// usableShare is the part of its memory limit that a node may use at most.
const usableShare = 0.9

// settle is how long the usual clients run before a load begins.
const settle = time.Second

// Run measures one load at one front.
func Run(ctx context.Context, o Options, kind FrontKind, load Load) (Result, error) {
	r := Result{Load: load.Name, Front: kind}
	servers, err := startServers()
	if err != nil {
		return r, err
	}
	defer servers.close()
	n, err := startNode(o, servers)
	if err != nil {
		return r, err
	}
	defer n.kill()
	if err := n.awaitReady(ctx); err != nil {
		return r, err
	}
	at := target{kind, n.addr[kind]}
	usualCtx, stopUsual := context.WithCancel(ctx)
	asked := at
	if kind == SIP {
		asked.addr = n.addr[Platform]
	}
	usual := startUsualClients(usualCtx, asked)
	pause(ctx, settle)
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Time)
	load.run(loadCtx, at)
	stopLoad()
	stopUsual()
	r.Usual = usual.wait()
	r.Ended = n.hasEnded()
	if r.PeakBytes, err = n.peakMemory(); err != nil && !r.Ended {
		return r, err
	}
	r.Exceeded = float64(r.PeakBytes) > usableShare*float64(o.MemoryMB<<20)
	return r, nil
}

// servers are the stand-ins for discovery and the application servers.
type servers struct {
	discovery *standin.Outlet
	all       []*http.Server
	addrs     []string
}

const numServers = 3

func startServers() (*servers, error) {
	s := &servers{}
	d := standin.NewDiscovery()
	outlet, err := d.NewPushOutlet()
	if err != nil {
		return nil, err
	}
	s.discovery = outlet
	for n := range numServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.close()
			return nil, fmt.Errorf("stand-in server: %w", err)
		}
		server := &http.Server{Handler: http.HandlerFunc(answer)}
		s.all, s.addrs = append(s.all, server), append(s.addrs, l.Addr().String())
		go server.Serve(l)
		d.Set(standin.Target{UID: fmt.Sprintf("s%d", n+1), Endpoint: l.Addr().String(), AZ: "room1", Model: "m1", State: standin.InService, CapacityHint: 2})
	}
	return s, nil
}

func (s *servers) close() {
	s.discovery.Close()
	for _, server := range s.all {
		server.Close()
	}
}

// answer reads the request's body and answers with as many bytes as the query asks for.
func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	w.Header().Set("Content-Length", strconv.Itoa(max(size, 2)))
	piece := []byte(strings.Repeat("x", 32<<10))
	for left := max(size, 2); left > 0; left -= len(piece) {
		if _, err := w.Write(piece[:min(left, len(piece))]); err != nil {
			return
		}
	}
}

// nodeProcess is the node under load.
type nodeProcess struct {
	cmd   *exec.Cmd
	addr  map[FrontKind]string
	log   string
	ended chan struct{}
}

func startNode(o Options, s *servers) (*nodeProcess, error) {
	n := &nodeProcess{addr: map[FrontKind]string{}, log: filepath.Join(o.Dir, "node.log"), ended: make(chan struct{})}
	for _, kind := range []FrontKind{Platform, Web, SIP} {
		addr, err := freeAddress()
		if err != nil {
			return nil, err
		}
		n.addr[kind] = addr
	}
	key := filepath.Join(o.Dir, "token.key")
	config, operator := filepath.Join(o.Dir, "node.json"), filepath.Join(o.Dir, "operator.toml")
	text, err := json.Marshal(nodeConfig(o, n.addr[Platform], s.discovery.Addr()))
	if err != nil {
		return nil, fmt.Errorf("node's configuration: %w", err)
	}
	if err := errors.Join(os.WriteFile(config, text, 0o600), os.WriteFile(operator, []byte(operatorFile(n.addr, s.addrs, key)), 0o600),
		os.WriteFile(key, bytes.Repeat([]byte("k"), tokenKeyBytes), 0o600)); err != nil {
		return nil, fmt.Errorf("node's configuration: %w", err)
	}
	log, err := os.Create(n.log)
	if err != nil {
		return nil, fmt.Errorf("node's log: %w", err)
	}
	defer log.Close()
	n.cmd = exec.Command(o.Node[0], append(slices.Clone(o.Node[1:]), "-operator", operator)...)
	n.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+config, "TMPDIR="+o.Dir)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := startOnCores(n.cmd, o.Cores); err != nil {
		return nil, err
	}
	go func() {
		defer close(n.ended)
		_ = n.cmd.Wait() // killed, so an error is expected
	}()
	return n, nil
}

// startOnCores starts a command that may use as many of this process's cores.
func startOnCores(cmd *exec.Cmd, cores int) error {
	runtime.LockOSThread() // a child inherits its thread's cores
	defer runtime.UnlockOSThread()
	var mine, some unix.CPUSet
	if err := unix.SchedGetaffinity(0, &mine); err != nil {
		return fmt.Errorf("cores: %w", err)
	}
	for core := 0; some.Count() < cores && core < 1024; core++ {
		if mine.IsSet(core) {
			some.Set(core)
		}
	}
	if err := unix.SchedSetaffinity(0, &some); err != nil {
		return fmt.Errorf("cores: %w", err)
	}
	defer func() { _ = unix.SchedSetaffinity(0, &mine) }() // the same set as before can't be refused
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	return nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// object is a JSON object.
type object map[string]any

func nodeConfig(o Options, listen, discovery string) object {
	return object{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "0000000000000001",
		"limits": object{"cores": float64(o.Cores), "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":  object{"rev": 0, "all": true, "targets": []any{}},
		"settings": object{
			"Classes": []object{
				{"Name": "avail-read", "DeadlineMs": 1400, "PromiseMs": 580, "Effect": "pure", "Importance": 1},
				{"Name": "booking-push", "DeadlineMs": 1900, "PromiseMs": 750, "Effect": "token", "DedupScope": "all", "KeyTtlMs": 6000, "Importance": 7},
			},
			"Balancers": 1, "RegistryMode": "pushed", "Zones": []string{"room1"},
			"Contract": object{"ColdFrom": 0.32, "ColdMs": 8800, "FallMultiple": 3, "FallMs": 1000, "MustAskInMs": 5000},
			"Limits":   object{"MaxAttempts": 4, "SecondCopies": true, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 600, "ConnIdleMs": 15000, "ConnectTimeoutMs": 250},
		},
	}
}

// tokenKeyBytes is the size of the key for SIP's tokens.
const tokenKeyBytes = 32

// operatorFile returns an operator's file with a front for ordinary HTTP and one for SIP, whose server never answers.
func operatorFile(listen map[FrontKind]string, servers []string, key string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[sip]\nudp = %q\ntcp = %q\ntoken_key = %q\n[[sip.server]]\nname = \"pbx1\"\naddress = \"127.0.0.1:9\"\n", listen[SIP], listen[SIP], key)
	fmt.Fprintf(&b, "[[web]]\nname = \"hostile\"\nlisten = %q\n", listen[Web])
	for n, addr := range servers {
		fmt.Fprintf(&b, "[[web.server]]\nname = \"s%d\"\naddress = %q\n", n+1, addr)
	}
	b.WriteString("[[web.class]]\nname = \"avail-read\"\naim = \"580ms\"\ndeadline = \"1400ms\"\n" +
		"[[web.class]]\nname = \"booking-push\"\naim = \"750ms\"\ndeadline = \"1900ms\"\n" +
		"[[web.rule]]\npath = \"/booking-push/\"\nclass = \"booking-push\"\n")
	return b.String()
}

// readyTimeout bounds the start of a node.
const readyTimeout = 10 * time.Second

func (n *nodeProcess) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for pause(ctx, 10*time.Millisecond) {
		if n.hasEnded() {
			break
		}
		resp, err := http.Get("http://" + n.addr[Platform] + "/up")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	text, _ := os.ReadFile(n.log)
	return fmt.Errorf("the node is not ready: %s", text)
}

func (n *nodeProcess) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

func (n *nodeProcess) kill() {
	_ = n.cmd.Process.Kill() // fails only if the process has ended
	<-n.ended
}

// peakMemory returns the peak of the process's resident memory (proc(5), VmHWM).
func (n *nodeProcess) peakMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("memory of the node: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("memory of the node: /proc tells no VmHWM")
}

// usualClients ask one thing after the other on connections that they keep.
type usualClients struct {
	all sync.WaitGroup

	mu     sync.Mutex
	result Usual
	took   []time.Duration
}

const (
	numUsual      = 4
	usualInterval = 50 * time.Millisecond
	usualTime     = 1400 * time.Millisecond // that they wait for an answer
	lateGrace     = 250 * time.Millisecond  // for an answer given at the end of that time
)

func startUsualClients(ctx context.Context, f target) *usualClients {
	u := &usualClients{}
	for range numUsual {
		u.all.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: usualTime + lateGrace}
			defer client.CloseIdleConnections()
			for pause(ctx, usualInterval) {
				u.ask(client, f)
			}
		})
	}
	return u
}

// ask sends one request and records how it was answered.
func (u *usualClients) ask(client *http.Client, f target) {
	id := nextID()
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/avail-read/%d", f.addr, id), nil)
	if err != nil {
		panic(err) // the address is that of a listener
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprintf("usual%d", id))
	r.Header.Set("X-Service-Class", "avail-read")
	r.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", usualTime.Seconds()))
	began := time.Now()
	resp, err := client.Do(r)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took := time.Since(began)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.result.Sent++
	u.took = append(u.took, took)
	switch {
	case err != nil:
		u.result.Late++
	case resp.StatusCode == http.StatusOK:
		u.result.Served++
	default:
		u.result.Other++
	}
}

// wait waits for the last answers and sums up.
func (u *usualClients) wait() Usual {
	u.all.Wait()
	slices.Sort(u.took)
	if n := len(u.took); n > 0 {
		u.result.P50, u.result.P99 = u.took[n/2], u.took[n*99/100]
	}
	return u.result
}

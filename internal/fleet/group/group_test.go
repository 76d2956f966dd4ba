package group_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"otterstep/internal/fleet/agent"
	"otterstep/internal/fleet/client"
	. "otterstep/internal/fleet/group" // agents import it, which these tests start
	"otterstep/internal/fleet/instance"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/instances"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host is an agent with its stand-in machine.
type host struct {
	name    string
	machine *instances.Machine
	socket  string
}

// shortTempDir returns a temporary directory with a short path, as the length of a socket's path is limited.
func shortTempDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "og")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// startHosts starts agents with the same number of instances each, numbered n1, n2 … across all agents.
func startHosts(t testing.TB, agents, each int) []*host {
	t.Helper()
	return startHostsWith(t, agents, each, func(*agent.Config) {})
}

// startHostsWith is startHosts with a change to each agent's configuration.
func startHostsWith(t testing.TB, agents, each int, change func(*agent.Config)) []*host {
	t.Helper()
	dir := shortTempDir(t)
	var hosts []*host
	last := 0
	for n := range agents {
		h := &host{name: fmt.Sprintf("m%02d", n+1), machine: instances.NewMachine()}
		h.socket = filepath.Join(dir, h.name)
		cfg := agent.Config{Name: h.name, State: filepath.Join(dir, h.name+".state"), Socket: h.socket}
		cfg.Restart.First.Duration, cfg.Restart.Most.Duration, cfg.Restart.Limit = 10*time.Millisecond, time.Second, 100
		cfg.Wait.Stop.Duration, cfg.Wait.Up.Duration, cfg.Wait.Finish.Duration = time.Second, 2*time.Second, time.Minute
		for range each {
			last++
			cfg.Instance = append(cfg.Instance, instance.Spec{
				Name: fmt.Sprint("n", last), Group: "lab", Labels: map[string]string{"half": fmt.Sprint(last % 2)},
				Program: []string{"node"}, Control: "socket", Listen: "127.0.0.1:1",
			})
		}
		change(&cfg)
		a, err := agent.New(cfg, agent.Options{Runner: h.machine.Runner(), Version: "test", FirstStart: true})
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
		hosts = append(hosts, h)
	}
	f := newFleet(t, hosts)
	for {
		l := f.List(t.Context())
		up := 0
		for _, r := range l.Rows {
			if r.State == protocol.StateUp {
				up++
			}
		}
		if up == agents*each {
			return hosts
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func newFleet(t testing.TB, hosts []*host) *Fleet {
	t.Helper()
	var agents []*client.Client
	for _, h := range hosts {
		c, err := client.New(h.name, "unix:"+h.socket, nil)
		if err != nil {
			t.Fatal(err)
		}
		agents = append(agents, c)
	}
	f := New(agents)
	t.Cleanup(f.Close)
	return f
}

var selectAll = Selector{Names: []string{"all"}}

func execute(t *testing.T, f *Fleet, o Order, timeout time.Duration) *Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	r, err := f.Execute(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func outcomes(r *Report) map[string]int {
	by := map[string]int{}
	for _, result := range r.Results {
		by[result.Outcome]++
	}
	return by
}

func TestCommandsReachTheWholeGroup(t *testing.T) {
	hosts := startHosts(t, 3, 4)
	f := newFleet(t, hosts)
	for _, kind := range []string{protocol.Restart, protocol.Reload, protocol.Drain, protocol.Start} {
		r := execute(t, f, Order{Plan: Plan{Kind: kind}, Select: selectAll}, 20*time.Second)
		if got := outcomes(r); got[Done] != 12 || len(r.Results) != 12 || len(r.Silent) != 0 || r.Conflict != nil {
			t.Fatalf("%s: %+v", kind, r)
		}
		for _, row := range f.List(t.Context()).Rows {
			if (row.State == protocol.StateUp) != (kind != protocol.Drain) || row.Holder != nil {
				t.Errorf("after %s: %+v", kind, row)
			}
		}
	}
	r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart}, Select: Selector{Labels: map[string]string{"half": "1"}}, DryRun: true}, 5*time.Second)
	if outcomes(r)[Planned] != 6 || hosts[0].machine.Starts("n1") != 3 {
		t.Errorf("dry run: %+v, %d starts", outcomes(r), hosts[0].machine.Starts("n1"))
	}
}

func TestSelections(t *testing.T) {
	l := Listing{Rows: []Row{
		{"m1", protocol.Instance{Name: "a", Group: "x", Labels: map[string]string{"zone": "1"}}},
		{"m1", protocol.Instance{Name: "b", Group: "y", Labels: map[string]string{"zone": "1"}}},
		{"m2", protocol.Instance{Name: "a", Group: "x", Labels: map[string]string{"zone": "2"}}},
	}}
	for want, s := range map[string]Selector{
		"m1/a m2/a":      {Names: []string{"a"}},
		"m2/a":           {Names: []string{"m2/a"}},
		"m1/a m1/b m2/a": {Names: []string{"all"}},
		"m1/a m1/b":      {Labels: map[string]string{"zone": "1"}},
		"m1/b":           {Group: "y", Names: []string{"all"}},
		"m1/a":           {Group: "x", Labels: map[string]string{"zone": "1"}},
	} {
		rows, err := l.Select(s)
		var got []string
		for _, r := range rows {
			got = append(got, r.Agent+"/"+r.Name)
		}
		if err != nil || strings.Join(got, " ") != want {
			t.Errorf("%+v: %v, %v, want %s", s, got, err, want)
		}
	}
	for _, s := range []Selector{{Names: []string{"a", "z"}}, {Group: "z"}, {Names: []string{"m2/b"}}} {
		if _, err := l.Select(s); !errors.Is(err, ErrNoInstances) {
			t.Errorf("%+v: %v", s, err)
		}
	}
}

// Guards against two concurrent commands both acting on the group. In 500 seeded races one wins
// entirely, or they run one after the other; the loser's report names the holder, and the loser has
// started nothing; all instances end with the same desired state, and no command hangs.
func TestConcurrentCommands(t *testing.T) {
	t.Parallel()
	hosts := startHosts(t, 3, 2)
	races := 500
	if testing.Short() {
		races = 50
	}
	one, two := newFleet(t, hosts), newFleet(t, hosts)
	lost := 0
	for seed := range uint64(races) {
		rng := rand.New(rand.NewPCG(seed, 4))
		kinds := [2]string{protocol.Restart, protocol.Drain}
		if rng.IntN(2) == 0 {
			kinds = [2]string{protocol.Start, protocol.Drain}
		}
		rolls := rng.IntN(100) == 0
		if rolls {
			kinds = [2]string{protocol.Restart, protocol.Restart}
		}
		var reports [2]*Report
		var both sync.WaitGroup
		began := time.Now()
		for n, f := range []*Fleet{one, two} {
			delay := time.Duration(rng.IntN(3)) * time.Millisecond
			order := Order{Plan: Plan{Kind: kinds[n]}, Select: selectAll}
			if rolls {
				order.MaxUnavailable = 2
			}
			both.Go(func() {
				time.Sleep(delay) // varies the order of the commands
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				r, err := f.Execute(ctx, order)
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				reports[n] = r
			})
		}
		both.Wait()
		if t.Failed() {
			return
		}
		if took := time.Since(began); took > 20*time.Second {
			t.Fatalf("seed %d: %v", seed, took)
		}
		won := 0
		for n, r := range reports {
			by := outcomes(r)
			switch {
			case r.Conflict != nil:
				lost++
				if r.Holder == nil || r.Holder.Operator == "" || r.Holder.Since.IsZero() || by[Done]+by[Failed]+by[NoAnswer] > 0 {
					t.Fatalf("seed %d: the loser's report: %+v", seed, r)
				}
				for _, c := range commandsOf(t, one, r.ID) {
					if len(c.Operations) > 0 {
						t.Fatalf("seed %d: the loser started an operation: %+v", seed, c)
					}
				}
			case by[Done] == 6 || kinds[n] == protocol.Restart && rolls && by[Done]+by[Skipped] == 6:
				won++
			default:
				t.Fatalf("seed %d: neither won nor lost: %+v", seed, r)
			}
		}
		if won == 0 {
			t.Fatalf("seed %d: nobody won: %+v, %+v", seed, reports[0].Conflict, reports[1].Conflict)
		}
		desired := map[string]int{}
		for _, row := range one.List(t.Context()).Rows {
			desired[row.Desired]++
			if row.Holder != nil || row.Operation != "" {
				t.Fatalf("seed %d: lease or operation left: %+v", seed, row)
			}
		}
		if len(desired) != 1 {
			t.Fatalf("seed %d: desired states differ: %v", seed, desired)
		}
		for _, h := range hosts {
			if twice := h.machine.StartedTwice(); len(twice) > 0 {
				t.Fatalf("seed %d: %v ran twice", seed, twice)
			}
		}
	}
	if lost < races/4 {
		t.Errorf("only %d of %d races had a loser", lost, races)
	}
}

func commandsOf(t *testing.T, f *Fleet, id string) []Part {
	t.Helper()
	parts, silent := f.Command(t.Context(), id)
	if len(silent) > 0 {
		t.Fatal(silent)
	}
	return parts
}

// startFaultyAgent listens in place of an agent and handles each connection with serve.
func startFaultyAgent(t *testing.T, name string, serve func(net.Conn)) *host {
	t.Helper()
	h := &host{name: name, socket: filepath.Join(shortTempDir(t), name)}
	l, err := net.Listen("unix", h.socket)
	if err != nil {
		t.Fatal(err)
	}
	var conns sync.WaitGroup
	done := make(chan struct{})
	conns.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer c.Close()
				stop := context.AfterFunc(t.Context(), func() { c.Close() })
				defer stop()
				serve(c)
			})
		}
	})
	t.Cleanup(func() {
		close(done)
		l.Close()
		conns.Wait()
	})
	return h
}

// Guards against faulty agents blocking a command: with one of ten agents hanging, one refusing
// connections and one answering garbage, the command ends within its time-out, is done at the other
// seven, and names the three.
func TestSomeAgentsDoNotAnswer(t *testing.T) {
	t.Parallel()
	hosts := startHosts(t, 7, 2)
	hosts = append(hosts,
		startFaultyAgent(t, "m00-hangs", func(c net.Conn) { io.Copy(io.Discard, c) }),
		startFaultyAgent(t, "m03-garbage", func(c net.Conn) {
			c.Read(make([]byte, 4096))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n\x00\xff{{{{not json at all")
		}),
		&host{name: "m99-refuses", socket: filepath.Join(shortTempDir(t), "none")},
	)
	f := newFleet(t, hosts)
	timeout := 4 * time.Second
	began := time.Now()
	r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart}, Select: selectAll}, timeout)
	if took := time.Since(began); took > timeout+ReleaseTimeout {
		t.Errorf("took %v, want at most %v", took, timeout)
	}
	if outcomes(r)[Done] != 14 {
		t.Errorf("outcomes %v, want 14 done", outcomes(r))
	}
	var named []string
	for _, s := range r.Silent {
		named = append(named, s.Agent)
		if s.Reason == "" || s.Agent == "m00-hangs" && s.Waited < timeout/ListTimeShare/2 {
			t.Errorf("%+v, want why, and how long it was waited for", s)
		}
	}
	if !slices.Equal(named, []string{"m00-hangs", "m03-garbage", "m99-refuses"}) {
		t.Errorf("did not answer: %v", named)
	}
}

// Guards against agents that hang using up the time needed to inspect or resume the others.
func TestHangingAgentsLeaveTime(t *testing.T) {
	t.Parallel()
	hosts := startHosts(t, 1, 2)
	done := execute(t, newFleet(t, hosts), Order{Plan: Plan{Kind: protocol.Reload}, Select: selectAll}, 5*time.Second)
	hosts = append(hosts, startFaultyAgent(t, "m00-hangs", func(c net.Conn) { io.Copy(io.Discard, c) }))
	f := newFleet(t, hosts)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	l := f.ListForSelection(ctx)
	for _, i := range f.Inspect(ctx, l.Rows) {
		if i.Inspection == nil {
			t.Errorf("%s: %s", i.Name, i.Err)
		}
	}
	if len(l.Rows) != 2 || len(l.Silent) != 1 {
		t.Errorf("%+v", l)
	}
	r := execute(t, f, Order{Resume: done.ID}, 6*time.Second)
	if outcomes(r)[Done] != 2 {
		t.Errorf("resumed: %+v", r)
	}
}

// Guards against an agent that hangs after it was listed failing the instances of others.
func TestAgentHangsAfterListing(t *testing.T) {
	t.Parallel()
	hosts := startHosts(t, 4, 1)
	var hang atomic.Bool
	hosts[1] = startProxy(t, hosts[1], func(w http.ResponseWriter, r *http.Request, pass func(http.ResponseWriter)) {
		if r.Method == http.MethodPost {
			hang.Store(true)
		}
		if hang.Load() {
			io.Copy(io.Discard, r.Body) // otherwise the end of the connection is not detected
			<-r.Context().Done()
			return
		}
		pass(w)
	})
	f := newFleet(t, hosts)
	began := time.Now()
	r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart}, Select: selectAll}, 4*time.Second)
	if took := time.Since(began); took > 4*time.Second+ReleaseTimeout {
		t.Errorf("took %v", took)
	}
	if by := outcomes(r); by[Done] != 3 || by[NoAnswer] != 1 {
		t.Errorf("outcomes %v", by)
	}
}

// startProxy starts a proxy in front of an agent.
func startProxy(t *testing.T, h *host, handle func(w http.ResponseWriter, r *http.Request, pass func(http.ResponseWriter))) *host {
	t.Helper()
	socket := filepath.Join(shortTempDir(t), "front")
	l, err := net.Listen("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	target, err := url.Parse("http://agent")
	if err != nil {
		t.Fatal(err)
	}
	p := httputil.NewSingleHostReverseProxy(target)
	p.Transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return net.Dial("unix", h.socket) }}
	p.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handle(w, r, func(w http.ResponseWriter) { p.ServeHTTP(w, r) })
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close(); p.Transport.(*http.Transport).CloseIdleConnections() })
	return &host{name: h.name, machine: h.machine, socket: socket}
}

// discardResponse is a response writer that discards the answer.
type discardResponse struct{ header http.Header }

func (n discardResponse) Header() http.Header         { return n.header }
func (n discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (n discardResponse) WriteHeader(int)             {}

// Guards against a lost answer causing a second restart: the first answer to each call that
// starts an operation is lost, the tool retries, and each instance is restarted once.
func TestLostAnswersActOnce(t *testing.T) {
	hosts := startHosts(t, 2, 2)
	var lost sync.Map
	for n := range hosts {
		hosts[n] = startProxy(t, hosts[n], func(w http.ResponseWriter, r *http.Request, pass func(http.ResponseWriter)) {
			if _, again := lost.LoadOrStore(r.URL.Path, true); !again && r.Method == http.MethodPost && strings.Contains(r.URL.Path, "/run/") {
				pass(discardResponse{http.Header{}})
				panic(http.ErrAbortHandler)
			}
			pass(w)
		})
	}
	f := newFleet(t, hosts)
	r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart}, Select: selectAll}, 20*time.Second)
	if outcomes(r)[Done] != 4 {
		t.Errorf("outcomes %v: %+v", outcomes(r), r.Results)
	}
	for n, h := range hosts {
		for i := range 2 {
			if name := fmt.Sprint("n", 2*n+i+1); h.machine.Starts(name) != 2 {
				t.Errorf("%s was started %d times, want 2", name, h.machine.Starts(name))
			}
		}
	}
}

// A rollout restarts all instances with no more than the allowed number unavailable, skips
// drained ones, and stops when an instance fails to come up or the group's failures rise.
func TestRollout(t *testing.T) {
	t.Run("all come back", func(t *testing.T) {
		t.Parallel()
		hosts := startHosts(t, 2, 3)
		f := newFleet(t, hosts)
		execute(t, f, Order{Plan: Plan{Kind: protocol.Drain}, Select: Selector{Names: []string{"n6"}}}, 10*time.Second)
		r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart, MaxUnavailable: 2}, Select: Selector{Names: []string{"all"}}}, 30*time.Second)
		if by := outcomes(r); r.Stopped != "" || by[Done] != 5 || by[Skipped] != 1 {
			t.Errorf("%+v", r)
		}
		if hosts[1].machine.Running("n6") != "" {
			t.Error("a drained instance was started")
		}
	})
	t.Run("one does not come back", func(t *testing.T) {
		t.Parallel()
		hosts := startHosts(t, 2, 3)
		f := newFleet(t, hosts)
		hosts[0].machine.FailStarts("n2", errors.New("no such program"))
		r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart, MaxUnavailable: 1}, Select: selectAll}, 30*time.Second)
		if by := outcomes(r); by[Done] != 1 || by[Failed] != 1 || by[Skipped] != 4 || !strings.Contains(r.Stopped, "m01/n2 did not come back") {
			t.Errorf("%v, stopped %q", outcomes(r), r.Stopped)
		}
		for _, name := range []string{"n4", "n5", "n6"} {
			if hosts[1].machine.Starts(name) != 1 {
				t.Errorf("%s was restarted", name)
			}
		}
		// Repaired and resumed: finished instances are not restarted again, the rest are.
		hosts[0].machine.FailStarts("n2", nil)
		before := hosts[0].machine.Starts("n1")
		again := execute(t, f, Order{Resume: r.ID}, 30*time.Second)
		if by := outcomes(again); by[Done] != 6 || again.Stopped != "" || again.ID != r.ID {
			t.Errorf("resumed: %v, %+v", by, again)
		}
		if hosts[0].machine.Starts("n1") != before || hosts[1].machine.Starts("n6") != 2 {
			t.Errorf("resumed: n1 started %d times more, n6 %d times in all", hosts[0].machine.Starts("n1")-before, hosts[1].machine.Starts("n6"))
		}
	})
	t.Run("failures rise", func(t *testing.T) {
		t.Parallel()
		hosts := startHosts(t, 1, 6)
		f := newFleet(t, hosts)
		m := hosts[0].machine
		m.SetCounts("n1", map[string]int64{"served": 1000, "failed": 0})
		ctx, cancel := context.WithCancel(t.Context())
		var answering sync.WaitGroup
		answering.Go(func() { // n1's failures rise once n2 has been restarted
			served, failed := int64(1000), int64(0)
			for every := time.NewTicker(20 * time.Millisecond); ; {
				select {
				case <-every.C:
				case <-ctx.Done():
					every.Stop()
					return
				}
				if served += 10; m.Starts("n2") > 1 {
					failed += 10
				}
				m.SetCounts("n1", map[string]int64{"served": served, "failed": failed})
			}
		})
		r := execute(t, f, Order{Plan: Plan{Kind: protocol.Restart, MaxUnavailable: 1, Pause: 1500 * time.Millisecond}, Select: Selector{Names: []string{"n2", "n3", "n4", "n5", "n6", "n1"}}}, 60*time.Second)
		cancel()
		answering.Wait()
		if by := outcomes(r); !strings.Contains(r.Stopped, "failed answers rose") || by[Skipped] == 0 {
			t.Errorf("%v, stopped %q", by, r.Stopped)
		}
	})
}

// Guards against a dead tool blocking its instances: the operation that it started ends, the other
// instances are not restarted, and its lease expires.
func TestToolDiesDuringARollout(t *testing.T) {
	t.Parallel()
	hosts := startHosts(t, 1, 4)
	dead, alive := newFleet(t, hosts), newFleet(t, hosts)
	ctx, cancel := context.WithCancel(t.Context())
	rows := dead.List(ctx).Rows
	id := protocol.NewID(time.Now(), 1)
	request := protocol.CommandRequest{ID: id, Kind: protocol.Restart}
	for _, r := range rows {
		request.Instances = append(request.Instances, protocol.InstanceGeneration{Name: r.Name, Generation: r.Generation})
	}
	if _, err := dead.Clients()[0].Open(ctx, request); err != nil {
		t.Fatal(err)
	}
	if _, err := dead.Clients()[0].Run(ctx, id, "n1"); err != nil {
		t.Fatal(err)
	}
	cancel()
	r := execute(t, alive, Order{Plan: Plan{Kind: protocol.Drain}, Select: Selector{Names: []string{"n4"}}}, 5*time.Second)
	if r.Conflict == nil || r.Holder == nil || r.Holder.Command != id {
		t.Fatalf("while the lease lasts: %+v", r)
	}
	for until := time.Now().Add(3 * protocol.LeaseDuration); ; time.Sleep(100 * time.Millisecond) {
		r = execute(t, alive, Order{Plan: Plan{Kind: protocol.Drain}, Select: Selector{Names: []string{"n4"}}}, 5*time.Second)
		if r.Conflict == nil {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the lease does not end")
		}
	}
	parts := commandsOf(t, alive, id)
	if len(parts) != 1 || parts[0].State != protocol.Expired || parts[0].Operations[0].State != protocol.Done || len(parts[0].Operations) != 1 {
		t.Errorf("%+v", parts)
	}
	if hosts[0].machine.Starts("n2") != 1 || hosts[0].machine.Starts("n1") != 2 {
		t.Error("want n1 restarted and n2 not restarted")
	}
}

func TestFleetFileIsChecked(t *testing.T) {
	if f, err := Load("../../../deploy/fleet.toml"); err != nil || len(f.Clients()) != 1 {
		t.Errorf("the example: %v", err)
	}
	path := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(path, []byte("[[agent]]\nname = \"a\"\naddress = \"http://x\"\n[[agent]]\nname = \"a\"\naddress = \"unix:/s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	for _, want := range []string{":3: agent[1].address:", ":5: agent[2].name: \"a\" is given twice"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %q: %v", want, err)
		}
	}
}

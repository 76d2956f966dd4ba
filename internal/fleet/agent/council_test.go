package agent

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/instances"
)

// forwarder is a TCP proxy whose address is known before its agent listens.
type forwarder struct {
	net.Listener
	mu     sync.Mutex
	target string
}

func newForwarder(t *testing.T) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &forwarder{Listener: l}
	var work sync.WaitGroup
	t.Cleanup(func() { l.Close(); work.Wait() })
	work.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			to := d.target
			d.mu.Unlock()
			work.Go(func() {
				defer in.Close()
				out, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer out.Close()
				work.Go(func() { io.Copy(out, in); out.Close(); in.Close() })
				io.Copy(in, out)
			})
		}
	})
	return d
}

// Handle implements slog.Handler. It takes the agent's address from its log.
func (d *forwarder) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "listening" {
		r.Attrs(func(a slog.Attr) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.target = a.Value.String()
			return false
		})
	}
	return nil
}

func (d *forwarder) Enabled(context.Context, slog.Level) bool { return true }
func (d *forwarder) WithAttrs([]slog.Attr) slog.Handler       { return d }
func (d *forwarder) WithGroup(string) slog.Handler            { return d }

// Three agents form a council over mutual TLS; and each role is permitted exactly the requests
// that it should be.
func TestCouncilOverTLS(t *testing.T) {
	now := time.Now()
	dir := newAuthority(t, now)
	names := []string{"m1", "m2", "m3"}
	for _, name := range names[1:] {
		if err := pki.Issue(dir, pki.Request{Name: name, Role: pki.Agent, Hosts: []string{"127.0.0.1"}, ValidFor: time.Hour}, now); err != nil {
			t.Fatal(err)
		}
	}
	forwarders := map[string]*forwarder{}
	table := &Council{Cluster: "fleet", Voters: names}
	table.Lease.Duration = 2 * time.Second
	for _, name := range names {
		forwarders[name] = newForwarder(t)
		table.Agent = append(table.Agent, struct {
			Name    string `toml:"name"`
			Address string `toml:"address"`
		}{name, "https://" + forwarders[name].Addr().String()})
	}
	for _, name := range names {
		cfg := newFixture(t).cfg
		cfg.Name, cfg.Listen, cfg.Council = name, "127.0.0.1:0", table
		cfg.TLS.CA, cfg.TLS.Cert, cfg.TLS.Key = filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
		a, err := New(cfg, Options{Runner: instances.NewMachine().Runner(), FirstStart: true, Log: slog.New(forwarders[name])})
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
	}
	at := func(agent, who string) *client.Client {
		return clientAs(t, forwarders[agent].Addr().String(), dir, dir, who)
	}
	ada, vera := at("m1", "ada"), at("m1", "vera")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for {
		s, err := ada.CouncilStatus(ctx)
		if err == nil && len(s.Members) == 3 && !slices.ContainsFunc(s.Members, func(m duty.Member) bool { return !m.Votes }) {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("no council: %+v, %v", s, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	code := func(err error) string {
		var e *protocol.Error
		if !errors.As(err, &e) {
			return ""
		}
		return e.Code
	}
	job := func() duty.Command {
		return duty.Command{FormatVersion: duty.FormatVersion, Submit: &duty.Job{
			ID: protocol.NewID(now, 1), Kind: protocol.Restart, MaxUnavailable: 1, Operator: "somebody else",
			Targets: []duty.Target{{Agent: "m1", Instance: "a"}},
		}}
	}
	fence := protocol.Fence{Duty: "x", Token: 1}
	peer := at("m1", "m2")
	_, viewerSubmits := vera.CouncilSubmit(ctx, job(), false)
	_, operatorRaises := ada.RaiseToken(ctx, fence)
	_, operatorAcquires := ada.CouncilSubmit(ctx, duty.Command{FormatVersion: duty.FormatVersion, Acquire: &duty.Acquire{Duty: "x", Owner: "ada"}}, false)
	_, operatorFences := ada.Instances(client.WithFence(ctx, fence))
	newer := job()
	newer.FormatVersion++
	_, newerForm := ada.CouncilSubmit(ctx, newer, false)
	_, peerOrders := peer.Open(ctx, protocol.CommandRequest{ID: protocol.NewID(now, 2), Kind: protocol.Drain, Instances: []protocol.InstanceGeneration{{Name: "a"}}})
	_, bodyOnly := peer.Open(ctx, protocol.CommandRequest{ID: protocol.NewID(now, 2), Kind: protocol.Drain, Fence: &fence, OnBehalf: "ada", Instances: []protocol.InstanceGeneration{{Name: "a"}}})
	_, noOperator := peer.Open(client.WithFence(ctx, fence), protocol.CommandRequest{ID: protocol.NewID(now, 2), Kind: protocol.Drain, Fence: &fence, Instances: []protocol.InstanceGeneration{{Name: "a"}}})
	status, err := peer.CouncilStatus(ctx)
	if err != nil {
		t.Fatal(err)
	}
	hello := duty.Hello{Cluster: "fleet", From: "m2/x", To: status.Server}
	stream := func(c *client.Client, change func(*duty.Hello)) error {
		h := hello
		change(&h)
		conn, err := c.CouncilStream(ctx, h)
		if err == nil {
			conn.Close()
		}
		return err
	}
	for name, c := range map[string]struct {
		err  error
		code string
	}{
		"a viewer submits a job":                 {viewerSubmits, protocol.CodeForbidden},
		"an operator raises a token":             {operatorRaises, protocol.CodeForbidden},
		"an operator takes a duty":               {operatorAcquires, protocol.CodeForbidden},
		"an operator reads with a fence":         {operatorFences, ""},
		"an agent orders without a duty":         {peerOrders, protocol.CodeForbidden},
		"an agent's fence in the body alone":     {bodyOnly, protocol.CodeForbidden},
		"an agent's order for nobody":            {noOperator, protocol.CodeUsage},
		"a command of a newer form":              {newerForm, protocol.CodeVersion},
		"a stream in another's name":             {stream(peer, func(h *duty.Hello) { h.From = "m3/x" }), protocol.CodeForbidden},
		"a stream of an operator":                {stream(ada, func(*duty.Hello) {}), protocol.CodeForbidden},
		"a stream of another fleet":              {stream(peer, func(h *duty.Hello) { h.Cluster = "other" }), protocol.CodeForbidden},
		"a stream of another council":            {stream(peer, func(h *duty.Hello) { h.CouncilID = "other" }), protocol.CodeForbidden},
		"a stream to a folder that is not there": {stream(peer, func(h *duty.Hello) { h.To = "m1/gone" }), protocol.CodeForbidden},
		"a stream":                               {stream(peer, func(*duty.Hello) {}), ""},
	} {
		if code(c.err) != c.code || c.code == "" && c.err != nil {
			t.Errorf("%s: %v, want %q", name, c.err, c.code)
		}
	}
	// A job's operator is the name in the certificate, at whichever agent it is submitted.
	a, err := at("m2", "ada").CouncilSubmit(ctx, job(), false)
	if err != nil || a.Job == nil || a.Job.Operator != "ada" {
		t.Errorf("%+v, %v", a, err)
	}
}

// All errors in the [council] table are reported together, each with its line.
func TestCouncilTableIsChecked(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "agent.toml")
	for name, c := range map[string]struct {
		table string
		want  []string
	}{
		"two voters":  {"cluster = \"a\"\nvoters = [\"m1\", \"m2\"]\n", []string{":6: council.voters: 2 voters: 3 or 5 are needed"}},
		"four voters": {"cluster = \"a\"\nvoters = [\"m1\", \"m2\", \"m3\", \"m4\"]\n", []string{"4 voters"}},
		"unlisted":    {"cluster = \"a\"\nvoters = [\"m1\", \"m2\", \"m9\"]\n", []string{`:6: council.voters: "m9" is not among council.agent`}},
		"all else": {"cluster = \"a b\"\nvoters = [\"m1\", \"m1\", \"m3\"]\nlease = \"10ms\"\nlese = 1\n", []string{
			":5: council.cluster:", `"m1" is named twice`, ":7: council.lease: 10ms", ":8: council.lese: unknown key, did you mean council.lease?",
		}},
	} {
		text := "name = \"m0\"\nstate = \"s\"\nsocket = \"s.sock\"\n[council]\n" + c.table +
			"[[council.agent]]\nname = \"m1\"\naddress = \"unix:m1.sock\"\n[[council.agent]]\nname = \"m1\"\naddress = \"ftp://x\"\n[[council.agent]]\nname = \"m2\"\naddress = \"https://127.0.0.1:1\"\n"
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadConfig(path)
		for _, want := range append(c.want, `council.agent: "m0", which is this agent, is not among them`, `council.agent[2].name: "m1" is given twice`, "council.agent[2].address:", "council.agent[3].address: https://127.0.0.1:1 needs tls.ca") {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%s: lacks %q in\n%v", name, want, err)
			}
		}
	}
}

// The same for the [fleet] table, which requires a council.
func TestFleetTableIsChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "agent.toml")
	text := "name = \"m0\"\nstate = \"s\"\nsocket = \"s.sock\"\n[fleet]\n[[fleet.program]]\nname = \"v 2\"\n[[fleet.program]]\nname = \"v1\"\ncommand = [\"x\"]\n[[fleet.program]]\nname = \"v1\"\ncomand = [\"x\"]\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadConfig(path)
	for _, want := range []string{
		":4: fleet: there is no [council]", `:6: fleet.program[1].name: "v 2" is not a valid name`, "fleet.program[1].command: none given",
		`:11: fleet.program[3].name: "v1" is given twice`, "did you mean fleet.program.command?",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %q in\n%v", want, err)
		}
	}
}

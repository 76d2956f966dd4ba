package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterstep/internal/experiment"
	"otterstep/internal/node"
	"otterstep/internal/rulecheck"
	"otterstep/internal/standin"
)

const experimentText = `about = "A box hangs, another fails half, a third drains and one is listed by turns."
for = "7s"
warm = "1s"
[fleet]
nodes = 2
servers = 6
zones = 2
[load]
rate = 80.0
tenants = 3
tries = 2
[[class]]
name = "read"
share = 0.7
effect = "safe"
aim = "400ms"
deadline = "2s"
service = "25ms"
spread = 0.4
[[class]]
name = "rate"
share = 0.2
effect = "keyed"
aim = "500ms"
deadline = "2s"
window = "10s"
service = "25ms"
spread = 0.4
[[class]]
name = "booking"
share = 0.1
effect = "unsafe"
aim = "500ms"
deadline = "2s"
worth = 5.0
service = "40ms"
spread = 0.4
[[fault]]
at = "2s"
for = "2s"
what = "hang"
servers = [0]
[[fault]]
at = "2500ms"
for = "2s"
what = "fail"
amount = 0.5
servers = [1]
[[fault]]
at = "3s"
for = "2s"
what = "drain"
servers = [2]
[[fault]]
at = "3s"
for = "2s"
what = "flap"
amount = 0.3
servers = [3]
[[fault]]
at = "5s"
for = "500ms"
what = "discovery"
[hold]
within = 0.9
`

func loadExperiment(t *testing.T, text string) *experiment.Experiment {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	x, err := experiment.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// An experiment has similar results in the simulator and on real sockets: the share of requests served within the aim,
// and the latencies.
func TestSimulatedAgainstReal(t *testing.T) {
	x := loadExperiment(t, experimentText)
	simulated, err := x.Run(t.Context(), 1, 3)
	if err != nil {
		t.Fatal(err)
	}
	onSockets, err := RunExperiment(t.Context(), x, testOptions(t.TempDir()), 1)
	if err != nil {
		t.Fatal(err)
	}
	r := onSockets.Results
	if len(r.Broken) > 0 || r.Ends["lost"] > 0 {
		t.Errorf("on sockets: broken %v, %s; %v", r.Broken, r.First, r.Ends)
	}
	if r.Counted < 300 || r.Attempts < r.Counted {
		t.Errorf("on sockets: %d counted, %d attempts", r.Counted, r.Attempts)
	}
	// The tolerances are wider than those of otterlab experiment match, as the test runs under the race detector, on two
	// cores and beside other tests.
	m := experiment.CompareModes(simulated, []experiment.Run{onSockets})
	if d := m.Real.Share - m.Simulated.Share; d < -0.05 || d > 0.05 {
		t.Errorf("within the aim: %.4f simulated, %.4f on sockets", m.Simulated.Share, m.Real.Share)
	}
	if f := float64(m.Real.P50) / float64(m.Simulated.P50); f < 0.6 || f > 2.5 {
		t.Errorf("p50: %v simulated, %v on sockets", m.Simulated.P50, m.Real.P50)
	}
	if f := float64(m.Real.P99) / float64(m.Simulated.P99); f < 0.2 || f > 5 {
		t.Errorf("p99: %v simulated, %v on sockets", m.Simulated.P99, m.Real.P99)
	}
}

// faultyNode is a node with defects: it keeps the first list of servers that it received and ignores later ones, sends
// all requests to the first server of it, unsafe ones twice, and answers keyed ones twice.
func faultyNode(ctx context.Context) error {
	cfg, err := node.LoadConfig(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	var list struct{ Targets []standin.Target }
	fetchList := func() error {
		resp, err := http.Get("http://" + cfg.Discovery + "/discovery/hosts")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if list.Targets != nil {
			return nil
		}
		return json.NewDecoder(resp.Body).Decode(&list)
	}
	if err := fetchList(); err != nil {
		return err
	}
	forward := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(&url.URL{Scheme: "http", Host: list.Targets[0].Endpoint})
	}}
	s := &http.Server{Addr: cfg.Listen, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		send := func(w http.ResponseWriter) {
			r := r.Clone(r.Context())
			r.Body = io.NopCloser(bytes.NewReader(body))
			forward.ServeHTTP(w, r)
		}
		if strings.HasPrefix(r.URL.Path, "/booking/") {
			send(httptest.NewRecorder())
		}
		if !strings.HasPrefix(r.URL.Path, "/rate/") {
			send(w)
			return
		}
		answer := httptest.NewRecorder()
		send(answer)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		var text bytes.Buffer
		one := answer.Result()
		one.ContentLength = int64(answer.Body.Len())
		if one.Write(&text) == nil {
			_, _ = conn.Write(bytes.Repeat(text.Bytes(), 2)) // fails if the client has disconnected
		}
	})}
	go s.ListenAndServe()
	for every := time.NewTicker(100 * time.Millisecond); ; {
		select {
		case <-every.C:
			if err := fetchList(); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.Close()
		}
	}
}

// Checks the checker: it has to detect the defects of a node on real sockets as in the simulator.
func TestCheckerDetectsFaultyNode(t *testing.T) {
	t.Parallel()
	withoutFaults, _, _ := strings.Cut(strings.Replace(experimentText, "for = \"7s\"", "for = \"4s\"", 1), "[[fault]]")
	for name, c := range map[string]struct {
		text string
		want []rulecheck.Violation
	}{
		"drain": {
			strings.Replace(withoutFaults, "rate = 80.0", "rate = 40.0", 1) + "[[fault]]\nat = \"1500ms\"\nwhat = \"drain\"\nservers = [0]\n",
			[]rulecheck.Violation{rulecheck.RanTwice, rulecheck.AfterDrain, rulecheck.SecondAnswer},
		},
		"cold": {
			strings.NewReplacer("rate = 80.0", "rate = 150.0", "zones = 2", "zones = 2\ncold = true").Replace(withoutFaults),
			[]rulecheck.Violation{rulecheck.PushedOver},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opt := testOptions(t.TempDir())
			reserveSlot(t, opt.Rate)
			opt.NodeEnv = map[string]string{"OTTERLAB_ROLE": "faulty-node"}
			r, err := RunExperiment(t.Context(), loadExperiment(t, c.text), opt, 1)
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range c.want {
				if r.Results.Broken[b] == 0 || len(r.Failed) == 0 {
					t.Errorf("not detected: %s; %v", b, r.Results.Broken)
				}
			}
		})
	}
}

// An experiment that needs features that real sockets do not support is rejected before any process starts.
func TestUnsupportedExperimentIsRejected(t *testing.T) {
	text := strings.Replace(experimentText, "what = \"hang\"", "what = \"mute\"", 1)
	text = strings.Replace(text, "rate = 80.0", "rate = 80000.0\nbursts = true", 1)
	_, err := RunExperiment(t.Context(), loadExperiment(t, text), Options{}, 1)
	if err == nil {
		t.Fatal("the experiment was accepted")
	}
	for _, want := range []string{"fault[1]: mute", "80000 requests a second", "load.bursts"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in %v", want, err)
		}
	}
}

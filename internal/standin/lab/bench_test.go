package lab

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/fleet/proc"
)

// BenchmarkCrash measures the time from the SIGKILL of an instance until it answers /up again: under an agent, whose
// first restart delay is 200 ms, and under an endless shell loop, which has neither delay nor limit.
func BenchmarkCrash(b *testing.B) {
	opt := testOptions(b.TempDir())
	opt.Instances, opt.Agents, opt.Rate = 1, 1, 0
	l, err := New(b.Context(), opt)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(l.Close)
	i := l.Instances[0]
	up := func() bool {
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(must2(http.NewRequest(http.MethodGet, "http://"+i.Addr+"/up", nil)))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	await := func(b *testing.B, want bool) {
		for until := time.Now().Add(startTimeout); up() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				b.Fatalf("up is not %v after %v", want, startTimeout)
			}
		}
	}
	measure := func(b *testing.B, kill, between func()) {
		var times []time.Duration
		for b.Loop() {
			began := time.Now()
			kill()
			await(b, false)
			await(b, true)
			times = append(times, time.Since(began))
			between()
		}
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2])/1e6, "p50-ms")
		b.ReportMetric(float64(times[len(times)-1])/1e6, "most-ms")
	}
	b.Run("agent", func(b *testing.B) {
		measure(b, func() {
			p, err := proc.Adopt(i.RunFile)
			if err != nil || p == nil {
				b.Fatal(p, err)
			}
			defer p.Release()
			p.Signal(syscall.SIGKILL)
			<-p.Done()
		}, func() { // a restart by command resets the agent's restart delay, so that delays don't grow
			if err := l.RestartAll(b.Context(), 1, nil); err != nil {
				b.Fatal(err)
			}
		})
	})
	l.agents[0].kill()
	l.killInstances()
	b.Run("shell loop", func(b *testing.B) {
		pid := filepath.Join(opt.Dir, "pid")
		cmd := exec.Command("/bin/sh", "-c", fmt.Sprintf("while :; do %s -operator %s & echo $! >%s.new; mv %s.new %s; wait; done",
			os.Args[0], filepath.Join(opt.Dir, "n1.toml"), pid, pid, pid))
		cmd.Env = append(os.Environ(), "OTTERLAB_ROLE=node", "PROXY_CONFIG="+i.Config)
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		if err := cmd.Start(); err != nil {
			b.Fatal(err)
		}
		defer func() {
			syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
			cmd.Wait()
		}()
		await(b, true)
		measure(b, func() {
			text, err := os.ReadFile(pid)
			if err != nil {
				b.Fatal(err)
			}
			var id int
			if _, err := fmt.Sscan(string(text), &id); err != nil {
				b.Fatal(err)
			}
			syscall.Kill(id, syscall.SIGKILL)
		}, func() {})
	})
}

func must2[T any](v T, err error) T {
	must(err)
	return v
}

package lab

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/standin"
)

// readyTimeout is the time in which nine in ten of the restarted processes have to be ready.
const readyTimeout = 10 * time.Second

// Thirty processes are killed at once and restarted while discovery is down or overloaded. Nine in ten are ready within
// 10 s, they serve meanwhile, and serve as before once discovery is back. The test runs in real time, as it starts
// processes.
//
// It is skipped with -short and does not run in parallel: thirty starting processes would delay the renewal of leases
// in other tests.
func TestThirtyProcessesAreReadyInTime(t *testing.T) {
	skipIfShort(t)
	for name, fault := range map[string]func(w *testFleet){
		"discovery away":       func(w *testFleet) { w.Discovery.SetDown(true) },
		"discovery overbooked": func(w *testFleet) { w.Discovery.RejectAllButOneIn(3) },
	} {
		t.Run(name, func(t *testing.T) {
			w := restartLab(t, func(o *Options) {
				o.Instances, o.Rate, o.Pull = 30, 40, name != "discovery away"
			})
			w.waitForServedShare(0.8)
			fault(w)
			w.killAll()
			began := time.Now()
			w.startAll()
			var ready atomic.Int64
			var all sync.WaitGroup
			for _, i := range w.Instances {
				all.Go(func() {
					for time.Since(began) < readyTimeout {
						resp, err := http.Get("http://" + i.Addr + "/up")
						if err == nil {
							resp.Body.Close()
							if resp.StatusCode == http.StatusOK {
								ready.Add(1)
								return
							}
						}
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			all.Wait()
			t.Logf("%d of 30 ready after %v", ready.Load(), time.Since(began))
			if ready.Load() < 27 {
				t.Errorf("%d of 30 processes were ready within %v, want at least 27", ready.Load(), readyTimeout)
			}
			w.waitForServedShare(0.25) // boxes that discovery has not confirmed get only the load of cold ones
			w.Discovery.SetDown(false)
			w.Discovery.RejectAllButOneIn(0)
			w.waitForServedShare(0.8)
			if broke := w.violations(); len(broke) > 0 {
				t.Errorf("%v", broke)
			}
		})
	}
}

// Guards rule 4, the load limit of cold boxes, for the sum of twenty processes. Two of six boxes return cold under load
// while half of the processes are killed and restarted, without knowledge of the load that the others send. No box gets
// more than the limit plus random variation.
// It is skipped with -short and does not run in parallel, as above.
func TestTwentyProcessesOnColdBoxes(t *testing.T) {
	skipIfShort(t)
	w := labWithoutCouncil(t, func(o *Options) {
		o.Instances, o.Agents, o.Boxes, o.Rate, o.FallMultiple = 20, 2, 6, 90, 2
		o.AdjustBox = func(_ int, b *standin.BoxOptions) { b.Cores, b.Speed, b.Queue = 2, 1, 16 }
	})
	w.waitForServedShare(0.8)
	cold := w.Boxes[:2]
	for _, b := range cold {
		b.Crash()
	}
	w.KillMachine(1)
	w.begunAtKill = w.Clients.Begun()
	for _, b := range cold {
		if err := b.Return(); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.StartAgent(1, false); err != nil {
		t.Fatal(err)
	}
	w.waitUpExcept()
	w.waitForServedShare(0.8)
	for _, b := range cold {
		if over := b.ColdOver(); over > 0 {
			t.Errorf("%s got %.1f requests more than random variation explains", b.UID(), over)
		}
	}
	if broke := w.violations(); len(broke) > 0 {
		t.Errorf("%v", broke)
	}
}

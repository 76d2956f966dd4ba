package group_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"otterstep/internal/fleet/agent"
	"otterstep/internal/fleet/reconcile"
)

// Guards against agents that hang delaying the status of the others, or their instances counting as confirmed:
// with 10 of 100 agents hanging, the median of five calls over 1,000 instances stays under a second. No voter of
// the council runs; agents report what they have without it.
func TestStatusOfThousandInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 900 instances; runs without -short")
	}
	hosts := startHostsWith(t, 90, 10, func(c *agent.Config) {
		c.Council = &agent.Council{Cluster: "lab", Voters: []string{"v1", "v2", "v3"}}
		c.Council.Lease.Duration = 5 * time.Second
		c.Fleet = &agent.Fleet{}
	})
	for n := range 10 {
		hosts = append(hosts, startFaultyAgent(t, fmt.Sprint("hangs", n), func(c net.Conn) { io.Copy(io.Discard, c) }))
	}
	f := newFleet(t, hosts)
	var st reconcile.Progress
	for st.Confirmed < 900 { // each instance confirms its agent's version, which is still 0
		st, _ = f.VersionStatus(t.Context(), 0)
	}
	var took []time.Duration
	for range 5 {
		began := time.Now()
		st, _ = f.VersionStatus(t.Context(), 0)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	if took[2] > time.Second || len(st.Unconfirmed) != 10 || st.Confirmed != 900 {
		t.Errorf("took %v; %d confirmed, %d waiting", took, st.Confirmed, len(st.Unconfirmed))
	}
	for _, w := range st.Unconfirmed {
		if !strings.HasPrefix(w.Agent, "hangs") || w.Instance != "" {
			t.Errorf("%+v", w)
		}
	}
	t.Logf("status of 900 of 1,000 instances: %v", took)
}

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

// A look at a thousand instances under a hundred agents of which ten hang takes under a second, names those, and
// claims nothing of what they have. Nobody of the council is there: agents tell what they know all the same.
func TestStatusOfThousandInstances(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand instances: played without -short")
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
	var st reconcile.Standing
	for st.Confirmed < 900 { // each instance is told what its agent has, which is nothing so far
		st, _ = f.Standing(t.Context(), 0)
	}
	var took []time.Duration
	for range 5 {
		began := time.Now()
		st, _ = f.Standing(t.Context(), 0)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	if took[2] > time.Second || len(st.Waiting) != 10 || st.Confirmed != 900 {
		t.Errorf("took %v; %d confirmed, %d waiting", took, st.Confirmed, len(st.Waiting))
	}
	for _, w := range st.Waiting {
		if !strings.HasPrefix(w.Agent, "hangs") || w.Instance != "" {
			t.Errorf("%+v", w)
		}
	}
	t.Logf("a look at 900 of 1,000 instances: %v", took)
}

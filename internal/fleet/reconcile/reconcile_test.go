package reconcile

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// node is the actual state of a node.
type node struct {
	version desired.Version // that this process was sent; 0 after a restart
	down    bool
}

// Simulates a fleet with agents that hang, lose their answers and recover, nodes that restart and owners that change:
// the reported progress must never exceed what nodes have confirmed, and once the faults end every node must have the
// latest version within a fixed number of rounds.
func TestProgressNeverExceedsConfirmations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := []string{"m1", "m2", "m3"}
		stored := map[string]desired.Version{} // stored by each agent
		nodes := map[string]*node{}
		for _, a := range agents {
			for n := range 2 {
				nodes[fmt.Sprint(a, "/n", n)] = &node{}
			}
		}
		hangs, seen, now, latest := map[string]bool{}, map[string]AgentStatus{}, time.Duration(0), desired.Version(1)
		answer := func(a string) protocol.FleetStatus {
			f := protocol.FleetStatus{Agent: a, Version: stored[a]}
			for n := range 2 {
				is := nodes[fmt.Sprint(a, "/n", n)]
				if !is.down { // an agent always updates its own nodes
					is.version = max(is.version, stored[a])
				}
				f.Instances = append(f.Instances, protocol.InstanceStatus{Instance: fmt.Sprint("n", n), Version: is.version, Running: !is.down, Listed: 8})
			}
			return f
		}
		round := func() {
			for _, step := range NextCalls(now, 0, latest, agents, seen, nil) {
				s := seen[step.Agent]
				s.AskedAt, s.EverAsked = now, true
				if hangs[step.Agent] {
					s.Err = "no answer"
					if step.Update && rapid.Bool().Draw(t, "arrives") { // the call arrives, and only its answer is lost
						stored[step.Agent] = max(stored[step.Agent], latest)
					}
					seen[step.Agent] = s
					continue
				}
				if step.Update {
					stored[step.Agent] = max(stored[step.Agent], latest)
				}
				seen[step.Agent] = AgentStatus{AsOf: now, Answered: true, Fleet: answer(step.Agent), AskedAt: now, EverAsked: true}
			}
			now += 100 * time.Millisecond
		}
		for range rapid.IntRange(0, 80).Draw(t, "events") {
			a := rapid.SampledFrom(agents).Draw(t, "agent")
			is := nodes[fmt.Sprint(a, "/n", rapid.IntRange(0, 1).Draw(t, "node"))]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				latest++
			case 1:
				hangs[a] = !hangs[a]
			case 2: // stops or starts: a new process has no version
				is.version = 0
				is.down = !is.down
			case 3: // another owner
				seen = map[string]AgentStatus{}
			default:
				round()
			}
			st := VersionProgress(now, latest, agents, seen)
			confirmed := 0
			for _, s := range seen {
				for _, i := range s.Fleet.Instances {
					if s.Fresh(now) && i.Running && i.Version >= latest {
						confirmed++
					}
				}
			}
			if st.Confirmed > confirmed {
				t.Fatalf("reports %d confirmed, only %d have confirmed", st.Confirmed, confirmed)
			}
			for _, a := range agents {
				if s := seen[a]; !s.Fresh(now) && !strings.Contains(fmt.Sprint(st.Unconfirmed), a) {
					t.Fatalf("%s is not reached and is missing from the report: %+v", a, st)
				}
			}
		}
		clear(hangs)
		for _, n := range nodes {
			n.down = false
		}
		for range 25 { // 2.5 s: an agent that did not answer is called again after 500 ms, others after a second
			round()
		}
		if st := VersionProgress(now, latest, agents, seen); st.Confirmed != len(nodes) || len(st.Unconfirmed) > 0 || CountServers(now, seen) != 8 {
			t.Fatalf("%+v, %d servers", st, CountServers(now, seen))
		}
	})
}

// An agent with a call in progress is not called again, and one that did not answer is called only after a delay.
func TestCallTiming(t *testing.T) {
	seen := map[string]AgentStatus{
		"behind": {AsOf: 0, Answered: true, EverAsked: true, Fleet: protocol.FleetStatus{Version: 1}},
		"silent": {EverAsked: true, Err: "no answer"},
		"well":   {AsOf: 0, Answered: true, EverAsked: true, Fleet: protocol.FleetStatus{Version: 2}},
	}
	agents := []string{"well", "silent", "behind", "new", "busy"}
	for at, want := range map[time.Duration]string{
		0:            "[{behind true} {new true}]",
		RetryDelay:   "[{behind true} {new true} {silent true}]",
		PollInterval: "[{behind true} {new true} {silent true} {well false}]",
	} {
		if got := fmt.Sprint(NextCalls(at, -2*time.Hour, 2, agents, seen, map[string]bool{"busy": true})); got != want {
			t.Errorf("at %v: %s, want %s", at, got, want)
		}
	}
}

// Under any changes of owners, a ban lasts at least its duration, and ends eventually.
func TestBansLastTheirDuration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := desired.New()
		s.Observe(8, nil, nil)
		length := time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second
		change := desired.Change{ID: protocol.NewID(time.UnixMilli(1), 1), Set: &desired.Patch{Bans: map[string]*desired.Ban{"s1": {Server: "s1", Reason: "x", Duration: length}}}}
		if err := s.Apply(change); err != nil {
			t.Fatal(err)
		}
		c, passed, clock := &BanTimer{}, time.Duration(0), time.Duration(rapid.IntRange(0, 100).Draw(t, "clock"))*time.Second
		for n := range 100_000 {
			if n < 40 && rapid.IntRange(0, 9).Draw(t, "owner") == 0 {
				c, clock = &BanTimer{}, time.Duration(rapid.IntRange(0, 100).Draw(t, "clock"))*time.Second // on another machine
			}
			if n < 40 && rapid.IntRange(0, 9).Draw(t, "set") == 0 {
				clock -= time.Hour
			}
			expired, left := c.Advance(clock, s)
			for _, e := range expired {
				if passed < length {
					t.Fatalf("expired after %v of %v", passed, length)
				}
				if err := s.Apply(desired.Change{ID: protocol.NewID(time.UnixMilli(2), 2), Expire: &e}); err != nil {
					t.Fatal(err)
				}
			}
			s.Observe(0, left, nil)
			if len(s.Document.Bans) == 0 {
				return
			}
			step := time.Duration(rapid.IntRange(1, 5).Draw(t, "step")) * time.Second
			passed, clock = passed+step, clock+step
			if passed > 10*length+10*time.Minute {
				t.Fatalf("not expired %v after the start of a ban of %v", passed, length)
			}
		}
	})
}

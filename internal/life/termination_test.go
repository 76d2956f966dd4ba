package life

import (
	"testing"
	"time"
)

// The kill comes 0.7 s after the longest deadline, of which 3 s count at most: PROTOCOL's figures. Whatever
// the deadlines are, there is time between the steps, and all of them lie ahead of the kill.
func TestTerminationFollowsTheLongestDeadline(t *testing.T) {
	for longest, kill := range map[time.Duration]time.Duration{
		time.Millisecond:        701 * time.Millisecond,
		400 * time.Millisecond:  1100 * time.Millisecond,
		1900 * time.Millisecond: 2600 * time.Millisecond,
		3 * time.Second:         3700 * time.Millisecond,
		3792 * time.Millisecond: 3700 * time.Millisecond, // seen on roll+term+brink+mass
		time.Hour:               3700 * time.Millisecond,
	} {
		p := Terminate(longest)
		if p.Kill != kill {
			t.Errorf("%v: killed after %v, want %v", longest, p.Kill, kill)
		}
		steps := []time.Duration{0, p.Behind, p.Idle, p.Answers, p.Close, p.Kill}
		for i := 1; i < len(steps); i++ {
			if steps[i] < steps[i-1]+50*time.Millisecond {
				t.Errorf("%v: step %d at %v, the one before at %v", longest, i, steps[i], steps[i-1])
			}
		}
	}
}

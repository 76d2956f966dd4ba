package lifecycle

import (
	"testing"
	"time"
)

// SIGKILL comes 0.7 s after the longest deadline, of which at most 3 s count (figures of the platform's PROTOCOL
// document). For any deadline the steps are at least 50 ms apart and all come before SIGKILL.
func TestTerminationFollowsTheLongestDeadline(t *testing.T) {
	for longest, kill := range map[time.Duration]time.Duration{
		time.Millisecond:        701 * time.Millisecond,
		400 * time.Millisecond:  1100 * time.Millisecond,
		1900 * time.Millisecond: 2600 * time.Millisecond,
		3 * time.Second:         3700 * time.Millisecond,
		3792 * time.Millisecond: 3700 * time.Millisecond, // seen in the combined scenario roll+term+brink+mass
		time.Hour:               3700 * time.Millisecond,
	} {
		p := PlanTermination(longest)
		if p.Kill != kill {
			t.Errorf("deadline %v: SIGKILL after %v, want %v", longest, p.Kill, kill)
		}
		steps := []time.Duration{0, p.CloseAfterAnswer, p.CloseIdle, p.AnswersDue, p.CloseAll, p.Kill}
		for i := 1; i < len(steps); i++ {
			if steps[i] < steps[i-1]+50*time.Millisecond {
				t.Errorf("deadline %v: step %d at %v, previous step at %v", longest, i, steps[i], steps[i-1])
			}
		}
	}
}

package duty

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/drawn"
)

func TestMain(m *testing.M) { drawn.Main(m) }

func jobID(n int) string { return protocol.NewID(time.UnixMilli(1000), uint64(n)) }

func job(n, targets int) *Job {
	j := &Job{ID: jobID(n), Kind: protocol.Restart, Operator: "ada", MaxUnavailable: 1}
	for i := range targets {
		j.Targets = append(j.Targets, Target{Agent: "m1", Instance: fmt.Sprint("n", i+1), Group: "g"})
	}
	return j
}

func apply(t testing.TB, s *State, c Command) Result {
	t.Helper()
	c.Form = Form
	r := s.Apply(c)
	if r.Err != nil {
		t.Fatalf("%+v: %v", c, r.Err)
	}
	return r
}

func code(err error) string {
	var e *protocol.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Code
}

// plain is what a State promises, kept as slowly and simply as can be: every token given, and
// each instance's phases in the order in which they were taken.
type plain struct {
	tokens  []Token
	owner   string
	history map[string][]string // JOB KEY: phases
	closed  map[string]bool     // jobs that were cancelled
}

// Drawn histories of owners, jobs, outcomes, operators and restores from snapshots, against the
// plain model: tokens rise across snapshots, only the newest owner writes, no instance is begun
// twice without an operator's word, nothing begins behind a cancel, and what has ended stays so.
func TestStateKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		p := plain{history: map[string][]string{}, closed: map[string]bool{}}
		jobs := 0
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			token := Token(rapid.Uint64Range(0, uint64(len(p.tokens))+1).Draw(t, "token"))
			which := jobID(rapid.IntRange(0, 3).Draw(t, "job"))
			key := fmt.Sprint("m1/n", rapid.IntRange(1, 4).Draw(t, "instance"))
			newest := len(p.tokens) > 0 && token == p.tokens[len(p.tokens)-1] && p.owner != ""
			c := Command{Form: Form}
			switch rapid.IntRange(0, 7).Draw(t, "command") {
			case 7:
				c.Base = &Base{Token: token, Job: which, Answers: Answers{Served: int64(len(p.tokens))}}
			case 0:
				c.Acquire = &Acquire{Duty: Rollouts, Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), After: token}
			case 1:
				c.Release = &Release{Fence: Fence{Duty: Rollouts, Token: token}}
			case 2:
				c.Submit = job(jobs%4, 3)
			case 3, 4:
				phase := rapid.SampledFrom([]string{Intent, Done, Failed, Left, Waiting}).Draw(t, "phase")
				c.Mark = &Mark{Token: token, Job: which, Key: key, Phase: phase}
			case 5:
				c.Turn = &Turn{Job: which, To: rapid.SampledFrom([]string{Active, Paused, Cancelled, Stopped}).Draw(t, "to"), By: "eve"}
			case 6: // a voter that starts anew
				text, err := s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				s = New()
				if err := s.Load(text); err != nil {
					t.Fatal(err)
				}
				continue
			}
			before, _ := s.Snapshot()
			was := ""
			for _, j := range s.Jobs() {
				if j.ID == which {
					was = j.State
				}
			}
			r := s.Apply(c)
			if r.Err != nil {
				if after, _ := s.Snapshot(); !slices.Equal(before, after) {
					t.Fatalf("%+v was refused (%v) and changed something", c, r.Err)
				}
				continue
			}
			switch {
			case c.Acquire != nil:
				if last := append([]Token{0}, p.tokens...)[len(p.tokens)]; r.Token <= last || c.Acquire.After != last {
					t.Fatalf("token %v behind %v, asked after %v", r.Token, last, c.Acquire.After)
				}
				p.tokens, p.owner = append(p.tokens, r.Token), c.Acquire.Owner
			case c.Release != nil:
				if !newest {
					t.Fatalf("token %v released, %v owns", token, p.tokens)
				}
				p.owner = ""
			case c.Submit != nil:
				jobs++
			case c.Base != nil && !newest:
				t.Fatalf("token %v wrote what was before", token)
			case c.Mark != nil:
				if !newest {
					t.Fatalf("token %v wrote, the newest is %v of %q", token, p.tokens, p.owner)
				}
				h := p.history[which+key]
				if c.Mark.Phase == Intent {
					if n := len(h); n > 0 && (h[n-1] == Done || h[n-1] == Failed || h[n-1] == Left) {
						t.Fatalf("%s begun again behind %v", key, h)
					}
					if p.closed[which] && (len(h) == 0 || h[len(h)-1] != Intent) {
						t.Fatalf("%s begun behind the cancel: %v", key, h)
					}
				}
				p.history[which+key] = append(h, c.Mark.Phase)
			case c.Turn != nil && c.Turn.To == Cancelled:
				p.closed[which] = true
			case c.Turn != nil && c.Turn.To == Active && was != Active:
				for i := range 3 {
					k := which + fmt.Sprint("m1/n", i+1)
					if h := p.history[k]; len(h) > 0 && (h[len(h)-1] == Failed || h[len(h)-1] == Left) {
						p.history[k] = append(h, Waiting)
					}
				}
			}
			for _, j := range s.Jobs() {
				for i, step := range j.Steps {
					want := Waiting
					if h := p.history[j.ID+j.Targets[i].Key()]; len(h) > 0 {
						want = h[len(h)-1]
					}
					if step.Phase != want {
						t.Fatalf("%s of %s is %q, want %q", j.Targets[i].Key(), j.ID, step.Phase, want)
					}
				}
				if j.State == Finished && j.Open() {
					t.Fatalf("job done with work left: %+v", j)
				}
			}
		}
	})
}

// A cancel that crosses the last outcome: whichever comes first, the job's end is told once
// and the outcome is kept.
func TestCancelCrossesTheLastOutcome(t *testing.T) {
	for name, cancelFirst := range map[string]bool{"cancel first": true, "outcome first": false} {
		t.Run(name, func(t *testing.T) {
			s := New()
			token := apply(t, s, Command{Acquire: &Acquire{Duty: Rollouts, Owner: "a"}}).Token
			apply(t, s, Command{Submit: job(1, 1)})
			mark := func(phase string) Result {
				return s.Apply(Command{Form: Form, Mark: &Mark{Token: token, Job: jobID(1), Key: "m1/n1", Phase: phase}})
			}
			mark(Intent)
			cancel := Command{Form: Form, Turn: &Turn{Job: jobID(1), To: Cancelled, By: "eve"}}
			want := Finished
			if cancelFirst {
				want = Cancelled
				apply(t, s, cancel)
				if !s.Work() {
					t.Error("an open intent is forgotten")
				}
				mark(Done)
			} else {
				mark(Done)
				if r := s.Apply(cancel); code(r.Err) != protocol.CodeConflict {
					t.Errorf("cancelled behind its end: %v", r.Err)
				}
			}
			j := s.Jobs()[0]
			if j.State != want || j.Steps[0].Phase != Done || s.Work() {
				t.Errorf("job %+v", j)
			}
		})
	}
}

// Every bound holds, and what would pass it is refused with words that say what to do.
func TestBounds(t *testing.T) {
	s := New()
	for n := range DutiesMost {
		apply(t, s, Command{Acquire: &Acquire{Duty: fmt.Sprint("d", n), Owner: "a"}})
	}
	if r := s.Apply(Command{Form: Form, Acquire: &Acquire{Duty: "more", Owner: "a"}}); code(r.Err) != protocol.CodeUsage {
		t.Errorf("a duty too many: %v", r.Err)
	}
	for n := range JobsMost {
		apply(t, s, Command{Submit: job(n, 1)})
	}
	if r := s.Apply(Command{Form: Form, Submit: job(JobsMost, 1)}); code(r.Err) != protocol.CodeConflict {
		t.Errorf("a job too many: %v", r.Err)
	}
	apply(t, s, Command{Turn: &Turn{Job: jobID(5), To: Cancelled, By: "eve"}})
	apply(t, s, Command{Submit: job(JobsMost, 1)}) // takes the ended one's place
	if r := s.Apply(Command{Form: Form, Turn: &Turn{Job: jobID(5), To: Active}}); code(r.Err) != protocol.CodeNotFound {
		t.Errorf("the forgotten job: %v", r.Err)
	}
	if r := s.Apply(Command{Form: Form, Submit: job(JobsMost+1, TargetsMost)}); code(r.Err) != protocol.CodeConflict {
		t.Errorf("instances too many: %v", r.Err)
	}
	if j := s.Jobs()[0]; len(protocol.Clip(string(make([]byte, 10_000)))) > protocol.WordsMost+len("…") || j.Why != "" {
		t.Errorf("words are not bounded")
	}
}

func TestBadCommandsAreRefused(t *testing.T) {
	s := New()
	twice, foreign, none, kind, form := job(1, 1), job(1, 1), job(1, 0), job(1, 1), job(1, 1)
	twice.Targets = append(twice.Targets, twice.Targets[0])
	foreign.Targets[0].Agent = "a/b"
	kind.Kind = "explode"
	form.ID = "x"
	away := job(1, 1)
	away.MaxUnavailable = 0
	for name, c := range map[string]struct {
		Command
		code string
	}{
		"empty":         {Command{Form: Form}, protocol.CodeUsage},
		"newer form":    {Command{Form: Form + 1, Submit: job(1, 1)}, protocol.CodeVersion},
		"named twice":   {Command{Form: Form, Submit: twice}, protocol.CodeUsage},
		"no name":       {Command{Form: Form, Submit: foreign}, protocol.CodeUsage},
		"no instances":  {Command{Form: Form, Submit: none}, protocol.CodeUsage},
		"unknown kind":  {Command{Form: Form, Submit: kind}, protocol.CodeUsage},
		"no id":         {Command{Form: Form, Submit: form}, protocol.CodeUsage},
		"none away":     {Command{Form: Form, Submit: away}, protocol.CodeUsage},
		"unknown job":   {Command{Form: Form, Turn: &Turn{Job: jobID(9), To: Paused}}, protocol.CodeNotFound},
		"unknown token": {Command{Form: Form, Release: &Release{Fence: Fence{Duty: Rollouts, Token: 3}}}, protocol.CodeFenced},
		"no owner":      {Command{Form: Form, Mark: &Mark{Job: jobID(9)}}, protocol.CodeFenced},
	} {
		if r := s.Apply(c.Command); code(r.Err) != c.code {
			t.Errorf("%s: %v, want %s", name, r.Err, c.code)
		}
	}
	for name, text := range map[string]string{
		"newer": `{"form":2}`, "cut": `{"form":1`, "steps": `{"form":1,"jobs":[{"id":"x","targets":[{}],"steps":[]}]}`,
		"token above the last": `{"form":1,"last":3,"duties":[{"name":"x","token":4}]}`,
	} {
		if err := s.Load([]byte(text)); err == nil {
			t.Errorf("%s: a snapshot was taken", name)
		}
	}
}

package duty

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

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
	c.FormatVersion = FormatVersion
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

// model is a simple reference model of a State: every token issued, and the phases of each step in the
// order in which they were set.
type model struct {
	tokens    []Token
	owner     string
	history   map[string][]string // phases by job ID and target key
	cancelled map[string]bool     // cancelled jobs
}

// Compares a State with the reference model under random sequences of commands and reloads from snapshots:
// tokens increase across snapshots, only the latest owner can write, no step restarts without an
// operator's command, no step starts after a cancel, and an ended step stays ended.
func TestStateMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		m := model{history: map[string][]string{}, cancelled: map[string]bool{}}
		jobs := 0
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			token := Token(rapid.Uint64Range(0, uint64(len(m.tokens))+1).Draw(t, "token"))
			which := jobID(rapid.IntRange(0, 3).Draw(t, "job"))
			key := fmt.Sprint("m1/n", rapid.IntRange(1, 4).Draw(t, "instance"))
			newest := len(m.tokens) > 0 && token == m.tokens[len(m.tokens)-1] && m.owner != ""
			c := Command{FormatVersion: FormatVersion}
			switch rapid.IntRange(0, 7).Draw(t, "command") {
			case 7:
				c.Baseline = &Baseline{Token: token, Job: which, Answers: AnswerCounts{Served: int64(len(m.tokens))}}
			case 0:
				c.Acquire = &Acquire{Duty: Rollouts, Owner: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "owner"), PreviousToken: token}
			case 1:
				c.Release = &Release{Fence: Fence{Duty: Rollouts, Token: token}}
			case 2:
				c.Submit = job(jobs%4, 3)
			case 3, 4:
				phase := rapid.SampledFrom([]string{Intent, Done, Failed, Skipped, NotStarted}).Draw(t, "phase")
				c.SetPhase = &SetPhase{Token: token, Job: which, Key: key, Phase: phase}
			case 5:
				c.SetJobState = &SetJobState{Job: which, State: rapid.SampledFrom([]string{Active, Paused, Cancelled, Stopped}).Draw(t, "to"), By: "eve"}
			case 6: // a voter restarts from a snapshot
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
					t.Fatalf("%+v was refused (%v) but changed the state", c, r.Err)
				}
				continue
			}
			switch {
			case c.Acquire != nil:
				if last := append([]Token{0}, m.tokens...)[len(m.tokens)]; r.Token <= last || c.Acquire.PreviousToken != last {
					t.Fatalf("got token %v after %v, requested after %v", r.Token, last, c.Acquire.PreviousToken)
				}
				m.tokens, m.owner = append(m.tokens, r.Token), c.Acquire.Owner
			case c.Release != nil:
				if !newest {
					t.Fatalf("released by token %v, tokens issued so far: %v", token, m.tokens)
				}
				m.owner = ""
			case c.Submit != nil:
				jobs++
			case c.Baseline != nil && !newest:
				t.Fatalf("token %v, not the current owner's, wrote a baseline", token)
			case c.SetPhase != nil:
				if !newest {
					t.Fatalf("token %v wrote, the tokens issued are %v and the owner is %q", token, m.tokens, m.owner)
				}
				h := m.history[which+key]
				if c.SetPhase.Phase == Intent {
					if n := len(h); n > 0 && (h[n-1] == Done || h[n-1] == Failed || h[n-1] == Skipped) {
						t.Fatalf("%s started again after phases %v", key, h)
					}
					if m.cancelled[which] && (len(h) == 0 || h[len(h)-1] != Intent) {
						t.Fatalf("%s started after the cancel, phases %v", key, h)
					}
				}
				m.history[which+key] = append(h, c.SetPhase.Phase)
			case c.SetJobState != nil && c.SetJobState.State == Cancelled:
				m.cancelled[which] = true
			case c.SetJobState != nil && c.SetJobState.State == Active && was != Active:
				for i := range 3 {
					k := which + fmt.Sprint("m1/n", i+1)
					if h := m.history[k]; len(h) > 0 && (h[len(h)-1] == Failed || h[len(h)-1] == Skipped) {
						m.history[k] = append(h, NotStarted)
					}
				}
			}
			for _, j := range s.Jobs() {
				for i, step := range j.Steps {
					want := NotStarted
					if h := m.history[j.ID+j.Targets[i].Key()]; len(h) > 0 {
						want = h[len(h)-1]
					}
					if step.Phase != want {
						t.Fatalf("%s of %s is %q, want %q", j.Targets[i].Key(), j.ID, step.Phase, want)
					}
				}
				if j.State == Finished && j.Open() {
					t.Fatalf("finished job still has open steps: %+v", j)
				}
			}
		}
	})
}

// A cancel races with the outcome of a job's last step. In either order the job ends once and the
// outcome is stored.
func TestCancelRacesWithLastOutcome(t *testing.T) {
	for name, cancelFirst := range map[string]bool{"cancel first": true, "outcome first": false} {
		t.Run(name, func(t *testing.T) {
			s := New()
			token := apply(t, s, Command{Acquire: &Acquire{Duty: Rollouts, Owner: "a"}}).Token
			apply(t, s, Command{Submit: job(1, 1)})
			mark := func(phase string) Result {
				return s.Apply(Command{FormatVersion: FormatVersion, SetPhase: &SetPhase{Token: token, Job: jobID(1), Key: "m1/n1", Phase: phase}})
			}
			mark(Intent)
			cancel := Command{FormatVersion: FormatVersion, SetJobState: &SetJobState{Job: jobID(1), State: Cancelled, By: "eve"}}
			want := Finished
			if cancelFirst {
				want = Cancelled
				apply(t, s, cancel)
				if !s.hasOpenJobs() {
					t.Error("cancelled job with an intent is not open")
				}
				mark(Done)
			} else {
				mark(Done)
				if r := s.Apply(cancel); code(r.Err) != protocol.CodeConflict {
					t.Errorf("cancelled after it had finished: %v", r.Err)
				}
			}
			j := s.Jobs()[0]
			if j.State != want || j.Steps[0].Phase != Done || s.hasOpenJobs() {
				t.Errorf("job %+v", j)
			}
		})
	}
}

// Commands that would exceed a bound are refused, and stored texts are truncated.
func TestBounds(t *testing.T) {
	s := New()
	for n := range maxDuties {
		apply(t, s, Command{Acquire: &Acquire{Duty: fmt.Sprint("d", n), Owner: "a"}})
	}
	if r := s.Apply(Command{FormatVersion: FormatVersion, Acquire: &Acquire{Duty: "more", Owner: "a"}}); code(r.Err) != protocol.CodeUsage {
		t.Errorf("acquire above the maximum number of duties: %v", r.Err)
	}
	for n := range MaxJobs {
		apply(t, s, Command{Submit: job(n, 1)})
	}
	if r := s.Apply(Command{FormatVersion: FormatVersion, Submit: job(MaxJobs, 1)}); code(r.Err) != protocol.CodeConflict {
		t.Errorf("submit above the maximum number of jobs: %v", r.Err)
	}
	apply(t, s, Command{SetJobState: &SetJobState{Job: jobID(5), State: Cancelled, By: "eve"}})
	apply(t, s, Command{Submit: job(MaxJobs, 1)}) // replaces the ended job
	if r := s.Apply(Command{FormatVersion: FormatVersion, SetJobState: &SetJobState{Job: jobID(5), State: Active}}); code(r.Err) != protocol.CodeNotFound {
		t.Errorf("evicted job: %v", r.Err)
	}
	if r := s.Apply(Command{FormatVersion: FormatVersion, Submit: job(MaxJobs+1, maxTargets)}); code(r.Err) != protocol.CodeConflict {
		t.Errorf("submit above the maximum number of targets: %v", r.Err)
	}
	if j := s.Jobs()[0]; len(protocol.Truncate(string(make([]byte, 10_000)))) > protocol.MaxTextSize+len("…") || j.Reason != "" {
		t.Errorf("texts are not truncated")
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
		"empty":         {Command{FormatVersion: FormatVersion}, protocol.CodeUsage},
		"newer form":    {Command{FormatVersion: FormatVersion + 1, Submit: job(1, 1)}, protocol.CodeVersion},
		"named twice":   {Command{FormatVersion: FormatVersion, Submit: twice}, protocol.CodeUsage},
		"no name":       {Command{FormatVersion: FormatVersion, Submit: foreign}, protocol.CodeUsage},
		"no instances":  {Command{FormatVersion: FormatVersion, Submit: none}, protocol.CodeUsage},
		"unknown kind":  {Command{FormatVersion: FormatVersion, Submit: kind}, protocol.CodeUsage},
		"no id":         {Command{FormatVersion: FormatVersion, Submit: form}, protocol.CodeUsage},
		"none away":     {Command{FormatVersion: FormatVersion, Submit: away}, protocol.CodeUsage},
		"unknown job":   {Command{FormatVersion: FormatVersion, SetJobState: &SetJobState{Job: jobID(9), State: Paused}}, protocol.CodeNotFound},
		"unknown token": {Command{FormatVersion: FormatVersion, Release: &Release{Fence: Fence{Duty: Rollouts, Token: 3}}}, protocol.CodeFenced},
		"no owner":      {Command{FormatVersion: FormatVersion, SetPhase: &SetPhase{Job: jobID(9)}}, protocol.CodeFenced},
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
			t.Errorf("%s: invalid snapshot was loaded", name)
		}
	}
}

// Package duty holds the state that a fleet's council replicates: the owner and token of each duty,
// and the jobs with their plan and progress. It does no I/O and reads no clock: applying the same
// commands in the same order yields the same State at every voter. Time-dependent lease data is in
// Leases, which each leader keeps locally.
package duty

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/protocol"
)

// FormatVersion is the format version of commands and snapshots. It is incremented with each change that an older
// voter would misinterpret.
const FormatVersion = 1

const (
	// Rollouts is the duty of executing jobs, Fleet that of reconciling the fleet with its desired state.
	Rollouts = "rollouts"
	Fleet    = "fleet"

	// maxDuties bounds the number of duties, MaxJobs that of the stored jobs including ended ones, and
	// maxTargets the total number of targets of all jobs.
	maxDuties  = 64
	MaxJobs    = 200
	maxTargets = 20_000

	// minVoters and maxVoters bound the number of voters. Growing from 3 to 5 goes through 4, which
	// tolerates no more failures than 3.
	minVoters, maxVoters = 3, 5
)

// Token and Fence are the types that orders to agents carry.
type (
	Token = protocol.Token
	Fence = protocol.Fence
)

// Duty is a responsibility for the fleet. It has at most one owner at a time.
type Duty struct {
	Name  string `json:"name"`
	Owner string `json:"owner,omitempty"` // empty if there is none
	Token Token  `json:"token"`           // of the current owner, or of the latest one
}

// States of a job.
const (
	Active    = "active"
	Paused    = "paused"
	Stopped   = "stopped"   // by the rollout's rules; it can be resumed
	Cancelled = "cancelled" // no further step starts; those in progress run to their end
	Finished  = "done"
)

// Phases of a step, which is a job's progress at one target.
const (
	NotStarted = ""       // not started
	Intent     = "intent" // written before the order is sent: it may be in transit or in progress
	Done       = "done"
	Failed     = "failed"
	Skipped    = "left" // skipped: the instance was not changed and will not be
)

// Target identifies an instance by its agent and name, with its group.
type Target struct {
	Agent    string `json:"agent"`
	Instance string `json:"instance"`
	Group    string `json:"group,omitempty"`
}

// Key returns AGENT/INSTANCE.
func (t Target) Key() string { return t.Agent + "/" + t.Instance }

// Step is the progress of a job at one target.
type Step struct {
	Phase string `json:"phase"`
	Token Token  `json:"token,omitempty"` // of the owner that wrote the phase
	Text  string `json:"text,omitempty"`
	// IntendedAt is when the first intent was written, by the clock of the owner that wrote it. It is part of
	// the order's ID: a retried order keeps its ID, so that the agent completes what remains of it.
	// An agent that has lost its state refuses orders from before the loss.
	IntendedAt time.Time `json:"at,omitzero"`
}

// Job is an operation on the fleet that continues independently of the client that submitted it.
type Job struct {
	ID             string        `json:"id"` // made by protocol.NewID
	Kind           string        `json:"kind"`
	Operator       string        `json:"operator"`
	Submitted      time.Time     `json:"submitted"` // by the operator's clock; for display only
	Targets        []Target      `json:"targets"`
	MaxUnavailable int           `json:"max_unavailable"`
	Pause          time.Duration `json:"pause,omitempty"`
	Program        string        `json:"program,omitempty"` // target version of a job of kind protocol.Upgrade
	// Change is the version of the desired-state document that the job belongs to, Stage the stage of
	// its rollout.
	Change desired.Version `json:"change,omitempty"`
	Stage  string          `json:"stage,omitempty"`

	State       string `json:"state"`
	Reason      string `json:"why,omitempty"`
	By          string `json:"by,omitempty"`    // who last paused, resumed or cancelled it
	ResumeCount int    `json:"round,omitempty"` // number of times it was resumed
	// Baseline is the baseline: the answers of the job's instances before the job started. It is stored so
	// that every owner judges the job by the same counts. Nil until the first owner has measured it.
	Baseline *AnswerCounts `json:"before,omitempty"`
	// Steps has one entry per target, in the order of Targets.
	Steps []Step `json:"steps"`
}

// AnswerCounts counts the answers that a group gave to its clients, by outcome.
type AnswerCounts struct {
	Served, Refused, Failed int64
	Late                    int64 `json:",omitempty"` // subset of Served
}

// Add adds b's counts to a.
func (a *AnswerCounts) Add(b AnswerCounts) {
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.Late += b.Late
}

// Total returns the total number of answers.
func (a AnswerCounts) Total() int64 { return a.Served + a.Refused + a.Failed }

// Open reports whether the job's owner still has work: steps to start, or steps in progress to
// complete.
func (j *Job) Open() bool {
	return j.State == Active && slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Phase == NotStarted }) || j.Intents() > 0
}

// Intents returns the number of steps whose order may be in progress.
func (j *Job) Intents() (n int) {
	for _, s := range j.Steps {
		if s.Phase == Intent {
			n++
		}
	}
	return n
}

// Step returns the step of the target with the given key, and whether the job has that target.
func (j *Job) Step(key string) (Step, bool) {
	i := j.index(key)
	if i < 0 {
		return Step{}, false
	}
	return j.Steps[i], true
}

func (j *Job) index(key string) int {
	return slices.IndexFunc(j.Targets, func(t Target) bool { return t.Key() == key })
}

// Clone returns a deep copy.
func (j *Job) Clone() *Job {
	c := *j
	c.Targets, c.Steps = slices.Clone(j.Targets), slices.Clone(j.Steps)
	if j.Baseline != nil {
		before := *j.Baseline
		c.Baseline = &before
	}
	return &c
}

// Command is a change of the State. Exactly one of its pointers is set.
type Command struct {
	FormatVersion int             `json:"form"`
	Acquire       *Acquire        `json:"acquire,omitempty"`
	Release       *Release        `json:"release,omitempty"`
	Submit        *Job            `json:"submit,omitempty"`
	SetPhase      *SetPhase       `json:"mark,omitempty"`
	Stop          *Stop           `json:"stop,omitempty"`
	SetJobState   *SetJobState    `json:"turn,omitempty"`
	Bootstrap     *Bootstrap      `json:"found,omitempty"`
	VoterChange   *VoterChange    `json:"voter,omitempty"`
	Baseline      *Baseline       `json:"base,omitempty"`
	Report        *Report         `json:"report,omitempty"`
	Recovery      *Recovery       `json:"reborn,omitempty"`
	Restore       *Restore        `json:"restore,omitempty"`
	Change        *desired.Change `json:"change,omitempty"`
	Observation   *Observation    `json:"note,omitempty"`
}

// Observation records what the owner of Fleet has observed: the number of servers that nodes list, and the
// remaining time of bans.
type Observation struct {
	Token   Token                    `json:"token"`
	Servers int                      `json:"servers,omitempty"`
	Left    map[string]time.Duration `json:"left,omitempty"`
	// Whole lists the groups in which every instance has served with the program of the given version.
	Whole map[string]desired.Version `json:"whole,omitempty"`
}

// Baseline stores a job's baseline, Job.Baseline, unless it has one.
type Baseline struct {
	Token   Token        `json:"token"`
	Job     string       `json:"job"`
	Answers AnswerCounts `json:"answers"`
}

// Bootstrap is the first command of a council's log: the council's ID and its initial voters.
type Bootstrap struct {
	ID     string   `json:"id"`
	Voters []string `json:"voters"`
}

// VoterChange adds or removes a voter.
type VoterChange struct {
	Name string `json:"name"`
	Add  bool   `json:"add"`
	By   string `json:"by"`
}

// Acquire assigns a duty to an owner. The leader proposes it once it has observed that the lease under
// PreviousToken has ended; it is refused if another acquisition was applied first.
type Acquire struct {
	Duty          string `json:"duty"`
	Owner         string `json:"owner"`
	PreviousToken Token  `json:"after"` // the latest token when the command was proposed
	// Offer repeats the offer in the leader's answer to a first Acquire without one. The two round trips
	// ensure that a duty is not assigned to a candidate that does not receive answers and so would
	// not learn that it is the owner.
	Offer string `json:"offer,omitempty"`
}

// Release ends the ownership of a duty.
type Release struct {
	Fence
	Forced bool   `json:"forced,omitempty"` // by an operator instead of the owner
	By     string `json:"by,omitempty"`
}

// SetPhase sets a step's phase: the intent before the order is sent, and the outcome afterwards. The phase
// NotStarted withdraws an intent whose order was not started.
type SetPhase struct {
	Token      Token     `json:"token"`
	Job        string    `json:"job"`
	Key        string    `json:"key"`
	Phase      string    `json:"phase"`
	Text       string    `json:"text,omitempty"`
	IntendedAt time.Time `json:"at,omitzero"` // for Intent: see Step.IntendedAt
	// Forgotten reports that the agent lost its state and the order's outcome is unknown: the next order
	// for this step gets a new ID.
	Forgotten bool `json:"forgotten,omitempty"`
}

// Stop stops a job, by the owner's decision.
type Stop struct {
	Token  Token  `json:"token"`
	Job    string `json:"job"`
	Reason string `json:"why"`
}

// SetJobState changes a job's state by an operator's command: State is Active, Paused or Cancelled.
type SetJobState struct {
	Job   string `json:"job"`
	State string `json:"to"`
	By    string `json:"by"`
	// Token is the Fleet owner's if the command is the owner's, else 0.
	Token Token `json:"token,omitempty"`
}

// Result is the outcome of applying a command.
type Result struct {
	Token Token `json:"token,omitempty"` // Acquire
	Job   *Job  `json:"job,omitempty"`   // Submit, SetPhase, Stop, SetJobState, Baseline: the job after the command
	// ReportAnswer is the result of a Report. KeptNewer is the result of a Restore: descriptions of the entries that
	// were newer than the backup's and were kept.
	ReportAnswer *ReportAnswer `json:"told,omitempty"`
	KeptNewer    []string      `json:"kept,omitempty"`
	// Fleet is the result of a Change: the current version of the desired state.
	Fleet desired.Version `json:"fleet,omitempty"`
	Err   error           `json:"-"` // a *protocol.Error
}

// State is the replicated state of a council. It is not safe for concurrent use.
type State struct {
	councilID string
	voters    []string // agent names, sorted
	epoch     uint64
	lastToken Token
	duties    map[string]*Duty
	jobs      map[string]*Job
	jobOrder  []string // job IDs, oldest first
	agents    map[string]*AgentData
	fleet     *desired.State
}

// New returns an empty State.
func New() *State {
	return &State{duties: map[string]*Duty{}, jobs: map[string]*Job{}, agents: map[string]*AgentData{}, fleet: desired.New()}
}

// Desired returns a copy of the fleet's desired state with its history.
func (s *State) Desired() *desired.State { return s.fleet.Clone() }

// DesiredVersion returns the version of the desired state.
func (s *State) DesiredVersion() desired.Version { return s.fleet.Document.Version }

func (s *State) change(c *desired.Change) Result {
	if c.Expire != nil || c.Token != 0 {
		if err := s.checkOwner(Fleet, c.Token); err != nil {
			return Result{Err: err}
		}
	}
	err := s.fleet.Apply(*c)
	return Result{Fleet: s.fleet.Document.Version, Err: err}
}

func (s *State) note(n *Observation) Result {
	if err := s.checkOwner(Fleet, n.Token); err != nil {
		return Result{Err: err}
	}
	s.fleet.Observe(n.Servers, n.Left, n.Whole)
	return Result{}
}

// Duty returns the named duty. One that was never owned has no owner and token 0.
func (s *State) Duty(name string) Duty {
	if d := s.duties[name]; d != nil {
		return *d
	}
	return Duty{Name: name}
}

// Duties returns all duties that were ever owned, sorted by name.
func (s *State) Duties() []Duty {
	all := []Duty{}
	for _, name := range slices.Sorted(maps.Keys(s.duties)) {
		all = append(all, *s.duties[name])
	}
	return all
}

// Jobs returns copies of all jobs, oldest first.
func (s *State) Jobs() []*Job {
	all := make([]*Job, 0, len(s.jobOrder))
	for _, id := range s.jobOrder {
		all = append(all, s.jobs[id].Clone())
	}
	return all
}

// hasOpenJobs reports whether the owner of Rollouts has work.
func (s *State) hasOpenJobs() bool {
	return slices.ContainsFunc(s.jobOrder, func(id string) bool { return s.jobs[id].Open() })
}

// CouncilID returns the ID that the council got when it was bootstrapped, or "" before that.
func (s *State) CouncilID() string { return s.councilID }

// Voters returns the names of the agents that are to be voters.
func (s *State) Voters() []string { return slices.Clone(s.voters) }

func refuse(code, format string, args ...any) Result {
	return Result{Err: protocol.Errorf(code, format, args...)}
}

// Apply applies a command, or refuses it and changes nothing. All voters refuse the same commands; the
// refusal is the result that the client gets.
func (s *State) Apply(c Command) Result {
	switch {
	case c.FormatVersion != FormatVersion:
		return refuse(protocol.CodeVersion, "command has format version %d, this build supports %d", c.FormatVersion, FormatVersion)
	case c.Acquire != nil:
		return s.acquire(c.Acquire)
	case c.Release != nil:
		return s.release(c.Release)
	case c.Submit != nil:
		return s.submit(c.Submit)
	case c.SetPhase != nil:
		return s.mark(c.SetPhase)
	case c.Stop != nil:
		return s.stop(c.Stop)
	case c.SetJobState != nil:
		return s.setJobState(c.SetJobState)
	case c.Baseline != nil:
		return s.setBaseline(c.Baseline)
	case c.Report != nil:
		return s.report(c.Report)
	case c.Recovery != nil:
		return s.recover(c.Recovery)
	case c.Restore != nil:
		return s.restore(c.Restore)
	case c.Change != nil:
		return s.change(c.Change)
	case c.Observation != nil:
		return s.note(c.Observation)
	case c.Bootstrap != nil:
		return s.bootstrap(c.Bootstrap)
	case c.VoterChange != nil:
		return s.voter(c.VoterChange)
	}
	return refuse(protocol.CodeUsage, "command: no operation is set")
}

func (s *State) bootstrap(f *Bootstrap) Result {
	switch {
	case s.councilID != "":
		return refuse(protocol.CodeConflict, "the council is already bootstrapped, with ID %s", s.councilID)
	case f.ID == "":
		return refuse(protocol.CodeUsage, "bootstrap: no council ID")
	}
	if err := CheckVoters(f.Voters); err != nil {
		return refuse(protocol.CodeUsage, "bootstrap: %v", err)
	}
	s.councilID, s.voters = f.ID, slices.Sorted(slices.Values(f.Voters))
	return Result{}
}

// CheckVoters returns an error if the names can't be the voters of a new council.
func CheckVoters(names []string) error {
	if n := len(names); n != minVoters && n != maxVoters {
		return fmt.Errorf("%d voters: %d or %d are needed, as an even number tolerates no more failures than one fewer", n, minVoters, maxVoters)
	}
	for i, name := range names {
		switch {
		case !protocol.NamePattern.MatchString(name):
			return fmt.Errorf("%q is not a valid agent name", name)
		case slices.Contains(names[:i], name):
			return fmt.Errorf("%q is named twice", name)
		}
	}
	return nil
}

func (s *State) voter(v *VoterChange) Result {
	has := slices.Contains(s.voters, v.Name)
	switch n := len(s.voters); {
	case !protocol.NamePattern.MatchString(v.Name):
		return refuse(protocol.CodeUsage, "voter: %q is not a valid agent name", v.Name)
	case v.Add == has && has:
		return refuse(protocol.CodeConflict, "%s is already a voter", v.Name)
	case v.Add == has:
		return refuse(protocol.CodeNotFound, "%s is not a voter", v.Name)
	case v.Add && n >= maxVoters:
		return refuse(protocol.CodeConflict, "there are %d voters, the maximum: remove one first", n)
	case !v.Add && n <= minVoters:
		return refuse(protocol.CodeConflict, "there are %d voters, the minimum: add one first", n)
	}
	if v.Add {
		s.voters = append(s.voters, v.Name)
		slices.Sort(s.voters)
	} else {
		s.voters = slices.DeleteFunc(s.voters, func(n string) bool { return n == v.Name })
	}
	return Result{}
}

func (s *State) acquire(a *Acquire) Result {
	d := s.duties[a.Duty]
	switch {
	case !protocol.NamePattern.MatchString(a.Duty) || !protocol.NamePattern.MatchString(a.Owner):
		return refuse(protocol.CodeUsage, "acquire: duty %q or owner %q is not a valid name", a.Duty, a.Owner)
	case d == nil && len(s.duties) >= maxDuties:
		return refuse(protocol.CodeUsage, "acquire: there are %d duties, the maximum", maxDuties)
	case s.Duty(a.Duty).Token != a.PreviousToken:
		d := s.Duty(a.Duty)
		return refuse(protocol.CodeConflict, "duty %s was acquired by %q with token %v in the meantime", d.Name, d.Owner, d.Token)
	}
	if d == nil {
		d = &Duty{Name: a.Duty}
		s.duties[a.Duty] = d
	}
	s.lastToken++
	d.Owner, d.Token = a.Owner, s.lastToken
	return Result{Token: s.lastToken}
}

// checkOwner returns an error with protocol.CodeFenced unless t is the token of the duty's current owner.
func (s *State) checkOwner(duty string, t Token) error {
	d := s.Duty(duty)
	if d.Token != t || d.Owner == "" {
		owner := d.Owner
		if owner == "" {
			owner = "nobody"
		}
		return protocol.Errorf(protocol.CodeFenced, "token %v of duty %s is over: the duty belongs to %s since token %v", t, duty, owner, d.Token)
	}
	return nil
}

func (s *State) release(r *Release) Result {
	if err := s.checkOwner(r.Duty, r.Token); err != nil {
		return Result{Err: err}
	}
	s.duties[r.Duty].Owner = ""
	return Result{Token: r.Token}
}

// CheckJob validates a job that is to be submitted.
func CheckJob(j *Job) error {
	if _, err := protocol.IDTime(j.ID); err != nil {
		return protocol.Errorf(protocol.CodeUsage, "job: id: %v", err)
	}
	switch {
	case j.Kind != protocol.Restart && j.Kind != protocol.Upgrade:
		return protocol.Errorf(protocol.CodeUsage, "job: kind: %q is not supported, only %q and %q", j.Kind, protocol.Restart, protocol.Upgrade)
	case j.Program != "" && (j.Kind != protocol.Upgrade || !protocol.NamePattern.MatchString(j.Program)):
		return protocol.Errorf(protocol.CodeUsage, "job: program: %.80q is not allowed in a job of kind %q", j.Program, j.Kind)
	case j.MaxUnavailable < 1:
		return protocol.Errorf(protocol.CodeUsage, "job: max_unavailable: %d: must be at least 1, or no instance could be restarted", j.MaxUnavailable)
	case len(j.Stage) > protocol.MaxTextSize:
		return protocol.Errorf(protocol.CodeUsage, "job: stage: %d bytes, the maximum is %d", len(j.Stage), protocol.MaxTextSize)
	case j.Pause < 0:
		return protocol.Errorf(protocol.CodeUsage, "job: pause: %v is negative", j.Pause)
	case len(j.Targets) == 0 || len(j.Targets) > maxTargets:
		return protocol.Errorf(protocol.CodeUsage, "job: targets: got %d, want 1 to %d", len(j.Targets), maxTargets)
	}
	seen := map[string]bool{}
	for _, t := range j.Targets {
		switch key := t.Key(); {
		case !protocol.NamePattern.MatchString(t.Agent) || !protocol.NamePattern.MatchString(t.Instance):
			return protocol.Errorf(protocol.CodeUsage, "job: targets: %q is not of the form AGENT/INSTANCE", key)
		case seen[key]:
			return protocol.Errorf(protocol.CodeUsage, "job: targets: %q is listed twice", key)
		default:
			seen[key] = true
		}
	}
	return nil
}

func (s *State) submit(j *Job) Result {
	if err := CheckJob(j); err != nil {
		return Result{Err: err}
	}
	if known := s.jobs[j.ID]; known != nil {
		if known.Operator == j.Operator && known.Kind == j.Kind && known.Program == j.Program && slices.Equal(known.Targets, j.Targets) {
			return Result{Job: known.Clone()} // a retry after its answer was lost
		}
		return refuse(protocol.CodeConflict, "job ID %s is in use by another job, submitted by %s", j.ID, known.Operator)
	}
	s.evictEndedJobs(len(j.Targets))
	if n := s.targetCount(); len(s.jobOrder) >= MaxJobs || n+len(j.Targets) > maxTargets {
		return refuse(protocol.CodeConflict, "too many jobs: %d with %d targets are stored, the limits are %d and %d: wait until some have ended, or cancel them", len(s.jobOrder), n, MaxJobs, maxTargets)
	}
	added := j.Clone()
	added.State, added.Reason, added.By, added.ResumeCount, added.Baseline, added.Steps = Active, "", "", 0, nil, make([]Step, len(j.Targets))
	s.jobs[j.ID] = added
	s.jobOrder = append(s.jobOrder, j.ID)
	return Result{Job: added.Clone()}
}

func (s *State) targetCount() (n int) {
	for _, j := range s.jobs {
		n += len(j.Targets)
	}
	return n
}

// evictEndedJobs removes the oldest ended jobs until there is room for one more job with the given number
// of targets.
func (s *State) evictEndedJobs(newTargets int) {
	jobs, targets := len(s.jobOrder), s.targetCount()
	s.jobOrder = slices.DeleteFunc(s.jobOrder, func(id string) bool {
		j := s.jobs[id]
		ended := (j.State == Finished || j.State == Cancelled) && j.Intents() == 0
		if jobs < MaxJobs && targets+newTargets <= maxTargets || !ended {
			return false
		}
		jobs--
		targets -= len(j.Targets)
		delete(s.jobs, id)
		return true
	})
}

func (s *State) job(id string) (*Job, error) {
	if j := s.jobs[id]; j != nil {
		return j, nil
	}
	return nil, protocol.Errorf(protocol.CodeNotFound, "job %s not found", id)
}

func (s *State) mark(m *SetPhase) Result {
	if err := s.checkOwner(Rollouts, m.Token); err != nil {
		return Result{Err: err}
	}
	j, err := s.job(m.Job)
	if err != nil {
		return Result{Err: err}
	}
	i := j.index(m.Key)
	if i < 0 {
		return refuse(protocol.CodeNotFound, "job %s has no target %s", m.Job, m.Key)
	}
	step := &j.Steps[i]
	switch {
	case m.Phase == step.Phase && (m.Phase != Intent || m.Token == step.Token):
		return Result{Job: j.Clone()} // a repeated command
	case m.Phase == Intent && step.Phase == Intent: // a new owner continues the step, in whatever state the job is
	case m.Phase == Intent && step.Phase != NotStarted:
		return refuse(protocol.CodeConflict, "job %s: step %s has already ended: %s", m.Job, m.Key, step.Phase)
	case m.Phase == Intent && j.State != Active:
		return refuse(protocol.CodeConflict, "job %s is %s", m.Job, j.State)
	case m.Phase == Intent:
	case m.Phase == Skipped && step.Phase == NotStarted:
	case (m.Phase == Done || m.Phase == Failed || m.Phase == NotStarted || m.Phase == Skipped) && step.Phase == Intent:
	default:
		return refuse(protocol.CodeConflict, "job %s: step %s can't change from phase %q to %q", m.Job, m.Key, step.Phase, m.Phase)
	}
	at := step.IntendedAt
	switch {
	case m.Forgotten:
		at = time.Time{}
	case m.Phase == Intent && at.IsZero():
		at = m.IntendedAt
	}
	*step = Step{m.Phase, m.Token, protocol.Truncate(m.Text), at}
	j.finishIfDone()
	return Result{Job: j.Clone()}
}

// finishIfDone ends an active or paused job once all its steps have ended.
func (j *Job) finishIfDone() {
	if j.State != Active && j.State != Paused {
		return
	}
	failed := 0
	for _, s := range j.Steps {
		switch s.Phase {
		case NotStarted, Intent:
			return
		case Failed:
			failed++
		}
	}
	j.State = Finished
	if failed > 0 {
		j.State, j.Reason = Stopped, fmt.Sprintf("%d instances failed", failed)
	}
}

func (s *State) setBaseline(b *Baseline) Result {
	if err := s.checkOwner(Rollouts, b.Token); err != nil {
		return Result{Err: err}
	}
	j, err := s.job(b.Job)
	if err != nil {
		return Result{Err: err}
	}
	if j.Baseline == nil {
		answers := b.Answers
		j.Baseline = &answers
	}
	return Result{Job: j.Clone()}
}

func (s *State) stop(stop *Stop) Result {
	if err := s.checkOwner(Rollouts, stop.Token); err != nil {
		return Result{Err: err}
	}
	j, err := s.job(stop.Job)
	if err != nil {
		return Result{Err: err}
	}
	if j.State == Active {
		j.State, j.Reason = Stopped, protocol.Truncate(stop.Reason)
	}
	return Result{Job: j.Clone()}
}

func (s *State) setJobState(t *SetJobState) Result {
	if t.Token != 0 {
		if err := s.checkOwner(Fleet, t.Token); err != nil {
			return Result{Err: err}
		}
	}
	j, err := s.job(t.Job)
	if err != nil {
		return Result{Err: err}
	}
	switch {
	case t.State == j.State:
		return Result{Job: j.Clone()}
	case j.State == Finished || j.State == Cancelled:
		return refuse(protocol.CodeConflict, "job %s has already ended: %s", t.Job, j.State)
	case t.State == Paused && j.State == Active, t.State == Cancelled:
	case t.State == Active:
		j.ResumeCount++
		j.Baseline = nil // resuming accepts the current state: a new baseline is measured
		for i, step := range j.Steps {
			if step.Phase == Failed || step.Phase == Skipped {
				j.Steps[i] = Step{Phase: NotStarted, Text: step.Text, IntendedAt: step.IntendedAt}
			}
		}
	default:
		return refuse(protocol.CodeUsage, "job %s is %s and can't be set to %q", t.Job, j.State, t.State)
	}
	j.State, j.By, j.Reason = t.State, t.By, ""
	j.finishIfDone()
	return Result{Job: j.Clone()}
}

// snapshot is the serialized form of a State.
type snapshot struct {
	FormatVersion int      `json:"form"`
	CouncilID     string   `json:"founding"`
	Voters        []string `json:"voters"`
	Epoch         uint64   `json:"epoch"`
	LastToken     Token    `json:"last"`
	Duties        []Duty   `json:"duties"`
	Jobs          []*Job   `json:"jobs"`

	Agents map[string]*AgentData `json:"agents,omitempty"`
	Fleet  *desired.State        `json:"fleet,omitempty"`
}

// Snapshot serializes the state.
func (s *State) Snapshot() ([]byte, error) {
	text, err := json.Marshal(snapshot{FormatVersion, s.councilID, s.voters, s.epoch, s.lastToken, s.Duties(), s.Jobs(), s.agents, s.fleet})
	if err != nil {
		return nil, fmt.Errorf("duty: snapshot: %w", err)
	}
	return text, nil
}

// Load replaces the state by a snapshot's. On an error the state is unchanged.
func (s *State) Load(text []byte) error {
	var loaded snapshot
	if err := json.Unmarshal(text, &loaded); err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	if loaded.FormatVersion != FormatVersion {
		return fmt.Errorf("duty: snapshot has format version %d, this build supports %d: install the version that the other agents run", loaded.FormatVersion, FormatVersion)
	}
	state := New()
	state.councilID, state.voters = loaded.CouncilID, loaded.Voters
	state.epoch, state.lastToken = loaded.Epoch, loaded.LastToken
	for name, m := range loaded.Agents {
		if m == nil || m.Instances == nil {
			return fmt.Errorf("duty: snapshot: agent %s has no instances", name)
		}
		state.agents[name] = m
	}
	if loaded.Fleet != nil {
		state.fleet = loaded.Fleet.Clone()
	}
	for _, d := range loaded.Duties {
		state.duties[d.Name] = &d
		if d.Token > state.lastToken {
			return fmt.Errorf("duty: snapshot: duty %s has token %v, which is above the last issued token %v", d.Name, d.Token, state.lastToken)
		}
	}
	for _, j := range loaded.Jobs {
		if len(j.Steps) != len(j.Targets) {
			return fmt.Errorf("duty: snapshot: job %s has %d targets and %d steps", j.ID, len(j.Targets), len(j.Steps))
		}
		state.jobs[j.ID] = j
		state.jobOrder = append(state.jobOrder, j.ID)
	}
	*s = *state
	return nil
}

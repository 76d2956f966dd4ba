// Package agentstate is an agent's state: the desired state of each instance, which command
// holds it, and the commands and operations with their steps. It does no I/O and has no
// clock. Each change is an Entry, which the agent writes to its record before it
// applies it, so that replaying the record gives the same State.
package agentstate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/protocol"
)

const (
	// MaxCommands bounds the ended commands that are kept. The id of an evicted one is
	// refused as too old, so that it can't act twice.
	MaxCommands = 2000
	// MaxInstances bounds the instances that all ended commands name together, and so
	// the operations that are kept.
	MaxInstances = 10_000
	// maxSteps bounds an operation's steps, of which the latest are kept; a resumed
	// operation adds to them.
	maxSteps = 16
	// maxPlanBytes bounds a command's plan, in bytes; a longer one is refused.
	maxPlanBytes = 1 << 10
	// MaxFences bounds the duties whose tokens are kept.
	MaxFences = 64
)

// Entry is one change. Exactly one of its pointers is set.
type Entry struct {
	At         time.Time   `json:"at"`
	Snapshot   *Snapshot   `json:"snapshot,omitempty"`
	Open       *Open       `json:"open,omitempty"`
	Close      *Close      `json:"close,omitempty"`
	Begin      *Begin      `json:"begin,omitempty"`
	Step       *Step       `json:"step,omitempty"`
	End        *End        `json:"end,omitempty"`
	FoundDown  *FoundDown  `json:"found,omitempty"`
	Fence      *Fence      `json:"fence,omitempty"`
	AgentStart *AgentStart `json:"life,omitempty"`
	Hold       *Hold       `json:"hold,omitempty"`
	Adopt      *Adopt      `json:"learn,omitempty"`
	FleetBans  *FleetBans  `json:"fleet,omitempty"`
}

// AgentStart is a start of an agent on a state directory.
type AgentStart struct {
	StateDirID string `json:"folder"` // the directory's id, assigned at its creation
	Starts     uint64 `json:"starts"`
	// MayLackState is set if state may have been lost: until the agent has the fleet's tokens
	// it accepts no order of a duty.
	MayLackState bool `json:"forgetful,omitempty"`
}

// Hold records instances whose desired state is unknown, and what became of the agent's record.
type Hold struct {
	Instances []string `json:"instances"`
	Reason    string   `json:"why"`
}

// Adopt adopts desired states that others have kept or that an operator has decided. One of a lower
// generation than the one here changes nothing.
type Adopt struct {
	Instances map[string]DesiredState   `json:"instances,omitempty"`
	Fences    map[string]protocol.Token `json:"fences,omitempty"`
	// StateComplete clears AgentStart.MayLackState.
	StateComplete bool   `json:"whole,omitempty"`
	Source        string `json:"source"`
}

// DesiredState is the desired state of an instance.
type DesiredState struct {
	Up         bool   `json:"up"`
	Generation uint64 `json:"generation"`
	Program    string `json:"program,omitempty"` // see protocol.Instance
}

// FleetBans adopts the fleet's bans.
type FleetBans struct {
	Bans cordon.FleetBans `json:"word"`
	// Fence is the fence of the owner that sends them; nil if they come from the council itself.
	Fence *protocol.Fence `json:"fence,omitempty"`
}

// Fence raises a duty's token: orders with lower ones are refused from then on.
type Fence struct {
	protocol.Fence
	By string `json:"by"`
}

// Open opens a command and takes its lease.
type Open struct {
	Request  protocol.CommandRequest `json:"request"`
	Operator string                  `json:"operator"`
}

// Close ends a command and frees its lease.
type Close struct {
	ID     string `json:"id"`
	State  string `json:"state"` // protocol.Closed or Expired
	Reason string `json:"reason,omitempty"`
	// Fence is the fence of the owner that ends it; nil if the operator's tool or the expired lease does.
	Fence *protocol.Fence `json:"fence,omitempty"`
}

// Begin begins or resumes an operation; with it the desired state changes.
type Begin struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	// Run is the token of the process that was running, "" for none. It distinguishes the
	// old process from the new one if the agent dies in between.
	Run string `json:"run"`
	// Fence is the fence of the owner that orders it; nil if an operator's tool does.
	Fence *protocol.Fence `json:"fence,omitempty"`
}

// Step is a step that an operation is about to take.
type Step struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Name     string `json:"name"`
	Note     string `json:"note,omitempty"`
}

// End ends an operation.
type End struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
}

// FoundDown records instances that were found down after their desired state had been
// lost: they stay down, as they may have been drained for a reason.
type FoundDown struct {
	Instances []string `json:"down"`
}

// Snapshot is a whole State.
type Snapshot struct {
	Instances map[string]*Instance `json:"instances"`
	Commands  []*Command           `json:"commands"`
	Horizon   time.Time            `json:"horizon"`
	// Fences has the highest token seen of each duty.
	Fences     map[string]protocol.Token `json:"fences,omitempty"`
	AgentStart AgentStart                `json:"life,omitzero"`
	FleetBans  cordon.FleetBans          `json:"word,omitzero"`
}

// Instance is the state of an instance.
type Instance struct {
	Up         bool   `json:"up"` // desired
	Generation uint64 `json:"generation"`
	// Operation is the command whose operation is in progress here, "" for none.
	Operation string `json:"operation,omitempty"`
	// HeldReason says why the desired state is unknown; "" if it is known.
	HeldReason string `json:"held,omitempty"`
	Program    string `json:"program,omitempty"` // desired
}

// Command is a command with its operations.
type Command struct {
	protocol.Command
	// RunTokens has the token of Begin for each instance.
	RunTokens map[string]string `json:"runs"`
	// Resumes counts how often the command was resumed. LastTry has the value of Resumes when
	// an instance's operation last began: it begins once per resume.
	Resumes int            `json:"resumes,omitempty"`
	LastTry map[string]int `json:"tries"`
}

// State is an agent's state. Create it with New. It is not safe for concurrent use.
type State struct {
	instances  map[string]*Instance
	commands   map[string]*Command
	order      []string            // ids of commands, oldest first
	holders    map[string]*Command // by instance: the open command that has its lease
	horizon    time.Time           // commands with ids from before this may have been evicted
	fences     map[string]protocol.Token
	agentStart AgentStart
	fleetBans  cordon.FleetBans // the fleet's latest bans
}

// New creates a State for the given instances. Others that later entries name are kept as
// well, as their definition may come back.
func New(names []string) *State {
	b := &State{instances: map[string]*Instance{}, commands: map[string]*Command{}, holders: map[string]*Command{}, fences: map[string]protocol.Token{}}
	for _, name := range names {
		b.instances[name] = &Instance{Up: true}
	}
	return b
}

// RaiseHorizon records that commands from before now may be missing, as after damage to the
// record: their ids are refused.
func (b *State) RaiseHorizon(now time.Time) { b.horizon = now.Truncate(time.Millisecond) }

// Instance returns a copy of an instance's state.
func (b *State) Instance(name string) (Instance, bool) {
	i := b.instances[name]
	if i == nil {
		return Instance{}, false
	}
	return *i, true
}

// Holder returns the holder of an instance; nil if there is none.
func (b *State) Holder(name string) *protocol.Holder {
	c := b.holders[name]
	if c == nil {
		return nil
	}
	return &protocol.Holder{Command: c.ID, Kind: c.Kind, Operator: c.Operator, Since: c.Opened}
}

// Command returns a copy of a command; nil if there is none.
func (b *State) Command(id string) *protocol.Command {
	c := b.commands[id]
	if c == nil {
		return nil
	}
	return c.public()
}

func (c *Command) public() *protocol.Command {
	v := c.Command
	v.Instances = slices.Clone(v.Instances)
	if v.Fence != nil {
		f := *v.Fence
		v.Fence = &f
	}
	v.Operations = slices.Clone(v.Operations)
	for i := range v.Operations {
		v.Operations[i].Steps = slices.Clone(v.Operations[i].Steps)
	}
	return &v
}

func (c *Command) clone() *Command {
	return &Command{Command: *c.public(), RunTokens: maps.Clone(c.RunTokens), Resumes: c.Resumes, LastTry: maps.Clone(c.LastTry)}
}

// Commands returns the latest commands, newest first, at most n.
func (b *State) Commands(n int) []*protocol.Command {
	list := make([]*protocol.Command, 0, min(n, len(b.order)))
	for _, id := range slices.Backward(b.order) {
		if len(list) == n {
			break
		}
		list = append(list, b.commands[id].public())
	}
	return list
}

// OpenCommands returns the ids of the commands that hold a lease.
func (b *State) OpenCommands() []string {
	var ids []string
	for _, id := range b.order {
		if b.commands[id].State == protocol.Open {
			ids = append(ids, id)
		}
	}
	return ids
}

// Operation returns a copy of an operation; nil if it was never begun.
func (b *State) Operation(id, instance string) *protocol.Operation {
	o := b.operation(id, instance)
	if o == nil {
		return nil
	}
	v := *o
	v.Steps = slices.Clone(o.Steps)
	return &v
}

func (b *State) operation(id, instance string) *protocol.Operation {
	c := b.commands[id]
	if c == nil {
		return nil
	}
	i := slices.IndexFunc(c.Operations, func(o protocol.Operation) bool { return o.Instance == instance })
	if i < 0 {
		return nil
	}
	return &c.Operations[i]
}

// RunTokenAt returns the token of the process that was running when an operation began.
func (b *State) RunTokenAt(id, instance string) string {
	if c := b.commands[id]; c != nil {
		return c.RunTokens[instance]
	}
	return ""
}

// Check reports whether a change may be made; the error is the answer to the requester.
// done means that it was made before and must not be written again.
func (b *State) Check(e Entry) (done bool, err error) {
	switch {
	case e.Open != nil:
		return b.checkOpen(e.Open)
	case e.Begin != nil:
		return b.checkBegin(e.Begin)
	case e.Close != nil:
		c := b.commands[e.Close.ID]
		if c == nil {
			return false, protocol.Errorf(protocol.CodeNotFound, "no command %s is known here", e.Close.ID)
		}
		if e.Close.Fence != nil || c.Fence != nil && e.Close.State == protocol.Closed {
			if err := b.checkCommandFence(c, e.Close.Fence); err != nil {
				return false, err
			}
		}
		return c.State != protocol.Open, nil
	case e.Fence != nil:
		return b.checkFenceRaise(e.Fence)
	case e.FleetBans != nil:
		return b.checkFleet(e.FleetBans)
	case e.Step != nil:
		o := b.operation(e.Step.ID, e.Step.Instance)
		if o == nil || o.State != protocol.Running {
			return false, protocol.Errorf(protocol.CodeConflict, "operation %s on %s is not in progress", e.Step.ID, e.Step.Instance)
		}
		// A step precedes each effect, so this checks the token right before the effect.
		if c := b.commands[e.Step.ID]; c.Fence != nil {
			return false, b.checkFence(protocol.Fence{Duty: c.Fence.Duty, Token: o.Token})
		}
	case e.End != nil:
		o := b.operation(e.End.ID, e.End.Instance)
		if o == nil {
			return false, protocol.Errorf(protocol.CodeNotFound, "no operation %s on %s is known here", e.End.ID, e.End.Instance)
		}
		return o.State != protocol.Running && !(o.State == protocol.Interrupted && e.End.State == protocol.Aborted), nil
	}
	return false, nil
}

// Fences returns the highest token seen of each duty.
func (b *State) Fences() map[string]protocol.Token { return maps.Clone(b.fences) }

// checkFence refuses an order under a token below the highest one seen.
func (b *State) checkFence(f protocol.Fence) error {
	if highest := b.fences[f.Duty]; f.Token < highest {
		return protocol.Errorf(protocol.CodeFenced, "token %v of %s is over: token %v was seen here", f.Token, f.Duty, highest)
	}
	return nil
}

// checkCommandFence refuses an order on a fenced command that does not come from the owner that
// resumed it last.
func (b *State) checkCommandFence(c *Command, f *protocol.Fence) error {
	switch {
	case c.Fence == nil:
		return protocol.Errorf(protocol.CodeConflict, "command %s belongs to operator %s, not to a duty", c.ID, c.Operator)
	case f == nil:
		return protocol.Errorf(protocol.CodeConflict, "command %s belongs to a job of the fleet: otterctl jobs pauses, resumes and cancels it", c.ID)
	case f.Duty != c.Fence.Duty || f.Token > c.Fence.Token:
		return protocol.Errorf(protocol.CodeConflict, "command %s was not opened by token %v of %s", c.ID, f.Token, f.Duty)
	}
	return b.checkFence(*f) // the command's own token is among those seen
}

// CheckOwner reports whether a fence may still give orders on a command.
func (b *State) CheckOwner(id string, f *protocol.Fence) error {
	c := b.commands[id]
	if c == nil {
		return protocol.Errorf(protocol.CodeNotFound, "no command %s is known here", id)
	}
	return b.checkCommandFence(c, f)
}

func (b *State) checkFenceRaise(f *Fence) (bool, error) {
	highest, known := b.fences[f.Duty]
	switch {
	case !protocol.NamePattern.MatchString(f.Duty) || f.Token == 0:
		return false, protocol.Errorf(protocol.CodeUsage, "fence: %q with token %v", f.Duty, f.Token)
	case !known && len(b.fences) >= MaxFences:
		return false, protocol.Errorf(protocol.CodeUsage, "fence: at most %d duties are supported", MaxFences)
	}
	return f.Token == highest, b.checkFence(f.Fence)
}

func (b *State) checkFleet(f *FleetBans) (bool, error) {
	if err := f.Bans.Check(); err != nil {
		return false, protocol.Errorf(protocol.CodeUsage, "the fleet's word: %v", err)
	}
	if f.Fence != nil {
		if _, err := b.checkFenceRaise(&Fence{Fence: *f.Fence}); err != nil {
			return false, err
		}
	}
	if f.Bans.Version < b.fleetBans.Version {
		return false, protocol.Errorf(protocol.CodeConflict, "the fleet's word: version %v is older than version %v, which was seen here", protocol.Token(f.Bans.Version), protocol.Token(b.fleetBans.Version))
	}
	return f.Bans.Version == b.fleetBans.Version && (f.Fence == nil || f.Fence.Token == b.fences[f.Fence.Duty]), nil
}

// FleetBans returns the fleet's latest bans.
func (b *State) FleetBans() cordon.FleetBans { return b.fleetBans }

func (b *State) checkOpen(o *Open) (bool, error) {
	r := o.Request
	created, err := protocol.IDTime(r.ID)
	switch {
	case err != nil:
		return false, protocol.Errorf(protocol.CodeUsage, "id: %v", err)
	case !slices.Contains(protocol.Kinds, r.Kind):
		return false, protocol.Errorf(protocol.CodeUsage, "kind: unknown kind %q", r.Kind)
	case r.Kind == protocol.Upgrade && r.Fence == nil:
		return false, protocol.Errorf(protocol.CodeUsage, "kind: an upgrade is a job of the fleet: otterctl apply")
	case r.Program != "" && (r.Kind != protocol.Upgrade || !protocol.NamePattern.MatchString(r.Program)):
		return false, protocol.Errorf(protocol.CodeUsage, "program: %.80q of a command of kind %q", r.Program, r.Kind)
	case len(r.Plan) > maxPlanBytes:
		return false, protocol.Errorf(protocol.CodeUsage, "plan: %d bytes, at most %d are allowed", len(r.Plan), maxPlanBytes)
	case len(r.Instances) == 0 || len(r.Instances) > protocol.MaxInstances:
		return false, protocol.Errorf(protocol.CodeUsage, "instances: %d are named, 1 to %d are allowed", len(r.Instances), protocol.MaxInstances)
	}
	if r.Fence != nil {
		if _, err := b.checkFenceRaise(&Fence{Fence: *r.Fence}); err != nil {
			return false, err
		}
	}
	names := map[string]bool{}
	for _, s := range r.Instances {
		if names[s.Name] {
			return false, protocol.Errorf(protocol.CodeUsage, "instances: %q is named twice", s.Name)
		}
		names[s.Name] = true
	}
	if c := b.commands[r.ID]; c != nil {
		same := c.Kind == r.Kind && c.Operator == o.Operator && len(c.Instances) == len(r.Instances) &&
			!slices.ContainsFunc(c.Instances, func(n string) bool { return !names[n] })
		switch {
		case (c.Fence == nil) != (r.Fence == nil):
			return false, b.checkCommandFence(c, r.Fence)
		case r.Fence != nil && c.Fence.Duty != r.Fence.Duty:
			return false, protocol.Errorf(protocol.CodeConflict, "command %s exists here as a command of duty %s", r.ID, c.Fence.Duty)
		case !same && !r.Resume:
			return false, protocol.Errorf(protocol.CodeConflict, "command %s exists here with other content: %s by %s", r.ID, c.Kind, c.Operator)
		case c.Kind != r.Kind || c.Program != r.Program:
			return false, protocol.Errorf(protocol.CodeConflict, "command %s exists here as %s %s", r.ID, c.Kind, c.Program)
		case !r.Resume && c.State == protocol.Open:
			return true, nil // repeated, as its answer was lost
		case !r.Resume:
			return false, protocol.Errorf(protocol.CodeConflict, "command %s has ended (%s)", r.ID, c.State)
		}
	} else if created.Before(b.horizon) {
		return false, protocol.Errorf(protocol.CodeTooOld, "command %s is from before %s, and older commands may have been evicted here: whether it was done can't be told", r.ID, b.horizon.UTC().Format(time.RFC3339))
	}
	for _, s := range r.Instances {
		i := b.instances[s.Name]
		if i == nil {
			return false, &protocol.Error{Code: protocol.CodeNotFound, Instance: s.Name, Text: fmt.Sprintf("no instance %q is known here", s.Name)}
		}
		if h := b.Holder(s.Name); h != nil && (h.Command != r.ID || h.Operator != o.Operator) {
			return false, &protocol.Error{
				Code: protocol.CodeConflict, Instance: s.Name, Holder: h,
				Text: fmt.Sprintf("%s is held by %s for %s %s since %s", s.Name, h.Operator, h.Kind, h.Command, h.Since.UTC().Format(time.RFC3339)),
			}
		}
		if i.Operation != "" && i.Operation != r.ID {
			c := b.commands[i.Operation]
			return false, &protocol.Error{
				Code: protocol.CodeConflict, Instance: s.Name,
				Holder: &protocol.Holder{Command: c.ID, Kind: c.Kind, Operator: c.Operator, Since: c.Opened},
				Text:   fmt.Sprintf("%s of %s on %s, begun for command %s, has not ended", c.Kind, c.Operator, s.Name, c.ID),
			}
		}
		// An owner that resumes a job's order has just read the instance's state; only that order
		// itself may have changed it since, and a drain by an operator meanwhile must not be undone.
		last := b.lastHolder(s.Name)
		ignoreGeneration := r.Resume && (r.Fence == nil || last != nil && last.Command == r.ID)
		if i.Generation != s.Generation && !ignoreGeneration {
			return false, &protocol.Error{
				Code: protocol.CodeConflict, Instance: s.Name, Holder: last,
				Text: fmt.Sprintf("%s has changed since it was read: generation %d, now %d", s.Name, s.Generation, i.Generation),
			}
		}
		// No job starts an instance that an operator has drained, whatever state its owner observed.
		if r.Fence != nil && (r.Kind == protocol.Restart || r.Kind == protocol.Upgrade) && !i.Up && b.commands[r.ID] == nil {
			return false, &protocol.Error{Code: protocol.CodeConflict, Instance: s.Name, Text: fmt.Sprintf("%s is drained", s.Name)}
		}
	}
	return false, nil
}

// lastHolder returns the command that last began an operation on an instance.
func (b *State) lastHolder(name string) *protocol.Holder {
	for _, id := range slices.Backward(b.order) {
		if c := b.commands[id]; b.operation(id, name) != nil {
			return &protocol.Holder{Command: c.ID, Kind: c.Kind, Operator: c.Operator, Since: c.Opened}
		}
	}
	return nil
}

func (b *State) checkBegin(e *Begin) (bool, error) {
	c := b.commands[e.ID]
	if c == nil {
		return false, protocol.Errorf(protocol.CodeNotFound, "no command %s is known here", e.ID)
	}
	if !slices.Contains(c.Instances, e.Instance) {
		return false, protocol.Errorf(protocol.CodeUsage, "command %s does not name %q", e.ID, e.Instance)
	}
	if c.Fence != nil || e.Fence != nil {
		if err := b.checkCommandFence(c, e.Fence); err != nil {
			return false, err
		}
	}
	if o := b.operation(e.ID, e.Instance); o != nil && c.Fence != nil && o.State == protocol.Running && o.Token < c.Fence.Token {
		return false, nil // the new owner takes it over
	} else if o != nil && (o.State == protocol.Running || o.State == protocol.Done ||
		c.LastTry[e.Instance] == c.Resumes || c.State != protocol.Open) {
		return true, nil // begun before: the answer is the operation's state
	}
	if c.State != protocol.Open {
		return false, protocol.Errorf(protocol.CodeConflict, "command %s is %s and no longer holds %s", e.ID, c.State, e.Instance)
	}
	return false, nil
}

// Apply applies a change that Check has accepted, now or before it was written to the record.
func (b *State) Apply(e Entry) {
	switch {
	case e.Snapshot != nil:
		b.load(e.Snapshot)
	case e.Open != nil:
		b.open(e.At, e.Open)
	case e.Close != nil:
		if c := b.commands[e.Close.ID]; c != nil {
			b.release(c)
			c.State, c.Reason = e.Close.State, protocol.Truncate(e.Close.Reason)
			b.evict()
		}
	case e.Begin != nil:
		b.begin(e.At, e.Begin)
	case e.Step != nil:
		if o := b.operation(e.Step.ID, e.Step.Instance); o != nil {
			if len(o.Steps) == maxSteps {
				o.Steps = slices.Delete(o.Steps, 0, 1)
			}
			o.Steps = append(o.Steps, protocol.Step{Name: e.Step.Name, At: e.At, Note: protocol.Truncate(e.Step.Note)})
		}
	case e.Fence != nil:
		b.fences[e.Fence.Duty] = max(b.fences[e.Fence.Duty], e.Fence.Token)
	case e.FleetBans != nil:
		if b.fleetBans = e.FleetBans.Bans; e.FleetBans.Fence != nil {
			b.fences[e.FleetBans.Fence.Duty] = max(b.fences[e.FleetBans.Fence.Duty], e.FleetBans.Fence.Token)
		}
	case e.AgentStart != nil:
		b.agentStart = *e.AgentStart
	case e.Hold != nil:
		for _, name := range e.Hold.Instances {
			b.instance(name).HeldReason = protocol.Truncate(e.Hold.Reason)
		}
	case e.Adopt != nil:
		b.adopt(e.Adopt)
	case e.FoundDown != nil:
		for _, name := range e.FoundDown.Instances {
			if i := b.instances[name]; i != nil {
				i.Up = false
			}
		}
	case e.End != nil:
		if o := b.operation(e.End.ID, e.End.Instance); o != nil {
			o.State, o.Reason, o.Ended = e.End.State, protocol.Truncate(e.End.Reason), e.At
			if i := b.instances[e.End.Instance]; i != nil && i.Operation == e.End.ID {
				i.Operation = ""
			}
		}
	}
}

func (b *State) instance(name string) *Instance {
	if b.instances[name] == nil {
		b.instances[name] = &Instance{}
	}
	return b.instances[name]
}

func (b *State) adopt(l *Adopt) {
	for name, w := range l.Instances {
		if i := b.instance(name); w.Generation >= i.Generation {
			i.Up, i.Generation, i.HeldReason, i.Program = w.Up, w.Generation, "", w.Program
		}
	}
	for duty, t := range l.Fences {
		b.fences[duty] = max(b.fences[duty], t)
	}
	if l.StateComplete {
		b.agentStart.MayLackState = false
	}
}

// AgentStart returns the latest recorded start of the agent; zero if there is none.
func (b *State) AgentStart() AgentStart { return b.agentStart }

func (b *State) release(c *Command) {
	for _, name := range c.Instances {
		if b.holders[name] == c {
			delete(b.holders, name)
		}
	}
}

func (b *State) open(at time.Time, o *Open) {
	r := o.Request
	c := b.commands[r.ID]
	if c == nil {
		c = &Command{Command: protocol.Command{ID: r.ID, Opened: at, Operations: []protocol.Operation{}}, RunTokens: map[string]string{}, LastTry: map[string]int{}}
		b.commands[r.ID] = c
		b.order = append(b.order, r.ID)
	} else {
		b.release(c)
		c.Resumes++
	}
	c.Kind, c.Operator, c.Plan, c.Program, c.State, c.Reason = r.Kind, o.Operator, r.Plan, r.Program, protocol.Open, ""
	if r.Fence != nil {
		c.Fence = &protocol.Fence{Duty: r.Fence.Duty, Token: r.Fence.Token}
		b.fences[r.Fence.Duty] = max(b.fences[r.Fence.Duty], r.Fence.Token)
	}
	for _, s := range r.Instances {
		if !slices.Contains(c.Instances, s.Name) {
			c.Instances = append(c.Instances, s.Name)
		}
	}
	for _, name := range c.Instances {
		b.holders[name] = c
	}
	b.evict()
}

func (b *State) begin(at time.Time, e *Begin) {
	c := b.commands[e.ID]
	if c == nil {
		return
	}
	i := b.instance(e.Instance)
	o := b.operation(e.ID, e.Instance)
	if o != nil && o.State == protocol.Running && e.Fence != nil { // taken over by another owner, and continued
		o.Token = e.Fence.Token
		return
	}
	i.Generation++
	i.Operation, i.HeldReason = e.ID, ""
	if c.Kind != protocol.Reload {
		i.Up = c.Kind != protocol.Drain
	}
	if c.Kind == protocol.Upgrade {
		i.Program = c.Program
	}
	c.LastTry[e.Instance] = c.Resumes
	if o == nil || o.State != protocol.Interrupted {
		// An interrupted operation continues from the process that was running when it began: a
		// process started since then is the new one already, and must not be ended again.
		c.RunTokens[e.Instance] = e.Run
	}
	if o == nil {
		c.Operations = append(c.Operations, protocol.Operation{Command: c.ID, Kind: c.Kind, Instance: e.Instance, Began: at})
		o = &c.Operations[len(c.Operations)-1]
	}
	o.Operator, o.Generation, o.State, o.Reason, o.Ended = c.Operator, i.Generation, protocol.Running, "", time.Time{}
	if e.Fence != nil {
		o.Token = e.Fence.Token
	}
}

// hasRunning reports whether an operation of a command is in progress.
func (b *State) hasRunning(c *Command) bool {
	return slices.ContainsFunc(c.Operations, func(o protocol.Operation) bool { return o.State == protocol.Running })
}

// evict removes the oldest ended commands beyond MaxCommands and MaxInstances.
func (b *State) evict() {
	commands, instances := len(b.order), 0
	for _, c := range b.commands {
		instances += len(c.Instances)
	}
	if commands <= MaxCommands && instances <= MaxInstances {
		return
	}
	b.order = slices.DeleteFunc(b.order, func(id string) bool {
		c := b.commands[id]
		if commands <= MaxCommands && instances <= MaxInstances || c.State == protocol.Open || b.hasRunning(c) {
			return false
		}
		commands--
		instances -= len(c.Instances)
		delete(b.commands, id)
		if created, err := protocol.IDTime(id); err == nil && !created.Before(b.horizon) {
			b.horizon = created.Add(time.Millisecond)
		}
		return true
	})
}

// Snapshot returns a deep copy of the whole state.
func (b *State) Snapshot() *Snapshot {
	s := &Snapshot{Instances: map[string]*Instance{}, Commands: make([]*Command, 0, len(b.order)), Horizon: b.horizon, Fences: maps.Clone(b.fences), AgentStart: b.agentStart, FleetBans: b.fleetBans}
	for name, i := range b.instances {
		copied := *i
		s.Instances[name] = &copied
	}
	for _, id := range b.order {
		c := b.commands[id]
		s.Commands = append(s.Commands, c.clone())
	}
	return s
}

func (b *State) load(s *Snapshot) {
	for name, i := range s.Instances {
		copied := *i
		b.instances[name] = &copied
	}
	b.commands, b.holders, b.order, b.horizon = map[string]*Command{}, map[string]*Command{}, nil, s.Horizon
	b.fences = map[string]protocol.Token{}
	maps.Copy(b.fences, s.Fences)
	b.agentStart, b.fleetBans = s.AgentStart, s.FleetBans
	for _, c := range s.Commands {
		kept := c.clone()
		b.commands[c.ID] = kept
		b.order = append(b.order, c.ID)
		if c.State == protocol.Open {
			for _, name := range c.Instances {
				b.holders[name] = kept
			}
		}
	}
}

// Unfinished returns the operations in progress, in the order of their instances.
func (b *State) Unfinished() []protocol.Operation {
	var list []protocol.Operation
	for _, id := range b.order {
		for _, o := range b.commands[id].Operations {
			if o.State == protocol.Running {
				list = append(list, o)
			}
		}
	}
	slices.SortFunc(list, func(x, y protocol.Operation) int { return cmp.Compare(x.Instance, y.Instance) })
	return list
}

// Package protocol defines the protocol between the operator's tool and the agents:
// JSON over HTTP, on a Unix socket or mutual TLS.
//
//	GET    /v1/agent                              Agent
//	GET    /v1/instances                          []Instance
//	GET    /v1/instances/{name}/inspect           control.Inspection
//	POST   /v1/instances/{name}/kept              control.StateCommand -> control.Inspection
//	GET    /v1/commands                           []Command
//	GET    /v1/commands/{id}                      Command
//	POST   /v1/commands                           CommandRequest -> Command
//	POST   /v1/commands/{id}/renew                Command
//	POST   /v1/commands/{id}/close                CloseRequest -> Command
//	POST   /v1/commands/{id}/run/{instance}       Operation
//	POST   /v1/commands/{id}/abort                Command
//	GET    /v1/commands/{id}/run/{instance}       Operation; ?wait=MS waits for its end
//	POST   /v1/fence                              Fence -> FenceAnswer
//	GET    /v1/fleet                              FleetStatus
//	POST   /v1/fleet                              FleetOrder -> FleetStatus
//	GET    /v1/recovery                           Recovery
//	POST   /v1/recovery/{instance}                Decision -> Instance
//
// Every answer with a status other than 2xx holds an Error. Unknown fields are refused.
package protocol

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"otterstep/internal/cordon"
)

const (
	// Version is the protocol's version, given in every path and in the header VersionHeader
	// of every request and answer.
	Version       = 1
	VersionHeader = "Otterstep-Protocol"

	// MaxBodySize limits a request's body, MaxAnswerSize an answer's, in bytes.
	MaxBodySize   = 1 << 20
	MaxAnswerSize = 16 << 20
	// MaxInstances limits the instances of one agent and of one command at it.
	MaxInstances = 1000
	// MaxWait limits how long a call may wait for an operation to end.
	MaxWait = 30 * time.Second

	// MaxTextSize limits a reason or a note, in bytes; see Truncate.
	MaxTextSize = 200

	// LeaseDuration is how long a command's lease on its instances lasts without renewal. It
	// bounds how long a tool that died blocks them.
	LeaseDuration = 10 * time.Second
)

// Token is the fencing token of a duty's owner: each acquisition gets a higher one than all
// before it. Its upper bits are the epoch, which a recovery of the council increments.
type Token uint64

// EpochShift is the number of bits of a Token below its epoch.
const EpochShift = 40

// Epoch returns the token's epoch.
func (t Token) Epoch() uint64 { return uint64(t) >> EpochShift }

// String formats epoch and number, as in "0.17".
func (t Token) String() string {
	return fmt.Sprintf("%d.%d", t.Epoch(), uint64(t)&(1<<EpochShift-1))
}

// Fence authorizes an order: the duty and the fencing token of its sender. It is sent in a
// CommandRequest, and in the header FenceHeader of the calls that follow it.
type Fence struct {
	Duty  string `json:"duty"`
	Token Token  `json:"token"`
}

// FenceHeader carries a Fence as text.
const FenceHeader = "Otterstep-Fence"

// String formats a fence as ParseFence parses it.
func (f Fence) String() string { return fmt.Sprintf("%s %d", f.Duty, uint64(f.Token)) }

// ParseFence parses the value of FenceHeader.
func ParseFence(text string) (*Fence, error) {
	duty, number, _ := strings.Cut(text, " ")
	token, err := strconv.ParseUint(number, 10, 64)
	if err != nil || !NamePattern.MatchString(duty) || token == 0 {
		return nil, Errorf(CodeUsage, "%s: %.80q is not a duty and its token", FenceHeader, text)
	}
	return &Fence{duty, Token(token)}, nil
}

// FenceAnswer is the answer to a raised token: the agent's instances as of that token.
type FenceAnswer struct {
	Instances []Instance `json:"instances"`
}

// FleetStatus reports which version of the fleet's bans an agent and its instances have applied. A version counts for
// an instance only once the instance's current process has confirmed it.
type FleetStatus struct {
	Agent          string        `json:"agent"`
	Version        Token         `json:"version"` // the latest one stored on the agent's disk
	Token          Token         `json:"token"`
	SinceConfirmed time.Duration `json:"heard_ns"` // since the agent was last told that Version is the latest
	SinceKnown     bool          `json:"heard"`    // whether it was told so since its start
	// Instances lists the instances that have a control socket.
	Instances []InstanceStatus `json:"instances"`
}

// FleetOrder is sent by the owner of the fleet's duty to an agent, under its token: the latest version, with
// the bans if the agent lacks that version.
type FleetOrder struct {
	Version Token             `json:"version"`
	Bans    *cordon.FleetBans `json:"word,omitempty"`
}

// InstanceStatus reports which version of the fleet's bans an instance has applied.
type InstanceStatus struct {
	Instance      string    `json:"instance"`
	Group         string    `json:"group,omitempty"`
	Zone          string    `json:"zone,omitempty"` // its label "zone"
	Version       Token     `json:"version"`        // last confirmed by its current process
	Since         time.Time `json:"since,omitzero"` // when it confirmed Version
	PendingReason string    `json:"waits,omitempty"`
	Running       bool      `json:"runs"`
	Listed        int       `json:"listed,omitempty"`
	Missing       []string  `json:"missing,omitempty"` // banned servers that are not in its list
	ManualCordons []string  `json:"by_hand,omitempty"` // servers cordoned manually at this instance
	Desired       string    `json:"desired"`           // as in Instance, like the next two
	State         string    `json:"state"`
	Program       string    `json:"program,omitempty"`
}

// Recovery reports the state of an agent's stored data, and the instances it does not start because of it.
type Recovery struct {
	Agent      string         `json:"agent"`
	Memory     string         `json:"memory"`    // whether its stored data is whole, older than its copy, lost or blank
	Forgetful  bool           `json:"forgetful"` // it refuses orders of duty owners until the council has answered
	Council    string         `json:"council"`   // none, silent or answered
	StateDirID string         `json:"folder"`
	Starts     uint64         `json:"starts"`
	Held       []HeldInstance `json:"held"`
}

// HeldInstance is an instance that is not started until its desired state is known.
type HeldInstance struct {
	Instance string    `json:"instance"`
	Since    time.Time `json:"since"`
	Reason   string    `json:"why"`
	// Until is when the agent decides again without an operator. If zero, it waits for an operator's
	// decision or for an answer.
	Until   time.Time `json:"until,omitzero"`
	Running bool      `json:"runs"`
}

// Recover makes one voter the only voter of the council. The cluster's name is the operator's confirmation.
type Recover struct {
	Cluster string `json:"cluster"`
}

// Decision is an operator's decision on a held instance.
type Decision struct {
	Up bool `json:"up"`
}

// Kinds of commands.
const (
	Start   = "start"
	Drain   = "drain"
	Restart = "restart"
	Reload  = "reload"
	Upgrade = "upgrade" // to another version of the program; only as a job of the council
)

// Kinds lists the kinds of commands.
var Kinds = []string{Start, Drain, Restart, Reload, Upgrade}

// States of a command.
const (
	Open    = "open"
	Closed  = "closed"
	Expired = "expired" // its tool did not renew the lease
)

// States of an operation.
const (
	Running     = "running"
	Done        = "done"
	Failed      = "failed"
	Interrupted = "interrupted" // stopped before its end; its last step says where
	Aborted     = "aborted"
)

// States of an instance's process.
const (
	StateUp       = "up"       // running, and /up answers 200
	StateRunning  = "running"  // running, but not known to be up
	StateDown     = "down"     // not running, as desired
	StateBackoff  = "backoff"  // crashed; restarted after a delay
	StateGaveUp   = "gave-up"  // crashed too often: not restarted until a command starts it
	StateUnknown  = "unknown"  // its run file is locked by a process that can't be identified
	StateStopping = "stopping" // was told to end
	StateHeld     = "held"     // its desired state is not known; otterctl recovery says why
	StatePaced    = "paced"    // waiting to be started: the rate of simultaneous starts is limited
)

// Agent is an agent's own state.
type Agent struct {
	Name      string           `json:"name"`
	Protocol  int              `json:"protocol"`
	Version   string           `json:"version"`
	Started   time.Time        `json:"started"`
	Instances int              `json:"instances"`
	Record    string           `json:"record"` // "ok", or why no command is accepted
	Refused   map[string]int64 `json:"refused"`
	// Strays are running instances that are not in the agent's file and therefore not
	// supervised.
	Strays []string `json:"strays,omitempty"`
}

// Holder is the command that holds the lease on an instance.
type Holder struct {
	Command  string    `json:"command"`
	Kind     string    `json:"kind"`
	Operator string    `json:"operator"`
	Since    time.Time `json:"since"`
}

// Instance is an instance's state.
type Instance struct {
	Name       string            `json:"name"`
	Group      string            `json:"group"`
	Labels     map[string]string `json:"labels,omitempty"`
	Listen     string            `json:"listen"`
	Desired    string            `json:"desired"` // "up" or "down"
	State      string            `json:"state"`
	Pid        int               `json:"pid,omitempty"`
	Since      time.Time         `json:"since,omitzero"` // of the state
	Generation uint64            `json:"generation"`     // counts the operations on it
	Crashes    int               `json:"crashes"`        // since it last ran stably
	Message    string            `json:"message,omitempty"`
	Holder     *Holder           `json:"holder,omitempty"`
	Operation  string            `json:"operation,omitempty"` // id of the running operation
	// Program is the desired version of the program, "" for the one in the agent's file.
	Program string `json:"program,omitempty"`
	// Order is the command that last started a process, read from the run file, which survives the
	// loss of the record.
	Order string `json:"order,omitempty"`
}

// InstanceGeneration is an instance with the generation that the tool last read.
type InstanceGeneration struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// CommandRequest opens a command: it acquires a lease on all the instances at once,
// or on none.
type CommandRequest struct {
	ID        string               `json:"id"`
	Kind      string               `json:"kind"`
	Instances []InstanceGeneration `json:"instances"`
	// Plan is the tool's plan for the command, kept for a tool that resumes it.
	Plan string `json:"plan,omitempty"`
	// Resume reopens the ended command with this id.
	Resume bool `json:"resume,omitempty"`
	// Fence is the duty under which an owner sends this, OnBehalf the operator who submitted the job.
	// Agents older than the duties refuse both as unknown fields.
	Fence    *Fence `json:"fence,omitempty"`
	OnBehalf string `json:"on_behalf,omitempty"`
	// Program is the target version of an Upgrade, "" for the one in the agent's file.
	Program string `json:"program,omitempty"`
}

// Command is the part of a command that concerns one agent.
type Command struct {
	ID         string      `json:"id"`
	Kind       string      `json:"kind"`
	Operator   string      `json:"operator"`
	Plan       string      `json:"plan,omitempty"`
	Program    string      `json:"program,omitempty"` // of an Upgrade
	Opened     time.Time   `json:"opened"`
	State      string      `json:"state"`
	Reason     string      `json:"reason,omitempty"`
	Fence      *Fence      `json:"fence,omitempty"` // of the latest owner that opened or resumed it
	Instances  []string    `json:"instances"`
	Operations []Operation `json:"operations"`
}

// CloseRequest ends a command.
type CloseRequest struct {
	Reason string `json:"reason"`
}

// Operation is the work of one command on one instance.
type Operation struct {
	Command    string    `json:"command"`
	Kind       string    `json:"kind"`
	Instance   string    `json:"instance"`
	Operator   string    `json:"operator"`
	Generation uint64    `json:"generation"`
	Token      Token     `json:"token,omitempty"` // of the owner that started it or took it over
	State      string    `json:"state"`
	Reason     string    `json:"reason,omitempty"`
	Steps      []Step    `json:"steps"`
	Began      time.Time `json:"began"`
	Ended      time.Time `json:"ended,omitzero"`
}

// Step is a step of an operation, recorded on disk before it is executed.
type Step struct {
	Name string    `json:"name"`
	At   time.Time `json:"at"`
	Note string    `json:"note,omitempty"`
}

// Codes of an Error.
const (
	CodeUsage     = "usage"
	CodeVersion   = "version"
	CodeForbidden = "forbidden"
	CodeNotFound  = "not-found"
	CodeConflict  = "conflict"
	CodeTooOld    = "too-old"    // the command's id is older than the retained history
	CodeRecord    = "record"     // the record can't be written, so nothing is started
	CodeFenced    = "fenced"     // the agent has seen a newer owner's token: the order is refused
	CodeNoCouncil = "no-council" // there is none, or it has no reachable leader
	CodeOff       = "off"        // the agent's file has no [council]
	CodeForgetful = "forgetful"  // the agent has lost its stored data and executes nothing yet
	CodeFailed    = "failed"
)

// Error is a refusal.
type Error struct {
	Code     string  `json:"code"`
	Text     string  `json:"text"`
	Instance string  `json:"instance,omitempty"`
	Holder   *Holder `json:"holder,omitempty"` // CodeConflict: the command that holds the instance
	Leader   string  `json:"leader,omitempty"` // CodeNoCouncil: the leader's agent, if known
}

func (e *Error) Error() string { return e.Text }

// Status returns the HTTP status for an error.
func (e *Error) Status() int {
	switch e.Code {
	case CodeUsage, CodeVersion:
		return 400
	case CodeForbidden:
		return 403
	case CodeNotFound, CodeOff:
		return 404
	case CodeConflict, CodeTooOld, CodeFenced:
		return 409
	case CodeRecord, CodeNoCouncil, CodeForgetful:
		return 503
	}
	return 500
}

// Errorf returns an Error with a code and a formatted text.
func Errorf(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// A command's id begins with the time of its creation, so that an agent can tell a
// command dropped from its history from one that it never received.
var idPattern = regexp.MustCompile(`^[0-9a-f]{12}-[0-9a-f]{16}$`)

// NewID returns a command's id made from a time and 64 random bits.
func NewID(now time.Time, random uint64) string {
	return fmt.Sprintf("%012x-%016x", now.UnixMilli(), random)
}

// IDTime returns the time in a command's id.
func IDTime(id string) (time.Time, error) {
	if !idPattern.MatchString(id) {
		return time.Time{}, fmt.Errorf("%q is not a command id", id)
	}
	ms, err := strconv.ParseInt(id[:12], 16, 64)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is not a command id: %w", id, err)
	}
	return time.UnixMilli(ms), nil
}

// OperatorPattern matches an operator's name, taken from a certificate or a local user.
var OperatorPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@:-]{0,127}$`)

// NamePattern matches the name of an agent, instance or group.
var NamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Truncate truncates a text to MaxTextSize bytes.
func Truncate(words string) string {
	if len(words) <= MaxTextSize {
		return words
	}
	return strings.ToValidUTF8(words[:MaxTextSize], "") + "…"
}

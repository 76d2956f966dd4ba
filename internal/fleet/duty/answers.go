package duty

import (
	"strings"
	"time"

	"otterstep/internal/fleet/desired"
)

// Hello is the handshake that a voter sends when it opens a stream to another voter.
type Hello struct {
	Cluster   string
	CouncilID string
	Epoch     uint64 // of the council, as known to the sender
	From, To  string // server IDs, AGENT/STORE
}

// States of a voter.
const (
	Blank    = "blank" // belongs to no council yet, and waits until it is added to one
	Learner  = "learner"
	Follower = "follower"
	Leader   = "leader"
	NoLeader = "no-leader"
	Broken   = "broken"  // its store fails, or has content that can't be decoded
	Outside  = "outside" // the agent is no voter, and forwards requests to the voters
)

// Status describes a voter.
type Status struct {
	Agent        string        `json:"agent"`
	Cluster      string        `json:"cluster"`
	Server       string        `json:"server"` // server ID
	CouncilID    string        `json:"founding,omitempty"`
	State        string        `json:"state"`
	Leader       string        `json:"leader,omitempty"`
	Term         uint64        `json:"term"`
	Last         uint64        `json:"last"`       // index of the last log entry
	Applied      uint64        `json:"applied"`    // index of the last applied entry
	SinceContact time.Duration `json:"contact_ns"` // time since the last contact with the leader
	Reason       string        `json:"why,omitempty"`
	Writes       uint64        `json:"writes"`            // writes to the store since it was opened, each with an fsync
	SlowestWrite time.Duration `json:"slow_ns,omitempty"` // longest slow write; 0 after a minute without one
	Members      []Member      `json:"members"`
}

// Member is a server in the raft configuration.
type Member struct {
	Server string `json:"server"`
	Votes  bool   `json:"votes"`
}

// Name returns the agent's name.
func (m Member) Name() string { return AgentName(m.Server) }

// View is a voter's view of duties and jobs. It may be stale unless Current is set.
type View struct {
	From    string        `json:"from"`
	Leader  string        `json:"leader,omitempty"`
	Current bool          `json:"current"`          // a majority confirmed that the voter leads when the view was read
	Age     time.Duration `json:"age_ns,omitempty"` // time since the last contact with the leader, if the view is not current
	Duties  []LeasedDuty  `json:"duties"`
	Jobs    []*Job        `json:"jobs"`
	// Messages is the owner's message on each job by job ID: why a job waits.
	Messages map[string]string `json:"says,omitempty"`
	Voters   []string          `json:"voters"`
}

// LeasedDuty is a duty with the remaining time of its lease, if that is known.
type LeasedDuty struct {
	Duty
	Remaining      time.Duration `json:"left_ns"`
	RemainingKnown bool          `json:"left_known"`
}

// Renewal is a request to extend a duty's lease.
type Renewal struct {
	Fence
	Messages map[string]string `json:"says,omitempty"`
}

// Answer is the council's answer to a command.
type Answer struct {
	Token        Token           `json:"token,omitempty"`
	Job          *Job            `json:"job,omitempty"`
	Left         time.Duration   `json:"left_ns,omitempty"` // Acquire: remaining time of the current owner's lease
	Offer        string          `json:"offer,omitempty"`   // Acquire: the duty is free; ask again with this offer
	ReportAnswer *ReportAnswer   `json:"told,omitempty"`    // Report
	KeptNewer    []string        `json:"kept,omitempty"`    // Restore: entries that were newer than the backup's and were kept
	Fleet        desired.Version `json:"fleet,omitempty"`   // Change: the current version of the desired state
}

// FleetView is a voter's view of the fleet's desired state. It may be stale unless Current is set.
type FleetView struct {
	From    string         `json:"from"`
	Current bool           `json:"current"`
	Owner   string         `json:"owner,omitempty"` // of duty Fleet
	State   *desired.State `json:"state"`
}

// AgentName returns the agent's name of a server ID, AGENT/STORE.
func AgentName(server string) string {
	name, _, _ := strings.Cut(server, "/")
	return name
}

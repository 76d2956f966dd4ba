package duty

import (
	"strings"
	"time"

	"otterstep/internal/fleet/desired"
)

// Hello is what a voter says when it begins a stream to another.
type Hello struct {
	Cluster  string
	Founding string
	Epoch    uint64 // of the council, as far as the voter has come
	From, To string // servers, NAME/ID
}

// The states of a voter.
const (
	Blank    = "blank" // knows of no council, and waits to be taken in
	Learner  = "learner"
	Follower = "follower"
	Leader   = "leader"
	Alone    = "no-leader"
	Broken   = "broken"  // its store fails, or holds what it can't read
	Outside  = "outside" // the agent does not vote, and asks those who do
)

// Status is a voter's state.
type Status struct {
	Agent    string        `json:"agent"`
	Cluster  string        `json:"cluster"`
	Server   string        `json:"server"` // NAME/ID
	Founding string        `json:"founding,omitempty"`
	State    string        `json:"state"`
	Leader   string        `json:"leader,omitempty"`
	Term     uint64        `json:"term"`
	Last     uint64        `json:"last"`       // index of the log's last entry
	Applied  uint64        `json:"applied"`    // index
	Contact  time.Duration `json:"contact_ns"` // since its leader was last heard
	Why      string        `json:"why,omitempty"`
	Writes   uint64        `json:"writes"`            // to its store since it was opened, each with an fsync
	SlowFor  time.Duration `json:"slow_ns,omitempty"` // the longest write of late
	Members  []Member      `json:"members"`
}

// Member is one of the group.
type Member struct {
	Server string `json:"server"`
	Votes  bool   `json:"votes"`
}

// Name is the agent's.
func (m Member) Name() string { return NameOf(m.Server) }

// View is what a voter knows. Unless Current, it may be old.
type View struct {
	From    string        `json:"from"`
	Leader  string        `json:"leader,omitempty"`
	Current bool          `json:"current"`          // a majority stood behind it when it was asked
	Age     time.Duration `json:"age_ns,omitempty"` // of what is not current, as far as it is known
	Duties  []Owned       `json:"duties"`
	Jobs    []*Job        `json:"jobs"`
	// Says is what the owner says of jobs, by id: why one waits.
	Says   map[string]string `json:"says,omitempty"`
	Voters []string          `json:"voters"`
}

// Owned is a duty with what is left of its lease, as far as that is known.
type Owned struct {
	Duty
	Left  time.Duration `json:"left_ns"`
	Known bool          `json:"left_known"`
}

// Renewal keeps a duty.
type Renewal struct {
	Fence
	Says map[string]string `json:"says,omitempty"`
}

// Answer answers a command.
type Answer struct {
	Token Token           `json:"token,omitempty"`
	Job   *Job            `json:"job,omitempty"`
	Left  time.Duration   `json:"left_ns,omitempty"` // of somebody else's lease, Acquire
	Offer string          `json:"offer,omitempty"`   // Acquire: it is to be had, by asking again with this
	Told  *Told           `json:"told,omitempty"`    // Report
	Kept  []string        `json:"kept,omitempty"`    // Restore: what was newer here and stayed
	Fleet desired.Version `json:"fleet,omitempty"`   // Change: the version that stands now
}

// FleetView is what a voter knows of what the fleet should be. Unless Current, it may be old.
type FleetView struct {
	From    string         `json:"from"`
	Current bool           `json:"current"`
	Owner   string         `json:"owner,omitempty"` // of the duty Fleet
	State   *desired.State `json:"state"`
}

// NameOf gives the agent's name in a server's, NAME/ID.
func NameOf(server string) string {
	name, _, _ := strings.Cut(server, "/")
	return name
}

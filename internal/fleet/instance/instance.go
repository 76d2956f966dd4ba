// Package instance defines the instances that an agent supervises, and how they are
// started, adopted and queried.
package instance

import (
	"context"
	"syscall"

	"otterstep/internal/control"
)

// Spec defines an instance.
type Spec struct {
	Name     string            `toml:"name"`
	Group    string            `toml:"group"`
	Labels   map[string]string `toml:"labels"`
	Program  []string          `toml:"program"`  // the node's executable and its arguments
	Config   string            `toml:"config"`   // the value of PROXY_CONFIG
	Operator string            `toml:"operator"` // the operator file; none if empty
	Control  string            `toml:"control"`  // the control socket given in the operator file
	Env      map[string]string `toml:"env"`
	Listen   string            `toml:"listen"` // read from Config if empty
	SIP      string            `toml:"sip"`    // such as "udp:127.0.0.1:5060"; the instance is up only if it also answers OPTIONS there
}

// Process is the process of an instance. Processes implements it for operating system processes.
type Process interface {
	Signal(syscall.Signal) error
	Done() <-chan struct{}
	State() string
	Release()
}

// Runner starts and adopts processes. The processes outlive the agent.
type Runner interface {
	// Start starts an instance's process with a unique token. It fails if one is already
	// running.
	Start(i Spec, token string) (Process, int, error)
	// Adopt returns the running process, nil if there is none. The token is that of the latest
	// launch, even if its process has exited, and "" if it is unknown. An error means that an
	// unidentified process may be running.
	Adopt(i Spec) (p Process, token string, pid int, err error)
	// RunningInstances returns the instances with a running process, whether configured or not.
	RunningInstances() ([]string, error)
	// Up reports whether an instance answers its health check within a second.
	Up(ctx context.Context, i Spec) bool
	// Inspect returns the instance's status.
	Inspect(ctx context.Context, i Spec) (control.Inspection, error)
	// SendStateCommand sends an instance a command about the state that it saves for its next start.
	SendStateCommand(ctx context.Context, i Spec, k control.StateCommand) error
	// SendFleetBans sends the fleet-wide bans to an instance.
	SendFleetBans(ctx context.Context, i Spec, w control.FleetBans) (control.FleetStatus, error)
	// Trim rotates the instance's log if it is too large.
	Trim(i Spec) error
}

// Package instance is what an agent looks after: how an instance is defined, started,
// found again and asked.
package instance

import (
	"context"
	"syscall"

	"otterstep/internal/control"
)

// Spec is an instance's definition.
type Spec struct {
	Name     string            `toml:"name"`
	Group    string            `toml:"group"`
	Labels   map[string]string `toml:"labels"`
	Program  []string          `toml:"program"`  // the node's program and its arguments
	Config   string            `toml:"config"`   // what PROXY_CONFIG names
	Operator string            `toml:"operator"` // the operator's file; none if empty
	Control  string            `toml:"control"`  // the control socket that the operator's file names
	Env      map[string]string `toml:"env"`
	Listen   string            `toml:"listen"` // read from Config if empty
	SIP      string            `toml:"sip"`    // as "udp:127.0.0.1:5060": it is up only if it answers OPTIONS there too
}

// Process is an instance's process; see Processes for real ones.
type Process interface {
	Signal(syscall.Signal) error
	Done() <-chan struct{}
	State() string
	Release()
}

// Runner starts and finds processes. Nothing that it starts ends with the agent.
type Runner interface {
	// Start starts an instance's process under a token of its own. It is an error if
	// one runs already.
	Start(i Spec, token string) (Process, int, error)
	// Adopt finds the process that runs; nil if none does. The token is that of the latest
	// launch, also if its process is gone, "" if it can't be told. An error means that one may
	// run about which nothing is known.
	Adopt(i Spec) (p Process, token string, pid int, err error)
	// Names gives the instances of which a process runs, defined or not.
	Names() ([]string, error)
	// Up tells whether an instance answers that it serves, within a second.
	Up(ctx context.Context, i Spec) bool
	// Inspect asks an instance what it is doing.
	Inspect(ctx context.Context, i Spec) (control.Inspection, error)
	// Keep has an instance do something with what it keeps for its way back.
	Keep(ctx context.Context, i Spec, k control.Keep) error
	// Tell brings the fleet's word to an instance.
	Tell(ctx context.Context, i Spec, w control.Word) (control.Fleet, error)
	// Trim bounds what the instance has logged.
	Trim(i Spec) error
}

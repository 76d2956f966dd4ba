package instance

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/fleet/proc"
	"otterstep/internal/sip"
)

// maxLogSize is the size above which an instance's log is rotated: it replaces the
// previous copy, and the file is truncated.
const maxLogSize = 16 << 20

// Processes is the Runner for operating system processes.
type Processes struct {
	dir       string
	launcher  []string
	transport *http.Transport
}

// NewProcesses returns a Runner that keeps run files and logs in folder. The launcher is
// the command that calls proc.Launch.
func NewProcesses(folder string, launcher []string) *Processes {
	return &Processes{folder, launcher, &http.Transport{DisableKeepAlives: true}}
}

// upTimeout bounds a health check.
const upTimeout = time.Second

func (r *Processes) runFile(i Spec) string { return filepath.Join(r.dir, i.Name+".run") }
func (r *Processes) logFile(i Spec) string { return filepath.Join(r.dir, i.Name+".log") }

// Start implements Runner.
func (r *Processes) Start(i Spec, token string) (Process, int, error) {
	argv := i.Program
	if i.Operator != "" {
		argv = append(append([]string{}, argv...), "-operator", i.Operator)
	}
	env := os.Environ()
	if i.Config != "" {
		env = append(env, "PROXY_CONFIG="+i.Config)
	}
	for name, value := range i.Env {
		env = append(env, name+"="+value)
	}
	p, err := proc.Start(r.launcher, proc.Spec{Argv: argv, Env: env, RunFile: r.runFile(i), LogFile: r.logFile(i)}, token)
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", strings.Join(argv, " "), err)
	}
	return p, p.Pid, nil
}

// Adopt implements Runner.
func (r *Processes) Adopt(i Spec) (Process, string, int, error) {
	p, err := proc.Adopt(r.runFile(i))
	if err != nil || p == nil {
		return nil, proc.LatestToken(r.runFile(i)), 0, err
	}
	return p, p.Token, p.Pid, nil
}

// RunningInstances implements Runner.
func (r *Processes) RunningInstances() ([]string, error) {
	files, err := filepath.Glob(filepath.Join(r.dir, "*.run"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, file := range files {
		held, err := proc.Locked(file)
		if err != nil {
			return nil, err
		}
		if held {
			names = append(names, strings.TrimSuffix(filepath.Base(file), ".run"))
		}
	}
	return names, nil
}

// Up implements Runner.
func (r *Processes) Up(ctx context.Context, i Spec) bool {
	ctx, cancel := context.WithTimeout(ctx, upTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Listen+"/up", nil)
	if err != nil {
		return false
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK && (i.SIP == "" || sip.Check(ctx, i.SIP) == nil)
}

// Inspect implements Runner.
func (r *Processes) Inspect(ctx context.Context, i Spec) (control.Inspection, error) {
	return control.Inspect(ctx, i.Control)
}

// SendStateCommand implements Runner.
func (r *Processes) SendStateCommand(ctx context.Context, i Spec, k control.StateCommand) error {
	return control.SendStateCommand(ctx, i.Control, k)
}

// SendFleetBans implements Runner.
func (r *Processes) SendFleetBans(ctx context.Context, i Spec, w control.FleetBans) (control.FleetStatus, error) {
	return control.SendFleetBans(ctx, i.Control, w)
}

// Trim implements Runner. Lines written between the copy and the truncation are lost.
// The instance opens its log for appending, so it continues at the new end of the file.
func (r *Processes) Trim(i Spec) error {
	path := r.logFile(i)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() <= maxLogSize {
		return nil
	}
	if err != nil {
		return err
	}
	from, err := os.Open(path)
	if err != nil {
		return err
	}
	defer from.Close()
	to, err := os.OpenFile(path+".old", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = io.Copy(to, from)
	if e := to.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Truncate(path, 0)
}

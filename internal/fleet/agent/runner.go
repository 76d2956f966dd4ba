package agent

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"otterstep/internal/fleet/proc"
)

// logMost bounds an instance's log: over it the file is copied to a second one,
// whose content is replaced, and begun anew.
const logMost = 16 << 20

// processes is the Runner of real processes.
type processes struct {
	folder   string
	launcher []string // the command that calls proc.Launch
}

func (r processes) runFile(i Instance) string { return filepath.Join(r.folder, i.Name+".run") }
func (r processes) logFile(i Instance) string { return filepath.Join(r.folder, i.Name+".log") }

// Start implements Runner.
func (r processes) Start(i Instance, token string) (Process, int, error) {
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
func (r processes) Adopt(i Instance) (Process, string, int, error) {
	p, err := proc.Adopt(r.runFile(i))
	if err != nil || p == nil {
		return nil, "", 0, err
	}
	return p, p.Token, p.Pid, nil
}

// Trim implements Runner. Lines that are written between the copy and the cut are
// lost; the instance appends, so that it goes on at the start.
func (r processes) Trim(i Instance) error {
	path := r.logFile(i)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() <= logMost {
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

package lab

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"otterstep/internal/standin/faults"
)

// The files of an agent's memory: the record and the council's store in its folder, and beside it
// the copy and what the store's witness saw.
func (l *Lab) memory(n int, what string) string {
	switch what {
	case "copy":
		return l.state(n) + ".copy"
	case "witness":
		return l.state(n) + ".copy.council"
	}
	return filepath.Join(l.state(n), what)
}

func (l *Lab) kept(n int, what string) string {
	return filepath.Join(l.opt.Dir, agentName(n)+"."+what+".kept")
}

// KeepState keeps what an agent has on its disks now, for Lose to put back. The agent is stopped
// meanwhile, if it runs.
func (l *Lab) KeepState(n int) error {
	if l.SignalAgent(n, syscall.SIGSTOP) == nil {
		defer func() { _ = l.SignalAgent(n, syscall.SIGCONT) }()
	}
	for _, what := range []string{"record", "copy"} {
		text, err := os.ReadFile(l.memory(n, what))
		if err == nil {
			err = os.WriteFile(l.kept(n, what), text, 0o600)
		}
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	if _, err := os.Stat(l.memory(n, "council")); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err := os.CopyFS(l.kept(n, "council"), os.DirFS(l.memory(n, "council"))); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

func (l *Lab) putBack(n int, what string) error {
	text, err := os.ReadFile(l.kept(n, what))
	if err == nil {
		err = os.WriteFile(l.memory(n, what), text, 0o600)
	}
	return err
}

// Lose takes of an agent's memory what package faults names, as a disk that was lost or put back;
// the agent must not run. The record of before is kept for the checker, and logs stay, as do the
// run files, which lock running processes.
func (l *Lab) Lose(n int, what string) error {
	aside := filepath.Join(l.opt.Dir, fmt.Sprint(agentName(n), ".record.", len(l.lost[n])))
	text, err := os.ReadFile(l.memory(n, "record"))
	if err == nil {
		err = os.WriteFile(aside, text, 0o600)
		if l.lost == nil {
			l.lost = map[int][]string{}
		}
		l.lost[n] = append(l.lost[n], aside)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("lab: %w", err)
	}
	remove := func(names ...string) (err error) {
		for _, name := range names {
			err = errors.Join(err, os.RemoveAll(l.memory(n, name)))
		}
		return err
	}
	switch what {
	case faults.Nothing:
		err = nil
	case faults.Record:
		err = remove("record")
	case faults.Copy:
		err = remove("copy")
	case faults.Both:
		err = remove("record", "copy")
	case faults.Store:
		err = remove("council")
	case faults.Folder:
		err = l.loseFolder(n)
	case faults.All:
		err = errors.Join(l.loseFolder(n), remove("copy", "witness"))
	case faults.OldRecord:
		err = l.putBack(n, "record")
	case faults.OldMemory:
		err = errors.Join(l.putBack(n, "record"), l.putBack(n, "copy"))
	case faults.OldFolder:
		err = errors.Join(l.putBack(n, "record"), remove("council"))
		if _, none := os.Stat(l.kept(n, "council")); none == nil {
			err = errors.Join(err, os.CopyFS(l.memory(n, "council"), os.DirFS(l.kept(n, "council"))))
		}
	default:
		err = fmt.Errorf("nothing is called %q: %s", what, strings.Join(faults.Memories, ", "))
	}
	if err != nil {
		return fmt.Errorf("lab: lose %s: %w", what, err)
	}
	return nil
}

func (l *Lab) loseFolder(n int) error {
	all, err := os.ReadDir(l.state(n))
	for _, e := range all {
		if !strings.HasSuffix(e.Name(), ".log") {
			err = errors.Join(err, os.RemoveAll(filepath.Join(l.state(n), e.Name())))
		}
	}
	return err
}

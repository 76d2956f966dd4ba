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

// stateFile returns the path of a part of agent n's persistent state: the record and the council store are in its state
// directory, the copy of the record and the witness file of the store next to it.
func (l *Lab) stateFile(n int, kind string) string {
	switch kind {
	case "copy":
		return l.stateDir(n) + ".copy"
	case "witness":
		return l.stateDir(n) + ".copy.council"
	}
	return filepath.Join(l.stateDir(n), kind)
}

func (l *Lab) snapshotFile(n int, kind string) string {
	return filepath.Join(l.opt.Dir, agentName(n)+"."+kind+".kept")
}

// SnapshotState copies an agent's persistent state for LoseState to restore later. An agent that runs is stopped while
// its state is copied.
func (l *Lab) SnapshotState(n int) error {
	if l.SignalAgent(n, syscall.SIGSTOP) == nil {
		defer func() { _ = l.SignalAgent(n, syscall.SIGCONT) }()
	}
	for _, what := range []string{"record", "copy"} {
		text, err := os.ReadFile(l.stateFile(n, what))
		if err == nil {
			err = os.WriteFile(l.snapshotFile(n, what), text, 0o600)
		}
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	if _, err := os.Stat(l.stateFile(n, "council")); errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err := os.CopyFS(l.snapshotFile(n, "council"), os.DirFS(l.stateFile(n, "council"))); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	return nil
}

func (l *Lab) restoreFile(n int, kind string) error {
	text, err := os.ReadFile(l.snapshotFile(n, kind))
	if err == nil {
		err = os.WriteFile(l.stateFile(n, kind), text, 0o600)
	}
	return err
}

// LoseState removes the part of an agent's persistent state that a name from package faults stands for, or restores it
// from a snapshot, as when a disk is lost or an old one is put back. The agent must not run. The record as it was is
// copied for the checker. Logs always stay; run files, which lock running processes, stay unless the whole state
// directory is lost.
func (l *Lab) LoseState(n int, kind string) error {
	saved := filepath.Join(l.opt.Dir, fmt.Sprint(agentName(n), ".record.", len(l.lostRecords[n])))
	text, err := os.ReadFile(l.stateFile(n, "record"))
	if err == nil {
		err = os.WriteFile(saved, text, 0o600)
		if l.lostRecords == nil {
			l.lostRecords = map[int][]string{}
		}
		l.lostRecords[n] = append(l.lostRecords[n], saved)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("lab: %w", err)
	}
	remove := func(names ...string) (err error) {
		for _, name := range names {
			err = errors.Join(err, os.RemoveAll(l.stateFile(n, name)))
		}
		return err
	}
	switch kind {
	case faults.Nothing:
		err = nil
	case faults.Record:
		err = remove("record")
	case faults.Copy:
		err = remove("copy")
	case faults.RecordAndCopy:
		err = remove("record", "copy")
	case faults.Store:
		err = remove("council")
	case faults.Folder:
		err = l.removeStateDir(n)
	case faults.FolderAndCopy:
		err = errors.Join(l.removeStateDir(n), remove("copy", "witness"))
	case faults.OldRecord:
		err = l.restoreFile(n, "record")
	case faults.OldRecordAndCopy:
		err = errors.Join(l.restoreFile(n, "record"), l.restoreFile(n, "copy"))
	case faults.OldFolder:
		err = errors.Join(l.restoreFile(n, "record"), remove("council"))
		if _, none := os.Stat(l.snapshotFile(n, "council")); none == nil {
			err = errors.Join(err, os.CopyFS(l.stateFile(n, "council"), os.DirFS(l.snapshotFile(n, "council"))))
		}
	default:
		err = fmt.Errorf("unknown kind of state loss %q, want one of: %s", kind, strings.Join(faults.Losses, ", "))
	}
	if err != nil {
		return fmt.Errorf("lab: remove state %q: %w", kind, err)
	}
	return nil
}

func (l *Lab) removeStateDir(n int) error {
	all, err := os.ReadDir(l.stateDir(n))
	for _, e := range all {
		if !strings.HasSuffix(e.Name(), ".log") {
			err = errors.Join(err, os.RemoveAll(filepath.Join(l.stateDir(n), e.Name())))
		}
	}
	return err
}

package council

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

// progress is the latest state written to a voter's store. A store behind it is an older copy.
type progress struct {
	id        string // of the store's identity
	term      uint64
	votedTerm uint64 // term of the latest vote
	lastIndex uint64 // index of the latest log entry
}

// behind reports whether a store with progress m is an older copy of the store that had reached the recorded progress.
func (p progress) behind(recorded progress) bool {
	return p.id == recorded.id && (p.term < recorded.term || p.votedTerm < recorded.votedTerm || p.lastIndex < recorded.lastIndex)
}

// progressFile records a voter's progress outside its directory, preferably on another disk, to detect a store
// that was restored from an older copy. Such a voter could vote twice in a term, and for leaders that lack
// entries which it has acknowledged. The file is written without fsync: if it lags after a power failure
// it detects less, but it gives no false alarm.
type progressFile struct {
	log *slog.Logger

	mu      sync.Mutex
	file    *os.File // nil if there is none or it can't be written
	current progress
}

// text has a fixed length, so that each write replaces the one before it.
func (p progress) text() string {
	return fmt.Sprintf("%-26s %020d %020d %020d\n", p.id, p.term, p.votedTerm, p.lastIndex)
}

// readProgress reads a progress file. ok is false if there is none or its content is invalid.
func readProgress(path string) (p progress, ok bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return p, false, nil
	}
	if err != nil {
		return p, false, fmt.Errorf("council: progress file: %w", err)
	}
	if n, err := fmt.Sscanf(string(text), "%s %d %d %d\n", &p.id, &p.term, &p.votedTerm, &p.lastIndex); err != nil || n != 4 || p.text() != string(text) {
		return progress{}, false, nil
	}
	return p, true, nil
}

// open starts recording in the file at path, from the given progress on. With an empty path nothing is
// recorded.
func (pf *progressFile) open(path string, current progress) {
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		pf.log.Warn("progress file not writable; a store restored from an older copy would not be detected", "err", err)
		return
	}
	pf.mu.Lock()
	pf.file, pf.current = f, current
	pf.mu.Unlock()
	pf.update(func(*progress) {})
}

// update changes the recorded progress. It is called after a write that advances the store, and before one
// that truncates it, so that the record is never ahead of the store.
func (pf *progressFile) update(change func(*progress)) {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	if pf.file == nil {
		return
	}
	change(&pf.current)
	if _, err := pf.file.WriteAt([]byte(pf.current.text()), 0); err != nil {
		pf.log.Warn("progress file not writable; a store restored from an older copy would not be detected", "err", err)
		pf.closeLocked()
	}
}

func (pf *progressFile) closeLocked() {
	if pf.file != nil {
		_ = pf.file.Close() // the file is best effort
		pf.file = nil
	}
}

// Close stops recording.
func (pf *progressFile) Close() {
	pf.mu.Lock()
	defer pf.mu.Unlock()
	pf.closeLocked()
}

// storeProgress returns the progress of a store, counting entries that a snapshot has replaced.
func storeProgress(id *identity, s Stores, dir string) (progress, error) {
	p := progress{id: id.ID}
	var err error
	for key, to := range map[string]*uint64{keyTerm: &p.term, keyVotedTerm: &p.votedTerm} {
		if *to, err = s.GetUint64([]byte(key)); err != nil && !errors.Is(err, boltdb.ErrKeyNotFound) {
			return p, fmt.Errorf("council: %w", err)
		}
	}
	if p.lastIndex, err = s.LastIndex(); err != nil {
		return p, fmt.Errorf("council: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, snapshotsKept, hclog.NewNullLogger())
	if err != nil {
		return p, fmt.Errorf("council: %w", err)
	}
	metas, err := snapshots.List()
	if err != nil {
		return p, fmt.Errorf("council: %w", err)
	}
	for _, s := range metas {
		p.lastIndex = max(p.lastIndex, s.Index)
	}
	return p, nil
}

// Keys under which raft stores its terms.
const (
	keyTerm      = "CurrentTerm"
	keyVotedTerm = "LastVoteTerm"
)

// moveAside moves a directory's contents to its subdirectory "older", replacing earlier ones there.
func moveAside(dir string) error {
	aside := filepath.Join(dir, "older")
	if err := os.RemoveAll(aside); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	all, err := os.ReadDir(dir)
	if err == nil {
		err = os.Mkdir(aside, 0o700)
	}
	for _, e := range all {
		if err == nil {
			err = os.Rename(filepath.Join(dir, e.Name()), filepath.Join(aside, e.Name()))
		}
	}
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

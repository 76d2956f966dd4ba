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

// mark is how far a voter's store had come: what it must not be found behind of.
type mark struct {
	id    string // the folder's
	term  uint64
	voted uint64 // the term of its latest vote
	last  uint64 // index of its latest entry
}

// before tells that a store is older than what was once written to it.
func (m mark) before(seen mark) bool {
	return m.id == seen.id && (m.term < seen.term || m.voted < seen.voted || m.last < seen.last)
}

// witness keeps a voter's mark beside its folder, best on another disk, so that a store that was put
// back from a copy is noticed: it would vote twice, and for leaders that lack what it has
// acknowledged. Writing it costs no fsync: a witness that lags after a power cut notices
// less and accuses nobody.
type witness struct {
	log *slog.Logger

	mu   sync.Mutex
	file *os.File // nil: none is kept, or it can't be written
	at   mark
}

// markText is of one length, so that each write replaces the one before it.
func (m mark) text() string {
	return fmt.Sprintf("%-26s %020d %020d %020d\n", m.id, m.term, m.voted, m.last)
}

// readMark gives what a witness saw last; ok is false if there is none that can be read.
func readMark(path string) (m mark, ok bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return m, false, nil
	}
	if err != nil {
		return m, false, fmt.Errorf("council: witness: %w", err)
	}
	if n, err := fmt.Sscanf(string(text), "%s %d %d %d\n", &m.id, &m.term, &m.voted, &m.last); err != nil || n != 4 || m.text() != string(text) {
		return mark{}, false, nil
	}
	return m, true, nil
}

// begin notes a store's marks from here on; path "" for none.
func (w *witness) begin(path string, at mark) {
	if path == "" {
		return
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		w.log.Warn("a store that is put back would not be noticed", "err", err)
		return
	}
	w.mu.Lock()
	w.file, w.at = f, at
	w.mu.Unlock()
	w.note(func(*mark) {})
}

// note changes the mark: behind a write that goes further, before one that takes back.
func (w *witness) note(change func(*mark)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.file == nil {
		return
	}
	change(&w.at)
	if _, err := w.file.WriteAt([]byte(w.at.text()), 0); err != nil {
		w.log.Warn("a store that is put back would not be noticed", "err", err)
		w.close()
	}
}

func (w *witness) close() {
	if w.file != nil {
		_ = w.file.Close() // nothing hangs on it
		w.file = nil
	}
}

// Close ends it.
func (w *witness) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.close()
}

// markOf reads how far a store has come; entries that a snapshot has replaced count.
func markOf(id *identity, s Stores, dir string) (mark, error) {
	m := mark{id: id.ID}
	var err error
	for key, to := range map[string]*uint64{keyTerm: &m.term, keyVoted: &m.voted} {
		if *to, err = s.GetUint64([]byte(key)); err != nil && !errors.Is(err, boltdb.ErrKeyNotFound) {
			return m, fmt.Errorf("council: %w", err)
		}
	}
	if m.last, err = s.LastIndex(); err != nil {
		return m, fmt.Errorf("council: %w", err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, snapshotsKept, hclog.NewNullLogger())
	if err != nil {
		return m, fmt.Errorf("council: %w", err)
	}
	metas, err := snapshots.List()
	if err != nil {
		return m, fmt.Errorf("council: %w", err)
	}
	for _, s := range metas {
		m.last = max(m.last, s.Index)
	}
	return m, nil
}

// raft's names of what it keeps.
const (
	keyTerm  = "CurrentTerm"
	keyVoted = "LastVoteTerm"
)

// putAside takes a folder's contents out of use, in place of what was put aside before.
func putAside(dir string) error {
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

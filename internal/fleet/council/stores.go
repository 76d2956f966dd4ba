package council

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// Stores are what a voter must not forget. Tests put failing disks in their place.
type Stores interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// openWithin is how long another process may hold the store's lock.
const openWithin = time.Second

// OpenStores opens the usual stores, on bbolt.
func OpenStores(dir string) (Stores, error) {
	s, err := boltdb.New(boltdb.Options{Path: filepath.Join(dir, storeFile), BoltOptions: &bbolt.Options{Timeout: openWithin}})
	if err != nil {
		return nil, fmt.Errorf("council: %s: %w", filepath.Join(dir, storeFile), err)
	}
	return s, nil
}

// watched tells of writes that failed or took long. raft ends the process when its term can't
// be written; here the voter is sealed first, so that nobody hears of what was not written, and
// then begins anew from what was.
type watched struct {
	Stores
	failed  func(error)
	took    func(time.Duration)
	witness *witness
}

func (w *watched) write(what string, do func() error) error {
	began := time.Now()
	err := do()
	if err != nil {
		err = fmt.Errorf("%s: %w", what, err)
		w.failed(err)
		return err
	}
	w.took(time.Since(began))
	return nil
}

// StoreLog implements raft.LogStore.
func (w *watched) StoreLog(l *raft.Log) error { return w.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore.
func (w *watched) StoreLogs(l []*raft.Log) error {
	err := w.write("log", func() error { return w.Stores.StoreLogs(l) })
	if err == nil && len(l) > 0 {
		w.witness.note(func(m *mark) { m.last = max(m.last, l[len(l)-1].Index) })
	}
	return err
}

// DeleteRange implements raft.LogStore.
func (w *watched) DeleteRange(from, to uint64) error {
	if last, err := w.LastIndex(); err == nil && to >= last { // entries that were never agreed on
		w.witness.note(func(m *mark) { m.last = min(m.last, max(from, 1)-1) })
	}
	return w.write("log", func() error { return w.Stores.DeleteRange(from, to) })
}

// Set implements raft.StableStore. A failure has sealed the voter and is not passed on.
func (w *watched) Set(key, value []byte) error {
	_ = w.write("vote", func() error { return w.Stores.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore, as Set.
func (w *watched) SetUint64(key []byte, value uint64) error {
	if w.write("term", func() error { return w.Stores.SetUint64(key, value) }) == nil {
		w.witness.note(func(m *mark) {
			switch string(key) {
			case keyTerm:
				m.term = value
			case keyVoted:
				m.voted = value
			}
		})
	}
	return nil
}

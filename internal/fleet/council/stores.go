package council

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// Stores is a voter's durable storage. Tests replace it by one that fails.
type Stores interface {
	raft.LogStore
	raft.StableStore
	Close() error
}

// openTimeout bounds the wait for the store's lock, which another process may hold.
const openTimeout = time.Second

// OpenStores opens the default stores, on bbolt.
func OpenStores(dir string) (Stores, error) {
	s, err := boltdb.New(boltdb.Options{Path: filepath.Join(dir, storeFile), BoltOptions: &bbolt.Options{Timeout: openTimeout}})
	if err != nil {
		return nil, fmt.Errorf("council: %s: %w", filepath.Join(dir, storeFile), err)
	}
	return s, nil
}

// monitoredStores reports the failure or the latency of each write. raft ends the process when its term can't
// be written. Here the voter's streams are closed first, so that nothing unwritten is sent to other
// voters, and then the voter restarts from what is in the store.
type monitoredStores struct {
	Stores
	onFailure    func(error)
	onWrite      func(time.Duration)
	progressFile *progressFile
}

func (ms *monitoredStores) write(what string, do func() error) error {
	start := time.Now()
	err := do()
	if err != nil {
		err = fmt.Errorf("%s: %w", what, err)
		ms.onFailure(err)
		return err
	}
	ms.onWrite(time.Since(start))
	return nil
}

// StoreLog implements raft.LogStore.
func (ms *monitoredStores) StoreLog(l *raft.Log) error { return ms.StoreLogs([]*raft.Log{l}) }

// StoreLogs implements raft.LogStore.
func (ms *monitoredStores) StoreLogs(l []*raft.Log) error {
	err := ms.write("log", func() error { return ms.Stores.StoreLogs(l) })
	if err == nil && len(l) > 0 {
		ms.progressFile.update(func(p *progress) { p.lastIndex = max(p.lastIndex, l[len(l)-1].Index) })
	}
	return err
}

// DeleteRange implements raft.LogStore.
func (ms *monitoredStores) DeleteRange(from, to uint64) error {
	if last, err := ms.LastIndex(); err == nil && to >= last { // entries that were never committed
		ms.progressFile.update(func(p *progress) { p.lastIndex = min(p.lastIndex, max(from, 1)-1) })
	}
	return ms.write("log", func() error { return ms.Stores.DeleteRange(from, to) })
}

// Set implements raft.StableStore. A failure stops the voter and is not returned to raft, which would end the
// process.
func (ms *monitoredStores) Set(key, value []byte) error {
	_ = ms.write("vote", func() error { return ms.Stores.Set(key, value) })
	return nil
}

// SetUint64 implements raft.StableStore, with failures handled as in Set.
func (ms *monitoredStores) SetUint64(key []byte, value uint64) error {
	if ms.write("term", func() error { return ms.Stores.SetUint64(key, value) }) == nil {
		ms.progressFile.update(func(p *progress) {
			switch string(key) {
			case keyTerm:
				p.term = value
			case keyVotedTerm:
				p.votedTerm = value
			}
		})
	}
	return nil
}

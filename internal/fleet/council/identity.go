package council

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"otterstep/internal/fleet/record"
)

// identityFormat is the format version of the identity file.
const identityFormat = 1

// identity identifies a voter's store. A store that replaces a lost one has another ID and so is another
// server to raft. It does not have the lost store's votes and entries, so it can't vote in its place; it
// votes only after the other voters have added it.
type identity struct {
	Format  int    `json:"form"`
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	ID      string `json:"id"`
	// CouncilID is the ID that the council got when it was bootstrapped, "" while the store has not been part
	// of a council.
	CouncilID string `json:"founding,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
}

const (
	identityFile = "identity.json"
	storeFile    = "raft.db"
)

// serverID returns the raft server ID, AGENT/STORE.
func (i *identity) serverID() string { return i.Name + "/" + i.ID }

// openIdentity reads the directory's identity, or creates one. lost is why an existing identity was replaced:
// its store is missing.
func openIdentity(dir, cluster, name string) (i *identity, lost string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("council: %w", err)
	}
	path := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if _, err := os.Stat(filepath.Join(dir, storeFile)); err == nil {
			return nil, "", fmt.Errorf("council: %s has a store but no identity: move the directory away, and this voter joins again with a new store", dir)
		}
	case err != nil:
		return nil, "", fmt.Errorf("council: %w", err)
	default:
		i = &identity{}
		if err := json.Unmarshal(text, i); err != nil {
			return nil, "", fmt.Errorf("council: %s: %w: move the directory away, and this voter joins again with a new store", path, err)
		}
		switch {
		case i.Format != identityFormat:
			return nil, "", fmt.Errorf("council: %s: format version %d, this build supports %d: install the version that the other agents run", path, i.Format, identityFormat)
		case i.Cluster != cluster:
			return nil, "", fmt.Errorf("council: %s: belongs to the fleet %q, but council.cluster is %q", path, i.Cluster, cluster)
		case i.Name != name:
			return nil, "", fmt.Errorf("council: %s: belongs to the agent %q, this is agent %q", path, i.Name, name)
		}
		if i.CouncilID == "" {
			return i, "", nil
		}
		if _, err := os.Stat(filepath.Join(dir, storeFile)); err == nil {
			return i, "", nil
		}
		lost = fmt.Sprintf("%s was part of a council, but its %s is missing", i.serverID(), storeFile)
	}
	i = &identity{Format: identityFormat, Cluster: cluster, Name: name, ID: strings.ToLower(rand.Text()[:10])}
	return i, lost, i.save(dir)
}

// save writes the identity file atomically.
func (i *identity) save(dir string) error {
	text, err := json.Marshal(i)
	if err != nil {
		return fmt.Errorf("council: identity: %w", err)
	}
	if err := record.Replace(record.OS{}, filepath.Join(dir, identityFile), text); err != nil {
		return fmt.Errorf("council: identity: %w", err)
	}
	return nil
}

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

// identityForm is the form of the identity's file.
const identityForm = 1

// identity is who a voter's folder is. A folder that was lost is followed by one with another
// id, which is another server to raft: it can't vote as the one before it, whose votes and
// entries it does not know, until the others have taken it in.
type identity struct {
	Form    int    `json:"form"`
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	ID      string `json:"id"`
	// Founding is the council's own id, made when it was founded; "" as long as this folder
	// has not been part of one.
	Founding string `json:"founding,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
}

const (
	identityFile = "identity.json"
	storeFile    = "raft.db"
)

// server is the identity as raft knows it, NAME/ID.
func (i *identity) server() string { return i.Name + "/" + i.ID }

// openIdentity reads the folder's identity, or makes one. lost says why an identity of before
// was given up: the store that belonged to it is gone.
func openIdentity(dir, cluster, name string) (i *identity, lost string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("council: %w", err)
	}
	path := filepath.Join(dir, identityFile)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		if _, err := os.Stat(filepath.Join(dir, storeFile)); err == nil {
			return nil, "", fmt.Errorf("council: %s has a store and no identity: put the folder aside, and this voter is taken in anew", dir)
		}
	case err != nil:
		return nil, "", fmt.Errorf("council: %w", err)
	default:
		i = &identity{}
		if err := json.Unmarshal(text, i); err != nil {
			return nil, "", fmt.Errorf("council: %s: %w: put the folder aside, and this voter is taken in anew", path, err)
		}
		switch {
		case i.Form != identityForm:
			return nil, "", fmt.Errorf("council: %s: form %d, this program knows form %d: bring this agent to the others' version", path, i.Form, identityForm)
		case i.Cluster != cluster:
			return nil, "", fmt.Errorf("council: %s: it belongs to the fleet %q, council.cluster says %q", path, i.Cluster, cluster)
		case i.Name != name:
			return nil, "", fmt.Errorf("council: %s: it belongs to the agent %q, this one is %q", path, i.Name, name)
		}
		if i.Founding == "" {
			return i, "", nil
		}
		if _, err := os.Stat(filepath.Join(dir, storeFile)); err == nil {
			return i, "", nil
		}
		lost = fmt.Sprintf("%s was part of a council and %s is gone", i.server(), storeFile)
	}
	i = &identity{Form: identityForm, Cluster: cluster, Name: name, ID: strings.ToLower(rand.Text()[:10])}
	return i, lost, i.save(dir)
}

// save writes the identity whole or not at all.
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

package duty

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/protocol"
)

// Reborn is how a council goes on when most of its voters are gone for good, by an operator's
// word: with other voters, another id, and an epoch above all tokens of before.
type Reborn struct {
	ID     string   `json:"id"`
	Voters []string `json:"voters"`
	By     string   `json:"by"`
}

// Epoch gives the epoch of the tokens that are given.
func (s *State) Epoch() uint64 { return s.epoch }

func (s *State) reborn(r *Reborn) Result {
	if r.ID == "" || r.ID == s.founding || len(r.Voters) == 0 {
		return refuse(protocol.CodeUsage, "reborn: id %q with %d voters", r.ID, len(r.Voters))
	}
	s.founding, s.voters = r.ID, slices.Sorted(slices.Values(r.Voters))
	s.raise(s.epoch)
	return Result{}
}

// raise begins an epoch above the present one and another: no token of before is given again.
func (s *State) raise(other uint64) {
	s.epoch = max(s.epoch, other) + 1
	s.last = Token(s.epoch << protocol.EpochShift)
	for _, d := range s.duties {
		d.Owner = ""
	}
	s.fleet.Raise(s.epoch)
}

// Backup is a council's state in a file.
type Backup struct {
	Form    int             `json:"form"`
	Cluster string          `json:"cluster"`
	Taken   time.Time       `json:"taken"`
	State   json.RawMessage `json:"state"` // a snapshot
	Sum     string          `json:"sum"`   // SHA-256 of all before, in hexadecimal digits
}

func (b *Backup) sum() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %s %d %s", b.Form, b.Cluster, b.Taken.UnixNano(), b.State)
	return hex.EncodeToString(h.Sum(nil))
}

// NewBackup makes one of a snapshot.
func NewBackup(cluster string, taken time.Time, state []byte) *Backup {
	b := &Backup{Form: Form, Cluster: cluster, Taken: taken.UTC().Truncate(time.Millisecond), State: state}
	b.Sum = b.sum()
	return b
}

// Check tells what is wrong with a backup, for a fleet.
func (b *Backup) Check(cluster string) (*State, error) {
	switch {
	case b.Form != Form:
		return nil, protocol.Errorf(protocol.CodeVersion, "a backup of form %d, this program knows form %d", b.Form, Form)
	case b.Cluster != cluster:
		return nil, protocol.Errorf(protocol.CodeUsage, "a backup of the fleet %q, this is %q", b.Cluster, cluster)
	case b.Sum != b.sum():
		return nil, protocol.Errorf(protocol.CodeUsage, "the backup is cut or was altered: its checksum does not fit")
	}
	s := New()
	if err := s.Load(b.State); err != nil {
		return nil, protocol.Errorf(protocol.CodeUsage, "the backup can't be read: %v", err)
	}
	return s, nil
}

// Restore brings back what a council has lost. Nothing that is newer here is lowered: tokens get
// an epoch above both, a word on an instance counts if its generation is higher, and jobs that
// are not known here come back stopped.
type Restore struct {
	Backup *Backup `json:"backup"`
	By     string  `json:"by"`
}

func (s *State) restore(r *Restore) Result {
	if r.Backup == nil {
		return refuse(protocol.CodeUsage, "restore: no backup")
	}
	from, err := r.Backup.Check(r.Backup.Cluster) // whose it is the leader has seen
	if err != nil {
		return Result{Err: err}
	}
	if agents := len(s.agents); agents+len(from.agents) > AgentsMost {
		for name := range from.agents {
			if s.agents[name] != nil {
				agents--
			}
		}
		if agents+len(from.agents) > AgentsMost {
			return refuse(protocol.CodeConflict, "restore: more than %d agents together", AgentsMost)
		}
	}
	kept := []string{}
	for _, agent := range slices.Sorted(maps.Keys(from.agents)) {
		m := from.agents[agent]
		if s.agents[agent] == nil {
			s.agents[agent] = &Memory{m.Folder, m.Starts, map[string]Desired{}}
		}
		here := s.agents[agent].Instances
		for _, name := range slices.Sorted(maps.Keys(m.Instances)) {
			was, is := m.Instances[name], here[name]
			if _, known := here[name]; known && was.Generation <= is.Generation {
				if was.Up != is.Up {
					kept = append(kept, fmt.Sprintf("%s/%s: %s at generation %d stays, the backup says %s at %d", agent, name, word(is.Up), is.Generation, word(was.Up), was.Generation))
				}
				continue
			}
			here[name] = was
		}
	}
	for _, id := range from.order {
		j := from.jobs[id]
		if s.jobs[id] != nil || len(s.order) >= JobsMost || s.targets()+len(j.Targets) > TargetsMost {
			continue
		}
		if j.State == Active || j.State == Paused {
			j.State, j.Why = Stopped, protocol.Clip(fmt.Sprintf("restored from a backup of %s: resume or cancel it", r.Backup.Taken.Format(time.RFC3339)))
		}
		s.jobs[id] = j
		s.order = append(s.order, id)
	}
	for name, d := range from.duties {
		if s.duties[name] == nil && len(s.duties) < DutiesMost {
			s.duties[name] = &Duty{Name: name, Token: d.Token}
		}
	}
	kept = append(kept, s.restoreFleet(from.fleet)...)
	s.raise(from.epoch)
	return Result{Kept: kept}
}

// restoreFleet takes what the fleet should be from a backup if nothing is known of it here; else the newer
// word stays, and each difference is told.
func (s *State) restoreFleet(from *desired.State) (kept []string) {
	if s.fleet.Document.Version == 0 {
		s.fleet = from.Clone()
		return nil
	}
	all := desired.Part{Bans: from.Document.Bans, Groups: from.Document.Groups, Budgets: &from.Document.Budgets}
	for _, line := range s.fleet.Would(all) {
		kept = append(kept, fmt.Sprintf("the fleet's version %v stays; the backup's %v would change %s", s.fleet.Document.Version, from.Document.Version, line))
	}
	return kept
}

func word(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

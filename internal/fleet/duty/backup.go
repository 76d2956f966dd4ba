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

// Recovery continues a council of which most voters are permanently lost, by an operator's command: with
// new voters, a new ID, and an epoch above all earlier tokens.
type Recovery struct {
	ID     string   `json:"id"`
	Voters []string `json:"voters"`
	By     string   `json:"by"`
}

// Epoch returns the epoch in which tokens are issued.
func (s *State) Epoch() uint64 { return s.epoch }

func (s *State) recover(r *Recovery) Result {
	if r.ID == "" || r.ID == s.councilID || len(r.Voters) == 0 {
		return refuse(protocol.CodeUsage, "recovery: invalid council ID %q or number of voters %d", r.ID, len(r.Voters))
	}
	s.councilID, s.voters = r.ID, slices.Sorted(slices.Values(r.Voters))
	s.startEpoch(s.epoch)
	return Result{}
}

// startEpoch starts an epoch above both the current one and other, so that no earlier token is issued
// again. All duties lose their owner.
func (s *State) startEpoch(other uint64) {
	s.epoch = max(s.epoch, other) + 1
	s.lastToken = Token(s.epoch << protocol.EpochShift)
	for _, d := range s.duties {
		d.Owner = ""
	}
	s.fleet.RaiseEpoch(s.epoch)
}

// Backup is the file format of a council's state.
type Backup struct {
	FormatVersion int             `json:"form"`
	Cluster       string          `json:"cluster"`
	Taken         time.Time       `json:"taken"`
	State         json.RawMessage `json:"state"` // a snapshot
	Sum           string          `json:"sum"`   // hexadecimal SHA-256 of the fields above
}

func (b *Backup) sum() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d %s %d %s", b.FormatVersion, b.Cluster, b.Taken.UnixNano(), b.State)
	return hex.EncodeToString(h.Sum(nil))
}

// NewBackup returns a backup of a snapshot.
func NewBackup(cluster string, taken time.Time, state []byte) *Backup {
	b := &Backup{FormatVersion: FormatVersion, Cluster: cluster, Taken: taken.UTC().Truncate(time.Millisecond), State: state}
	b.Sum = b.sum()
	return b
}

// Check verifies that the backup is intact and belongs to the given cluster, and returns its state.
func (b *Backup) Check(cluster string) (*State, error) {
	switch {
	case b.FormatVersion != FormatVersion:
		return nil, protocol.Errorf(protocol.CodeVersion, "backup has format version %d, this build supports %d", b.FormatVersion, FormatVersion)
	case b.Cluster != cluster:
		return nil, protocol.Errorf(protocol.CodeUsage, "backup belongs to cluster %q, this is cluster %q", b.Cluster, cluster)
	case b.Sum != b.sum():
		return nil, protocol.Errorf(protocol.CodeUsage, "backup is truncated or was modified: its checksum does not fit")
	}
	s := New()
	if err := s.Load(b.State); err != nil {
		return nil, protocol.Errorf(protocol.CodeUsage, "backup can't be read: %v", err)
	}
	return s, nil
}

// Restore merges a backup into the council's state without replacing anything newer: tokens continue in
// an epoch above both, an instance's desired state is restored if its generation is higher, and
// jobs that are unknown here are restored as stopped.
type Restore struct {
	Backup *Backup `json:"backup"`
	By     string  `json:"by"`
}

func (s *State) restore(r *Restore) Result {
	if r.Backup == nil {
		return refuse(protocol.CodeUsage, "restore: no backup")
	}
	from, err := r.Backup.Check(r.Backup.Cluster) // the leader has checked the cluster before proposing
	if err != nil {
		return Result{Err: err}
	}
	if agents := len(s.agents); agents+len(from.agents) > MaxAgents {
		for name := range from.agents {
			if s.agents[name] != nil {
				agents--
			}
		}
		if agents+len(from.agents) > MaxAgents {
			return refuse(protocol.CodeConflict, "restore: more than %d agents in total, the maximum", MaxAgents)
		}
	}
	keptNewer := []string{}
	for _, agent := range slices.Sorted(maps.Keys(from.agents)) {
		m := from.agents[agent]
		if s.agents[agent] == nil {
			s.agents[agent] = &AgentData{m.StateDirID, m.Starts, map[string]Desired{}}
		}
		current := s.agents[agent].Instances
		for _, name := range slices.Sorted(maps.Keys(m.Instances)) {
			was, is := m.Instances[name], current[name]
			if _, known := current[name]; known && was.Generation <= is.Generation {
				if was.Up != is.Up {
					keptNewer = append(keptNewer, fmt.Sprintf("%s/%s: %s at generation %d stays, the backup says %s at %d", agent, name, upOrDown(is.Up), is.Generation, upOrDown(was.Up), was.Generation))
				}
				continue
			}
			current[name] = was
		}
	}
	for _, id := range from.jobOrder {
		j := from.jobs[id]
		if s.jobs[id] != nil || len(s.jobOrder) >= MaxJobs || s.targetCount()+len(j.Targets) > maxTargets {
			continue
		}
		if j.State == Active || j.State == Paused {
			j.State, j.Reason = Stopped, protocol.Truncate(fmt.Sprintf("restored from a backup of %s: resume or cancel it", r.Backup.Taken.Format(time.RFC3339)))
		}
		s.jobs[id] = j
		s.jobOrder = append(s.jobOrder, id)
	}
	for name, d := range from.duties {
		if s.duties[name] == nil && len(s.duties) < maxDuties {
			s.duties[name] = &Duty{Name: name, Token: d.Token}
		}
	}
	keptNewer = append(keptNewer, s.restoreFleet(from.fleet)...)
	s.startEpoch(from.epoch)
	return Result{KeptNewer: keptNewer}
}

// restoreFleet restores the fleet's desired state if there is none here. Otherwise it keeps the current one
// and returns a description of each difference.
func (s *State) restoreFleet(from *desired.State) (kept []string) {
	if s.fleet.Document.Version == 0 {
		s.fleet = from.Clone()
		return nil
	}
	all := desired.Patch{Bans: from.Document.Bans, Groups: from.Document.Groups, Budgets: &from.Document.Budgets}
	for _, line := range s.fleet.Preview(all) {
		kept = append(kept, fmt.Sprintf("desired state: version %v stays; the backup's version %v would change %s", s.fleet.Document.Version, from.Document.Version, line))
	}
	return kept
}

func upOrDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

package duty

import (
	"maps"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/protocol"
)

// MaxAgents bounds the number of agents of which the council stores data.
const MaxAgents = 1000

// Desired is the state that operators want an instance to have. The higher generation is newer.
type Desired struct {
	Up         bool   `json:"up"`
	Generation uint64 `json:"generation"`
	Group      string `json:"group,omitempty"`   // as last reported from its agent's configuration
	Program    string `json:"program,omitempty"` // see protocol.Instance
}

// Memory is the council's copy of an agent's data, for an agent that has lost its own.
type Memory struct {
	Folder    string             `json:"folder"` // ID of the agent's state directory
	Starts    uint64             `json:"starts"` // number of starts of the agent on that directory
	Instances map[string]Desired `json:"instances"`
}

// Report is an agent's report of its own state. An instance's desired state is stored if its generation is
// higher than the stored one.
type Report struct {
	Agent     string             `json:"agent"`
	Folder    string             `json:"folder"`
	Starts    uint64             `json:"starts"`
	Instances map[string]Desired `json:"instances,omitempty"`
	// Asks marks a query: the agent has lost its state, has nothing to report and needs the stored data.
	Asks bool `json:"asks,omitempty"`
}

// Told is the council's answer to a Report: the data stored of the agent, and the latest token of every
// duty.
type Told struct {
	Known     bool               `json:"known"` // the agent has reported before
	Instances map[string]Desired `json:"instances"`
	Fences    map[string]Token   `json:"fences"`
	// Back is the number of agents that started within the last seconds including this one, as observed by
	// the leader.
	Back int `json:"back"`
	// Word is the part of the desired state that nodes need.
	Word cordon.Word `json:"word"`
}

func (s *State) report(r *Report) Result {
	m := s.agents[r.Agent]
	switch {
	case !protocol.Name.MatchString(r.Agent) || r.Folder == "":
		return refuse(protocol.CodeUsage, "report: invalid agent name %q or state directory ID %q", r.Agent, r.Folder)
	case m == nil && len(s.agents) >= MaxAgents:
		return refuse(protocol.CodeConflict, "report: %d agents are stored, the maximum", MaxAgents)
	case len(r.Instances) > protocol.InstancesMost:
		return refuse(protocol.CodeUsage, "report: %d instances, the maximum is %d", len(r.Instances), protocol.InstancesMost)
	}
	answer := &Told{Known: m != nil, Instances: map[string]Desired{}, Fences: map[string]Token{}, Word: s.fleet.Word()}
	if !r.Asks {
		if m == nil {
			m = &Memory{Instances: map[string]Desired{}}
			s.agents[r.Agent] = m
		}
		m.Folder, m.Starts = r.Folder, r.Starts
		for name, is := range r.Instances {
			if was, known := m.Instances[name]; !known || is.Generation > was.Generation {
				m.Instances[name] = is
			} else if was.Group != is.Group {
				was.Group = is.Group
				m.Instances[name] = was
			}
		}
		if len(m.Instances) > protocol.InstancesMost { // some are no longer in the agent's configuration
			maps.DeleteFunc(m.Instances, func(name string, _ Desired) bool { _, still := r.Instances[name]; return !still })
		}
	}
	if m != nil {
		answer.Instances = maps.Clone(m.Instances)
	}
	for name, d := range s.duties {
		answer.Fences[name] = d.Token
	}
	return Result{Told: answer}
}

// Agents returns copies of the data stored of all agents, by name.
func (s *State) Agents() map[string]Memory {
	all := map[string]Memory{}
	for name, m := range s.agents {
		all[name] = Memory{m.Folder, m.Starts, maps.Clone(m.Instances)}
	}
	return all
}

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

// AgentData is the council's copy of an agent's data, for an agent that has lost its own.
type AgentData struct {
	StateDirID string             `json:"folder"` // ID of the agent's state directory
	Starts     uint64             `json:"starts"` // number of starts of the agent on that directory
	Instances  map[string]Desired `json:"instances"`
}

// Report is an agent's report of its own state. An instance's desired state is stored if its generation is
// higher than the stored one.
type Report struct {
	Agent      string             `json:"agent"`
	StateDirID string             `json:"folder"`
	Starts     uint64             `json:"starts"`
	Instances  map[string]Desired `json:"instances,omitempty"`
	// QueryOnly marks a query: the agent has lost its state, has nothing to report and needs the stored data.
	QueryOnly bool `json:"asks,omitempty"`
}

// ReportAnswer is the council's answer to a Report: the data stored of the agent, and the latest token of every
// duty.
type ReportAnswer struct {
	Known     bool               `json:"known"` // the agent has reported before
	Instances map[string]Desired `json:"instances"`
	Fences    map[string]Token   `json:"fences"`
	// RecentStarts is the number of agents that started within the last seconds including this one, as observed by
	// the leader.
	RecentStarts int `json:"back"`
	// Word is the part of the desired state that nodes need.
	Word cordon.FleetBans `json:"word"`
}

func (s *State) report(r *Report) Result {
	m := s.agents[r.Agent]
	switch {
	case !protocol.NamePattern.MatchString(r.Agent) || r.StateDirID == "":
		return refuse(protocol.CodeUsage, "report: invalid agent name %q or state directory ID %q", r.Agent, r.StateDirID)
	case m == nil && len(s.agents) >= MaxAgents:
		return refuse(protocol.CodeConflict, "report: %d agents are stored, the maximum", MaxAgents)
	case len(r.Instances) > protocol.MaxInstances:
		return refuse(protocol.CodeUsage, "report: %d instances, the maximum is %d", len(r.Instances), protocol.MaxInstances)
	}
	answer := &ReportAnswer{Known: m != nil, Instances: map[string]Desired{}, Fences: map[string]Token{}, Word: s.fleet.FleetBans()}
	if !r.QueryOnly {
		if m == nil {
			m = &AgentData{Instances: map[string]Desired{}}
			s.agents[r.Agent] = m
		}
		m.StateDirID, m.Starts = r.StateDirID, r.Starts
		for name, is := range r.Instances {
			if was, known := m.Instances[name]; !known || is.Generation > was.Generation {
				m.Instances[name] = is
			} else if was.Group != is.Group {
				was.Group = is.Group
				m.Instances[name] = was
			}
		}
		if len(m.Instances) > protocol.MaxInstances { // some are no longer in the agent's configuration
			maps.DeleteFunc(m.Instances, func(name string, _ Desired) bool { _, still := r.Instances[name]; return !still })
		}
	}
	if m != nil {
		answer.Instances = maps.Clone(m.Instances)
	}
	for name, d := range s.duties {
		answer.Fences[name] = d.Token
	}
	return Result{ReportAnswer: answer}
}

// Agents returns copies of the data stored of all agents, by name.
func (s *State) Agents() map[string]AgentData {
	all := map[string]AgentData{}
	for name, m := range s.agents {
		all[name] = AgentData{m.StateDirID, m.Starts, maps.Clone(m.Instances)}
	}
	return all
}

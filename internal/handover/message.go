package handover

import (
	"bytes"
	"encoding/json"
	"fmt"

	"otterstep/internal/cordon"
	"otterstep/internal/core"
	"otterstep/internal/lifecycle"
	"otterstep/policy"
)

const (
	// Version is the protocol version. Fields may be added without changing it: readers ignore
	// unknown fields.
	Version = 1
	// maxMessageSize bounds a message, in bytes. It has room for the maximum number of cordoned and delisted servers.
	maxMessageSize = 16 << 20
)

// State is the manual cordons, the quiesce state and the fleet's bans, as one process sends them to the other.
type State struct {
	Name          string                 `json:"name"`            // node name
	ManualCordons []cordon.Entry         `json:"hand"`            // manual cordons
	Delisted      []string               `json:"known,omitempty"` // servers that have left the list
	Quiesce       lifecycle.QuiesceState `json:"drained"`
	FleetBans     *cordon.FleetBans      `json:"word,omitempty"` // latest fleet bans
}

// ConnCounts is the number of connections that a process has open.
type ConnCounts struct {
	Clients int `json:"clients"`
	Servers int `json:"servers"`
}

// Message is one line of JSON. One of its parts is set; a message with a Seq is answered by an Ack with the same
// number once it has taken effect.
type Message struct {
	Version   int                     `json:"v,omitempty"` // in the first message only
	State     *State                  `json:"state,omitempty"`
	Entry     *cordon.Entry           `json:"entry,omitempty"`
	FleetBans *cordon.FleetBans       `json:"word,omitempty"` // fleet bans
	Quiesce   *lifecycle.QuiesceState `json:"drained,omitempty"`
	Serving   bool                    `json:"serving,omitempty"`
	Conns     *ConnCounts             `json:"holds,omitempty"`
	// Memory is what the predecessor's decision module has learnt, sent before its Ack of Serving.
	Memory *policy.Memory `json:"memory,omitempty"`
	// RequestIDs are in use, or no longer in use, in the process that sends the message.
	RequestIDs *core.IDChange `json:"ids,omitempty"`
	Seq        uint64         `json:"seq,omitempty"`
	Ack        uint64         `json:"ack,omitempty"`
}

// encode returns the message as one line.
func (m Message) encode() ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return append(text, '\n'), nil
}

// decode parses one line.
func decode(line []byte) (m Message, err error) {
	if err := json.Unmarshal(bytes.TrimSpace(line), &m); err != nil {
		return Message{}, fmt.Errorf("handover: invalid message of %d bytes: %w", len(line), err)
	}
	return m, nil
}

// checkHello validates the first message of the other process.
func (m Message) checkHello(name string) error {
	switch {
	case m.Version != Version:
		return fmt.Errorf("handover: the other process uses protocol version %d, this one version %d", m.Version, Version)
	case m.State == nil:
		return fmt.Errorf("handover: the first message has no state")
	case m.State.Name != name:
		return fmt.Errorf("handover: the other process is node %.100q, this one is node %q", m.State.Name, name)
	}
	return nil
}

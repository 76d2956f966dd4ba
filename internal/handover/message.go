package handover

import (
	"bytes"
	"encoding/json"
	"fmt"

	"otterstep/internal/cordon"
	"otterstep/internal/life"
	"otterstep/policy"
)

const (
	// Version of what passes between processes. Fields may be added without a new one: a
	// reader skips those that it does not know.
	Version = 1
	// messageMost bounds a message, in bytes: all servers that may be left out or known.
	messageMost = 16 << 20
)

// State is what operators have said so far, as one process passes it to the other.
type State struct {
	Name    string         `json:"name"` // the node's
	Hand    []cordon.Entry `json:"hand"`
	Known   []string       `json:"known,omitempty"` // servers that were listed once and are gone
	Drained life.Drained   `json:"drained"`
	Word    *cordon.Word   `json:"word,omitempty"` // the fleet's latest
}

// Holds is what a process has open.
type Holds struct {
	Clients int `json:"clients"`
	Servers int `json:"servers"`
}

// Message is one line. One of its parts is set; each with a Seq is answered by an Ack of it
// once it has taken effect.
type Message struct {
	Version int           `json:"v,omitempty"` // in the first one
	State   *State        `json:"state,omitempty"`
	Entry   *cordon.Entry `json:"entry,omitempty"`
	Word    *cordon.Word  `json:"word,omitempty"` // the fleet's
	Drained *life.Drained `json:"drained,omitempty"`
	Serving bool          `json:"serving,omitempty"`
	Holds   *Holds        `json:"holds,omitempty"`
	// Memory is what the predecessor's module has learnt, ahead of its Ack of Serving.
	Memory *policy.Memory `json:"memory,omitempty"`
	Seq    uint64         `json:"seq,omitempty"`
	Ack    uint64         `json:"ack,omitempty"`
}

// encode gives a message as a line.
func (m Message) encode() ([]byte, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return append(text, '\n'), nil
}

// decode reads a line.
func decode(line []byte) (m Message, err error) {
	if err := json.Unmarshal(bytes.TrimSpace(line), &m); err != nil {
		return Message{}, fmt.Errorf("handover: a message of %d bytes: %w", len(line), err)
	}
	return m, nil
}

// opening checks the first message of the other process.
func (m Message) opening(name string) error {
	switch {
	case m.Version != Version:
		return fmt.Errorf("handover: the other process speaks version %d, this one %d", m.Version, Version)
	case m.State == nil:
		return fmt.Errorf("handover: the first message brings no state")
	case m.State.Name != name:
		return fmt.Errorf("handover: the other process is node %.100q, this one %q", m.State.Name, name)
	}
	return nil
}

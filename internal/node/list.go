package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
)

// hostList is discovery's full list of servers, or the changes to it if All is false.
type hostList struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	Model        string  `json:"model"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// parseList decodes an answer from discovery. A list with any invalid entry is rejected as a whole, because using part
// of it would remove or keep servers that discovery did not mention. Errors name the field.
func parseList(text []byte) (hostList, error) {
	var j struct {
		Rev     *int64    `json:"rev"`
		All     *bool     `json:"all"`
		Targets *[]target `json:"targets"`
	}
	if err := json.Unmarshal(text, &j); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return hostList{}, fmt.Errorf("list: %s: got %s, want %s, at byte %d", wrong.Field, wrong.Value, wrong.Type, wrong.Offset)
		}
		return hostList{}, fmt.Errorf("list of %d bytes: %w", len(text), err)
	}
	switch {
	case j.Rev == nil:
		return hostList{}, errors.New("list: rev: missing")
	case *j.Rev < 0:
		return hostList{}, fmt.Errorf("list: rev: %d is negative", *j.Rev)
	case j.All == nil:
		return hostList{}, errors.New("list: all: missing")
	case j.Targets == nil:
		return hostList{}, errors.New("list: targets: missing")
	}
	for i, t := range *j.Targets {
		if err := t.check(); err != nil {
			return hostList{}, fmt.Errorf("list: targets[%d].%w", i, err)
		}
	}
	return hostList{*j.Rev, *j.All, *j.Targets}, nil
}

// check validates an entry. A terminated server needs no endpoint.
func (t target) check() error {
	if t.UID == "" {
		return errors.New("uid: missing")
	}
	if t.State == "" {
		return errors.New("state: missing")
	}
	if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && t.State != stateTerminated {
		return fmt.Errorf("endpoint: %w", err)
	}
	if t.CapacityHint < 0 || math.IsInf(t.CapacityHint, 0) {
		return fmt.Errorf("capacity_hint: %v is negative or infinite", t.CapacityHint)
	}
	if t.BootMs < 0 {
		return fmt.Errorf("boot_ms: %d is negative", t.BootMs)
	}
	return nil
}

const stateTerminated = "terminated"

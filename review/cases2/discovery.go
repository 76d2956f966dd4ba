package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// target is a server in the list, as the protocol page has it.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	AZ       string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// discovery is a list that is pushed: it answers at once with what is newer, and holds watches until there is.
type discovery struct {
	addr string

	mu      sync.Mutex
	rev     int64
	targets map[string]target
	changes []change // all of them, oldest first
	changed chan struct{}
}

type change struct {
	rev int64
	target
}

func (p *play) startDiscovery(all ...target) *discovery {
	d := &discovery{targets: map[string]target{}, changed: make(chan struct{})}
	for _, t := range all {
		d.set(t)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.impossible("%v", err)
	}
	d.addr = l.Addr().String()
	go func() { _ = http.Serve(l, d) }()
	return d
}

// inService is a server that started long ago.
func inService(uid, endpoint, model string) target {
	return target{UID: uid, Endpoint: endpoint, AZ: "kigali-room1", Model: model, PodGroup: 1, State: "in_service", Capacity: 1}
}

// set changes an entry of the list.
func (d *discovery) set(t target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	if t.State == "terminated" {
		delete(d.targets, t.UID)
	} else {
		d.targets[t.UID] = t
	}
	d.changes = append(d.changes, change{d.rev, t})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := struct {
		Rev     int64    `json:"rev"`
		All     bool     `json:"all"`
		Targets []target `json:"targets"`
	}{All: !r.URL.Query().Has("since"), Targets: []target{}}
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	d.mu.Lock()
	for waits := true; waits && !list.All && d.rev <= since; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waits = false
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
	}
	list.Rev = d.rev
	if list.All {
		for _, uid := range slices.Sorted(maps.Keys(d.targets)) {
			list.Targets = append(list.Targets, d.targets[uid])
		}
	} else {
		for _, c := range d.changes {
			if c.rev > since {
				list.Targets = append(list.Targets, c.target)
			}
		}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

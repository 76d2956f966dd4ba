package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// node is a node of the platform, as started by the deploy file's command.
type node struct {
	*process
	listen, operator string
	line             string
	env              []string
}

// settings are like those of a small deployment: one node, reads and keyed pushes, a pushed list.
func settings() map[string]any {
	return map[string]any{
		"Balancers": 1, "RegistryMode": "pushed", "TickMs": 5.0,
		"Classes": []any{
			map[string]any{"Name": "avail-read", "Effect": "pure", "DeadlineMs": 1400.0, "PromiseMs": 580.0, "Importance": 2.0},
			map[string]any{"Name": "booking-push", "Effect": "token", "DedupScope": "all", "KeyTtlMs": 6000.0, "DeadlineMs": 1900.0, "PromiseMs": 750.0, "Importance": 8.0},
		},
		"Contract": map[string]any{"ColdFrom": 0.32, "ColdMs": 8800.0, "DrainGraceMs": 500.0, "FallMs": 1000.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0},
		"Limits": map[string]any{"Cancel": true, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 200.0, "MaxAttempts": 4,
			"MaxRetryAfterMs": 600.0, "Probes": true, "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 1},
		"Kinds": []string{"dual-fast", "pbx"}, "Zones": []string{"kigali-room1"},
	}
}

// startNode starts a node with an operator's file, and waits until it is ready.
func (p *play) startNode(discovery, operatorFile string) *node {
	n := &node{listen: p.freeTCP(), operator: p.freeTCP()}
	config, err := json.MarshalIndent(map[string]any{
		"name": "n1", "listen": n.listen, "discovery": discovery, "operator": n.operator, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"rev": 0, "all": true, "targets": []any{}},
		"settings": settings(),
	}, "", " ")
	if err != nil {
		p.impossible("%v", err)
	}
	n.line = p.command() + " -operator '" + p.file("operator.toml", operatorFile) + "'"
	n.env = []string{"PROXY_CONFIG=" + p.file("config.json", string(config)), "TMPDIR=" + p.temp}
	n.process = p.start("node", n.line, n.env...)
	p.awaitReady(n)
	return n
}

// startAgain starts a node that has ended under its old addresses.
func (p *play) startAgain(n *node) {
	again := *n
	again.process = p.start("node again", n.line, n.env...)
	p.awaitReady(&again)
}

func (p *play) awaitReady(n *node) {
	for range 200 {
		if status, _ := p.get("http://" + n.listen + "/up"); status == http.StatusOK {
			p.note("node is ready: clients at %s, operators at %s", n.listen, n.operator)
			return
		}
		select {
		case <-n.ended:
			p.impossible("the node has ended: %s", p.log(n.process))
		case <-time.After(50 * time.Millisecond):
		}
	}
	p.impossible("the node is not ready: %s", p.log(n.process))
}

var plain = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (p *play) get(url string) (status int, err error) {
	resp, err := plain.Get(url)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// call makes a call at the operators' door.
func (p *play) call(n *node, path string) (status int) {
	resp, err := plain.Post("http://"+n.operator+path, "", strings.NewReader(""))
	if err != nil {
		p.impossible("operators' call %s: %v", path, err)
	}
	_ = resp.Body.Close()
	p.note("operator: POST %s, answered %d", path, resp.StatusCode)
	return resp.StatusCode
}

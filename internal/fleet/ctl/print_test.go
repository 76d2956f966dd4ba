package ctl

import (
	"strings"
	"testing"
	"text/tabwriter"

	"otterstep/internal/control"
	"otterstep/internal/fleet/group"
)

// Guards against inspect omitting an instance's SIP and HTTP fronts.
func TestInspectShowsFronts(t *testing.T) {
	var b strings.Builder
	p := &printer{tab: tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)}
	v := &control.Inspection{SIP: &control.SIP{
		Listen: map[string]string{"udp": "127.0.0.1:5060"}, Transactions: map[string]int{"proceeding": 3}, Dialogs: 7,
		Finals: map[int]int64{200: 9, 503: 1}, Refused: map[string]int64{"source": 4}, Ends: map[string]int64{"rang out": 2},
		Servers: []control.Server{{Endpoint: "127.0.0.1:7001", Breaker: "half-open"}},
		Counts:  map[string]map[string]int64{"invite": {"served": 5}},
	}, Web: []control.Web{{
		Name: "shop", Listen: "127.0.0.1:8080", Streams: 11, Tunnels: 12, Cut: 13, Gone: 14, TurnedDown: 15, Rules: []int64{16, 17}, Kept: 18,
		Servers: []control.Server{{Endpoint: "127.0.0.1:9001", Breaker: "open"}},
		Counts:  map[string]map[string]int64{"orders/keyed": {"refused": 19}},
	}}}
	p.inspected([]group.Inspected{{Inspection: v}})
	p.tab.Flush()
	for _, want := range []string{"udp 127.0.0.1:5060", "proceeding 3", "begun 7", "200 9, 503 1", "source 4", "rang out 2", "127.0.0.1:7001", "invite",
		"web shop", "127.0.0.1:8080", "streams 11", "tunnels 12", "cut 13", "gone 14", "turned down 15", "[16 17]", "kept 18", "127.0.0.1:9001", "orders/keyed", "19"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}

package ctl

import (
	"strings"
	"testing"
	"text/tabwriter"

	"otterstep/internal/control"
	"otterstep/internal/fleet/group"
)

// inspect shows an instance's SIP front where it has one.
func TestInspectShowsSIP(t *testing.T) {
	var b strings.Builder
	p := &printer{tab: tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)}
	v := &control.Inspection{SIP: &control.SIP{
		Listen: map[string]string{"udp": "127.0.0.1:5060"}, Transactions: map[string]int{"proceeding": 3}, Dialogs: 7,
		Finals: map[int]int64{200: 9, 503: 1}, Refused: map[string]int64{"source": 4}, Ends: map[string]int64{"rang out": 2},
		Servers: []control.Server{{Endpoint: "127.0.0.1:7001", Breaker: "half-open"}},
		Counts:  map[string]map[string]int64{"invite": {"served": 5}},
	}}
	p.inspected([]group.Inspected{{Inspection: v}})
	p.tab.Flush()
	for _, want := range []string{"udp 127.0.0.1:5060", "proceeding 3", "begun 7", "200 9, 503 1", "source 4", "rang out 2", "127.0.0.1:7001", "invite"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}

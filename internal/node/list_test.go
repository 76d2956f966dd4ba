package node

import (
	"strings"
	"testing"
)

const goodList = `{"rev":41,"all":true,"targets":[` +
	`{"uid":"s-1","endpoint":"127.0.0.1:8000","az":"a","model":"m2","pod_group":3,"state":"in_service","capacity_hint":1.5,"boot_ms":7},` +
	`{"uid":"s-2","endpoint":"","az":"a","model":"m2","pod_group":3,"state":"terminated","capacity_hint":0,"boot_ms":0}]}`

// Guards against truncated lists: a list cut at any byte is rejected as a whole.
func TestTruncatedListIsRejected(t *testing.T) {
	if l, err := parseList([]byte(goodList)); err != nil || l.Rev != 41 || !l.All || len(l.Targets) != 2 || l.Targets[0].BootMs != 7 {
		t.Fatalf("%+v, %v", l, err)
	}
	for i := range goodList {
		if l, err := parseList([]byte(goodList[:i])); err == nil || len(l.Targets) > 0 {
			t.Errorf("cut at byte %d: %+v", i, l)
		}
	}
}

// Guards against invalid entries that are used, or whose error does not identify the field.
func TestListErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`"rev":41`, `"rev":"41"`, "rev"},
		{`"rev":41`, `"rev":-1`, "rev"},
		{`"rev":41,`, ``, "rev"},
		{`"all":true,`, ``, "all"},
		{`"targets"`, `"hosts"`, "targets"},
		{`"uid":"s-1"`, `"uid":7`, "uid"},
		{`"uid":"s-1"`, `"uid":""`, "targets[0].uid"},
		{`"127.0.0.1:8000"`, `"127.0.0.1"`, "targets[0].endpoint"},
		{`"in_service"`, `""`, "targets[0].state"},
		{`"capacity_hint":1.5`, `"capacity_hint":-1.5`, "targets[0].capacity_hint"},
		{`"capacity_hint":1.5`, `"capacity_hint":1e999`, "capacity_hint"},
		{`"boot_ms":7`, `"boot_ms":-7`, "targets[0].boot_ms"},
		{`"boot_ms":7`, `"boot_ms":[7]`, "boot_ms"},
		{`"pod_group":3`, `"pod_group":0.5`, "pod_group"},
	} {
		text := strings.Replace(goodList, c.old, c.new, 1)
		if l, err := parseList([]byte(text)); err == nil || !strings.Contains(err.Error(), c.field) || len(l.Targets) > 0 {
			t.Errorf("%s in place of %s: %+v, %v; want an error that names the field", c.new, c.old, l, err)
		}
	}
}

func FuzzList(f *testing.F) {
	f.Add([]byte(goodList))
	f.Add([]byte(`{"rev":1,"all":false,"targets":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := parseList(text)
		if err != nil {
			return
		}
		for _, s := range l.Targets {
			if s.UID == "" || s.State == "" || s.BootMs < 0 || !(s.CapacityHint >= 0) {
				t.Fatalf("invalid entry accepted: %+v", s)
			}
		}
	})
}

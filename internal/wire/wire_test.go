package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"otterstep/policy"
)

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	raw, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// record decodes a hexadecimal event record and pads it to its full size.
func record(t testing.TB, text string) []byte {
	raw := decodeHex(t, text)
	return append(raw, make([]byte, eventSize-len(raw))...)
}

// frame builds batch number 12 with a clock of 8500 ms.
func frame(count int, records, tail []byte) []byte {
	head := make([]byte, batchHeader)
	binary.BigEndian.PutUint32(head[0:], uint32(len(records)+len(tail)))
	binary.BigEndian.PutUint64(head[4:], math.Float64bits(8500))
	binary.BigEndian.PutUint32(head[12:], uint32(count))
	binary.BigEndian.PutUint32(head[16:], 12)
	return append(append(head, records...), tail...)
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

func decodeAll(raw []byte) ([]Event, error) {
	r := NewReader(bytes.NewReader(raw))
	var events []Event
	for {
		b, err := r.Read()
		if err != nil {
			return events, err
		}
		for i := range b.Count {
			var e Event
			if err := b.Event(i, &e); err != nil {
				return events, err
			}
			events = append(events, e)
		}
	}
}

func TestDecodesEvents(t *testing.T) {
	raw := frame(8, join(
		record(t, "0b 0003"),
		record(t, "03 5d3a91c4 00 0001 91f03b7c55d20a64 406e000000000000 4028000000000000 01"),
		record(t, "07 000000000000004d"),
		record(t, "02 02 0000000000000029 00000000 00000002"),
		record(t, "05 5d3a91c4 00c8 01 0a124a07 1f93 0000 4032800000000000"),
		record(t, "06 0e6f2b19"),
		record(t, "04 5d3a91c4 0002 4022800000000000 0a124a07 1f93"),
		record(t, "0a"),
	), decodeHex(t, "0a124a07 1f93 0001 0003 0002 01 3f800000 0000000000000000"+
		"0a9011f2 1fbc 0000 0000 0000 02 3fc00000 40b7d40000000000"))
	events, err := decodeAll(raw)
	if !errors.Is(err, io.EOF) || errors.Is(err, ErrFormat) {
		t.Fatalf("the input ends with %v, want io.EOF", err)
	}
	if events[0].Instance != 3 || events[2].Token != 0x4d || events[7].Code != EventStop {
		t.Fatalf("instance %d, token %d, last code %d", events[0].Instance, events[2].Token, events[7].Code)
	}
	wantRequest := policy.Request{ID: 0x5d3a91c4, Tenant: 1, Key: 0x91f03b7c55d20a64,
		TimeLeft: 240 * time.Millisecond, Hint: 12 * time.Millisecond}
	if events[1].Request != wantRequest {
		t.Errorf("request %+v, want %+v", events[1].Request, wantRequest)
	}
	const server = policy.ServerID(0x0a124a071f93)
	list := events[3]
	want := []policy.Entry{
		{Server: server, Zone: 1, Kind: 3, Cell: 2, State: policy.Ready, Weight: 1},
		{Server: 0x0a9011f21fbc, State: policy.Draining, Weight: 1.5, Started: 6100 * time.Millisecond},
	}
	if list.Kind != policy.ListCached || len(list.Entries) != 2 || list.Entries[0] != want[0] ||
		list.Entries[1] != want[1] {
		t.Errorf("list %d %+v, want %+v", list.Kind, list.Entries, want)
	}
	wantOutcome := policy.Outcome{ID: 0x5d3a91c4, Server: server, Status: policy.OK, Ended: true,
		Latency: 18500 * time.Microsecond}
	if events[4].Outcome != wantOutcome {
		t.Errorf("outcome %+v, want %+v", events[4].Outcome, wantOutcome)
	}
	if events[5].Outcome.ID != 0x0e6f2b19 || events[6].Outcome.Attempt != 2 ||
		events[6].Outcome.Server != server {
		t.Errorf("left %+v, started %+v", events[5].Outcome, events[6].Outcome)
	}
}

func TestEncodesActions(t *testing.T) {
	var r Reply
	r.Reset()
	const server = policy.ServerID(0x0a124a071f93)
	r.SetInstance(3)
	r.Send(0x5d3a91c4, server, 80*time.Millisecond)
	r.SetTimer(8400*time.Millisecond, 0x4d)
	r.Cancel(0x5d3a91c4, 1)
	r.SetInstance(5)
	r.Refuse(0x0e6f2b19, 250*time.Millisecond)
	r.Fail(7)
	r.WatchList()
	r.Fatal("broken")
	var out bytes.Buffer
	if err := r.WriteTo(bufio.NewWriter(&out), 12); err != nil {
		t.Fatal(err)
	}
	pad := func(text string) []byte {
		raw := decodeHex(t, text)
		return append(raw, make([]byte, actionSize-len(raw))...)
	}
	want := join(decodeHex(t, "00000009 000000de 0000000c"),
		pad("44 0003"), pad("42 5d3a91c4 0a124a07 1f93 4054000000000000"),
		pad("48 40c0680000000000 000000000000004d"),
		pad("41 5d3a91c4 0001"), pad("44 0005"), pad("47 0e6f2b19 406f400000000000"), pad("49 00000007"),
		pad("4b 01"), pad("4d 00000000 00000006"), []byte("broken"))
	if !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("got\n%x\nwant\n%x", out.Bytes(), want)
	}
}

// malformed holds frames that must each give a one-line error that names the batch, and no panic.
var malformed = map[string]func(testing.TB) []byte{
	"truncated header":    func(testing.TB) []byte { return frame(0, nil, nil)[:7] },
	"truncated body":      func(t testing.TB) []byte { return frame(1, record(t, "0b 0003"), nil)[:40] },
	"huge claimed length": func(testing.TB) []byte { f := frame(0, nil, nil); f[0] = 0xff; return f },
	"long claimed length": func(testing.TB) []byte { f := frame(0, nil, nil); f[0] = 0x30; return f },
	"more records than bytes": func(t testing.TB) []byte {
		return frame(9, record(t, "0b 0003"), nil)
	},
	"unknown event": func(t testing.TB) []byte { return frame(1, record(t, "63"), nil) },
	"settings out of the tail": func(t testing.TB) []byte {
		return frame(1, record(t, "01 0000000000000001 00000000 00000009"), []byte("{}"))
	},
	"entries out of the tail": func(t testing.TB) []byte {
		return frame(1, record(t, "02 01 0000000000000001 fffffff0 ffffffff"), nil)
	},
	"unknown list kind": func(t testing.TB) []byte { return frame(1, record(t, "02 09"), nil) },
	"unknown status":    func(t testing.TB) []byte { return frame(1, record(t, "05 5d3a91c4 0001"), nil) },
	"latency not a number": func(t testing.TB) []byte {
		return frame(1, record(t, "05 5d3a91c4 00c8 01 0a124a07 1f93 0000 7ff8000000000001"), nil)
	},
	"time left not finite": func(t testing.TB) []byte {
		return frame(1, record(t, "03 5d3a91c4 00 0000 91f03b7c55d20a64 7ff0000000000000"), nil)
	},
	"message out of the tail": func(t testing.TB) []byte {
		return frame(1, record(t, "09 00000002 00000000 00000004"), nil)
	},
	"clock not a number": func(testing.TB) []byte { f := frame(0, nil, nil); f[4], f[5] = 0x7f, 0xf8; return f },
	"unknown server state": func(t testing.TB) []byte {
		return frame(1, record(t, "02 01 0000000000000001 00000000 00000001"),
			decodeHex(t, "0a124a07 1f93 0000 0000 0000 07 3f800000 0000000000000000"))
	},
	"weight not a number": func(t testing.TB) []byte {
		return frame(1, record(t, "02 01 0000000000000001 00000000 00000001"),
			decodeHex(t, "0a124a07 1f93 0000 0000 0000 01 7fc00000 0000000000000000"))
	},
}

func TestMalformedFramesGiveOneLineError(t *testing.T) {
	for name, build := range malformed {
		t.Run(name, func(t *testing.T) {
			_, err := decodeAll(build(t))
			if !errors.Is(err, ErrFormat) || !strings.Contains(err.Error(), "batch") ||
				strings.Contains(err.Error(), "\n") {
				t.Fatalf("error %v", err)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, build := range malformed {
		f.Add(build(f))
	}
	f.Add(frame(2, join(record(f, "0b 0003"), record(f, "07 000000000000004d")), nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := decodeAll(raw); err == nil {
			t.Fatal("an input that ends must give an error or io.EOF")
		}
	})
}

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"Balancers": 2, "Locality": 1, "CountedBy": "work",
		"RegistryMode": "on_request",
		"Accounts": [{"Name": "a", "QuotaPerS": 84.0}], "OverShareWorth": 0.05, "Extra": {"WarmKeys": true},
		"Novel": {"x": []},
		"Classes": [{"DeadlineMs": 1400.0, "DedupScope": "zone", "Effect": "token", "Importance": 2,
			"KeyTtlMs": 5000,
			"LateWorth": 0.5, "PromiseMs": 580, "Streaming": true, "AimStretch": 4}, {"DeadlineMs": 100}],
		"Deductions": {"Waste": 0.2, "LateFail": 0.08, "CrossZone": 0.04}, 
		"Contract": {"ColdFrom": 0.32, "ColdMs": 8800,
		"FallMs": 1000, "FallMultiple": 3, "MustAskInMs": 9000},
		"Limits": {"Cancel": true, "MaxAttempts": 4, "MaxRetryAfterMs": 600, "RetryAfter": true,
			"SecondCopies": true}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if s.Nodes != 2 || s.Zone != 1 || !s.WorthByWork || !s.ListWatched || !s.WarmKeys ||
		s.OverShareWorth != 0.05 ||
		s.Tenants[0].QuotaPerS != 84 || c.Effect != policy.Keyed || c.Scope != policy.ScopeZone ||
		c.Window != 5*time.Second || c.Aim != 580*time.Millisecond || c.LateWorth != 0.5 || !c.Stream ||
		c.AimStretch != 4 ||
		s.Limits != (policy.Limits{MaxAttempts: 4, SecondCopies: true, Cancel: true,
			MaxRetryAfter: 600 * time.Millisecond}) ||
		s.Prices != (policy.Prices{Waste: 0.2, LateFail: 0.08, CrossZone: 0.04}) ||
		s.Rules.FallMultiple != 3 || s.Rules.ColdFor != 8800*time.Millisecond || s.Rules.MaxCallInterval != 9*time.Second {
		t.Errorf("settings %+v", s)
	}
	if d := s.Classes[1]; d.Effect != policy.Unsafe || d.Scope != policy.ScopeCell ||
		d.Aim != d.Deadline || d.Worth != 1 {
		t.Errorf("class without most keys %+v: not the safe defaults", d)
	}
}

func TestParseSettingsNamesTheField(t *testing.T) {
	for text, field := range map[string]string{
		`{`:                                     "settings",
		`{"Classes": [{"Effect": "perhaps"}]}`:  "Classes[0].Effect",
		`{"Classes": [{"DedupScope": "moon"}]}`: "Classes[0].DedupScope",
		`{"RegistryMode": "sung"}`:              "RegistryMode",
		`{"Limits": {"MaxAttempts": "many"}}`:   "MaxAttempts",
		`{"Contract": {"ColdMs": 1e300}}`:       "time 1e+300",
	} {
		if _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name %s", text, err, field)
		}
	}
}

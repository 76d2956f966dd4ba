package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"otterstep/internal/wire"
	"otterstep/policy"
)

const settings = `{"Classes": [{"DeadlineMs": 1000, "Effect": "pure"}], "Limits": {"MaxAttempts": 2}}`

// eventRecord encodes an event record from its fields and pads it to its full size.
func eventRecord(parts ...any) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return append(b.Bytes(), make([]byte, 48-b.Len())...)
}

func batch(tail string, records ...[]byte) []byte {
	var b bytes.Buffer
	body := bytes.Join(records, nil)
	for _, p := range []any{uint32(len(body) + len(tail)), math.Float64bits(5000),
		uint32(len(records)), uint32(7)} {
		if err := binary.Write(&b, binary.BigEndian, p); err != nil {
			panic(err)
		}
	}
	return append(append(b.Bytes(), body...), tail...)
}

func instance(n uint16) []byte { return eventRecord(uint8(11), n) }

func open(text string) []byte { return eventRecord(uint8(1), uint64(1), uint32(0), uint32(len(text))) }

// codes returns the action codes of all replies.
func codes(t *testing.T, out []byte) (all []byte) {
	t.Helper()
	for len(out) > 0 {
		count, size := binary.BigEndian.Uint32(out), binary.BigEndian.Uint32(out[4:])
		for i := range int(count) {
			all = append(all, out[12+24*i])
		}
		out = out[12+size:]
	}
	return all
}

func TestRunServesABatchAndEndsCleanly(t *testing.T) {
	entry := "\x0a\x00\x00\x01\x1f\x90" +
		"\x00\x00\x00\x00\x00\x00\x01\x3f\x80\x00\x00" + strings.Repeat("\x00", 8)
	in := bytes.Join([][]byte{
		batch(""),
		batch(settings, instance(4), open(settings)),
		batch(entry, instance(4), eventRecord(uint8(2), uint8(2), uint64(1), uint32(0), uint32(1)),
			eventRecord(uint8(3), uint32(9), uint8(0), uint16(0), uint64(0), float64(800))),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	if got := codes(t, out.Bytes()); !bytes.Equal(got, []byte{68, 66, 72}) {
		t.Fatalf("action codes %v, want context, send, timer", got)
	}
}

func TestRunReportsImpossibleSettingsAsFatal(t *testing.T) {
	text := `{"Classes": [{"DeadlineMs": -5, "Effect": "pure"}]}`
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(text, instance(4), open(text))), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(out.Bytes(), []byte("Classes[0].Deadline")) ||
		!bytes.Contains(codes(t, out.Bytes()), []byte{77}) {
		t.Fatalf("reply %q names no field", out.Bytes())
	}
}

func TestRunRejectsEventsForNoInstance(t *testing.T) {
	for name, in := range map[string][]byte{
		"never opened": batch("", instance(4), eventRecord(uint8(7), uint64(0))),
		"not named":    batch("", eventRecord(uint8(7), uint64(0))),
		"stopped":      batch(settings, instance(4), open(settings), eventRecord(uint8(10)), eventRecord(uint8(7), uint64(0))),
	} {
		var out bytes.Buffer
		err := run(bytes.NewReader(in), &out)
		if err == nil || !strings.Contains(err.Error(), "batch 7, record") {
			t.Errorf("%s: error %v does not name the batch and the record", name, err)
		}
	}
}

// Guards against a panic in the decision module that ends the whole process without a report.
func TestPanicIsReportedAsFatal(t *testing.T) {
	h := host{instances: map[uint16]*policy.Balancer{4: nil}, current: 4}
	h.reply.Reset()
	h.reply.SetInstance(4)
	h.handle(&wire.Batch{Number: 7}, &wire.Event{Code: wire.EventRequest})
	var out bytes.Buffer
	if err := h.reply.WriteTo(bufio.NewWriter(&out), 7); err != nil {
		t.Fatal(err)
	}
	if got := codes(t, out.Bytes()); !bytes.Equal(got, []byte{68, 77}) ||
		!bytes.Contains(out.Bytes(), []byte("panic")) {
		t.Fatalf("action codes %v, want context and fatal", got)
	}
}

// Package wire implements the simulator's binary protocol: it decodes event records into the
// types of package policy and encodes actions as records. It also parses a node's settings.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"otterstep/policy"
)

// Sizes of the parts of a frame, in bytes.
const (
	batchHeader = 20
	replyHeader = 12
	eventSize   = 48
	actionSize  = 24
	entrySize   = 25
	maxBody     = 1 << 30
)

// Code is the type of an event record.
type Code uint8

// The event codes.
const (
	EventOpen     Code = 1
	EventMembers  Code = 2
	EventRequest  Code = 3
	EventStarted  Code = 4
	EventOutcome  Code = 5
	EventLeft     Code = 6
	EventTimer    Code = 7
	EventProbed   Code = 8
	EventPeer     Code = 9
	EventStop     Code = 10
	EventInstance Code = 11
)

// The action codes.
const (
	actCancel  = 65
	actSend    = 66
	actContext = 68
	actRefuse  = 71
	actTimer   = 72
	actFail    = 73
	actWatch   = 75
	actFatal   = 77
)

// ErrFormat is wrapped by every error about a malformed frame.
var ErrFormat = errors.New("malformed frame")

// Batch is one frame of events. Its bytes are valid until the next Read.
type Batch struct {
	Now    time.Duration
	Number uint32
	Count  int

	records []byte
	tail    []byte
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	body  []byte
	head  [batchHeader]byte
	batch Batch
}

// NewReader reads batches from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<16)} }

// Read returns the next batch. It returns io.EOF if the input ends between batches.
func (r *Reader) Read() (*Batch, error) {
	if n, err := io.ReadFull(r.in, r.head[:]); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("%w: header after batch %d: %w", ErrFormat, r.batch.Number, err)
	}
	size := binary.BigEndian.Uint32(r.head[0:])
	ms := math.Float64frombits(binary.BigEndian.Uint64(r.head[4:]))
	count := binary.BigEndian.Uint32(r.head[12:])
	r.batch.Number = binary.BigEndian.Uint32(r.head[16:])
	if size > maxBody || uint64(count)*eventSize > uint64(size) {
		return nil, fmt.Errorf("%w: batch %d: %d records in %d bytes", ErrFormat, r.batch.Number, count, size)
	}
	if err := r.fill(int(size)); err != nil {
		return nil, fmt.Errorf("%w: batch %d: body: %w", ErrFormat, r.batch.Number, err)
	}
	now, ok := duration(ms)
	if !ok {
		return nil, fmt.Errorf("%w: batch %d: clock %v", ErrFormat, r.batch.Number, ms)
	}
	r.batch.Now = now
	r.batch.Count = int(count)
	r.batch.records = r.body[:int(count)*eventSize]
	r.batch.tail = r.body[int(count)*eventSize:]
	return &r.batch, nil
}

// fill reads size bytes into the body. It allocates memory as data arrives, not as much as
// the header claims.
func (r *Reader) fill(size int) error {
	const step = 1 << 20
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		n := min(step, size-have)
		if cap(r.body) < have+n {
			r.body = append(r.body[:have], make([]byte, n)...)
		}
		r.body = r.body[:have+n]
		if _, err := io.ReadFull(r.in, r.body[have:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// Event is one record of a batch. Code determines which fields are valid.
type Event struct {
	Code     Code
	Instance uint16 // EventInstance
	Seed     uint64 // EventOpen
	Settings []byte // EventOpen: JSON
	Kind     policy.ListKind
	Entries  []policy.Entry // EventMembers; valid until the next call of Batch.Event
	Request  policy.Request
	Outcome  policy.Outcome // EventOutcome, EventStarted (ID, Attempt), EventLeft (ID)
	Token    uint64         // EventTimer
}

var statuses = map[uint16]policy.Status{
	200: policy.OK, 502: policy.Error, 429: policy.Full, 408: policy.Timeout,
	521: policy.ConnectFailed, 520: policy.Reset, 444: policy.Cancelled, 409: policy.NotSent,
}

// Event decodes record i of the batch into e.
func (b *Batch) Event(i int, e *Event) error {
	rec := b.records[i*eventSize : (i+1)*eventSize]
	u16 := func(at int) uint16 { return binary.BigEndian.Uint16(rec[at:]) }
	u32 := func(at int) uint32 { return binary.BigEndian.Uint32(rec[at:]) }
	u64 := func(at int) uint64 { return binary.BigEndian.Uint64(rec[at:]) }
	f64 := func(at int) float64 { return math.Float64frombits(u64(at)) }
	fail := func(what string, v any) error {
		return fmt.Errorf("%w: batch %d, record %d: %s %v", ErrFormat, b.Number, i, what, v)
	}
	e.Code = Code(rec[0])
	switch e.Code {
	case EventInstance:
		e.Instance = u16(1)
	case EventOpen:
		e.Seed = u64(1)
		text, ok := b.slice(u32(9), u32(13), 1)
		if !ok {
			return fail("settings beyond the end of the tail: offset", u32(9))
		}
		e.Settings = text
	case EventMembers:
		if rec[1] > uint8(policy.ListFailed) {
			return fail("list kind", rec[1])
		}
		e.Kind = policy.ListKind(rec[1])
		raw, ok := b.slice(u32(10), u32(14), entrySize)
		if !ok {
			return fail("entries beyond the end of the tail: offset", u32(10))
		}
		return decodeEntries(e, raw, fail)
	case EventRequest:
		left, ok1 := duration(f64(16))
		hint, ok2 := duration(f64(24))
		if !ok1 || !ok2 {
			return fail("time left or hint of a request: time left", f64(16))
		}
		if rec[32]&1 == 0 {
			hint = 0
		}
		e.Request = policy.Request{
			ID: policy.RequestID(u32(1)), Class: int(rec[5]), Tenant: int(u16(6)), Key: u64(8), TimeLeft: left, Hint: hint,
		}
	case EventStarted:
		e.Outcome = policy.Outcome{ID: policy.RequestID(u32(1)), Attempt: int(u16(5)), Server: serverID(rec[15:])}
	case EventOutcome:
		status, ok := statuses[u16(5)]
		if !ok {
			return fail("status", u16(5))
		}
		latency, ok := duration(f64(16))
		if !ok {
			return fail("latency", f64(16))
		}
		e.Outcome = policy.Outcome{
			ID: policy.RequestID(u32(1)), Status: status, Ended: rec[7] != 0,
			Server: serverID(rec[8:]), Attempt: int(u16(14)), Latency: latency,
		}
	case EventLeft:
		e.Outcome = policy.Outcome{ID: policy.RequestID(u32(1))}
	case EventTimer:
		e.Token = u64(1)
	case EventPeer:
		if _, ok := b.slice(u32(5), u32(9), 1); !ok {
			return fail("message beyond the end of the tail: offset", u32(5))
		}
	case EventProbed, EventStop:
	default:
		return fail("unknown event code", rec[0])
	}
	return nil
}

func decodeEntries(e *Event, raw []byte, fail func(string, any) error) error {
	e.Entries = e.Entries[:0]
	for ; len(raw) > 0; raw = raw[entrySize:] {
		if raw[12] > uint8(policy.Draining) {
			return fail("server state", raw[12])
		}
		weight := float64(math.Float32frombits(binary.BigEndian.Uint32(raw[13:])))
		started, ok := duration(math.Float64frombits(binary.BigEndian.Uint64(raw[17:])))
		if !ok || !(weight >= 0) || math.IsInf(weight, 1) {
			return fail("server weight or start time: weight", weight)
		}
		e.Entries = append(e.Entries, policy.Entry{
			Server: serverID(raw), Zone: int(binary.BigEndian.Uint16(raw[6:])),
			Kind: int(binary.BigEndian.Uint16(raw[8:])), Cell: int(binary.BigEndian.Uint16(raw[10:])), State: policy.State(raw[12]), Weight: weight, Started: started,
		})
	}
	return nil
}

// slice returns count items of the given size from the tail, starting at offset.
func (b *Batch) slice(offset, count uint32, size uint64) ([]byte, bool) {
	end := uint64(offset) + uint64(count)*size
	if end > uint64(len(b.tail)) {
		return nil, false
	}
	return b.tail[offset:end], true
}

func serverID(b []byte) policy.ServerID {
	return policy.ServerID(uint64(binary.BigEndian.Uint32(b))<<16 | uint64(binary.BigEndian.Uint16(b[4:])))
}

// duration converts milliseconds to a Duration; it returns false for NaN and for values that
// are out of range.
func duration(ms float64) (time.Duration, bool) {
	const most = float64(math.MaxInt64) / 4 / float64(time.Millisecond)
	if !(ms > -most && ms < most) {
		return 0, false
	}
	return time.Duration(math.Round(ms * float64(time.Millisecond))), true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Reply collects the actions of one batch.
type Reply struct {
	out      []byte
	tail     []byte
	count    uint32
	written  int // instance of the last context record; -1: none
	instance uint16
}

// Reset starts a new reply.
func (r *Reply) Reset() {
	if r.out == nil {
		r.out = make([]byte, 0, 1<<14)
	}
	r.out = r.out[:replyHeader]
	r.tail = r.tail[:0]
	r.count = 0
	r.written = -1
}

// SetInstance selects the instance that the following actions belong to.
func (r *Reply) SetInstance(instance uint16) { r.instance = instance }

// record appends an action record, preceded by a context record if the instance changed.
func (r *Reply) record(code byte) []byte {
	if r.written != int(r.instance) {
		r.written = int(r.instance)
		binary.BigEndian.PutUint16(r.appendRecord(actContext)[1:], r.instance)
	}
	return r.appendRecord(code)
}

func (r *Reply) appendRecord(code byte) []byte {
	var blank [actionSize]byte
	r.out = append(r.out, blank[:]...)
	rec := r.out[len(r.out)-actionSize:]
	rec[0] = code
	r.count++
	return rec
}

func (r *Reply) forRequest(code byte, id policy.RequestID) []byte {
	rec := r.record(code)
	binary.BigEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

// Send implements policy.Host.
func (r *Reply) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	rec := r.forRequest(actSend, id)
	binary.BigEndian.PutUint32(rec[5:], uint32(server>>16))
	binary.BigEndian.PutUint16(rec[9:], uint16(server))
	putMs(rec[11:], timeout)
}

// Cancel implements policy.Host.
func (r *Reply) Cancel(id policy.RequestID, attempt int) {
	binary.BigEndian.PutUint16(r.forRequest(actCancel, id)[5:], uint16(attempt))
}

// Refuse implements policy.Host.
func (r *Reply) Refuse(id policy.RequestID, retryAfter time.Duration) {
	putMs(r.forRequest(actRefuse, id)[5:], retryAfter)
}

// Fail implements policy.Host.
func (r *Reply) Fail(id policy.RequestID) { r.forRequest(actFail, id) }

// SetTimer implements policy.Host.
func (r *Reply) SetTimer(at time.Duration, token uint64) {
	rec := r.record(actTimer)
	putMs(rec[1:], at)
	binary.BigEndian.PutUint64(rec[9:], token)
}

// WatchList implements policy.Host.
func (r *Reply) WatchList() { r.record(actWatch)[1] = 1 }

// Fatal reports that the decision module has failed.
func (r *Reply) Fatal(text string) {
	rec := r.record(actFatal)
	binary.BigEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.BigEndian.PutUint32(rec[5:], uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// WriteTo writes the frame that replies to the given batch.
func (r *Reply) WriteTo(w *bufio.Writer, batch uint32) error {
	binary.BigEndian.PutUint32(r.out[0:], r.count)
	binary.BigEndian.PutUint32(r.out[4:], uint32(len(r.out)-replyHeader+len(r.tail)))
	binary.BigEndian.PutUint32(r.out[8:], batch)
	if _, err := w.Write(r.out); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	if _, err := w.Write(r.tail); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write reply %d: %w", batch, err)
	}
	return nil
}

func putMs(b []byte, d time.Duration) {
	binary.BigEndian.PutUint64(b, math.Float64bits(milliseconds(d)))
}

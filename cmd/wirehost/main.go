// Command wirehost runs instances of the decision module for the simulator: it reads batches
// of events from standard input and writes one reply to each to standard output, in the
// format of package wire.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"otterstep/internal/wire"
	"otterstep/policy"
)

func main() {
	debug.SetGCPercent(800) // the live heap is small, and the cost of collections is measured
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint16]*policy.Balancer{}}
	reader, writer := wire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, wire.ErrFormat) {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset()
		if err := h.handleBatch(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
	}
}

// host holds the instances; they share only the reply buffer.
type host struct {
	instances map[uint16]*policy.Balancer
	current   uint16
	selected  bool
	reply     wire.Reply
	event     wire.Event
}

func (h *host) handleBatch(b *wire.Batch) error {
	h.selected = false
	for i := range b.Count {
		if err := b.Event(i, &h.event); err != nil {
			return err
		}
		e := &h.event
		if e.Code == wire.EventInstance {
			h.current, h.selected = e.Instance, true
			h.reply.SetInstance(e.Instance)
			continue
		}
		if !h.selected || (e.Code != wire.EventOpen && h.instances[h.current] == nil) {
			return fmt.Errorf("%w: batch %d, record %d: event %d for an instance that is not open",
				wire.ErrFormat, b.Number, i, e.Code)
		}
		h.handle(b, e)
	}
	return nil
}

// handle passes one event to its instance. A panic in the decision module is reported as a
// fatal action.
func (h *host) handle(b *wire.Batch, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "wirehost: batch %d: panic: %v\n%s", b.Number, p, debug.Stack())
			h.reply.Fatal(fmt.Sprintf("panic: %v", p))
		}
	}()
	inst := h.instances[h.current]
	switch e.Code {
	case wire.EventOpen:
		h.open(e)
	case wire.EventStop:
		delete(h.instances, h.current)
	case wire.EventMembers:
		inst.UpdateServers(b.Now, e.Kind, e.Entries)
	case wire.EventRequest:
		inst.Request(b.Now, e.Request)
	case wire.EventStarted:
		inst.StreamStarted(b.Now, e.Outcome.ID, e.Outcome.Attempt)
	case wire.EventOutcome:
		inst.Outcome(b.Now, e.Outcome)
	case wire.EventLeft:
		inst.ClientGone(b.Now, e.Outcome.ID)
	case wire.EventTimer:
		inst.Timer(b.Now, e.Token)
	}
}

func (h *host) open(e *wire.Event) {
	settings, err := wire.ParseSettings(e.Settings)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	inst, err := policy.New(settings, e.Seed, &h.reply)
	if err != nil {
		h.reply.Fatal(err.Error())
		return
	}
	h.instances[h.current] = inst
}

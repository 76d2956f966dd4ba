// Command wirehost hosts instances of the decision module on the simulator's
// wire: batches of events on standard input, one reply each on standard output.
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
	debug.SetGCPercent(800) // the live heap is small; collections are metered
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
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
		if err := h.batch(batch); err != nil {
			return err
		}
		if err := h.reply.WriteTo(writer, batch.Number); err != nil {
			return err
		}
	}
}

// host holds the instances; they share nothing but the reply's buffer.
type host struct {
	instances map[uint16]*policy.Balancer
	current   uint16
	named     bool
	reply     wire.Reply
	event     wire.Event
}

func (h *host) batch(b *wire.Batch) error {
	h.named = false
	for i := range b.Count {
		if err := b.Event(i, &h.event); err != nil {
			return err
		}
		e := &h.event
		if e.Code == wire.Instance {
			h.current, h.named = e.Instance, true
			h.reply.For(e.Instance)
			continue
		}
		if !h.named || (e.Code != wire.Open && h.instances[h.current] == nil) {
			return fmt.Errorf("%w: batch %d, record %d: event %d for an instance never opened",
				wire.ErrFormat, b.Number, i, e.Code)
		}
		h.handle(b, e)
	}
	return nil
}

// handle passes one event on. A panic in the module is reported as fatal.
func (h *host) handle(b *wire.Batch, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			fmt.Fprintf(os.Stderr, "wirehost: batch %d: panic: %v\n%s", b.Number, p, debug.Stack())
			h.reply.Fatal(fmt.Sprintf("panic: %v", p))
		}
	}()
	inst := h.instances[h.current]
	switch e.Code {
	case wire.Open:
		h.open(e)
	case wire.Stop:
		delete(h.instances, h.current)
	case wire.Members:
		inst.Members(b.Now, e.Kind, e.Entries)
	case wire.Request:
		inst.Request(b.Now, e.Request)
	case wire.Started:
		inst.Started(b.Now, e.Outcome.ID, e.Outcome.Attempt)
	case wire.Outcome:
		inst.Outcome(b.Now, e.Outcome)
	case wire.Left:
		inst.Left(b.Now, e.Outcome.ID)
	case wire.Timer:
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

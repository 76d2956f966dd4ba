// Package faults injects faults into the processes of a fleet: relays cut, hold, delay and reset
// the traffic between two agents, and agents stop at a named step, or have wrong clocks and failing
// disks. Checkers read the records and logs that the processes wrote.
package faults

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Mode is how a relay treats one direction.
type Mode string

// The modes.
const (
	Pass Mode = "pass"
	// Cut silently drops all data: streams stay open without traffic, and are reset when the
	// direction passes again, as after a network partition.
	Cut Mode = "cut"
	// Hold buffers data and delivers it when the direction passes again.
	Hold Mode = "hold"
	// Reset breaks open streams, and new ones as they are opened.
	Reset Mode = "reset"
)

// maxChunk bounds the bytes that one direction of a stream buffers, besides those in the sockets'
// own buffers; the sender blocks beyond it.
const maxChunk = 32 << 10

// Relay is a proxy on a Unix socket between one agent and another's socket. The forward
// direction carries requests, the backward direction answers.
type Relay struct {
	to         string
	listener   net.Listener
	goroutines sync.WaitGroup

	mu       sync.Mutex
	forward  Mode
	backward Mode
	delay    time.Duration
	match    string // Hold applies only to streams that have contained this text
	changed  chan struct{}
	streams  map[*stream]bool
	closed   bool
}

// stream is one stream through a relay.
type stream struct {
	in, out     net.Conn
	interrupted bool // data was dropped: the stream can't go on
	held        bool
}

// NewRelay listens on the socket at and relays to the socket to.
func NewRelay(at, to string) (*Relay, error) {
	l, err := net.Listen("unix", at)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	r := &Relay{to: to, listener: l, forward: Pass, backward: Pass, changed: make(chan struct{}), streams: map[*stream]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Set sets both directions' modes.
func (r *Relay) Set(there, back Mode) {
	r.update(func() { r.forward, r.backward, r.match = there, back, "" })
}

// HoldOnly holds requests on a stream from the first one that contains a text, such as the
// path of an order; everything else passes.
func (r *Relay) HoldOnly(text string) {
	r.update(func() { r.forward, r.backward, r.match = Hold, Pass, text })
}

// Delay sets the delay of each chunk in both directions.
func (r *Relay) Delay(d time.Duration) { r.update(func() { r.delay = d }) }

// Held returns the number of streams that HoldOnly holds.
func (r *Relay) Held() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		if s.held {
			n++
		}
	}
	return n
}

func (r *Relay) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	for s := range r.streams {
		if s.interrupted && r.forward != Cut && r.backward != Cut || r.forward == Reset || r.backward == Reset {
			s.in.Close()
			s.out.Close()
		}
		if r.match == "" {
			s.held = false
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close closes the relay and all its streams.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for s := range r.streams {
		s.in.Close()
		s.out.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.goroutines.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Go(func() { r.serve(in) })
	}
}

func (r *Relay) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("unix", r.to)
	if err != nil {
		return // as on a machine where nobody listens
	}
	defer out.Close()
	s := &stream{in: in, out: out}
	r.mu.Lock()
	if r.closed || r.forward == Reset || r.backward == Reset {
		r.mu.Unlock()
		return
	}
	r.streams[s] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copyDirection(s, in, out, true) })
	both.Go(func() { r.copyDirection(s, out, in, false) })
	both.Wait()
	r.mu.Lock()
	delete(r.streams, s)
	r.mu.Unlock()
}

// copyDirection relays one direction. At its end it closes the whole stream, since agents close both
// directions at once.
func (r *Relay) copyDirection(s *stream, from, to net.Conn, forward bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, maxChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 && r.awaitPass(s, forward, string(buf[:n])) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitPass waits until a chunk may pass; it returns false if the stream has to end instead. A
// chunk passes even if its sender has died meanwhile, since it was already sent.
func (r *Relay) awaitPass(s *stream, forward bool, text string) bool {
	r.mu.Lock()
	if d := r.delay; d > 0 {
		r.mu.Unlock()
		time.Sleep(d)
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	for {
		mode := r.backward
		if forward {
			mode = r.forward
		}
		if mode == Hold && r.match != "" {
			s.held = s.held || strings.Contains(text, r.match)
			if !s.held {
				mode = Pass
			}
		}
		if r.closed || mode == Reset || s.interrupted && mode == Pass {
			return false
		}
		if mode == Pass {
			return true
		}
		s.interrupted = s.interrupted || mode == Cut
		changed := r.changed
		r.mu.Unlock()
		<-changed
		r.mu.Lock()
	}
}

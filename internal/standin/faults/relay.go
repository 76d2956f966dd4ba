// Package faults stands between the processes of a fleet and breaks things: relays that cut,
// hold, delay and reset what passes between two agents, and agents that stop at a named step,
// whose clocks run wrong and whose disks fail. A checker reads what the processes wrote down.
package faults

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Mode is what a relay does with one direction.
type Mode string

// The modes.
const (
	Pass Mode = "pass"
	// Cut lets nothing through, and says nothing: streams stay open and silent, and are reset
	// when the direction passes again, as from a machine that was cut off.
	Cut Mode = "cut"
	// Hold keeps what comes and passes it on, late, when the direction passes again.
	Hold Mode = "hold"
	// Reset breaks open streams and new ones.
	Reset Mode = "reset"
)

// pieceMost bounds what one stream's direction holds back, in bytes, besides what the sockets
// themselves keep; the sender waits beyond it.
const pieceMost = 32 << 10

// Relay is the way from one agent to another: a Unix socket before the other's own. The
// direction there is of requests, back of answers.
type Relay struct {
	to       string
	listener net.Listener
	work     sync.WaitGroup

	mu      sync.Mutex
	there   Mode
	back    Mode
	delay   time.Duration
	match   string // holds only streams on which this was seen, from then on
	changed chan struct{}
	streams map[*relayed]bool
	closed  bool
}

// relayed is one stream through a relay.
type relayed struct {
	in, out net.Conn
	cut     bool // something of it was swallowed or kept silent: it can't go on
	matched bool
}

// NewRelay listens at a socket and passes all on to another.
func NewRelay(at, to string) (*Relay, error) {
	l, err := net.Listen("unix", at)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	r := &Relay{to: to, listener: l, there: Pass, back: Pass, changed: make(chan struct{}), streams: map[*relayed]bool{}}
	r.work.Go(r.accept)
	return r, nil
}

// Set sets both directions' modes.
func (r *Relay) Set(there, back Mode) {
	r.change(func() { r.there, r.back, r.match = there, back, "" })
}

// HoldOnly holds the requests on streams from the first that has a text in it, such as an
// order's path; all others pass.
func (r *Relay) HoldOnly(text string) {
	r.change(func() { r.there, r.back, r.match = Hold, Pass, text })
}

// Delay sets how late all passes.
func (r *Relay) Delay(d time.Duration) { r.change(func() { r.delay = d }) }

// Held counts the streams that hold something back.
func (r *Relay) Held() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.streams {
		if s.matched {
			n++
		}
	}
	return n
}

func (r *Relay) change(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	for s := range r.streams {
		if s.cut && r.there != Cut && r.back != Cut || r.there == Reset || r.back == Reset {
			s.in.Close()
			s.out.Close()
		}
		if r.match == "" {
			s.matched = false
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends the relay and all its streams.
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
	r.work.Wait()
	return err
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.work.Go(func() { r.serve(in) })
	}
}

func (r *Relay) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("unix", r.to)
	if err != nil {
		return // as from a machine where nobody listens
	}
	defer out.Close()
	s := &relayed{in: in, out: out}
	r.mu.Lock()
	if r.closed || r.there == Reset || r.back == Reset {
		r.mu.Unlock()
		return
	}
	r.streams[s] = true
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.pump(s, in, out, true) })
	both.Go(func() { r.pump(s, out, in, false) })
	both.Wait()
	r.mu.Lock()
	delete(r.streams, s)
	r.mu.Unlock()
}

// pump passes one direction on. At its end it ends the stream: agents close both ways at once.
func (r *Relay) pump(s *relayed, from, to net.Conn, there bool) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, pieceMost)
	for {
		n, err := from.Read(buf)
		if n > 0 && r.gate(s, there, string(buf[:n])) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// gate waits until a piece may pass; false if the stream has come to its end meanwhile. A
// sender that has died meanwhile does not matter: what it had sent still arrives.
func (r *Relay) gate(s *relayed, there bool, text string) bool {
	r.mu.Lock()
	if d := r.delay; d > 0 {
		r.mu.Unlock()
		time.Sleep(d)
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	for {
		mode := r.back
		if there {
			mode = r.there
		}
		if mode == Hold && r.match != "" {
			s.matched = s.matched || strings.Contains(text, r.match)
			if !s.matched {
				mode = Pass
			}
		}
		if r.closed || mode == Reset || s.cut && mode == Pass {
			return false
		}
		if mode == Pass {
			return true
		}
		s.cut = s.cut || mode == Cut
		changed := r.changed
		r.mu.Unlock()
		<-changed
		r.mu.Lock()
	}
}

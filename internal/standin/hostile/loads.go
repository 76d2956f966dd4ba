package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Load is what hostile clients do at a front until its context ends.
type Load struct {
	Name   string
	Fronts []FrontKind // at which it makes sense
	run    func(ctx context.Context, f target)
}

// FrontKind is a front of the node.
type FrontKind string

// The fronts.
const (
	Platform FrontKind = "platform"
	Web      FrontKind = "web"
	SIP      FrontKind = "sip" // its usual clients are the platform's
)

// target is a front under load.
type target struct {
	kind FrontKind
	addr string
}

const (
	manyClients = 340      // a third of 1,024 descriptors
	headBytes   = 15 << 10 // of fields, below the limit of 16 KiB for a head
	trickleStep = 100 * time.Millisecond
)

// Loads returns all loads.
func Loads() []Load {
	both := []FrontKind{Platform, Web}
	slow := []Load{
		{Name: "usual clients alone", Fronts: []FrontKind{Platform, Web, SIP}, run: func(ctx context.Context, _ target) { <-ctx.Done() }},
		{Name: "heads of different short fields, not ended", Fronts: both, run: each(manyClients, func(f target) string { return f.openHead(shortFields(true)) })},
		{Name: "heads of one field's name, not ended", Fronts: both, run: each(manyClients, func(f target) string { return f.openHead(shortFields(false)) })},
		{Name: "whole heads of different short fields, no body", Fronts: both, run: each(manyClients, func(f target) string {
			return f.openHead(shortFields(true)) + "Content-Length: 60000\r\n\r\n"
		})},
		{Name: "whole heads of one field's name, no body", Fronts: both, run: each(manyClients, func(f target) string {
			return f.openHead(shortFields(false)) + "Content-Length: 60000\r\n\r\n"
		})},
		{Name: "half of a body of 4 MB, then a byte every 0.1 s", Fronts: both, run: each(manyClients, func(f target) string {
			return f.openHead("") + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("b", 2<<20)
		})},
		{Name: "60 of 64 kB of a body, then a byte every 0.1 s", Fronts: both, run: each(manyClients, func(f target) string {
			return f.openHead("") + "Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 60<<10)
		})},
		{Name: "answers of 8 MB that are not read", Fronts: both, run: unreadAnswers},
		{Name: "connections without a byte", Fronts: both, run: each(manyClients, func(target) string { return "" })},
	}
	return append(slow, floods()...)
}

// shortFields returns about headBytes bytes of short fields.
func shortFields(different bool) string {
	var b strings.Builder
	for n := 0; b.Len() < headBytes-600; n++ {
		if different {
			fmt.Fprintf(&b, "a%d:b\r\n", n)
		} else {
			b.WriteString("a:b\r\n")
		}
	}
	return b.String()
}

// openHead returns the beginning of a request with further fields, without the blank line behind them.
func (f target) openHead(fields string) string { return f.head("POST", fields, 0) }

// head returns a request's line and fields for an answer of a size.
func (f target) head(method, fields string, answer int) string {
	id := nextID()
	class := "avail-read"
	key := ""
	if method == "POST" {
		class, key = "booking-push", fmt.Sprintf("Idempotency-Key: k%d\r\n", id)
	}
	return fmt.Sprintf("%s /%s/%d?size=%d HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: hostile%d\r\nX-Service-Class: %s\r\nX-Time-Left: 1.4\r\n%s%s",
		method, class, id, answer, id, class, key, fields)
}

var (
	idMutex sync.Mutex
	lastID  int
)

func nextID() int {
	idMutex.Lock()
	defer idMutex.Unlock()
	lastID++
	return lastID
}

// each has a number of clients send a text each and then a byte every trickleStep. A client whose connection is closed
// comes again.
func each(clients int, text func(target) string) func(context.Context, target) {
	return func(ctx context.Context, f target) {
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				again(ctx, f.addr, func(c net.Conn) {
					if _, err := io.WriteString(c, text(f)); err != nil || text(f) == "" {
						waitForClose(c)
						return
					}
					for pause(ctx, trickleStep) {
						if _, err := io.WriteString(c, "b"); err != nil {
							return
						}
					}
				})
			})
		}
		all.Wait()
	}
}

// unreadAnswers has clients ask for long answers and read nothing.
func unreadAnswers(ctx context.Context, f target) {
	var all sync.WaitGroup
	for range manyClients {
		all.Go(func() {
			again(ctx, f.addr, func(c net.Conn) {
				if _, err := io.WriteString(c, f.head("GET", "", 8<<20)+"\r\n"); err == nil {
					pause(ctx, time.Hour)
				}
			})
		})
	}
	all.Wait()
}

// pipelined has clients send texts at full speed, without waiting for the answers, which they read.
func pipelined(clients int, text func(target) string) func(context.Context, target) {
	return func(ctx context.Context, f target) {
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				again(ctx, f.addr, func(c net.Conn) {
					go waitForClose(c)
					var b strings.Builder
					for ctx.Err() == nil {
						b.Reset()
						for range 100 {
							b.WriteString(text(f))
						}
						if _, err := io.WriteString(c, b.String()); err != nil {
							return
						}
					}
				})
			})
		}
		all.Wait()
	}
}

// again opens a connection for do, and another one once do has returned, until ctx ends.
func again(ctx context.Context, addr string, do func(net.Conn)) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { c.Close() })
			do(c)
			stop()
			c.Close()
		}
		pause(ctx, 20*time.Millisecond)
	}
}

// waitForClose reads until the peer closes the connection.
func waitForClose(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// pause waits, and returns false if ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
